"""How many blocks are open and how large each should be: pure arithmetic for the leader."""

from __future__ import annotations

import math

from fallpulley.settings import Facts

# Processor time of one check-in on a whole core, with its share of planning and of answers to
# users: measured on the simulated controllers, rounded up.
CHECKIN_S = 0.0002
# Of a controller's share of a core, what check-ins may take. A second block costs more than a
# holder that is late: at 9% of a core and 632 machines it changed hands with every controller
# that came back, each time in doubt for a window and a lease.
CHECKIN_SHARE = 0.6
# Bytes that a machine adds to its block's record at the most, with a name and an address of the
# usual length; packed, neighbours take a fifth of it.
ENTRY_BYTES = 40
# The same in the newer format: measured 1 to 3, and addresses that do not fit are left out.
ENTRY_BYTES_NEWER = 8
# Of the budget of changes to the state service, the share that is split equally among controllers
# for what users ask; the rest belongs to holders, who write marks, progress and ends of jobs.
EQUAL_WRITES = 0.5
# With all records filled beyond this share a further block is opened, whoever holds it.
FULL_RECORDS = 0.8


def machines_per_block(facts: Facts) -> int:
    """What one holder serves within its processor share, and with as many machines as sockets: a
    few connections made anew cost less than a second block."""
    limits = facts.machine_limits
    busy = limits.core_share * CHECKIN_SHARE * facts.workers.report_s / CHECKIN_S
    return max(1, min(int(busy), limits.sockets))


def blocks_wanted(machines: int, controllers: int, per_block: int) -> int:
    """As few blocks as carry the machines: each split leaves room idle in one block while
    tasks wait in another."""
    return max(1, min(controllers, math.ceil(machines / per_block)))


def target_sizes(work: dict[str, float], machines: int, per_block: int) -> dict[str, int]:
    """Machines for each open block, by its share of the estimated work; one at the least while
    it has any, and no more than a holder serves unless all are full."""
    if not work:
        return {}
    total = sum(work.values())
    labels = sorted(work)
    if total <= 0:
        shares = {label: machines / len(labels) for label in labels}
    else:
        shares = {label: machines * work[label] / total for label in labels}
    most = max(per_block, math.ceil(machines / len(labels)))
    sizes = {label: min(most, int(shares[label])) for label in labels}
    for label in labels:
        if work[label] > 0 and sizes[label] == 0:
            sizes[label] = 1
    rest = machines - sum(sizes.values())
    for label in sorted(labels, key=lambda name: shares[name] - int(shares[name]), reverse=True):
        if rest <= 0:
            break
        add = min(rest, most - sizes[label], 1 if rest < len(labels) else rest)
        sizes[label] += max(0, add)
        rest -= max(0, add)
    return sizes


def write_share(label: str, holders: set[str], nodes: int) -> float:
    """A controller's part of the budget of changes, 1 where all take the same. The parts of
    `nodes` controllers add up to `nodes`."""
    if not holders:
        return 1.0
    extra = (1.0 - EQUAL_WRITES) * nodes / len(holders) if label in holders else 0.0
    return EQUAL_WRITES + extra
