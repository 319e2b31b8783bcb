"""How a change of a block's machines is laid out in values: pure functions.

Up to some size a block's machines stand in its record. Beyond it they stand in parts: a change
then writes the record, whose stamp is the fencing token, and the parts that it touches.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from fallpulley.records.machine_encoding import MachineEntry, Machines, without_addresses
from fallpulley.records.registry import SHARD_PREFIX, page_key
from fallpulley.records.shard_record import MachinePage, ShardRecord, encode_page
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change

# A record with more machines is laid out in parts: every controller decodes all of a value at each
# of its changes, which takes 2 ms of a whole core for as many, and 20 ms on a tenth of one.
MAX_SINGLE_VALUE_MACHINES = 1024
# Machines in one part at the most.
MAX_PAGE_MACHINES = 512
# A block with no more machines than this has them in its record again.
MAX_MERGED_MACHINES = 256


class RecordLimits(msgspec.Struct, frozen=True):
    """What values may be."""

    compact: bool  # of format 2 at the least
    paged: bool  # of format 3
    value_bytes: int
    max_changes: int  # in one transaction, the record's own among them


class ShardChange(msgspec.Struct):
    """What is to become of a block's machines."""

    add: Machines = {}
    remove: list[str] = []
    occupancy: dict[str, bool] = {}
    # Learned from lists and reports: a successor fences the machines directly.
    addresses: Mapping[str, str] = {}


class RecordUpdate(msgspec.Struct):
    """The values to write, the record's own first, and which wishes they grant."""

    changes: list[Change]
    added: list[str]
    removed: list[str]
    changes_layout: bool = False  # no wish is granted, but the next change can grant some

    @property
    def size(self) -> int:
        """Bytes of all values."""
        return sum(len(change.value or b"") for change in self.changes)


