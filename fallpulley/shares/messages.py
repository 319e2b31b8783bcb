"""The durable record of shares, and what operators send and get."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

# As many operations are remembered, so that one whose response was lost gets it when repeated.
MAX_REMEMBERED_OPERATIONS = 8

Name = Annotated[str, Meta(min_length=1, max_length=100)]
OperationName = Annotated[str, Meta(min_length=1, max_length=64)]


class Share(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """What one controller's shard is to have of the fleet; floor and ceiling in processors."""

    weight: float
    floor: float = 0.0
    ceiling: float = 0.0  # 0: none
    teams: list[Name] = []  # whose new jobs go to this shard


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """A change that was carried out, and the revision of the table that it made."""

    name: str
    revision: int


class ShareTable(msgspec.Struct, frozen=True, omit_defaults=True):
    """`live/shares`: the shares by controller; changed by compare-and-set alone."""

    revision: int = 0
    shares: dict[str, Share] = {}
    operations: list[Operation] = []


class SetShares(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`POST /shares`: the whole table, to replace the present one."""

    shares: dict[Name, Share]
    operation: OperationName
    expect: int | None = None  # the revision that it was decided on; null: whatever there is


class ShardProgress(StrEnum):
    """The progress of a shard towards its share; the values are shown to operators."""

    CONVERGED = "converged"
    MOVING = "moving"
    WAITING_FOR_TASKS = "waiting for tasks"
    CONTROLLER_ABSENT = "controller absent"
    UNRECONCILED = "doubt after takeover"


class ShardState(msgspec.Struct, frozen=True, rename={"shard_id": "block", "owner": "holder"}):
    """How far a shard is from its share."""

    shard_id: str
    owner: str
    target: float | None  # processors; null: no shares are set, any number will do
    processors: float
    machines: int
    state: str  # a ShardProgress; text, since a controller of another version may have more
    draining: int | None = None  # machines that get no new tasks; null: not known here


class SharesResponse(
    msgspec.Struct, frozen=True, rename={"controller_id": "controller", "shards": "blocks"}
):
    """The shares and the shards, as the controller that responds knows them."""

    controller_id: str
    revision: int
    shares: dict[str, Share]
    shards: list[ShardState]
    age_s: float  # of the controller's copy of the records
    converged: bool


class ErrorResponse(msgspec.Struct, frozen=True):
    """Why nothing was changed."""

    error: str
    reason: str
    revision: int | None = None
