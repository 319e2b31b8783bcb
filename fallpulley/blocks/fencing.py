"""Brings a new holder's token to the machines of a block just taken; their answers are reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from fallpulley.blocks.packing import MachineEntry
from fallpulley.workers.machine import Machine

if TYPE_CHECKING:
    from fallpulley.blocks.held import HeldBlock

# Of the machine's sockets, those that fences may take at once: a block of thousands of machines is
# asked in bursts that leave sockets and time for everybody else.
SOCKET_SHARE = 0.04
FENCES_LEAST = 8
# A machine is asked again after so many report intervals.
RETRY_REPORTS = 0.5


class Fencing:
    """Asks machines in turn: those that do not answer never keep others from being asked."""

    def __init__(self, held: HeldBlock) -> None:
        self.held = held
        core = held.core
        sockets = core.settings.facts.machine_limits.sockets
        self.most = max(FENCES_LEAST, int(SOCKET_SHARE * sockets))
        self.under_way = 0
        self._turn: deque[str] | None = None  # made when first needed, in asking order

    def tick(self, addresses: dict[str, str]) -> None:
        """Ask those whose turn it is, as far as sockets allow."""
        held = self.held
        if self._turn is None:
            self._turn = deque(host for host in held.machines if host in held.unconfirmed)
        for _ in range(len(self._turn)):
            if self.under_way >= self.most:
                return
            host = self._turn.popleft()
            machine = held.machines.get(host)
            if machine is None or host not in held.unconfirmed or machine.fenced:
                continue  # it has shown our token, or has left
            self._turn.append(host)
            if not machine.entry.addr and host in addresses:
                machine.entry = _with_address(machine.entry, addresses[host])
            if self._may_ask(machine):
                self._ask(machine)

    def _may_ask(self, machine: Machine) -> bool:
        now = self.held.core.now
        # One that was told our token with the answer to its own report shows it with the next.
        told = now < machine.unfenced_at + self.held.core.report_s
        return (
            bool(machine.entry.addr)
            and not machine.fence_busy
            and now >= machine.fence_at
            and not told
        )

    def _ask(self, machine: Machine) -> None:
        machine.fence_busy = True
        machine.fence_at = self.held.core.now + RETRY_REPORTS * self.held.core.report_s
        self.under_way += 1

        def answered(status: int | None) -> None:
            self.under_way -= 1
            machine.fence_busy = False
            machine.fence_fails += status not in (200, 409)

        self.held.commands.direct(machine, [], answered)


def _with_address(entry: MachineEntry, addr: str) -> MachineEntry:
    return MachineEntry(addr, entry.build, entry.zone, entry.spot, entry.used)
