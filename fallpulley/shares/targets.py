"""Computes the target size of each shard and the moves that lead there, by pure functions."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from fallpulley.shares.messages import Share

# Number of steps in the bisection of the level, enough to reach the precision of a float.
BISECTION_STEPS = 60
# Numbers of processors up to which a remainder or a move is taken for a rounding error.
MIN_REMAINDER_PROCESSORS = 1e-6
MIN_MOVE_PROCESSORS = 1e-9


def target_processors(shares: Mapping[str, Share], fleet: float) -> dict[str, float]:
    """Divide the processors of the fleet by weight, within floors and ceilings.

    The targets add up to `fleet`. If the floors exceed the fleet, all are scaled down by the same
    factor. Processors beyond the sum of all ceilings are divided by weight nevertheless, since
    every machine has to be in some shard.

    Args:
        shares: The shares by controller id.
        fleet: Number of processors in the whole fleet.

    Returns:
        The target sizes in processors by controller id; all 0 if the weights or the fleet are 0.
    """
    total_weight = sum(share.weight for share in shares.values())
    if total_weight <= 0 or fleet <= 0:
        return dict.fromkeys(shares, 0.0)
    targets = _bisect_level(shares, fleet)
    remainder = fleet - sum(targets.values())
    if remainder > MIN_REMAINDER_PROCESSORS:
        for controller_id, share in shares.items():
            targets[controller_id] += remainder * share.weight / total_weight
    return targets


def _bisect_level(shares: Mapping[str, Share], fleet: float) -> dict[str, float]:
    """Find the level, in processors per unit of weight, at which the targets add up to the fleet.

    Returns the targets at that level, by controller id. They add up to less if the ceilings do.
    """
    floors = sum(share.floor for share in shares.values())
    floor_factor = min(1.0, fleet / floors) if floors > 0 else 1.0
    bounds = {
        controller_id: (share.floor * floor_factor, share.ceiling or math.inf)
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
    """A number of processors that is to move from one shard to another."""

    source: str
    destination: str
    processors: float
    surplus: float  # number of processors that the source has above its target
    # Number of processors that the destination lacks and that this source may provide.
    deficit: float

    def improves(self, cpus: float) -> bool:
        """Return whether moving a machine of `cpus` processors reduces the distance to the targets.

        This is the sum of both shards' distances. Since each move reduces it, shards do not pass
        machines back and forth.
        """
        return cpus < self.surplus + self.deficit


def plan_moves(actual: Mapping[str, float], targets: Mapping[str, float]) -> list[Move]:
    """Pair shards above their targets with shards below.

    The result is the same on every controller that has the same records. If several sources
    provide for one destination, only the first gets the destination's whole deficit in its move,
    and so may give a machine larger than its own amount; the others must not fill the same gap.

    Args:
        actual: The present size of each shard, in processors.
        targets: The target size of each shard, in processors; 0 for shards that are missing.
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
