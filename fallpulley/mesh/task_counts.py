"""Which jobs' counts go out with a heartbeat: a bounded number, however many jobs are open."""

from __future__ import annotations

Counts = dict[str, tuple[int, int]]  # job -> done, running

# Entries of one heartbeat: well below what a request's body may hold.
MAX_COUNTS = 1000


class TaskCountRotation:
    """Changed counts first, then the others in turn, so that a controller that has just come
    learns all of them."""

    def __init__(self, most: int = MAX_COUNTS) -> None:
        self.limit = most
        self._sent: Counts = {}
        self._next = 0

    def next_entries(self, counts: Counts) -> list[tuple[str, int, int]]:
        """The entries for the next heartbeat."""
        if len(counts) <= self.limit:
            self._sent = dict(counts)
            return [(job, *entry) for job, entry in counts.items()]
        chosen = [job for job, entry in counts.items() if self._sent.get(job) != entry]
        chosen = chosen[: self.limit]
        chosen += self._next_unchanged(list(counts), self.limit - len(chosen))
        found = {job: counts[job] for job in chosen}
        self._sent = {job: entry for job, entry in self._sent.items() if job in counts} | found
        return [(job, *entry) for job, entry in found.items()]

    def _next_unchanged(self, jobs: list[str], number: int) -> list[str]:
        at = self._next % len(jobs)
        self._next = at + number
        return (jobs + jobs)[at : at + number]
