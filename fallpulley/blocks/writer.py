"""Changes of block records: machines granted, machines given up. One write a block at a time."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.blocks.layout import Edit, RecordLimits, Wishes, edit_record
from fallpulley.blocks.messages import BlockRecord, MachineEntry, Machines, Retired
from fallpulley.blocks.registry import BLOCKS, RETIRED, Registry
from fallpulley.blocks.shares import ENTRY_BYTES, ENTRY_BYTES_NEWER, FULL_RECORDS
from fallpulley.core import Core
from fallpulley.state.client import TXN_BYTES, Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)


# Machines in one record of those to be released, if their names leave it below a quarter of a
# value; a release takes a hundred.
RETIRED_MOST = 40
RETIRED_SHARE = 0.25
# Beside a block's own values: the record of machines to be released.
BESIDES_CHANGES = 1
# A record and one part of it: what the smallest transaction holds twice.
LEAST_CHANGES = 2
# Of a report interval, the least time between two writes of a block's record.
WRITE_REPORTS = 0.1


class BlockWriter:
    """Collects changes and repeats them, each on the newest stamp, until the record shows them.

    A write whose answer was lost may still be applied late. It is conditioned on the stamp it
    was decided on, and the wish stays until a look at the record settles it, so nothing is
    decided on the assumption that it failed.
    """

    def __init__(self, core: Core, view: View, registry: Registry) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.adding: dict[str, dict[str, MachineEntry]] = {}
        self.removing: dict[str, set[str]] = {}
        self.handing: dict[str, dict[str, str]] = {}  # block -> machine -> block that gets it
        self.marks: dict[str, dict[str, bool]] = {}  # block -> machine -> to be marked used
        self._unsure: set[str] = set()  # blocks with a write that may still be applied
        self._seen_from: dict[str, int] = {}  # block -> stamp of our last write
        self.alone: set[str] = set()  # blocks of ours whose former holders answer nobody any more
        self.touching: set[str] = set()  # blocks that request a newer stamp, changed or not
        self.addresses: dict[str, str] = {}  # learned from lists and reports
        self._busy: dict[str, float] = {}  # block -> until when its last write is awaited
        self._handed: set[str] = set()  # blocks whose last write moved machines elsewhere

    def add(self, block: str, machine_id: str, entry: MachineEntry) -> None:
        self.adding.setdefault(block, {})[machine_id] = entry

    def remove(self, block: str, machine_id: str) -> None:
        """Only the holder may ask, for a machine that it no longer places on."""
        self.removing.setdefault(block, set()).add(machine_id)

    def hand_over(self, block: str, machine_id: str, to: str) -> None:
        """Only the holder may ask, for an idle machine that it no longer places on."""
        self.handing.setdefault(block, {})[machine_id] = to

    def mark(self, block: str, machine_id: str, used: bool) -> None:
        """Only the holder may ask; counts once `used` says so."""
        self.marks.setdefault(block, {})[machine_id] = used

    def used(self, block: str, machine_id: str) -> bool:
        """The record says that the machine may hold tasks, and no write takes that back."""
        entry = self.registry.blocks.get(block)
        if entry is None or machine_id in self.marks.get(block, ()):
            return False
        machine = entry[0].machines.get(machine_id)
        return machine is not None and machine.occupied

    def leaving(self, block: str, machine_id: str) -> bool:
        """The machine is on its way out of the block, or a write may still move it."""
        return (
            machine_id in self.removing.get(block, ())
            or machine_id in self.handing.get(block, ())
            or block in self._unsure
        )

    def drop_block(self, block: str) -> None:
        """The block is no longer ours."""
        self.removing.pop(block, None)
        self.marks.pop(block, None)
        self.handing.pop(block, None)
        self.touching.discard(block)
        self.alone.discard(block)

    def has_room(self, block: str) -> bool:
        """The block's record can take one machine more."""
        coming = len(self.adding.get(block, ())) + 1
        if self.core.parts_format:
            return not self._head_full(block)
        if not self.core.newer_format:
            return (
                self.registry.filled.get(block, 0) + coming * ENTRY_BYTES <= self.core.value_bytes
            )
        if block in self.registry.older:
            return True  # it shrinks with its next change
        filled = self.registry.filled.get(block, 0)
        return filled + coming * ENTRY_BYTES_NEWER <= self.core.value_bytes

    def _head_full(self, block: str) -> bool:
        """Its machines stand in so many parts that the list of them fills the record."""
        entry = self.registry.blocks.get(block)
        filled = self.registry.filled.get(block, 0)
        full_bytes = FULL_RECORDS * self.core.value_bytes
        return entry is not None and bool(entry[0].parts) and filled > full_bytes

    def coming(self, machine_id: str) -> bool:
        return any(machine_id in machine_ids for machine_ids in self.adding.values())

    def tick(self) -> None:
        now = self.core.now
        wishes = (self.adding, self.removing, self.marks, self.handing)
        for label in {label for wish in wishes for label in wish} | self.touching:
            if now < self._busy.get(label, 0.0):
                continue
            entry = self.registry.blocks.get(label)
            if entry is None:
                for wish in wishes:
                    wish.pop(label, None)
                self.touching.discard(label)
                continue
            if entry[1] < self._seen_from.get(label, 0):
                continue  # our last write is in the record, but not yet in our copy
            self._write(label, entry[0], entry[1])

    def _write(self, label: str, record: BlockRecord, stamp: int) -> None:
        adding = self.adding.get(label, {})
        removing = self.removing.get(label, set())
        for machine_id in list(adding):
            if machine_id in self.registry.shard_of_machine:
                del adding[machine_id]
        for machine_id in list(removing):
            if machine_id not in record.machines:
                removing.discard(machine_id)
        marks = self.marks.get(label, {})
        if label not in self._unsure:
            # While a write may still be applied late, a wish that the record seems to grant
            # already stays: that write could take it back.
            for machine_id, used in list(marks.items()):
                if (
                    machine_id not in record.machines
                    or record.machines[machine_id].occupied == used
                ):
                    del marks[machine_id]
        handing = self.handing.get(label, {})
        for machine_id in list(handing):
            if machine_id not in record.machines:
                del handing[machine_id]
        touch = label in self.touching
        if not adding and not removing and not marks and not handing and not touch:
            for wish in (self.adding, self.removing, self.marks, self.handing):
                wish.pop(label, None)
            return
        others = bool(adding or removing or marks or touch)
        move = None
        if handing and not (others and label in self._handed):
            move = self._move(label, record, stamp, handing)
        if move is not None:
            self._handed.add(label)
            changes, conditions = move
        elif others:
            self._handed.discard(label)
            changes, conditions = self._change(label, record, stamp)
        else:
            return
        self._send(label, changes, conditions)

    def _send(self, label: str, changes: list[Change], conditions: dict[str, int]) -> None:
        self._busy[label] = self.core.now + 3.0

        def written(status: int | None, ledger: int) -> None:
            if status is None:
                self._unsure.add(label)
            elif status == 200:
                self._unsure.discard(label)
                # A conflict settles nothing: it may be our own late write that got through, and
                # our copy of the record may be from before it.
                self._seen_from[label] = ledger
                self.touching.discard(label)
            # What is wished within a part of a report interval goes out together: a record of
            # hundreds of machines is read by every controller at each change.
            self._busy[label] = self.core.now + WRITE_REPORTS * self.core.report_s

        self.core.state.write(Write(conditions, changes, written, RequestPriority.ACCEPT))

    # -- what one transaction changes ------------------------------------------------------

    def _limits(self, changes: int) -> RecordLimits:
        core = self.core
        return RecordLimits(core.newer_format, core.parts_format, core.value_bytes, changes)

    def _current(self, label: str, record: BlockRecord) -> BlockRecord:
        """The record without former holders that answer nobody any more."""
        if label not in self.alone:
            return record
        return msgspec.structs.replace(record, earlier=[])

    def _change(
        self, label: str, record: BlockRecord, stamp: int
    ) -> tuple[list[Change], dict[str, int]]:
        """Machines that come or go, and marks."""
        adding = self.adding.get(label, {})
        out = self._retirable(self.removing.get(label, set()))
        wishes = Wishes(adding, out, self.marks.get(label, {}), self.addresses)
        record = self._current(label, record)
        most = self.core.txn_ops - BESIDES_CHANGES
        edit = edit_record(label, record, stamp, wishes, self._limits(most))
        while edit.size > TXN_BYTES and most > LEAST_CHANGES:
            most = max(LEAST_CHANGES, most // 2)
            edit = edit_record(label, record, stamp, wishes, self._limits(most))
        if not self.core.parts_format:
            # Left to the next list, which grants it to a block with room.
            for machine_id in adding.keys() - set(edit.added):
                del adding[machine_id]
        return edit.changes + self._retire(edit.removed), {BLOCKS + label: stamp}

    def _retirable(self, removing: set[str]) -> list[str]:
        """Those that one transaction may both take out and have released."""
        out = sorted(removing)
        if not self.core.newer_format:
            # In the first format each machine that goes has a record of its own.
            return out[: self.core.txn_ops - 3]
        out = out[:RETIRED_MOST]
        room = RETIRED_SHARE * self.core.value_bytes
        while len(out) > 1 and len(msgspec.json.encode(Retired(out))) > room:
            out = out[: len(out) // 2]
        return out

    def _retire(self, machine_ids: list[str]) -> list[Change]:
        if not machine_ids:
            return []
        if self.core.newer_format:
            return [Change(RETIRED + machine_ids[0], msgspec.json.encode(Retired(machine_ids)))]
        return [Change(RETIRED + machine_id, b"{}") for machine_id in machine_ids]

    def _move(
        self, own: str, record: BlockRecord, stamp: int, handing: dict[str, str]
    ) -> tuple[list[Change], dict[str, int]] | None:
        """Move machines to the first block that is to get any: both records change at one
        stamp, so both blocks' tokens rise above all that came before."""
        to = next(iter(handing.values()), None)
        other = self.registry.blocks.get(to) if to is not None else None
        if to is None or other is None:
            return None
        half = self.core.txn_ops // 2
        going = {
            machine_id: _unused(record.machines[machine_id])
            for machine_id, block in handing.items()
            if block == to and machine_id in record.machines
        }
        gets = self._get(to, other, going, half)
        taken = Wishes({}, gets.added, self.marks.get(own, {}), self.addresses)
        gives = edit_record(own, self._current(own, record), stamp, taken, self._limits(half))
        if set(gives.removed) != set(gets.added):
            going = {machine_id: going[machine_id] for machine_id in gives.removed}
            gets = self._get(to, other, going, half)
        if set(gives.removed) != set(gets.added) or gives.size + gets.size > TXN_BYTES:
            handing.clear()  # a value, or the transaction with both, would be too large: they stay
            return None
        if not gets.added and not (gets.changes_layout or gives.changes_layout):
            handing.clear()
            return None
        return gives.changes + gets.changes, {BLOCKS + own: stamp, BLOCKS + to: other[1]}

    def _get(
        self, to: str, other: tuple[BlockRecord, int], machines: Machines, changes: int
    ) -> Edit:
        return edit_record(to, other[0], other[1], Wishes(machines), self._limits(changes))


def _unused(entry: MachineEntry) -> MachineEntry:
    return MachineEntry(entry.address, entry.machine_type, entry.zone, entry.spot)
