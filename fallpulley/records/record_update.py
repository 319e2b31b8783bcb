"""How a change of a shard's machines is laid out in values: pure functions.

Up to some size a shard's machines stand in its record. Beyond it they stand in pages: a change
then writes the record, whose revision is the fencing token, and the pages that it touches.
"""

from __future__ import annotations

from fallpulley.records.keys import SHARD_PREFIX
from fallpulley.records.layout import (
    MAX_SINGLE_VALUE_MACHINES,
    encode_single_value,
    split_into_pages,
)
from fallpulley.records.paged_update import PagedUpdate
from fallpulley.records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.records.shard_record import ShardRecord
from fallpulley.state.transactions import Change


def update_record(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    """Lay out as much of a change as one transaction holds; the rest is for a later one."""
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
        # One more than a single value is to hold, and the next update lays it out in pages.
        del added[max(0, MAX_SINGLE_VALUE_MACHINES + 1 - len(machines)) :]
    machines.update((machine_id, change.add[machine_id]) for machine_id in added)
    change.apply_to_entries(machines)
    value = encode_single_value(record, machines, limits)
    if len(value) > limits.value_bytes and limits.paged and record.machines:
        return split_into_pages(shard_id, record, mod_revision, limits)
    while len(value) > limits.value_bytes and added:
        # A record that no value holds could never be written again: the machines added last are
        # left to the next list, which grants them to a shard with room.
        for machine_id in added[len(added) // 2 :]:
            machines.pop(machine_id, None)
        del added[len(added) // 2 :]
        value = encode_single_value(record, machines, limits)
    return RecordUpdate([Change(SHARD_PREFIX + shard_id, value)], added, list(change.remove))
