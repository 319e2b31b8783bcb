"""How a change of a block's machines is laid out in values: pure functions.

Up to some size a block's machines stand in its record. Beyond it they stand in parts: a change
then writes the record, whose stamp is the fencing token, and the parts that it touches.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from fallpulley.blocks.messages import BlockRecord, Part, encode_part
from fallpulley.blocks.packing import MachineEntry, Machines, without_addresses
from fallpulley.blocks.registry import BLOCKS, part_key
from fallpulley.state.client import TXN_BYTES, Change

# A record with more machines is laid out in parts: every controller decodes all of a value at each
# of its changes, which takes 2 ms of a whole core for as many, and 20 ms on a tenth of one.
WHOLE_MOST = 1024
# Machines in one part at the most.
PART_MOST = 512
# A block with no more machines than this has them in its record again.
MERGE_MOST = 256


class RecordLimits(msgspec.Struct, frozen=True):
    """What values may be."""

    newer: bool  # of format 2 at the least
    parts: bool  # of format 3
    value_bytes: int
    changes: int  # in one transaction, the record's own among them


class Wishes(msgspec.Struct):
    """What is to become of a block's machines."""

    add: Machines = {}
    remove: list[str] = []
    marks: dict[str, bool] = {}
    # Learned from lists and reports: a successor fences the machines directly.
    addresses: Mapping[str, str] = {}


class Edit(msgspec.Struct):
    """The values to write, the record's own first, and which wishes they grant."""

    changes: list[Change]
    added: list[str]
    removed: list[str]
    changes_layout: bool = False  # no wish is granted, but the next change can grant some

    @property
    def size(self) -> int:
        """Bytes of all values."""
        return sum(len(change.value or b"") for change in self.changes)


def edit_record(
    label: str, record: BlockRecord, stamp: int, wishes: Wishes, limits: RecordLimits
) -> Edit:
    """Lay out as many of the wishes as one transaction holds; the rest is for a later one."""
    if record.parts:
        return _PartsEdit(label, record, stamp, wishes, limits).edit()
    if limits.parts and len(record.machines) > WHOLE_MOST:
        return _split(label, record, stamp, limits)
    return _edit_whole(label, record, stamp, wishes, limits)


