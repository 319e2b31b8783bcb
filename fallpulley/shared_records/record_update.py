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
from fallpulley.shared_records.machine_encoding import Machines
from fallpulley.shared_records.paged_update import update_pages
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
        return update_pages(shard_id, record, mod_revision, change, limits)
    if limits.paged and len(record.machines) > MAX_SINGLE_VALUE_MACHINES:
        return split_into_pages(shard_id, record, mod_revision, limits)
    return _update_single_value(shard_id, record, mod_revision, change, limits)


def _update_single_value(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    removed = [machine_id for machine_id in change.remove if machine_id in record.machines]
    kept = dict(record.machines)
    for machine_id in removed:
        kept.pop(machine_id, None)
    # A machine that the record has already keeps its entry, which may flag it as occupied.
    present = [machine_id for machine_id in change.add if machine_id in kept]
    absent = [machine_id for machine_id in change.add if machine_id not in kept]
    added = absent
    if limits.paged:
        # Let the record grow to at most one machine above the limit of a single value. The next
        # update finds it above the limit and lays it out in pages.
        added = absent[: max(0, MAX_SINGLE_VALUE_MACHINES + 1 - len(kept))]
    value = _encode_changed(record, kept, added, change, limits)
    if len(value) > limits.max_value_bytes and limits.paged and record.machines:
        return split_into_pages(shard_id, record, mod_revision, limits)
    while len(value) > limits.max_value_bytes and added:
        # A record above the size of a value could not be written: the last machines are left out.
        added = added[: len(added) // 2]
        value = _encode_changed(record, kept, added, change, limits)
    return RecordUpdate(
        [Change(SHARD_PREFIX + shard_id, value)],
        present + added,
        removed,
        refused=_refused(absent, added, limits),
    )


def _encode_changed(
    record: ShardRecord,
    kept: Machines,
    added: list[str],
    change: ShardChange,
    limits: RecordLimits,
) -> bytes:
    machines = kept | {machine_id: change.add[machine_id] for machine_id in added}
    change.apply_to_entries(machines)
    return encode_single_value(record, machines, limits)


def _refused(absent: list[str], added: list[str], limits: RecordLimits) -> list[str]:
    """Return the machines that a record which is one value has no room for.

    Where it can be laid out in pages, that is only one which no value can hold.
    """
    if not limits.paged:
        return absent[len(added) :]
    return [] if added else absent[:1]
