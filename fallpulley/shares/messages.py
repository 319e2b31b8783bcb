"""The stored record of shares, and the operators' requests and the responses to them."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

# Maximum number of operations kept in the record. A client that lost the response to a request can
# repeat it under the same operation name, and gets the response while the operation is remembered.
MAX_REMEMBERED_OPERATIONS = 8

# The id of a controller or the name of a team.
Name = Annotated[str, Meta(min_length=1, max_length=100)]
OperationName = Annotated[str, Meta(min_length=1, max_length=64)]


class Share(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """The share of the fleet that one controller's shard is to get."""

    weight: float
    floor: float = 0.0  # minimum size of the shard, in processors
    ceiling: float = 0.0  # maximum size of the shard, in processors; 0: no maximum
    teams: list[Name] = []  # teams whose new jobs go to this shard


class ShareOperation(msgspec.Struct, frozen=True, array_like=True):
    """A completed change of the table of shares, and the revision that it produced."""

    name: str
    revision: int


class ShareTable(msgspec.Struct, frozen=True, omit_defaults=True):
    """The record `live/shares`: the shares by controller id, changed only by compare-and-set."""

    revision: int = 0
    shares: dict[str, Share] = {}
    operations: list[ShareOperation] = []


class SetShares(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /shares`: a whole table, which replaces the present one."""

    shares: dict[Name, Share]
    operation: OperationName
    expect: int | None = None  # the revision to be replaced; null: any revision


class ShardProgress(StrEnum):
    """The progress of a shard towards its share. The values are shown to operators."""

    CONVERGED = "converged"
    MOVING = "moving"
    WAITING_FOR_TASKS = "waiting for tasks"
    CONTROLLER_ABSENT = "controller absent"
    UNRECONCILED = "doubt after takeover"


class ShardState(msgspec.Struct, frozen=True, rename={"shard_id": "block", "owner": "holder"}):
    """The present size and owner of a shard, beside its target size."""

    shard_id: str
    owner: str
    target: float | None  # target size in processors; null: no shares are set, any size will do
    processors: float  # present size in processors
    machines: int
    # A ShardProgress, as a string since controllers of other versions may have further values.
    state: str
    # Number of machines that get no new tasks because they are to leave the shard; null: unknown,
    # because another controller owns the shard.
    draining: int | None = None


class SharesResponse(
    msgspec.Struct, frozen=True, rename={"controller_id": "controller", "shards": "blocks"}
):
    """The shares and the state of all shards, as known to the controller that responds."""

    controller_id: str
    revision: int
    shares: dict[str, Share]
    shards: list[ShardState]
    age_s: float  # age of the controller's copy of the records, in seconds
    converged: bool  # every shard is as close to its share as whole machines allow


class ErrorResponse(msgspec.Struct, frozen=True):
    """The reason why a request changed nothing."""

    error: str  # the kind of error, in one word
    reason: str
    revision: int | None = None  # the present revision of the table; set for conflicts
