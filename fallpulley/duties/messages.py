"""Records of duties and of the actions that their holders intend."""

from __future__ import annotations

import msgspec

from fallpulley.fleet.messages import RentalRequest

DUTY_PREFIX, INTENT_PREFIX = "live/duty/", "live/intent/"

RENTING = "renting"  # machines are rented
RETURNING = "returning"  # machines are returned to the cloud
RECLAIMING = "reclaiming"  # machines that no record knows are adopted, or returned
CLEANING = "cleaning"  # records that are of no use any more are dropped
DUTIES = (RENTING, RETURNING, RECLAIMING, CLEANING)


class DutyRecord(msgspec.Struct, frozen=True, rename={"owner": "holder", "incarnation": "boot"}):
    """`live/duty/<name>`, attached to its holder's lease: who does it. Its stamp is the token."""

    owner: str
    incarnation: str


class Rent(msgspec.Struct, frozen=True, tag="rent", rename={"shard_id": "block"}):
    """Rent machines for a block, under a name that is never used for anything else."""

    request: RentalRequest
    shard_id: str


class Return(msgspec.Struct, frozen=True, tag="return", rename={"machine_ids": "hosts"}):
    """Return machines to the cloud. From the moment at which this is durable nobody uses them."""

    machine_ids: list[str]


class Intent(msgspec.Struct, frozen=True):
    """`live/intent/<duty>/<token>-<number>`: an action, perhaps under way until it is dropped."""

    duty: str
    token: int
    action: Rent | Return


def duty_key(name: str) -> str:
    """Where it is recorded who does a duty."""
    return DUTY_PREFIX + name


def intent_key(duty: str, token: int, number: int) -> str:
    """A key of its own for each action."""
    return f"{INTENT_PREFIX}{duty}/{token}-{number}"
