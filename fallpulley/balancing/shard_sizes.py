"""How many blocks are open and how large each should be: pure arithmetic for the leader."""

from __future__ import annotations

import math

from fallpulley.settings import Facts

# Processor time of one check-in on a whole core, with its share of planning and of answers to
# users: measured on the simulated controllers, rounded up.
HEARTBEAT_CPU_SECONDS = 0.0002
# Of a controller's share of a core, what check-ins may take. A second block costs more than a
# holder that is late: at 9% of a core and 632 machines it changed hands with every controller
# that came back, each time in doubt for a window and a lease.
HEARTBEAT_CPU_SHARE = 0.6
# Bytes that a machine adds to its block's record at the most, with a name and an address of the
# usual length; packed, neighbours take a fifth of it.
FIRST_FORMAT_ENTRY_BYTES = 40
# The same in the newer format: measured 1 to 3, and addresses that do not fit are left out.
COMPACT_ENTRY_BYTES = 8
# Of the budget of changes to the state service, the share that is split equally among controllers
# for what users ask; the rest belongs to holders, who write marks, progress and ends of jobs.
EQUAL_CHANGE_SHARE = 0.5
# With all records filled beyond this share a further block is opened, whoever holds it.
FULL_RECORD_SHARE = 0.8


def machines_per_shard(facts: Facts) -> int:
    """What one holder serves within its processor share, and with as many machines as sockets: a
    few connections made anew cost less than a second block."""
    limits = facts.machine_limits
    busy = limits.core_share * HEARTBEAT_CPU_SHARE * facts.workers.report_s / HEARTBEAT_CPU_SECONDS
    return max(1, min(int(busy), limits.sockets))


def shards_needed(machines: int, controllers: int, machines_per_shard: int) -> int:
    """As few blocks as carry the machines: each split leaves room idle in one block while
    tasks wait in another."""
    return max(1, min(controllers, math.ceil(machines / machines_per_shard)))


def target_sizes(work: dict[str, float], machines: int, machines_per_shard: int) -> dict[str, int]:
    """Machines for each open block, by its share of the estimated work; one at the least while
    it has any, and no more than a holder serves unless all are full."""
    if not work:
        return {}
    total = sum(work.values())
    shard_ids = sorted(work)
    if total <= 0:
        shares = {shard_id: machines / len(shard_ids) for shard_id in shard_ids}
    else:
        shares = {shard_id: machines * work[shard_id] / total for shard_id in shard_ids}
    most = max(machines_per_shard, math.ceil(machines / len(shard_ids)))
    sizes = {shard_id: min(most, int(shares[shard_id])) for shard_id in shard_ids}
    for shard_id in shard_ids:
        if work[shard_id] > 0 and sizes[shard_id] == 0:
            sizes[shard_id] = 1
    rest = machines - sum(sizes.values())
    for shard_id in sorted(
        shard_ids, key=lambda name: shares[name] - int(shares[name]), reverse=True
    ):
        if rest <= 0:
            break
        add = min(rest, most - sizes[shard_id], 1 if rest < len(shard_ids) else rest)
        sizes[shard_id] += max(0, add)
        rest -= max(0, add)
    return sizes


def change_share(shard_id: str, owners: set[str], nodes: int) -> float:
    """A controller's part of the budget of changes, 1 where all take the same. The parts of
    `nodes` controllers add up to `nodes`."""
    if not owners:
        return 1.0
    extra = (1.0 - EQUAL_CHANGE_SHARE) * nodes / len(owners) if shard_id in owners else 0.0
    return EQUAL_CHANGE_SHARE + extra
