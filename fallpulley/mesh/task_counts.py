"""Selection of the task counts to send with a heartbeat, limited in number."""

from __future__ import annotations

from fallpulley.mesh.messages import TaskCount

JobTaskCounts = dict[str, tuple[int, int]]  # job -> completed tasks, running tasks

# Maximum number of entries in one heartbeat, well below the limit of a request's body.
MAX_TASK_COUNTS = 1000


class TaskCountRotation:
    """Selects changed counts first, and fills the rest of a heartbeat with the others in rotation.

    Because of the rotation, a controller that has just started receives all counts over time.
    """

    def __init__(self, max_entries: int = MAX_TASK_COUNTS) -> None:
        self.max_entries = max_entries
        self._last_sent: JobTaskCounts = {}
        self._next_index = 0  # index of the job with which the rotation continues

    def next_entries(self, counts: JobTaskCounts) -> list[TaskCount]:
        """Return the entries for the next heartbeat, given the counts of all open jobs."""
        if len(counts) <= self.max_entries:
            self._last_sent = dict(counts)
            return _entries(counts)
        chosen = [
            job_id for job_id, count in counts.items() if self._last_sent.get(job_id) != count
        ]
        chosen = chosen[: self.max_entries]
        chosen += self._next_in_rotation(list(counts), self.max_entries - len(chosen))
        selected = {job_id: counts[job_id] for job_id in chosen}
        still_open = {
            job_id: count for job_id, count in self._last_sent.items() if job_id in counts
        }
        self._last_sent = still_open | selected
        return _entries(selected)

    def _next_in_rotation(self, job_ids: list[str], number: int) -> list[str]:
        start = self._next_index % len(job_ids)
        self._next_index = start + number
        return (job_ids + job_ids)[start : start + number]


def _entries(counts: JobTaskCounts) -> list[TaskCount]:
    return [
        TaskCount(job_id, completed, running) for job_id, (completed, running) in counts.items()
    ]
