"""Machines by when their leases may expire: those with newer heartbeats cost nothing until then."""

from __future__ import annotations

import heapq


class LeaseWatch:
    """A time for each machine before which its lease has certainly not expired.

    Leases only grow while a machine sends heartbeats, so a machine is checked once a lease instead
    of at every tick.
    """

    def __init__(self) -> None:
        self._checks: list[tuple[float, str]] = []  # a heap of times with their machines
        self._watched: set[str] = set()

    def watch(self, machine_id: str, at: float) -> None:
        """Check the machine at that time, if no check of it is due already."""
        if machine_id not in self._watched:
            self._watched.add(machine_id)
            heapq.heappush(self._checks, (at, machine_id))

    def pop_due(self, until: float) -> list[str]:
        """The machines to check by now; each is to be watched again if it still may hold tasks."""
        due = []
        while self._checks and self._checks[0][0] < until:
            machine_id = heapq.heappop(self._checks)[1]
            self._watched.discard(machine_id)
            due.append(machine_id)
        return due

    def clear(self) -> None:
        """Forget all times, because leases may expire earlier than they say."""
        self._checks.clear()
        self._watched.clear()
