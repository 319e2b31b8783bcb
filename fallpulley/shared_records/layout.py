"""Layout of a shard's record: a single value, or a header and pages of machines."""

from __future__ import annotations

import msgspec

from fallpulley.shard_sizes import FULL_HEADER_SHARE
from fallpulley.shared_records.keys import SHARD_PREFIX, page_key
from fallpulley.shared_records.machine_encoding import Machines
from fallpulley.shared_records.page_encoding import EncodedPage
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import MachinePage, ShardRecord
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change

# Maximum number of machines in a single value; more are laid out in pages. Every controller
# decodes a whole value at each of its changes, which takes 2 ms of a whole core for this many
# machines, and 20 ms on a tenth of a core.
MAX_SINGLE_VALUE_MACHINES = 1024
# Maximum number of machines in one page.
MAX_PAGE_MACHINES = 512
# Maximum number of machines of a shard whose pages are merged into a single value again.
MAX_MERGED_MACHINES = 256
# How much of a value a header may fill when pages are split. The rest is for previous owners.
MAX_HEADER_SHARE = 0.95
# Pages are split only as long as the header would still have room if all revisions, which are the
# versions of its pages, were this many times larger.
REVISION_GROWTH = 10


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


class HeaderRoom:
    """The room that the header of a record has for further pages."""

    def __init__(self, record: ShardRecord, mod_revision: int, limits: RecordLimits) -> None:
        largest_revision = REVISION_GROWTH * mod_revision
        largest_pages = {number: MachinePage(largest_revision, {}) for number in record.pages}
        largest_number = max(record.pages, default=0) + limits.max_changes
        largest_entry = msgspec.json.encode((largest_number, largest_revision))
        self.max_bytes = _header_size(record, largest_pages)
        self._entry_bytes = len(largest_entry) + len(",")
        self._bytes = _header_size(record, record.pages)
        self._max_value_bytes = limits.max_value_bytes

    def for_split_pages(self) -> int:
        """Return how many pages may be split from others."""
        free_bytes = int(MAX_HEADER_SHARE * self._max_value_bytes) - self.max_bytes
        return max(0, free_bytes // self._entry_bytes)

    def for_growth(self) -> int:
        """Return how many pages may be added for further machines or addresses.

        The last of them makes the record one that counts as full, so that further machines get a
        further shard.
        """
        free_bytes = int(FULL_HEADER_SHARE * self._max_value_bytes) - self._bytes
        return min(self.for_split_pages(), max(0, free_bytes // self._entry_bytes + 1))


def _header_size(record: ShardRecord, pages: dict[int, MachinePage]) -> int:
    return len(header_change("", record, pages).value or b"")


def split_into_pages(
    shard_id: str, record: ShardRecord, mod_revision: int, limits: RecordLimits
) -> RecordUpdate:
    """Return an update that lays out the record's machines in pages, in order of their ids.

    Requested changes are left to the next update. There are as many pages as needed for values
    with addresses; where a transaction cannot write that many, addresses are left out.
    """
    max_pages = max(1, limits.max_changes - 1)
    count = min(max_pages, max(2, -(-len(record.machines) // MAX_PAGE_MACHINES)))
    pages = _encode_in_order(record, count, mod_revision)
    while count < max_pages and any(is_too_large(page, limits) for page in pages):
        count += 1
        pages = _encode_in_order(record, count, mod_revision)
    pages = [page.without_addresses() if is_too_large(page, limits) else page for page in pages]
    header = header_change(
        shard_id, record, {number: encoded.page for number, encoded in enumerate(pages)}
    )
    changes = [
        Change(page_key(shard_id, number), encoded.value) for number, encoded in enumerate(pages)
    ]
    return RecordUpdate(
        [header, *changes],
        [],
        [],
        only_changes_layout=True,
        is_blocked=any(is_too_large(page, limits) for page in pages),
    )


def is_too_large(page: EncodedPage, limits: RecordLimits) -> bool:
    """Return whether the page exceeds the size of a value."""
    return len(page.value) > limits.max_value_bytes


def _encode_in_order(record: ShardRecord, count: int, mod_revision: int) -> list[EncodedPage]:
    """Return at most `count` pages, in order of ids; all but the last have the same size."""
    machine_ids = sorted(record.machines)
    size = -(-len(machine_ids) // count)
    chunks = [machine_ids[start : start + size] for start in range(0, len(machine_ids), size)]
    return [
        EncodedPage.of(
            mod_revision, {machine_id: record.machines[machine_id] for machine_id in chunk}
        )
        for chunk in chunks
    ]


def merge_pages(shard_id: str, record: ShardRecord, limits: RecordLimits) -> RecordUpdate:
    """Return an update that writes all machines into the record again and deletes the pages.

    After it, a shard that has shrunk needs only one value per change again. Requested changes are
    left to the next update.
    """
    value = encode_single_value(record, record.machines, limits)
    changes = [Change(SHARD_PREFIX + shard_id, value)]
    changes += [Change(page_key(shard_id, number), None) for number in record.pages]
    return RecordUpdate(changes, [], [], True)


def can_merge_pages(record: ShardRecord, change: ShardChange, limits: RecordLimits) -> bool:
    """Return whether the machines of all pages are to be merged into a single value.

    They are if they are few enough, fill at most half of a value, before the requested change and
    after it, and if one transaction can delete all pages. A record that outgrows its value with
    the next update would be split again, and merged again, for ever.
    """
    if len(record.machines.keys() | change.add.keys()) > MAX_MERGED_MACHINES:
        return False
    if len(record.pages) + 1 > limits.max_changes:
        return False
    removed = set(change.remove)
    changed = {
        machine_id: entry
        for machine_id, entry in (change.add | record.machines).items()
        if machine_id not in removed
    }
    change.apply_to_entries(changed)
    return all(
        2 * len(encode_single_value(record, machines, limits)) <= limits.max_value_bytes
        for machines in (record.machines, changed)
    )
