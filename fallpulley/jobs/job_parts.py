"""What an owner knows of one of its unfinished jobs, by concern."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Container

import msgspec

from fallpulley.jobs.pipelines import DependencyNode

# A job that fails on several machines waits longer each time, up to so many lease lengths.
MAX_RETRY_PAUSE_LEASES = 6.0
# The first pause, which doubles with each failure.
FIRST_RETRY_PAUSE_LEASES = 0.25
# A pipeline's deadline is at risk once the time left is less than so many times the rest of its
# path.
AT_RISK_CRITICAL_PATHS = 1.25

NEVER = float("-inf")


class TaskQueue:
    """Indices of the tasks that wait for a machine, in order.

    A started or completed task leaves it lazily, once it comes to the front.
    """

    __slots__ = ("_indices", "_is_queued")

    def __init__(self, task_count: int) -> None:
        self._indices: deque[int] = deque(range(task_count))
        self._is_queued = bytearray(b"\1") * task_count

    def first(
        self, limit: int, running: Container[int], is_completed: Callable[[int], bool]
    ) -> list[int]:
        """The first `limit` tasks that are neither running nor completed, each once."""
        indices = self._indices
        while indices and (indices[0] in running or is_completed(indices[0])):
            self._is_queued[indices.popleft()] = 0
        waiting: list[int] = []
        for index in indices:
            if index not in running and not is_completed(index):
                waiting.append(index)
                if len(waiting) >= limit:
                    break
        return waiting

    def requeue(self, index: int) -> None:
        """Put a task back to the front, unless it has not left the queue yet.

        A started task leaves the queue lazily; twice in it, it would be booked twice.
        """
        if not self._is_queued[index]:
            self._indices.appendleft(index)
            self._is_queued[index] = 1


class GangState(msgspec.Struct):
    """The common attempt of a gang's tasks.

    A gang runs together or not at all: once a task has to start again, the others are stopped,
    and all start anew when none is left.
    """

    attempt: int = 0  # the latest attempt's number
    restarting: bool = False


class RunTimeObservations(msgspec.Struct):
    """Run times of the job's completed tasks."""

    tasks: int = 0
    total_s: float = 0.0

    def record(self, run_s: float) -> None:
        """A task ran for `run_s` seconds."""
        self.tasks += 1
        self.total_s += run_s


class RetryState(msgspec.Struct):
    """Failures of the job's tasks, and when something of it may be tried again."""

    failed_machines: set[str] = msgspec.field(default_factory=set)
    failure_count: int = 0
    not_before: float = NEVER  # steady clock

    def record_failure(self, machine_id: str, now: float, lease_s: float) -> None:
        """Another machine next; when it fails everywhere, growing pauses."""
        self.failure_count += 1
        self.failed_machines.add(machine_id)
        if len(self.failed_machines) > 1:
            self.not_before = now + min(
                MAX_RETRY_PAUSE_LEASES * lease_s,
                FIRST_RETRY_PAUSE_LEASES * lease_s * 2 ** (self.failure_count - 2),
            )


class JobUrgency(msgspec.Struct):
    """How long the rest of the job takes, and whether its pipeline's deadline is at risk."""

    remaining_s: float = float("inf")
    remaining_inputs: tuple[object, ...] = ()  # what `remaining_s` was computed from
    deadline_at_risk: bool = False

    def update_deadline_risk(self, node: DependencyNode, wall_time: float) -> None:
        """Set the flag if the pipeline's deadline leaves too little time for the rest of its path.

        It stays set: a job that changed sides from plan to plan would be stopped and started again.
        """
        if self.deadline_at_risk:
            return
        left_s = node.deadline_at + node.critical_path_s - wall_time
        self.deadline_at_risk = left_s < AT_RISK_CRITICAL_PATHS * (
            self.remaining_s + node.critical_path_s
        )


class ProcessorEstimate(msgspec.Struct):
    """Processors that a task takes of the machine that suits it best."""

    per_task: float
    machine_types: object = None  # the table of types that it was computed with
