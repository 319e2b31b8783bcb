"""The record's marks of machines that may hold tasks, kept up with what the holder knows."""

from __future__ import annotations

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.workers.machine import Machine

# Machines compared at once by the clock: about a millisecond of a whole core.
COMPARE_MOST = 1024


class UsedMarks:
    """Compares a held block's machines with their marks, and asks for what differs."""

    def __init__(self, core: Core, writer: BlockWriter) -> None:
        self.core = core
        self.writer = writer
        self._next: dict[str, int] = {}  # block -> where its next turn begins

    def compare(self, held: HeldBlock) -> None:
        """Look at all machines, of a large block at the next ones in turn: what they may hold
        changes by time alone, too."""
        machine_ids = list(held.machines)
        if len(machine_ids) > COMPARE_MOST:
            at = self._next.get(held.label, 0) % len(machine_ids)
            self._next[held.label] = at + COMPARE_MOST
            machine_ids = (machine_ids + machine_ids)[at : at + COMPARE_MOST]
        held.marks_due.update(dict.fromkeys(machine_ids))
        self.follow(held)

    def follow(self, held: HeldBlock) -> None:
        """Ask for the marks that differ among the machines due, and see which of those asked for
        are in the record. One whose mark or move is on its way is looked at again."""
        due, held.marks_due = held.marks_due, {}
        for machine_id in due:
            machine = held.machines.get(machine_id)
            entry = held.record.machines.get(machine_id)
            if machine is None or entry is None:
                continue
            marked = self.writer.marks.get(held.label, {}).get(machine_id, entry.occupied)
            self._follow(held, machine, marked)
            if machine.leaving_shard and not self.writer.leaving(held.label, machine_id):
                machine.leaving_shard = False  # its move was called off
                held.dirty = True
            used = self.writer.used(held.label, machine_id)
            if used != machine.marked_occupied:
                machine.marked_occupied = used
                held.dirty = True
            if machine.leaving_shard or machine_id in self.writer.marks.get(held.label, ()):
                held.marks_due[machine_id] = None

    def _follow(self, held: HeldBlock, machine: Machine, marked: bool) -> None:
        unfenced = self.core.now < machine.unfenced_heartbeat_at + self.core.lease_s
        unconfirmed = machine.machine_id in held.unconfirmed
        may_hold = machine.online or bool(machine.runs) or unconfirmed or unfenced
        if (machine.usable or unfenced) and not marked:
            self._mark(held, machine.machine_id, True)
        elif not may_hold and marked and machine.granted_at < self.core.now:
            self._mark(held, machine.machine_id, False)

    def _mark(self, held: HeldBlock, machine_id: str, used: bool) -> None:
        self.writer.mark(held.label, machine_id, used)
        held.decisions.machine_marked(machine_id, used)
