"""Layout of a shard's record: a single value, or a header and pages of machines."""

from __future__ import annotations

from fallpulley.shared_records.keys import SHARD_PREFIX, page_key
from fallpulley.shared_records.machine_encoding import Machines, without_addresses
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate
from fallpulley.shared_records.shard_record import MachinePage, ShardRecord, encode_page
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change

# Maximum number of machines in a single value; more are laid out in pages. Every controller
# decodes a whole value at each of its changes, which takes 2 ms of a whole core for this many
# machines, and 20 ms on a tenth of a core.
MAX_SINGLE_VALUE_MACHINES = 1024
# Maximum number of machines in one page.
MAX_PAGE_MACHINES = 512
# Maximum number of machines of a shard whose pages are merged into a single value again.
MAX_MERGED_MACHINES = 256


def encode_single_value(record: ShardRecord, machines: Machines, limits: RecordLimits) -> bytes:
    """Return the record with these machines as one value; it may exceed `limits.max_value_bytes`.

    Where the machines can be laid out in pages instead, addresses are left out only if the value
    would exceed a whole transaction, or if it is too large with a single machine. In the compact
    format, which has no pages, they are left out if the value would exceed its limit. The first
    format always keeps them.
    """
    changed = ShardRecord(record.owner, record.incarnation, machines, record.previous_owners)
    max_bytes = MAX_TRANSACTION_BYTES if limits.paged else limits.max_value_bytes
    value = changed.encode(limits.compact, max_bytes)
    if len(value) > limits.max_value_bytes and len(machines) == 1:
        value = changed.encode(limits.compact, limits.max_value_bytes)
    return value


def header_change(shard_id: str, record: ShardRecord, pages: dict[int, MachinePage]) -> Change:
    """Return the change that writes the record as a header that lists these pages."""
    header = ShardRecord(record.owner, record.incarnation, {}, record.previous_owners, True, pages)
    return Change(SHARD_PREFIX + shard_id, header.encode(True, 0))


def page_change(shard_id: str, number: int, page: MachinePage, limits: RecordLimits) -> Change:
    """Return the change that writes a page, without addresses if they make it too large."""
    value = encode_page(page)
    if len(value) > limits.max_value_bytes:
        value = encode_page(MachinePage(page.version, without_addresses(page.machines)))
    return Change(page_key(shard_id, number), value)


def is_too_large(page: MachinePage, limits: RecordLimits) -> bool:
    """Return whether the page with its addresses exceeds the size of a value."""
    return len(encode_page(page)) > limits.max_value_bytes


def split_into_pages(
    shard_id: str, record: ShardRecord, mod_revision: int, limits: RecordLimits
) -> RecordUpdate:
    """Return an update that lays out the record's machines in pages, in order of their ids.

    Requested changes are left to the next update.
    """
    machine_ids = sorted(record.machines)
    max_pages = max(1, limits.max_changes - 1)
    count = min(max_pages, max(2, -(-len(machine_ids) // MAX_PAGE_MACHINES)))
    pages = _pages_of(record, machine_ids, count, mod_revision)
    while count < max_pages and any(is_too_large(page, limits) for page in pages.values()):
        count += 1
        pages = _pages_of(record, machine_ids, count, mod_revision)
    changes = [header_change(shard_id, record, pages)]
    changes += [page_change(shard_id, number, page, limits) for number, page in pages.items()]
    return RecordUpdate(changes, [], [], True)


def _pages_of(
    record: ShardRecord, machine_ids: list[str], count: int, mod_revision: int
) -> dict[int, MachinePage]:
    """Return at most `count` pages, by number; all but the last have the same size."""
    size = -(-len(machine_ids) // count)
    return {
        number: MachinePage(
            mod_revision,
            {
                machine_id: record.machines[machine_id]
                for machine_id in machine_ids[start : start + size]
            },
        )
        for number, start in enumerate(range(0, len(machine_ids), size))
    }


def merge_pages(shard_id: str, record: ShardRecord, limits: RecordLimits) -> RecordUpdate:
    """Return an update that writes all machines into the record again and deletes the pages.

    After it, a shard that has shrunk needs only one value per change again. Requested changes are
    left to the next update.
    """
    value = encode_single_value(record, record.machines, limits)
    changes = [Change(SHARD_PREFIX + shard_id, value)]
    changes += [Change(page_key(shard_id, number), None) for number in record.pages]
    return RecordUpdate(changes, [], [], True)


def can_merge_pages(record: ShardRecord, add: Machines, limits: RecordLimits) -> bool:
    """Return whether the machines of all pages are to be merged into a single value.

    They are if they are few enough together with the machines to add, if all of these fill at most
    half of a value, and if one transaction can delete all pages. Without the machines to add, the
    record would be merged, outgrow its value with them, and be split again, for ever.
    """
    machines = record.machines | add
    if len(machines) > MAX_MERGED_MACHINES or len(record.pages) + 1 > limits.max_changes:
        return False
    return len(encode_single_value(record, machines, limits)) * 2 <= limits.max_value_bytes