def update_record(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    """Lay out as many of the wishes as one transaction holds; the rest is for a later one."""
    if record.pages:
        return _PagedUpdate(shard_id, record, mod_revision, change, limits).build()
    if limits.paged and len(record.machines) > MAX_SINGLE_VALUE_MACHINES:
        return _split_into_pages(shard_id, record, mod_revision, limits)
    return _update_single_value(shard_id, record, mod_revision, change, limits)


def _update_single_value(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    gone = set(change.remove)
    machines = {
        machine_id: entry for machine_id, entry in record.machines.items() if machine_id not in gone
    }
    added = list(change.add)
    if limits.paged:
        # One more than a whole record is to hold, and the next change lays it out in parts.
        del added[max(0, MAX_SINGLE_VALUE_MACHINES + 1 - len(machines)) :]
    machines.update((machine_id, change.add[machine_id]) for machine_id in added)
    update_entries(machines, change)
    value = _encode_single_value(record, machines, limits)
    if len(value) > limits.value_bytes and limits.paged and record.machines:
        return _split_into_pages(shard_id, record, mod_revision, limits)
    while len(value) > limits.value_bytes and added:
        # A record that no value holds could never be written again: what came last is left
        # to the next list, which grants it to a block with room.
        for machine_id in added[len(added) // 2 :]:
            machines.pop(machine_id, None)
        del added[len(added) // 2 :]
        value = _encode_single_value(record, machines, limits)
    return RecordUpdate([Change(SHARD_PREFIX + shard_id, value)], added, list(change.remove))


def _encode_single_value(record: ShardRecord, machines: Machines, limits: RecordLimits) -> bytes:
    """Addresses are left out for want of room only where parts cannot make it."""
    changed = ShardRecord(record.owner, record.incarnation, machines, record.previous_owners)
    value = changed.encode(
        limits.compact, MAX_TRANSACTION_BYTES if limits.paged else limits.value_bytes
    )
    if len(value) > limits.value_bytes and len(machines) == 1:
        value = changed.encode(limits.compact, limits.value_bytes)
    return value


def update_entries(machines: Machines, change: ShardChange) -> None:
    """Fill in addresses and marks."""
    for machine_id, entry in machines.items():
        used = change.occupancy.get(machine_id, entry.occupied)
        address = entry.address or change.addresses.get(machine_id, "")
        if used != entry.occupied or address != entry.address:
            machines[machine_id] = MachineEntry(
                address, entry.machine_type, entry.zone, entry.spot, used
            )


def _split_into_pages(
    shard_id: str, record: ShardRecord, mod_revision: int, limits: RecordLimits
) -> RecordUpdate:
    """The record's machines in parts, neighbours together; wishes wait for the next change."""
    machine_ids = sorted(record.machines)
    limit = max(1, limits.max_changes - 1)
    count = min(limit, max(2, -(-len(machine_ids) // MAX_PAGE_MACHINES)))
    pages = _pages_of(record, machine_ids, count, mod_revision)
    while count < limit and any(_too_large(page, limits) for page in pages.values()):
        count += 1
        pages = _pages_of(record, machine_ids, count, mod_revision)
    changes = [_header_change(shard_id, record, pages)]
    changes += [_page_change(shard_id, number, page, limits) for number, page in pages.items()]
    return RecordUpdate(changes, [], [], True)


def _pages_of(
    record: ShardRecord, machine_ids: list[str], count: int, mod_revision: int
) -> dict[int, MachinePage]:
    size = -(-len(machine_ids) // count)
    return {
        number: MachinePage(
            mod_revision,
            {machine_id: record.machines[machine_id] for machine_id in machine_ids[at : at + size]},
        )
        for number, at in enumerate(range(0, len(machine_ids), size))
    }


def _too_large(page: MachinePage, limits: RecordLimits) -> bool:
    return len(encode_page(page)) > limits.value_bytes


def _header_change(shard_id: str, record: ShardRecord, pages: dict[int, MachinePage]) -> Change:
    machines: Machines = {}
    header = ShardRecord(
        record.owner, record.incarnation, machines, record.previous_owners, True, pages
    )
    return Change(SHARD_PREFIX + shard_id, header.encode(True, 0))


def _page_change(shard_id: str, number: int, page: MachinePage, limits: RecordLimits) -> Change:
    """Addresses are left out only where the part could not be written with them."""
    value = encode_page(page)
    if len(value) > limits.value_bytes:
        value = encode_page(MachinePage(page.version, without_addresses(page.machines)))
    return Change(page_key(shard_id, number), value)


class _PagedUpdate:
    """A change of a block whose machines stand in parts."""

    def __init__(
        self,
        shard_id: str,
        record: ShardRecord,
        mod_revision: int,
        change: ShardChange,
        limits: RecordLimits,
    ) -> None:
        self.shard_id = shard_id
        self.record = record
        self.mod_revision = mod_revision
        self.change = change
        self.limits = limits
        self.rewritten: dict[int, Machines] = {}
        self.added: list[str] = []
        self.removed: list[str] = []

    def build(self) -> RecordUpdate:
        """Removals first: they make room in the parts that they touch."""
        if self._mergeable():
            return self._merge()
        for machine_id in self.change.remove:
            machines = self._rewrite(self._page_of(machine_id))
            if machines is not None:
                machines.pop(machine_id, None)
                self.removed.append(machine_id)
        for machine_id in self.change.occupancy:
            self._rewrite(self._page_of(machine_id))
        for machine_id in sorted(self.change.add):
            machines = self._rewrite(self._page_with_room())
            if machines is None:
                break
            machines[machine_id] = self.change.add[machine_id]
            self.added.append(machine_id)
        for machines in self.rewritten.values():
            update_entries(machines, self.change)
        self._split_oversized()
        return self._encode()

    def _page_of(self, machine_id: str) -> int | None:
        for number, page in self.record.pages.items():
            if machine_id in page.machines:
                return number
        return None

    def _rewrite(self, number: int | None) -> Machines | None:
        """The machines of a part that is to be written; None where no more can be."""
        if number is None:
            return None
        machines = self.rewritten.get(number)
        # One change is left for a part that has to be split.
        if machines is None and len(self.rewritten) + 1 < max(2, self.limits.max_changes - 1):
            page = self.record.pages.get(number)
            machines = self.rewritten[number] = dict(page.machines) if page is not None else {}
        return machines

    def _page_with_room(self) -> int:
        """One that is written anyway, else the fullest with room, else a new one."""
        for number, machines in self.rewritten.items():
            if len(machines) < MAX_PAGE_MACHINES:
                return number
        free = [
            (len(page.machines), number)
            for number, page in self.record.pages.items()
            if number not in self.rewritten and len(page.machines) < MAX_PAGE_MACHINES
        ]
        return max(free)[1] if free else self._new_page_number()

    def _new_page_number(self) -> int:
        number = 0
        while number in self.record.pages or number in self.rewritten:
            number += 1
        return number

    def _split_oversized(self) -> None:
        """A part that no value holds goes in two, or leaves what came last to a later change."""
        waiting = list(self.rewritten)
        while waiting:
            number = waiting.pop()
            machines = self.rewritten[number]
            if (
                not _too_large(MachinePage(self.mod_revision, machines), self.limits)
                or len(machines) < 2
            ):
                continue
            if len(self.rewritten) + 1 < self.limits.max_changes:
                upper = sorted(machines)[len(machines) // 2 :]
                new = self._new_page_number()
                self.rewritten[new] = {machine_id: machines.pop(machine_id) for machine_id in upper}
                waiting += [number, new]
            elif self._drop_added(machines):
                waiting.append(number)
            elif len(self.rewritten) > 1:
                self._keep_unchanged(number)

    def _drop_added(self, machines: Machines) -> bool:
        added = [machine_id for machine_id in self.added if machine_id in machines]
        dropped = set(added[len(added) // 2 :])
        for machine_id in dropped:
            del machines[machine_id]
        self.added = [machine_id for machine_id in self.added if machine_id not in dropped]
        return bool(dropped)

    def _keep_unchanged(self, number: int) -> None:
        """Leave a part as it is; a later change has room to split it."""
        del self.rewritten[number]
        page = self.record.pages.get(number)
        if page is not None:
            self.removed = [
                machine_id for machine_id in self.removed if machine_id not in page.machines
            ]

    def _encode(self) -> RecordUpdate:
        pages = dict(self.record.pages)
        changes = []
        for number, machines in self.rewritten.items():
            if machines:
                pages[number] = MachinePage(self.mod_revision, machines)
                changes.append(_page_change(self.shard_id, number, pages[number], self.limits))
            else:
                pages.pop(number, None)
                changes.append(Change(page_key(self.shard_id, number), None))
        return RecordUpdate(
            [_header_change(self.shard_id, self.record, pages), *changes], self.added, self.removed
        )

    def _mergeable(self) -> bool:
        few = len(self.record.machines) + len(self.change.add) <= MAX_MERGED_MACHINES
        if not few or len(self.record.pages) + 1 > self.limits.max_changes:
            return False
        value = _encode_single_value(self.record, self.record.machines, self.limits)
        return len(value) * 2 <= self.limits.value_bytes

    def _merge(self) -> RecordUpdate:
        """A fleet that has shrunk pays for one value a change again; wishes wait for the next."""
        value = _encode_single_value(self.record, self.record.machines, self.limits)
        changes = [Change(SHARD_PREFIX + self.shard_id, value)]
        changes += [Change(page_key(self.shard_id, number), None) for number in self.record.pages]
        return RecordUpdate(changes, [], [], True)
