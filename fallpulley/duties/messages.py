"""The durable records of duties and of the actions that their owners intend."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from fallpulley.cloud.messages import RentalRequest

DUTY_PREFIX, INTENT_PREFIX = "live/duty/", "live/intent/"


class Duty(StrEnum):
    """What one controller at a time does for all of them; the values stand in the records."""

    SCALE_OUT = "renting"  # machines are rented
    RELEASE = "returning"  # machines are released to the cloud
    ADOPTION = "reclaiming"  # machines that no record knows are adopted, or released
    CLEANUP = "cleaning"  # records that are of no use any more are deleted


class DutyRecord(msgspec.Struct, frozen=True, rename={"owner": "holder", "incarnation": "boot"}):
    """`live/duty/<duty>`, attached to its owner's lease. Its modification revision is the token."""

    owner: str  # controller_id
    incarnation: str


class ScaleOut(msgspec.Struct, frozen=True, tag="rent", rename={"shard_id": "block"}):
    """Rent machines for a shard, under a request id that is never used for anything else."""

    request: RentalRequest
    shard_id: str


class Release(msgspec.Struct, frozen=True, tag="return", rename={"machine_ids": "hosts"}):
    """Release machines to the cloud. Once this is durable nobody places tasks on them."""

    machine_ids: list[str]


Action = ScaleOut | Release


class Intent(msgspec.Struct, frozen=True):
    """`live/intent/<duty>/<token>-<number>`: an action, perhaps under way until deleted."""

    duty: str  # text: the record of another version may name a duty that this one does not know
    token: int
    action: Action


def duty_key(duty: str) -> str:
    """The key of the record of who owns a duty."""
    return DUTY_PREFIX + duty


def intent_key(duty: str, token: int, number: int) -> str:
    """A key of its own for each action; `number` counts within one process."""
    return f"{INTENT_PREFIX}{duty}/{token}-{number}"
