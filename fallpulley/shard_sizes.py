"""How many shards there are and how large each should be: pure arithmetic for the leader."""

from __future__ import annotations

import math

from fallpulley.settings import Facts

# Processor time of one heartbeat on a whole core, with its share of planning and of answers to
# users: measured on the simulated controllers, rounded up.
HEARTBEAT_CPU_SECONDS = 0.0002
# Of a controller's share of a core, what heartbeats may take. A second shard costs more than an
# owner that is late: at 9% of a core and 632 machines it changed owners with every controller
# that came back, each time unreconciled for a window and a lease.
HEARTBEAT_CPU_SHARE = 0.6
# Bytes that a machine adds to its shard's record at the most, with a name and an address of the
# usual length; compressed, neighbours take a fifth of it.
FIRST_FORMAT_ENTRY_BYTES = 40
# The same in the compact format: measured 1 to 3, and addresses that do not fit are left out.
COMPACT_ENTRY_BYTES = 8
# Of the budget of changes to the state service, the share that is split equally among controllers
# for what users ask; the rest belongs to owners, who write occupancy flags, progress and ends of
# jobs.
EQUAL_CHANGE_SHARE = 0.5
# With all records filled beyond this share a further shard is opened, whoever owns it.
FULL_RECORD_SHARE = 0.8


def machines_per_shard(facts: Facts) -> int:
    """How many machines one owner serves within its processor share and its limit of sockets.

    As many machines as sockets: a few connections made anew cost less than a second shard.
    """
    limits = facts.machine_limits
    by_processor = (
        limits.core_share * HEARTBEAT_CPU_SHARE * facts.workers.report_s / HEARTBEAT_CPU_SECONDS
    )
    return max(1, min(int(by_processor), limits.sockets))


def shards_needed(machines: int, controllers: int, machines_per_shard: int) -> int:
    """As few shards as carry the machines, and no more than there are controllers.

    Each split leaves room idle in one shard while tasks wait in another.
    """
    return max(1, min(controllers, math.ceil(machines / machines_per_shard)))


def target_sizes(
    estimated_work: dict[str, float], machines: int, machines_per_shard: int
) -> dict[str, int]:
    """Machines for each shard, by its share of the estimated work.

    A shard with any work gets one machine at the least, and none gets more than an owner serves
    unless all are full.
    """
    if not estimated_work:
        return {}
    max_size = max(machines_per_shard, math.ceil(machines / len(estimated_work)))
    shares = _proportional_shares(estimated_work, machines)
    sizes = {shard_id: min(max_size, int(share)) for shard_id, share in shares.items()}
    for shard_id in sizes:
        if estimated_work[shard_id] > 0 and sizes[shard_id] == 0:
            sizes[shard_id] = 1
    _distribute_remainder(sizes, shares, machines, max_size)
    return sizes


def _proportional_shares(estimated_work: dict[str, float], machines: int) -> dict[str, float]:
    """Machines for each shard as fractions, in the order of the shards' ids."""
    total = sum(estimated_work.values())
    shard_ids = sorted(estimated_work)
    if total <= 0:
        return {shard_id: machines / len(shard_ids) for shard_id in shard_ids}
    return {shard_id: machines * estimated_work[shard_id] / total for shard_id in shard_ids}


def _distribute_remainder(
    sizes: dict[str, int], shares: dict[str, float], machines: int, max_size: int
) -> None:
    """Add the machines that rounding left over, to the largest fractions first."""
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


def change_share(controller_id: str, owners: set[str], controllers: int) -> float:
    """A controller's part of the budget of changes, 1 where all get the same.

    The parts of all controllers add up to their number.
    """
    if not owners:
        return 1.0
    extra = (
        (1.0 - EQUAL_CHANGE_SHARE) * controllers / len(owners) if controller_id in owners else 0.0
    )
    return EQUAL_CHANGE_SHARE + extra
