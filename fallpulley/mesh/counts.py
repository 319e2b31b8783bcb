"""Which jobs' counts go out with a heartbeat: a bounded number, however many jobs are open."""

from __future__ import annotations

Counts = dict[str, tuple[int, int]]  # job -> done, running

# Entries of one heartbeat: well below what a request's body may hold.
COUNTS_MOST = 1000


class CountsInTurn:
    """Changed counts first, then the others in turn, so that a controller that has just come
    learns all of them."""

    def __init__(self, most: int = COUNTS_MOST) -> None:
        self.most = most
        self._told: Counts = {}
        self._next = 0

    def choose(self, counts: Counts) -> list[tuple[str, int, int]]:
        """The entries for the next heartbeat."""
        if len(counts) <= self.most:
            self._told = dict(counts)
            return [(job, *entry) for job, entry in counts.items()]
        chosen = [job for job, entry in counts.items() if self._told.get(job) != entry]
        chosen = chosen[: self.most]
        chosen += self._in_turn(list(counts), self.most - len(chosen))
        found = {job: counts[job] for job in chosen}
        self._told = {job: entry for job, entry in self._told.items() if job in counts} | found
        return [(job, *entry) for job, entry in found.items()]

    def _in_turn(self, jobs: list[str], number: int) -> list[str]:
        at = self._next % len(jobs)
        self._next = at + number
        return (jobs + jobs)[at : at + number]
