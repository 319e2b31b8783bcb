"""The record's marks of machines that may hold tasks, kept up with what the holder knows."""

from __future__ import annotations

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.workers.machine import Machine


class UsedMarks:
    """Compares a held block's machines with their marks, and asks for what differs."""

    def __init__(self, core: Core, writer: BlockWriter) -> None:
        self.core = core
        self.writer = writer

    def compare(self, held: HeldBlock) -> None:
        """Ask for the marks that differ, and see which of those asked for are in the record."""
        for host, machine in held.machines.items():
            entry = held.record.machines.get(host)
            if entry is None:
                continue
            marked = self.writer.marks.get(held.label, {}).get(host, entry.used)
            self._follow(held, machine, marked)
            if machine.leaving and not self.writer.leaving(held.label, host):
                machine.leaving = False  # its move was called off
                held.dirty = True
            used = self.writer.used(held.label, host)
            if used != machine.used:
                machine.used = used
                held.dirty = True
        # A mark on its way counts once the writer has seen it in the record: look again then.
        held.marks_due = bool(self.writer.marks.get(held.label))

    def _follow(self, held: HeldBlock, machine: Machine, marked: bool) -> None:
        unfenced = self.core.now < machine.unfenced_at + self.core.lease_s
        unproven = machine.host in held.unproven
        may_hold = machine.up or bool(machine.runs) or unproven or unfenced
        if (machine.usable or unfenced) and not marked:
            self._mark(held, machine.host, True)
        elif not may_hold and marked and machine.got_at < self.core.now:
            self._mark(held, machine.host, False)

    def _mark(self, held: HeldBlock, host: str, used: bool) -> None:
        self.writer.mark(held.label, host, used)
        held.decisions.machine_marked(host, used)
