"""The durable records of duties and of the actions that their owners intend."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from fallpulley.cloud.messages import RentalRequest

DUTY_PREFIX, INTENT_PREFIX = "live/duty/", "live/intent/"


class Duty(StrEnum):
    """A kind of action that one controller at a time carries out; records contain its value."""

    SCALE_OUT = "renting"  # machines are rented
    RELEASE = "returning"  # machines are released to the cloud
    ADOPTION = "reclaiming"  # machines without a record are adopted or released
    CLEANUP = "cleaning"  # records that are no longer needed are deleted


class DutyRecord(msgspec.Struct, frozen=True, rename={"owner": "holder", "incarnation": "boot"}):
    """The record `live/duty/<duty>`, attached to the lease of the duty's owner.

    Its modification revision is the owner's fencing token.
    """

    owner: str  # controller_id
    incarnation: str  # of the owner's process


class ScaleOut(msgspec.Struct, frozen=True, tag="rent", rename={"shard_id": "block"}):
    """The action of renting machines for a shard, under a request id that is used only once."""

    request: RentalRequest
    shard_id: str


class Release(msgspec.Struct, frozen=True, tag="return", rename={"machine_ids": "hosts"}):
    """The action of releasing machines. Once it is durable, nobody places tasks on them."""

    machine_ids: list[str]


Action = ScaleOut | Release


class Intent(msgspec.Struct, frozen=True):
    """The record `live/intent/<duty>/<token>-<number>` of an intended action.

    While the record exists, the action may be in progress.
    """

    # Not a `Duty`: a controller of another version may record a duty that this one does not know.
    duty: str
    token: int  # the owner's fencing token when the intent was recorded
    action: Action


def duty_key(duty: str) -> str:
    """Return the key of the record that names a duty's owner."""
    return DUTY_PREFIX + duty


def intent_key(duty: str, token: int, number: int) -> str:
    """Return the key of an intent; `number` is unique within the process that records it."""
    return f"{INTENT_PREFIX}{duty}/{token}-{number}"
