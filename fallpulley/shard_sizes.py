"""Pure functions for the number and sizes of shards, and shares of the change budget."""

from __future__ import annotations

import math

from fallpulley.settings import Facts

# Processor time of one heartbeat on a whole core, including its share of planning and of responses
# to users: measured on simulated controllers and rounded up.
HEARTBEAT_CPU_SECONDS = 0.0002
# Share of a controller's processor time that heartbeats may use. It is set high because a second
# shard costs more than an owner that responds late: with 632 machines and 9% of a core, the second
# shard changed owners whenever a controller came back, and was each time unreconciled for a
# response window and a lease.
HEARTBEAT_CPU_SHARE = 0.6
# Upper bound of the bytes that a machine adds to its shard's record, with a name and an address of
# usual length. Machines with similar names and addresses compress to a fifth of it.
FIRST_FORMAT_ENTRY_BYTES = 40
# The same in the compact format: measured 1 to 3 bytes; addresses that do not fit are left out.
COMPACT_ENTRY_BYTES = 8
# Share of the budget of changes to the state service that is split equally among controllers, for
# users' requests. The rest goes to owners, which write occupancy flags, progress and the ends of
# jobs.
EQUAL_CHANGE_SHARE = 0.5
# Share of the value limit beyond which a record counts as full. A further shard is created when all
# records are full.
FULL_RECORD_SHARE = 0.8
# The same for a record whose machines are in pages, which it lists. The rest is for pages that have
# to be split although no machine is added.
FULL_HEADER_SHARE = 0.7


def machines_per_shard(facts: Facts) -> int:
    """Return how many machines one owner can serve with its processor share and its sockets.

    All sockets count, although some are used for other connections: having machines reconnect now
    and then costs less than a second shard.
    """
    limits = facts.machine_limits
    by_processor = (
        limits.core_share * HEARTBEAT_CPU_SHARE * facts.workers.report_s / HEARTBEAT_CPU_SECONDS
    )
    return max(1, min(int(by_processor), limits.sockets))


def shards_needed(machines: int, controllers: int, machines_per_shard: int) -> int:
    """Return the fewest shards that can hold the machines, at most one for each controller.

    Every further shard can leave capacity idle in one shard while tasks wait in another.
    """
    return max(1, min(controllers, math.ceil(machines / machines_per_shard)))


def target_sizes(
    estimated_work: dict[str, float], machines: int, machines_per_shard: int
) -> dict[str, int]:
    """Return the number of machines for each shard, in proportion to its estimated work.

    A shard with any work gets at least one machine. None gets more than an owner can serve, unless
    there are more machines than all owners together can serve.
    """
    if not estimated_work:
        return {}
    max_size = max(machines_per_shard, math.ceil(machines / len(estimated_work)))
    shares = _proportional_shares(estimated_work, machines)
    sizes = {shard_id: min(max_size, int(share)) for shard_id, share in shares.items()}
    for shard_id, work in estimated_work.items():
        if work > 0:
            sizes[shard_id] = max(1, sizes[shard_id])
    _distribute_remainder(sizes, shares, machines, max_size)
    return sizes


def _proportional_shares(estimated_work: dict[str, float], machines: int) -> dict[str, float]:
    """Return the fractional number of machines for each shard, in the order of shard ids."""
    total = sum(estimated_work.values())
    shard_ids = sorted(estimated_work)
    if total <= 0:
        return {shard_id: machines / len(shard_ids) for shard_id in shard_ids}
    return {shard_id: machines * estimated_work[shard_id] / total for shard_id in shard_ids}


def _distribute_remainder(
    sizes: dict[str, int], shares: dict[str, float], machines: int, max_size: int
) -> None:
    """Add the machines left over from rounding down to `sizes`, largest fractions first."""
    remainder = machines - sum(sizes.values())
    by_fraction = sorted(
        shares, key=lambda shard_id: shares[shard_id] - int(shares[shard_id]), reverse=True
    )
    for shard_id in by_fraction:
        if remainder <= 0:
            break
        wanted = 1 if remainder < len(shares) else remainder
        added = max(0, min(remainder, max_size - sizes[shard_id], wanted))
        sizes[shard_id] += added
        remainder -= added


def change_budget_share(controller_id: str, owners: set[str], controllers: int) -> float:
    """Return a controller's share of the change budget, relative to an equal share.

    1 means an equal share. The shares of all controllers add up to their number.
    """
    if not owners:
        return 1.0
    extra = (
        (1.0 - EQUAL_CHANGE_SHARE) * controllers / len(owners) if controller_id in owners else 0.0
    )
    return EQUAL_CHANGE_SHARE + extra
