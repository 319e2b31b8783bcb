"""How many processors each shard is to have, and which of them it gives to whom. Pure functions."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from fallpulley.shares.messages import Share

# The common level of the weights is bisected so often: beyond what a float can tell apart.
BISECTION_STEPS = 60
# Processors below which a rest or a move is an error of rounding.
MIN_REST_PROCESSORS = 1e-6
MIN_MOVE_PROCESSORS = 1e-9


def target_processors(shares: Mapping[str, Share], fleet: float) -> dict[str, float]:
    """Processors for each share: by weight, within floors and ceilings, adding up to the fleet.

    Floors that the fleet no longer holds shrink alike; what is left above all ceilings goes by
    weight, since machines have to be in some shard.
    """
    total_weight = sum(share.weight for share in shares.values())
    if total_weight <= 0 or fleet <= 0:
        return dict.fromkeys(shares, 0.0)
    targets = _bisect_level(shares, fleet)
    rest = fleet - sum(targets.values())
    if rest > MIN_REST_PROCESSORS:
        for controller_id, share in shares.items():
            targets[controller_id] += rest * share.weight / total_weight
    return targets


def _bisect_level(shares: Mapping[str, Share], fleet: float) -> dict[str, float]:
    """Targets at the level (processors for each unit of weight) at which they fill the fleet."""
    floors = sum(share.floor for share in shares.values())
    shrink = min(1.0, fleet / floors) if floors > 0 else 1.0
    bounds = {
        controller_id: (share.floor * shrink, share.ceiling or math.inf)
        for controller_id, share in shares.items()
    }

    def targets_at(level: float) -> dict[str, float]:
        return {
            controller_id: min(
                max(share.weight * level, bounds[controller_id][0]), bounds[controller_id][1]
            )
            for controller_id, share in shares.items()
        }

    low = 0.0
    high = fleet / min(share.weight for share in shares.values() if share.weight > 0)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if sum(targets_at(middle).values()) < fleet:
            low = middle
        else:
            high = middle
    return targets_at(high)


class Move(msgspec.Struct, frozen=True):
    """Processors that one shard is to give to another."""

    source: str
    destination: str
    processors: float
    surplus: float  # what the source has above its target
    deficit: float  # what the destination lacks, as far as this source may fill it

    def improves(self, cpus: float) -> bool:
        """Whether a machine of that size brings the two nearer to their targets, taken together:
        each move does, so shards do not pass machines back and forth."""
        return cpus < self.surplus + self.deficit


def plan_moves(actual: Mapping[str, float], targets: Mapping[str, float]) -> list[Move]:
    """Which shard gives how much to which: the same for every controller with the same records.

    Where several sources fill one destination, the first may give a machine too large for its
    part alone.
    """
    surplus = {name: actual[name] - targets.get(name, 0.0) for name in actual}
    sources = sorted((n for n in surplus if surplus[n] > 0), key=lambda n: (-surplus[n], n))
    destinations = sorted((n for n in surplus if surplus[n] < 0), key=lambda n: (surplus[n], n))
    deficit = {name: -surplus[name] for name in destinations}
    moves = []
    for source in sources:
        remaining = surplus[source]
        for destination in destinations:
            amount = min(remaining, deficit[destination])
            if amount <= MIN_MOVE_PROCESSORS:
                continue
            is_first = deficit[destination] == -surplus[destination]
            fillable = -surplus[destination] if is_first else amount
            moves.append(Move(source, destination, amount, surplus[source], fillable))
            remaining -= amount
            deficit[destination] -= amount
    return moves
