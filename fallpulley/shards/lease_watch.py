"""A schedule of lease checks: machines cost nothing until their leases may have expired."""

from __future__ import annotations

import heapq


class LeaseWatch:
    """Keeps for each machine a time before which its lease has certainly not expired.

    Heartbeats only ever extend a lease, so a machine is checked once per lease instead of at every
    tick.
    """

    def __init__(self) -> None:
        self._checks: list[tuple[float, str]] = []  # heap of check times with machine_id
        self._watched: set[str] = set()

    def watch(self, machine_id: str, check_at: float) -> None:
        """Schedule a check of the machine at `check_at`, unless one is scheduled already."""
        if machine_id not in self._watched:
            self._watched.add(machine_id)
            heapq.heappush(self._checks, (check_at, machine_id))

    def pop_due(self, until: float) -> list[str]:
        """Return the machines whose checks are due before `until`, and unschedule them.

        A machine that still may hold tasks has to be watched again.
        """
        due = []
        while self._checks and self._checks[0][0] < until:
            machine_id = heapq.heappop(self._checks)[1]
            self._watched.discard(machine_id)
            due.append(machine_id)
        return due

    def clear(self) -> None:
        """Remove all checks, because leases may expire earlier than scheduled."""
        self._checks.clear()
        self._watched.clear()
