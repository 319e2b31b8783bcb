"""Which tables of shares are possible, and what a change of one makes: pure."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

from fallpulley.settings import Team
from fallpulley.shares.messages import (
    OPERATIONS_KEPT,
    Operation,
    SetShares,
    Share,
    ShareTable,
)


class Situation(msgspec.Struct, frozen=True):
    """What a table has to fit."""

    controllers: Collection[str]
    teams: Mapping[str, Team]
    team_shards: Mapping[str, str]  # limited team -> the block that it lives in
    fleet: float  # processors; 0: not known yet


class RefusedError(Exception):
    """The shares are impossible; the message says why."""


class ConflictError(Exception):
    """The table was decided on another revision than there is."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"the shares have revision {revision}")
        self.revision = revision


def check(shares: Mapping[str, Share], situation: Situation) -> None:
    """Raise `RefusedError` when no fleet could be shared so."""
    if not shares:
        raise RefusedError("no shares")
    places: dict[str, str] = {}
    for label, share in shares.items():
        if label not in situation.controllers:
            raise RefusedError(f"no controller {label}")
        _check_one(label, share)
        for name in share.teams:
            _check_team(label, name, places, situation)
            places[name] = label
    if sum(share.weight for share in shares.values()) <= 0:
        raise RefusedError("no share has a weight above 0")
    floors = sum(share.floor for share in shares.values())
    if situation.fleet > 0 and floors > situation.fleet:
        raise RefusedError(f"floors of {floors:g} exceed the fleet of {situation.fleet:g}")


def _check_one(label: str, share: Share) -> None:
    for name, value in (
        ("weight", share.weight),
        ("floor", share.floor),
        ("ceiling", share.ceiling),
    ):
        if not math.isfinite(value) or value < 0:
            raise RefusedError(f"{name} of {label} is {value:g}, not a number from 0 on")
    if 0 < share.ceiling < share.floor:
        raise RefusedError(f"ceiling of {label} is below its floor")


def _check_team(label: str, name: str, places: Mapping[str, str], situation: Situation) -> None:
    team = situation.teams.get(name)
    if team is None:
        raise RefusedError(f"no team {name}")
    if places.get(name, label) != label:
        raise RefusedError(f"team {name} stands at {places[name]} and at {label}")
    home = situation.team_shards.get(name)
    if team.limited and home is not None and home != label:
        raise RefusedError(f"team {name} has a limit and lives in block {home}")


def change(table: ShareTable, request: SetShares, situation: Situation) -> ShareTable:
    """The table after a request. One that was carried out before gives the present table back;
    raises `RefusedError` and `ConflictError`."""
    if done_before(table, request.operation) is not None:
        return table
    if request.expect is not None and request.expect != table.revision:
        raise ConflictError(table.revision)
    check(request.shares, situation)
    revision = table.revision + 1
    kept = [*table.operations, Operation(request.operation, revision)][-OPERATIONS_KEPT:]
    return ShareTable(revision, dict(request.shares), kept)


def done_before(table: ShareTable, operation: str) -> int | None:
    """The revision that an operation of this name made."""
    return next((done.revision for done in table.operations if done.name == operation), None)


def targets(shares: Mapping[str, Share], fleet: float) -> dict[str, float]:
    """Processors for each share: by weight, within floors and ceilings, adding up to the fleet.

    Floors that the fleet no longer holds shrink alike; what is left above all ceilings goes by
    weight, since machines have to be in some block.
    """
    floors = sum(share.floor for share in shares.values())
    shrink = min(1.0, fleet / floors) if floors > 0 else 1.0
    bounds = {
        label: (share.floor * shrink, share.ceiling or math.inf) for label, share in shares.items()
    }
    total_weight = sum(share.weight for share in shares.values())
    if total_weight <= 0 or fleet <= 0:
        return dict.fromkeys(shares, 0.0)

    def filled(level: float) -> dict[str, float]:
        return {
            label: min(max(share.weight * level, bounds[label][0]), bounds[label][1])
            for label, share in shares.items()
        }

    low, high = 0.0, fleet / min(s.weight for s in shares.values() if s.weight > 0)
    for _ in range(60):
        middle = (low + high) / 2
        if sum(filled(middle).values()) < fleet:
            low = middle
        else:
            high = middle
    found = filled(high)
    rest = fleet - sum(found.values())
    if rest > 1e-6:
        for label, share in shares.items():
            found[label] += rest * share.weight / total_weight
    return found


class Move(msgspec.Struct, frozen=True):
    """Processors that one block is to give another."""

    giver: str
    taker: str
    processors: float
    surplus: float  # what the giver has too much
    lacking: float  # what the taker lacks, as far as this giver may fill it

    def improves(self, cpus: float) -> bool:
        """Whether a machine of that size brings the two nearer to their targets, taken together:
        each move does, so blocks do not pass machines back and forth."""
        return cpus < self.surplus + self.lacking


def moves(actual: Mapping[str, float], wanted: Mapping[str, float]) -> list[Move]:
    """Who gives whom how much: the same for every controller that has the same records. Where
    several givers fill one taker, the first may give a machine too large for its part alone."""
    surplus = {label: actual[label] - wanted.get(label, 0.0) for label in actual}
    givers = sorted((n for n in surplus if surplus[n] > 0), key=lambda n: (-surplus[n], n))
    takers = sorted((n for n in surplus if surplus[n] < 0), key=lambda n: (surplus[n], n))
    lacking = {label: -surplus[label] for label in takers}
    found = []
    for giver in givers:
        left = surplus[giver]
        for taker in takers:
            amount = min(left, lacking[taker])
            if amount <= 1e-9:
                continue
            is_first = lacking[taker] == -surplus[taker]
            may_fill = -surplus[taker] if is_first else amount
            found.append(Move(giver, taker, amount, surplus[giver], may_fill))
            left -= amount
            lacking[taker] -= amount
    return found
