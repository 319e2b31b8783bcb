"""Machines by when their leases may be over: those that have reported since cost nothing."""

from __future__ import annotations

import heapq


class LeaseWatch:
    """A time for each machine before which its lease is certainly not over.

    Times only grow while a machine reports, so a machine is looked at once a lease instead of at
    every tick.
    """

    def __init__(self) -> None:
        self._due: list[tuple[float, str]] = []
        self._watched: set[str] = set()

    def watch(self, machine_id: str, at: float) -> None:
        """Look at the machine then, if it is not to be looked at already."""
        if machine_id not in self._watched:
            self._watched.add(machine_id)
            heapq.heappush(self._due, (at, machine_id))

    def due(self, until: float) -> list[str]:
        """The machines whose time has come; each is to be watched again if it still may hold
        something."""
        found = []
        while self._due and self._due[0][0] < until:
            machine_id = heapq.heappop(self._due)[1]
            self._watched.discard(machine_id)
            found.append(machine_id)
        return found

    def clear(self) -> None:
        """Forget all times: they may lie earlier than was thought."""
        self._due.clear()
        self._watched.clear()
