"""When the leases of machines expire, and what follows: they hold no tasks any more."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.shards.lease_watch import LeaseWatch
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)


class LeaseExpiry:
    """Watches the leases of one shard's machines.

    A machine that left the shard may get responses of a new owner while we, cut off from the state
    service, still serve the rest. Its lease has expired only if it did so before our last read of
    the records, which showed the shard as ours.
    """

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.context = context
        self.shard = shard
        self._watch = LeaseWatch()
        # Previous owners may respond to their machines until their windows end; a machine that
        # cannot be reached is empty a lease later.
        self._unreachable_empty_at = (
            context.now + context.timing.response_window_s + context.timing.lease_expiry_s
        )

    def watch(self, machine: Machine) -> None:
        """Check the machine once its lease may have expired."""
        if machine.heartbeat.online or machine.runs:
            self._watch.watch(machine.machine_id, self._expires_at(machine))

    def expire(self, fresh_at: float) -> None:
        """Act on all leases that have expired; `fresh_at`: when the records were last read."""
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
        """The previous owners' processes have ended: they respond to nobody from now on."""
        self._unreachable_empty_at = min(
            self._unreachable_empty_at, self.context.now + self.context.timing.lease_expiry_s
        )
        self._watch.clear()
        for machine in self.shard.machines.values():
            self.watch(machine)

    def _expires_at(self, machine: Machine) -> float:
        # A heartbeat that is about to be responded to counts as responded: the response goes out
        # after this check, and renews the lease.
        last = max(machine.heartbeat.responded_at, machine.heartbeat.received_at)
        expires_at = last + self.context.timing.lease_expiry_s
        if machine.heartbeat.online:
            return expires_at
        # Its tasks are known from responses to direct commands alone, which renew no lease; a
        # previous owner's responses may have.
        return max(expires_at, self._unreachable_empty_at)

    def _on_expired(self, machine: Machine) -> None:
        log.info("lease expired machine=%s", machine.machine_id)
        machine.heartbeat.online = False
        machine.images.cached.clear()
        self.shard.decisions.machine_reachability_changed(machine.machine_id, False)
        self.shard.drop_runs(machine, "lease expired")

    def _confirm_empty(self, until: float) -> None:
        """Machines that got no response for a lease hold no tasks.

        Previous owners respond to nobody any more, but our own responses renew leases too, even of
        machines that have not reported our token since.
        """
        lease_expiry_s = self.context.timing.lease_expiry_s
        empty = {
            machine_id
            for machine_id in self.shard.unreconciled
            if until > self.shard.machines[machine_id].heartbeat.responded_at + lease_expiry_s
        }
        if not empty:
            return
        log.info("machines confirmed empty shard=%s count=%d", self.shard.shard_id, len(empty))
        self.shard.unreconciled -= empty
        self.shard.needs_replan = True
