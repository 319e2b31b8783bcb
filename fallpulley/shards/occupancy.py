"""Updates of the occupancy flags in shard records, by what the owner knows of the machines."""

from __future__ import annotations

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.workers.machine import Machine

# How many machines one call of `update_all` compares, which takes a core about a millisecond.
MAX_COMPARED_MACHINES = 1024


class OccupancyFlags:
    """Compares the machines of owned shards with their flags, and requests the changes.

    A machine is flagged as occupied in the record before it may get tasks, and stays flagged until
    it certainly holds none. So a later owner need not wait for machines without the flag.
    """

    def __init__(self, context: ControllerContext, writer: ShardWriter) -> None:
        self.context = context
        self.writer = writer
        # shard_id -> index of the first machine of the next comparison
        self._next_start: dict[str, int] = {}

    def update_all(self, shard: Shard) -> None:
        """Compare all machines; of a large shard, the next `MAX_COMPARED_MACHINES` in rotation.

        Each machine has to be compared from time to time, because whether it may hold tasks can
        change by the passing of time alone.
        """
        machine_ids = list(shard.machines)
        if len(machine_ids) > MAX_COMPARED_MACHINES:
            start = self._next_start.get(shard.shard_id, 0) % len(machine_ids)
            self._next_start[shard.shard_id] = start + MAX_COMPARED_MACHINES
            machine_ids = (machine_ids + machine_ids)[start : start + MAX_COMPARED_MACHINES]
        shard.occupancy_due.update(dict.fromkeys(machine_ids))
        self.update_due(shard)

    def update_due(self, shard: Shard) -> None:
        """Compare the machines that are due.

        A machine stays due while its flag or its removal from the shard is being written.
        """
        due, shard.occupancy_due = shard.occupancy_due, {}
        machines, entries = shard.machines, shard.record.machines
        for machine_id in due:
            machine = machines.get(machine_id)
            entry = entries.get(machine_id)
            if machine is None or entry is None:
                continue
            self._request_change(shard, machine, entry)
            # Apply the outcome of earlier requests.
            leaving = machine.departure.leaving_shard
            if leaving and not self.writer.is_leaving(shard.shard_id, machine_id):
                machine.departure.leaving_shard = leaving = False  # its removal was cancelled
                shard.needs_replan = True
            occupied = self.writer.is_occupied(shard.shard_id, machine_id)
            if occupied != machine.occupancy_flag:
                machine.occupancy_flag = occupied
                shard.needs_replan = True
            requested = self.writer.pending_occupancy(shard.shard_id)
            if leaving or machine_id in requested:
                shard.occupancy_due[machine_id] = None

    def _request_change(self, shard: Shard, machine: Machine, entry: MachineEntry) -> None:
        """Request a change of the flag if the recorded or already requested one is wrong."""
        machine_id, context = machine.machine_id, self.context
        requested = self.writer.pending_occupancy(shard.shard_id)
        flagged = requested.get(machine_id, entry.occupied)
        unconfirmed = (
            context.now < machine.fencing.unconfirmed_heartbeat_at + context.timing.lease_s
        )
        unreconciled = machine_id in shard.unreconciled
        may_hold_tasks = (
            machine.heartbeat.online or bool(machine.runs) or unreconciled or unconfirmed
        )
        if (machine.usable or unconfirmed) and not flagged:
            self._set_occupied(shard, machine_id, True)
        elif not may_hold_tasks and flagged and machine.granted_at < context.now:
            self._set_occupied(shard, machine_id, False)

    def _set_occupied(self, shard: Shard, machine_id: str, occupied: bool) -> None:
        self.writer.set_occupied(shard.shard_id, machine_id, occupied)
        shard.decisions.machine_occupancy_changed(machine_id, occupied)
