"""Brings a new holder's token to the machines of a block just taken; their answers are reports."""

from __future__ import annotations

from collections import deque

from fallpulley.context import ControllerContext
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# Of the machine's sockets, those that fences may take at once: a block of thousands of machines is
# asked in bursts that leave sockets and time for everybody else.
SOCKET_SHARE = 0.04
MIN_IN_FLIGHT = 8
# A machine is asked again after so many report intervals.
RETRY_INTERVALS = 0.5


class Fencing:
    """Asks machines in turn: those that do not answer never keep others from being asked."""

    def __init__(self, context: ControllerContext, shard: Shard, commands: MachineCommands) -> None:
        self.context = context
        self.shard = shard
        self.commands = commands
        sockets = context.settings.facts.machine_limits.sockets
        self.max_in_flight = max(MIN_IN_FLIGHT, int(SOCKET_SHARE * sockets))
        self.in_flight = 0
        self._queue: deque[str] | None = None  # made when first needed, in asking order

    def tick(self, addresses: dict[str, str]) -> None:
        """Ask those whose turn it is, as far as sockets allow."""
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
                continue  # it has shown our token, or has left
            self._queue.append(machine_id)
            if not machine.entry.address and machine_id in addresses:
                machine.entry = machine.entry.with_address(addresses[machine_id])
            if self._may_probe(machine):
                self._probe(machine)

    def _may_probe(self, machine: Machine) -> bool:
        now = self.context.now
        # One that was told our token with the answer to its own report shows it with the next.
        told = now < machine.fencing.unfenced_heartbeat_at + self.context.timing.report_s
        return (
            bool(machine.entry.address)
            and not machine.fencing.probe_in_flight
            and now >= machine.fencing.next_probe_at
            and not told
        )

    def _probe(self, machine: Machine) -> None:
        machine.fencing.probe_in_flight = True
        machine.fencing.next_probe_at = (
            self.context.now + RETRY_INTERVALS * self.context.timing.report_s
        )
        self.in_flight += 1

        def answered(status: int | None) -> None:
            self.in_flight -= 1
            machine.fencing.probe_in_flight = False
            machine.fencing.probe_failures += status not in (200, 409)

        self.commands.send_direct(machine, [], answered)
