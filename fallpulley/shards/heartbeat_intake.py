"""Updates of a shard by the states in its machines' heartbeats and direct command responses."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.lease_expiry import LeaseExpiry
from fallpulley.shards.preemption_notice import stop_tasks_for_preemption
from fallpulley.shards.shard import Shard
from fallpulley.shards.task_changes import TaskChanges
from fallpulley.shards.token_check import TokenCheck
from fallpulley.workers.heartbeat_changes import (
    HeartbeatChanges,
    apply_direct_status,
    apply_heartbeat,
)
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat

log = logging.getLogger(__name__)


class HeartbeatIntake:
    """Applies the states that the machines of one shard send."""

    def __init__(
        self,
        context: ControllerContext,
        shard: Shard,
        commands: MachineCommands,
        lease_expiry: LeaseExpiry,
    ) -> None:
        self.context = context
        self.shard = shard
        self.commands = commands
        self.lease_expiry = lease_expiry
        self.token_check = TokenCheck(context, shard)
        self.task_changes = TaskChanges(context, shard)

    def handle_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it is not newer than the newest state known."""
        if not machine.heartbeat.is_newer(heartbeat):
            return False
        if machine.is_unchanged(heartbeat):
            machine.heartbeat.sequence = heartbeat.sequence
            machine.fencing.reported_token = heartbeat.fencing_token
            self._set_online(machine)
        else:
            machine.placement_snapshot = None
            was_usable = machine.usable
            if self.token_check.apply_token(machine, heartbeat):
                changes = apply_heartbeat(machine, heartbeat, self.context.now)
                self._set_online(machine)
                self._apply_changes(machine, changes, was_usable)
        self.lease_expiry.watch(machine)
        return True

    def handle_direct_status(self, machine: Machine, status: Heartbeat) -> None:
        """Apply the state from the response to a direct command, unless a newer one is known.

        It shows which tasks are on the machine, but not that the machine's own heartbeats arrive,
        so the machine does not become online by it.
        """
        if not machine.heartbeat.is_newer(status):
            return
        if machine.is_unchanged(status):
            machine.heartbeat.sequence = status.sequence
            machine.fencing.reported_token = status.fencing_token
        else:
            machine.placement_snapshot = None
            was_usable = machine.usable
            if self.token_check.apply_token(machine, status):
                changes = apply_direct_status(machine, status, self.context.now)
                self._apply_changes(machine, changes, was_usable)
        self.lease_expiry.watch(machine)

    def _set_online(self, machine: Machine) -> None:
        if not machine.heartbeat.online:
            self.shard.needs_replan = True
            self.shard.occupancy_due[machine.machine_id] = None
            log.info(
                "machine online machine=%s epoch=%d",
                machine.machine_id,
                machine.heartbeat.agent_epoch,
            )
            self.shard.decisions.machine_reachability_changed(machine.machine_id, True)
        machine.heartbeat.online = machine.heartbeat.ever_online = True
        machine.heartbeat.received_at = self.shard.last_heartbeat_at = self.context.now

    def _apply_changes(self, machine: Machine, changes: HeartbeatChanges, was_usable: bool) -> None:
        """Update the shard by the changes in a machine's tasks.

        `was_usable` tells whether the machine was usable before this state was applied.
        """
        if changes.tasks_lost:
            machine.fencing.possibly_restarted_at = self.context.now
        if changes.start_missed and machine.fencing.unacknowledged_since is None:
            self.token_check.require_new_token(machine)
        self.task_changes.apply(machine, changes)
        if self.shard.unreconciled and machine.machine_id in self.shard.unreconciled:
            self._set_reconciled(machine)
        if machine.usable != was_usable:
            self.shard.needs_replan = True
            self.shard.occupancy_due[machine.machine_id] = None
        if machine.departure.preempted_at is not None:
            stop_tasks_for_preemption(self.shard, self.commands, machine)

    def _set_reconciled(self, machine: Machine) -> None:
        """Record that all tasks of the machine are known."""
        self.shard.unreconciled.discard(machine.machine_id)
        if not self.shard.unreconciled:
            log.info(
                "all machines of the shard are reconciled shard=%s token=%d",
                self.shard.shard_id,
                self.shard.fencing_token,
            )
        self.shard.needs_replan = True
