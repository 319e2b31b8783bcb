"""Expiry of machines' leases, after which they hold no tasks."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.lease_watch import LeaseWatch
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)


class LeaseExpiry:
    """Watches the leases of one shard's machines.

    A machine may have left the shard and have its lease renewed by another owner while this
    controller is cut off from the state service and still serves the shard. So a lease counts as
    expired only if it expired before the last read of the records, which showed the shard as owned
    by this controller.
    """

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.context = context
        self.shard = shard
        self._watch = LeaseWatch()
        # When machines that cannot be reached certainly hold no tasks: previous owners may respond
        # to them until their response windows end, and the lease expires after that.
        self._unreachable_empty_at = (
            context.now + context.timing.response_window_s + context.timing.lease_expiry_s
        )

    def watch(self, machine: Machine) -> None:
        """Schedule a check of the machine for when its lease may have expired."""
        if machine.heartbeat.online or machine.runs:
            self._watch.watch(machine.machine_id, self._expires_at(machine))

    def expire(self, fresh_at: float) -> None:
        """Act on all leases that have expired.

        `fresh_at` is when the last successful read of the records was sent, in seconds of the
        monotonic clock.
        """
        until = min(self.context.now, fresh_at)
        for machine_id in self._watch.pop_due(until):
            machine = self.shard.machines.get(machine_id)
            if machine is None or not (machine.heartbeat.online or machine.runs):
                continue
            if until > self._expires_at(machine):
                self._on_expired(machine)
            else:
                self.watch(machine)
        if self.shard.unreconciled and until > self._unreachable_empty_at:
            self._confirm_empty(until)

    def on_previous_owners_ended(self) -> None:
        """Shorten the waits for leases, since the previous owners' processes have ended.

        They respond to no machine from now on, so they renew no more leases.
        """
        self._unreachable_empty_at = min(
            self._unreachable_empty_at, self.context.now + self.context.timing.lease_expiry_s
        )
        self._watch.clear()
        for machine in self.shard.machines.values():
            self.watch(machine)

    def _expires_at(self, machine: Machine) -> float:
        # A received heartbeat counts as responded to: the response goes out after this check and
        # renews the lease.
        last_renewed_at = max(machine.heartbeat.responded_at, machine.heartbeat.received_at)
        expires_at = last_renewed_at + self.context.timing.lease_expiry_s
        if machine.heartbeat.online:
            return expires_at
        # The machine's tasks are known only from responses to direct commands. Those renew no
        # lease, but responses of a previous owner may have renewed it.
        return max(expires_at, self._unreachable_empty_at)

    def _on_expired(self, machine: Machine) -> None:
        log.info("machine lease expired machine=%s", machine.machine_id)
        machine.heartbeat.online = False
        machine.images.cached.clear()
        self.shard.decisions.machine_reachability_changed(machine.machine_id, False)
        self.shard.drop_runs(machine, "lease expired")

    def _confirm_empty(self, until: float) -> None:
        """Mark unreconciled machines as holding no tasks if their leases have expired.

        Must be called only once all leases that previous owners renewed have expired. A response of
        this owner may have renewed a lease too, even if the machine has not reported its token, so
        the lease counts from the last response.
        """
        lease_expiry_s = self.context.timing.lease_expiry_s
        empty = {
            machine_id
            for machine_id in self.shard.unreconciled
            if until > self.shard.machines[machine_id].heartbeat.responded_at + lease_expiry_s
        }
        if not empty:
            return
        log.info(
            "machines confirmed to hold no tasks shard=%s count=%d", self.shard.shard_id, len(empty)
        )
        self.shard.unreconciled -= empty
        self.shard.needs_replan = True
