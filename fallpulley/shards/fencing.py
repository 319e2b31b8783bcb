"""Brings a new owner's fencing token to the machines of a shard just acquired, by direct commands.

The responses carry the machines' tasks, and reconcile them without waiting for heartbeats.
"""

from __future__ import annotations

from collections import deque

from fallpulley.context import ControllerContext
from fallpulley.shards.direct_commands import WORKER_STATUSES, DirectCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# Of this controller's sockets, the share that probes may use at once: a shard of thousands of
# machines is probed in bursts that leave sockets and time for everybody else.
SOCKET_SHARE = 0.04
MIN_IN_FLIGHT = 8
# A machine is probed again after so many heartbeat intervals.
RETRY_INTERVALS = 0.5


class Fencing:
    """Probes machines in turn: those that do not respond never keep others from being probed."""

    def __init__(self, context: ControllerContext, shard: Shard, direct: DirectCommands) -> None:
        self.context = context
        self.shard = shard
        self.direct = direct
        sockets = context.settings.facts.machine_limits.sockets
        self.max_in_flight = max(MIN_IN_FLIGHT, int(SOCKET_SHARE * sockets))
        self.in_flight = 0  # probes without an outcome yet
        self._queue: deque[str] | None = None  # machines to probe, in order; made when first needed

    def tick(self, addresses: dict[str, str]) -> None:
        """Probe the machines whose turn it is, as far as sockets allow.

        `addresses`, by machine_id, are newer than those in the record.
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
            if machine is None or machine_id not in shard.unreconciled or machine.fencing.fenced:
                continue  # it has reported our token, or has left
            self._queue.append(machine_id)
            if not machine.entry.address and machine_id in addresses:
                machine.entry = machine.entry.with_address(addresses[machine_id])
            if self._may_probe(machine):
                self._probe(machine)

    def _may_probe(self, machine: Machine) -> bool:
        now = self.context.now
        # The response to its own heartbeat carried our token: its next one reports it.
        has_token = (
            now < machine.fencing.unfenced_heartbeat_at + self.context.timing.heartbeat_interval_s
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

        self.direct.send(machine, [], on_status)
