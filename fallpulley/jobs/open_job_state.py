"""The parts of an open job's state in its shard's owner: queue, gang, estimates."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Container

import msgspec

from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.placement.eligibility import ANY_MACHINE, EligibleMachines

# A pipeline's deadline is at risk once the time left is less than this many times the estimated
# time for the rest of the job and the longest path after it.
DEADLINE_RISK_FACTOR = 1.25


class TaskQueue:
    """The indices of the tasks that wait for a machine, in the order in which they start.

    A task that has started or completed is not removed at once, but when it reaches the front.
    """

    __slots__ = ("_indices", "_is_queued")

    def __init__(self, task_count: int) -> None:
        self._indices: deque[int] = deque(range(task_count))
        self._is_queued = bytearray(b"\1") * task_count

    def first_pending(
        self, limit: int, running: Container[int], is_completed: Callable[[int], bool]
    ) -> list[int]:
        """Return the first tasks that are neither running nor completed, at most `limit`."""
        indices = self._indices
        while indices and (indices[0] in running or is_completed(indices[0])):
            self._is_queued[indices.popleft()] = 0
        pending: list[int] = []
        for index in indices:
            if index not in running and not is_completed(index):
                pending.append(index)
                if len(pending) >= limit:
                    break
        return pending

    def requeue(self, index: int) -> None:
        """Put a task at the front of the queue, unless it is still in the queue.

        A started task may not have been removed yet. If it were in the queue twice, it would be
        booked twice.
        """
        if not self._is_queued[index]:
            self._indices.appendleft(index)
            self._is_queued[index] = 1


class GangState(msgspec.Struct):
    """The attempt number that all running tasks of a gang share, and whether the gang restarts.

    The tasks of a gang run at the same time or not at all. Once one of them has to start again,
    the others are stopped, and all start again when none is left running.
    """

    attempt: int = 0  # the number of the latest attempt
    restarting: bool = False  # whether the remaining tasks are to be stopped


class RunTimeObservations(msgspec.Struct):
    """The observed run times of a job's completed tasks."""

    observed_tasks: int = 0  # how many run times were observed
    observed_run_s: float = 0.0  # their sum in seconds

    def record(self, run_s: float) -> None:
        """Add the run time of a completed task, in seconds."""
        self.observed_tasks += 1
        self.observed_run_s += run_s


class RemainingTime(msgspec.Struct):
    """The estimated time for the rest of a job, and whether its pipeline's deadline is at risk."""

    remaining_s: float = float("inf")  # seconds; infinite until it is estimated
    # What `remaining_s` was computed from: it is computed again only when this changes.
    estimate_inputs: tuple[object, ...] = ()
    deadline_at_risk: bool = False

    def update_deadline_risk(self, node: DependencyNode, wall_time: float) -> None:
        """Set `deadline_at_risk` if too little time is left until the pipeline's deadline.

        The flag is never cleared: if it changed from plan to plan, the job would be stopped and
        started again and again.

        Args:
            node: The job's node in the dependency graph.
            wall_time: The current time, in seconds since the epoch.
        """
        if self.deadline_at_risk:
            return
        # `node.deadline_at` is when this job must be done, and leaves time for the path after it.
        # Both sides of the comparison include that path.
        left_s = node.deadline_at + node.critical_path_s - wall_time
        self.deadline_at_risk = left_s < DEADLINE_RISK_FACTOR * (
            self.remaining_s + node.critical_path_s
        )


class Eligibility(msgspec.Struct):
    """The machines that can take a job's tasks."""

    machines: EligibleMachines = ANY_MACHINE
    # The catalog that `machines` was computed with, None if it was not computed yet.
    machine_types: object = None


class ProcessorEstimate(msgspec.Struct):
    """How many processors of the cheapest suitable machine type one task occupies."""

    per_task: float
    # The machine types that `per_task` was computed with, None if it was not computed yet: it is
    # computed again when the catalog is replaced.
    machine_types: object = None
