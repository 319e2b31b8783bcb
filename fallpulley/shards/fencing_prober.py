"""Delivery of a new owner's fencing token to the machines of a shard that it has just acquired.

The token is sent in probes, which are direct commands without task commands. The responses list the
machines' tasks, so that machines are reconciled without waiting for their heartbeats.
"""

from __future__ import annotations

from collections import deque

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.direct_commands import WORKER_STATUSES, DirectCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# Share of this controller's sockets that probes may use at once. A shard may have thousands of
# machines; the limit leaves sockets and processing time for everything else.
SOCKET_SHARE = 0.04
MIN_IN_FLIGHT = 8  # lower bound of the limit on probes in flight
# Time between two probes of a machine, in heartbeat intervals.
RETRY_INTERVALS = 0.5


class FencingProber:
    """Probes machines in turn, so that unresponsive ones never keep others from being probed."""

    def __init__(
        self, context: ControllerContext, shard: Shard, direct_commands: DirectCommands
    ) -> None:
        self.context = context
        self.shard = shard
        self.direct_commands = direct_commands
        sockets = context.settings.facts.machine_limits.sockets
        self.max_in_flight = max(MIN_IN_FLIGHT, int(SOCKET_SHARE * sockets))
        self.in_flight = 0  # number of probes that have no outcome yet
        # Machines to probe, in order; None until the first tick.
        self._queue: deque[str] | None = None

    def tick(self, addresses: dict[str, str]) -> None:
        """Probe the machines whose turn it is, up to the limit on probes in flight.

        `addresses` maps machine_id to addresses that are newer than those in the record.
        """
        shard = self.shard
        if self._queue is None:
            self._queue = deque(
                machine_id for machine_id in shard.machines if machine_id in shard.unreconciled
            )
        for _ in range(len(self._queue)):
            if self.in_flight >= self.max_in_flight:
                return
            machine_id = self._queue.popleft()
            machine = shard.machines.get(machine_id)
            if (
                machine is None
                or machine_id not in shard.unreconciled
                or machine.fencing.token_confirmed
            ):
                # It is reconciled, has reported this owner's token, or has left the shard.
                continue
            self._queue.append(machine_id)
            if not machine.entry.address and machine_id in addresses:
                machine.entry = machine.entry.with_address(addresses[machine_id])
            if self._may_probe(machine):
                self._probe(machine)

    def _may_probe(self, machine: Machine) -> bool:
        now = self.context.now
        # A machine that sent a heartbeat within the last interval is sent this owner's token in the
        # response, and reports it with its next heartbeat: it needs no probe until then.
        has_token = (
            now
            < machine.fencing.unconfirmed_heartbeat_at + self.context.timing.heartbeat_interval_s
        )
        return (
            bool(machine.entry.address)
            and not machine.fencing.probe_in_flight
            and now >= machine.fencing.next_probe_at
            and not has_token
        )

    def _probe(self, machine: Machine) -> None:
        machine.fencing.probe_in_flight = True
        machine.fencing.next_probe_at = (
            self.context.now + RETRY_INTERVALS * self.context.timing.heartbeat_interval_s
        )
        self.in_flight += 1

        def on_status(status: int | None) -> None:
            self.in_flight -= 1
            machine.fencing.probe_in_flight = False
            machine.fencing.probe_failures += status not in WORKER_STATUSES

        self.direct_commands.send(machine, [], on_status)
