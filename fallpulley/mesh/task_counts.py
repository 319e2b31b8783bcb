"""Which jobs' task counts go out with a heartbeat: a bounded number, however many are open."""

from __future__ import annotations

from fallpulley.mesh.messages import TaskCount

JobTaskCounts = dict[str, tuple[int, int]]  # job_id -> completed, running

# Entries of one heartbeat: well below what a request's body may hold.
MAX_TASK_COUNTS = 1000


class TaskCountRotation:
    """Changed counts first, then the others in turn, so that a controller that has just started
    learns all of them."""

    def __init__(self, max_entries: int = MAX_TASK_COUNTS) -> None:
        self.max_entries = max_entries
        self._sent: JobTaskCounts = {}
        self._next_index = 0  # of the next unchanged job

    def next_entries(self, counts: JobTaskCounts) -> list[TaskCount]:
        """The entries for the next heartbeat, out of the counts of all open jobs."""
        if len(counts) <= self.max_entries:
            self._sent = dict(counts)
            return _entries(counts)
        chosen = [job_id for job_id, count in counts.items() if self._sent.get(job_id) != count]
        chosen = chosen[: self.max_entries]
        chosen += self._next_in_turn(list(counts), self.max_entries - len(chosen))
        selected = {job_id: counts[job_id] for job_id in chosen}
        still_open = {job_id: count for job_id, count in self._sent.items() if job_id in counts}
        self._sent = still_open | selected
        return _entries(selected)

    def _next_in_turn(self, job_ids: list[str], number: int) -> list[str]:
        start = self._next_index % len(job_ids)
        self._next_index = start + number
        return (job_ids + job_ids)[start : start + number]


def _entries(counts: JobTaskCounts) -> list[TaskCount]:
    return [
        TaskCount(job_id, completed, running) for job_id, (completed, running) in counts.items()
    ]
