"""Computation of the values to write for a change of a shard's machines, without side effects.

Up to `MAX_SINGLE_VALUE_MACHINES` machines, or as many as fit into one value, a shard's record holds
its machines. Larger shards store them in pages: a change then writes the record, whose revision is
the fencing token, and the pages whose machines change.
"""

from __future__ import annotations

from fallpulley.shared_records.keys import SHARD_PREFIX
from fallpulley.shared_records.layout import (
    MAX_SINGLE_VALUE_MACHINES,
    encode_single_value,
    split_into_pages,
)
from fallpulley.shared_records.paged_update import PagedUpdate
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import ShardRecord
from fallpulley.state.transactions import Change


def update_record(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    """Return the values for as much of a change as one transaction holds.

    The rest is left to a later update.
    """
    if record.pages:
        return PagedUpdate(shard_id, record, mod_revision, change, limits).build()
    if limits.paged and len(record.machines) > MAX_SINGLE_VALUE_MACHINES:
        return split_into_pages(shard_id, record, mod_revision, limits)
    return _update_single_value(shard_id, record, mod_revision, change, limits)


def _update_single_value(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    removed = set(change.remove)
    machines = {
        machine_id: entry
        for machine_id, entry in record.machines.items()
        if machine_id not in removed
    }
    added = list(change.add)
    if limits.paged:
        # Let the record grow to at most one machine above the limit of a single value. The next
        # update finds it above the limit and lays it out in pages.
        del added[max(0, MAX_SINGLE_VALUE_MACHINES + 1 - len(machines)) :]
    machines.update((machine_id, change.add[machine_id]) for machine_id in added)
    change.apply_to_entries(machines)
    value = encode_single_value(record, machines, limits)
    if len(value) > limits.max_value_bytes and limits.paged and record.machines:
        return split_into_pages(shard_id, record, mod_revision, limits)
    while len(value) > limits.max_value_bytes and added:
        # A record above the size of a value could not be written. The machines added last are left
        # out; the cloud's next list of machines adds them to a shard that has room.
        for machine_id in added[len(added) // 2 :]:
            machines.pop(machine_id, None)
        del added[len(added) // 2 :]
        value = encode_single_value(record, machines, limits)
    return RecordUpdate([Change(SHARD_PREFIX + shard_id, value)], added, list(change.remove))