def _edit_whole(
    label: str, record: BlockRecord, stamp: int, wishes: Wishes, limits: RecordLimits
) -> Edit:
    gone = set(wishes.remove)
    machines = {
        machine_id: entry for machine_id, entry in record.machines.items() if machine_id not in gone
    }
    added = list(wishes.add)
    if limits.parts:
        # One more than a whole record is to hold, and the next change lays it out in parts.
        del added[max(0, WHOLE_MOST + 1 - len(machines)) :]
    machines.update((machine_id, wishes.add[machine_id]) for machine_id in added)
    update_entries(machines, wishes)
    value = _whole(record, machines, limits)
    if len(value) > limits.value_bytes and limits.parts and record.machines:
        return _split(label, record, stamp, limits)
    while len(value) > limits.value_bytes and added:
        # A record that no value holds could never be written again: what came last is left
        # to the next list, which grants it to a block with room.
        for machine_id in added[len(added) // 2 :]:
            machines.pop(machine_id, None)
        del added[len(added) // 2 :]
        value = _whole(record, machines, limits)
    return Edit([Change(BLOCKS + label, value)], added, list(wishes.remove))


def _whole(record: BlockRecord, machines: Machines, limits: RecordLimits) -> bytes:
    """Addresses are left out for want of room only where parts cannot make it."""
    changed = BlockRecord(record.holder, record.boot, machines, record.earlier)
    value = changed.encode(limits.newer, TXN_BYTES if limits.parts else limits.value_bytes)
    if len(value) > limits.value_bytes and len(machines) == 1:
        value = changed.encode(limits.newer, limits.value_bytes)
    return value


def update_entries(machines: Machines, wishes: Wishes) -> None:
    """Fill in addresses and marks."""
    for machine_id, entry in machines.items():
        used = wishes.marks.get(machine_id, entry.occupied)
        address = entry.address or wishes.addresses.get(machine_id, "")
        if used != entry.occupied or address != entry.address:
            machines[machine_id] = MachineEntry(
                address, entry.machine_type, entry.zone, entry.spot, used
            )


def _split(label: str, record: BlockRecord, stamp: int, limits: RecordLimits) -> Edit:
    """The record's machines in parts, neighbours together; wishes wait for the next change."""
    machine_ids = sorted(record.machines)
    most = max(1, limits.changes - 1)
    count = min(most, max(2, -(-len(machine_ids) // PART_MOST)))
    parts = _parts_of(record, machine_ids, count, stamp)
    while count < most and any(_too_large(part, limits) for part in parts.values()):
        count += 1
        parts = _parts_of(record, machine_ids, count, stamp)
    changes = [_head(label, record, parts)]
    changes += [_part(label, number, part, limits) for number, part in parts.items()]
    return Edit(changes, [], [], True)


def _parts_of(
    record: BlockRecord, machine_ids: list[str], count: int, stamp: int
) -> dict[int, Part]:
    size = -(-len(machine_ids) // count)
    return {
        number: Part(
            stamp,
            {machine_id: record.machines[machine_id] for machine_id in machine_ids[at : at + size]},
        )
        for number, at in enumerate(range(0, len(machine_ids), size))
    }


def _too_large(part: Part, limits: RecordLimits) -> bool:
    return len(encode_part(part)) > limits.value_bytes


def _head(label: str, record: BlockRecord, parts: dict[int, Part]) -> Change:
    machines: Machines = {}
    head = BlockRecord(record.holder, record.boot, machines, record.earlier, True, parts)
    return Change(BLOCKS + label, head.encode(True, 0))


def _part(label: str, number: int, part: Part, limits: RecordLimits) -> Change:
    """Addresses are left out only where the part could not be written with them."""
    value = encode_part(part)
    if len(value) > limits.value_bytes:
        value = encode_part(Part(part.version, without_addresses(part.machines)))
    return Change(part_key(label, number), value)


class _PartsEdit:
    """A change of a block whose machines stand in parts."""

    def __init__(
        self, label: str, record: BlockRecord, stamp: int, wishes: Wishes, limits: RecordLimits
    ) -> None:
        self.label = label
        self.record = record
        self.stamp = stamp
        self.wishes = wishes
        self.limits = limits
        self.touched: dict[int, Machines] = {}
        self.added: list[str] = []
        self.removed: list[str] = []

    def edit(self) -> Edit:
        """Removals first: they make room in the parts that they touch."""
        if self._mergeable():
            return self._merge()
        for machine_id in self.wishes.remove:
            machines = self._touch(self._part_of(machine_id))
            if machines is not None:
                machines.pop(machine_id, None)
                self.removed.append(machine_id)
        for machine_id in self.wishes.marks:
            self._touch(self._part_of(machine_id))
        for machine_id in sorted(self.wishes.add):
            machines = self._touch(self._part_with_room())
            if machines is None:
                break
            machines[machine_id] = self.wishes.add[machine_id]
            self.added.append(machine_id)
        for machines in self.touched.values():
            update_entries(machines, self.wishes)
        self._split_large()
        return self._encode()

    def _part_of(self, machine_id: str) -> int | None:
        for number, part in self.record.parts.items():
            if machine_id in part.machines:
                return number
        return None

    def _touch(self, number: int | None) -> Machines | None:
        """The machines of a part that is to be written; None where no more can be."""
        if number is None:
            return None
        machines = self.touched.get(number)
        # One change is left for a part that has to be split.
        if machines is None and len(self.touched) + 1 < max(2, self.limits.changes - 1):
            part = self.record.parts.get(number)
            machines = self.touched[number] = dict(part.machines) if part is not None else {}
        return machines

    def _part_with_room(self) -> int:
        """One that is written anyway, else the fullest with room, else a new one."""
        for number, machines in self.touched.items():
            if len(machines) < PART_MOST:
                return number
        free = [
            (len(part.machines), number)
            for number, part in self.record.parts.items()
            if number not in self.touched and len(part.machines) < PART_MOST
        ]
        return max(free)[1] if free else self._new_number()

    def _new_number(self) -> int:
        number = 0
        while number in self.record.parts or number in self.touched:
            number += 1
        return number

    def _split_large(self) -> None:
        """A part that no value holds goes in two, or leaves what came last to a later change."""
        waiting = list(self.touched)
        while waiting:
            number = waiting.pop()
            machines = self.touched[number]
            if not _too_large(Part(self.stamp, machines), self.limits) or len(machines) < 2:
                continue
            if len(self.touched) + 1 < self.limits.changes:
                upper = sorted(machines)[len(machines) // 2 :]
                new = self._new_number()
                self.touched[new] = {machine_id: machines.pop(machine_id) for machine_id in upper}
                waiting += [number, new]
            elif self._drop_added(machines):
                waiting.append(number)
            elif len(self.touched) > 1:
                self._leave(number)

    def _drop_added(self, machines: Machines) -> bool:
        added = [machine_id for machine_id in self.added if machine_id in machines]
        dropped = set(added[len(added) // 2 :])
        for machine_id in dropped:
            del machines[machine_id]
        self.added = [machine_id for machine_id in self.added if machine_id not in dropped]
        return bool(dropped)

    def _leave(self, number: int) -> None:
        """Leave a part as it is; a later change has room to split it."""
        del self.touched[number]
        part = self.record.parts.get(number)
        if part is not None:
            self.removed = [
                machine_id for machine_id in self.removed if machine_id not in part.machines
            ]

    def _encode(self) -> Edit:
        parts = dict(self.record.parts)
        changes = []
        for number, machines in self.touched.items():
            if machines:
                parts[number] = Part(self.stamp, machines)
                changes.append(_part(self.label, number, parts[number], self.limits))
            else:
                parts.pop(number, None)
                changes.append(Change(part_key(self.label, number), None))
        return Edit([_head(self.label, self.record, parts), *changes], self.added, self.removed)

    def _mergeable(self) -> bool:
        few = len(self.record.machines) + len(self.wishes.add) <= MERGE_MOST
        if not few or len(self.record.parts) + 1 > self.limits.changes:
            return False
        value = _whole(self.record, self.record.machines, self.limits)
        return len(value) * 2 <= self.limits.value_bytes

    def _merge(self) -> Edit:
        """A fleet that has shrunk pays for one value a change again; wishes wait for the next."""
        value = _whole(self.record, self.record.machines, self.limits)
        changes = [Change(BLOCKS + self.label, value)]
        changes += [Change(part_key(self.label, number), None) for number in self.record.parts]
        return Edit(changes, [], [], True)
