"""The record's marks of machines that may hold tasks, kept up with what the holder knows."""

from __future__ import annotations

from fallpulley.context import ControllerContext
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# Machines compared at once by the clock: about a millisecond of a whole core.
MAX_COMPARED_MACHINES = 1024


class OccupancyFlags:
    """Compares a held block's machines with their marks, and asks for what differs."""

    def __init__(self, context: ControllerContext, writer: ShardWriter) -> None:
        self.context = context
        self.writer = writer
        self._next: dict[str, int] = {}  # block -> where its next turn begins

    def update_all(self, shard: Shard) -> None:
        """Look at all machines, of a large block at the next ones in turn: what they may hold
        changes by time alone, too."""
        machine_ids = list(shard.machines)
        if len(machine_ids) > MAX_COMPARED_MACHINES:
            at = self._next.get(shard.shard_id, 0) % len(machine_ids)
            self._next[shard.shard_id] = at + MAX_COMPARED_MACHINES
            machine_ids = (machine_ids + machine_ids)[at : at + MAX_COMPARED_MACHINES]
        shard.occupancy_due.update(dict.fromkeys(machine_ids))
        self.update_due(shard)

    def update_due(self, shard: Shard) -> None:
        """Ask for the marks that differ among the machines due, and see which of those asked for
        are in the record. One whose mark or move is on its way is looked at again."""
        due, shard.occupancy_due = shard.occupancy_due, {}
        for machine_id in due:
            machine = shard.machines.get(machine_id)
            entry = shard.record.machines.get(machine_id)
            if machine is None or entry is None:
                continue
            marked = self.writer.pending_occupancy(shard.shard_id).get(machine_id, entry.occupied)
            self._update_machine(shard, machine, marked)
            if machine.scale_in.leaving_shard and not self.writer.is_leaving(
                shard.shard_id, machine_id
            ):
                machine.scale_in.leaving_shard = False  # its move was called off
                shard.needs_replan = True
            used = self.writer.is_occupied(shard.shard_id, machine_id)
            if used != machine.marked_occupied:
                machine.marked_occupied = used
                shard.needs_replan = True
            if machine.scale_in.leaving_shard or machine_id in self.writer.pending_occupancy(
                shard.shard_id
            ):
                shard.occupancy_due[machine_id] = None

    def _update_machine(self, shard: Shard, machine: Machine, marked: bool) -> None:
        unfenced = (
            self.context.now < machine.fencing.unfenced_heartbeat_at + self.context.timing.lease_s
        )
        unconfirmed = machine.machine_id in shard.unreconciled
        may_hold = machine.heartbeat.online or bool(machine.runs) or unconfirmed or unfenced
        if (machine.usable or unfenced) and not marked:
            self._set_occupied(shard, machine.machine_id, True)
        elif not may_hold and marked and machine.granted_at < self.context.now:
            self._set_occupied(shard, machine.machine_id, False)

    def _set_occupied(self, shard: Shard, machine_id: str, used: bool) -> None:
        self.writer.set_occupied(shard.shard_id, machine_id, used)
        shard.decisions.machine_occupancy_changed(machine_id, used)
