"""The state of an open job in the controller that owns its shard."""

from __future__ import annotations

from fallpulley.cloud.messages import MachineType
from fallpulley.jobs.completion import JobProgress
from fallpulley.jobs.messages import PRIORITY_LEVELS, JobKind, JobRecord, Submission
from fallpulley.jobs.open_job_state import (
    Eligibility,
    GangState,
    ProcessorEstimate,
    RemainingTime,
    RunTimeObservations,
    TaskQueue,
)
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.jobs.retry_state import RetryState
from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.workers.machine import TaskRun

# A constant, since enum members are looked up slowly.
_GANG = JobKind.GANG


class OpenJob:
    """An open job: its specification, the state of its tasks, and what was observed of them."""

    def __init__(
        self,
        job_id: str,
        record: JobRecord,
        spec: Submission,
        mod_revision: int,
        dependency_node: DependencyNode | None = None,
    ) -> None:
        """Create the state of a job none of whose tasks is known to be running or completed.

        Args:
            job_id: The job's id.
            record: The job's stored record.
            spec: The job's specification.
            mod_revision: The revision of the record.
            dependency_node: The job's node in the dependency graph; None if it has no place there.
        """
        self.job_id = job_id
        self.record = record
        self.spec = spec
        self.mod_revision = mod_revision
        self.dependency_node = dependency_node
        self.resources = spec.resources
        self.runs: dict[int, TaskRun] = {}  # task index -> the task's attempt on a machine
        self.ended = False  # whether the job has ended, so that no task may start or go on
        self.final_write_pending = False  # whether the record of the done job is being written
        self.task_queue = TaskQueue(spec.task_count)
        self.progress = JobProgress(spec.task_count)
        self.gang = GangState()
        self.run_times = RunTimeObservations()
        self.retry = RetryState()
        self.remaining_time = RemainingTime()
        self.processors = ProcessorEstimate(spec.cpus)
        self._eligibility = Eligibility()

    # -- dependencies ----------------------------------------------------------------------

    @property
    def waits_for_dependencies(self) -> bool:
        """Whether a dependency is not known to be done, so that no task may start."""
        return self.dependency_node is not None and bool(
            self.dependency_node.unfinished_dependencies
        )

    @property
    def ready_since_ms(self) -> int:
        """When the job was submitted or its last dependency was done, in ms since the epoch.

        The job's waiting time counts from then.
        """
        return (
            self.record.submitted_at_ms
            if self.dependency_node is None
            else self.dependency_node.ready_since_ms
        )

    @property
    def priority_level(self) -> int:
        """The highest priority level among the job itself and all jobs that depend on it."""
        return (
            PRIORITY_LEVELS[self.spec.priority]
            if self.dependency_node is None
            else self.dependency_node.priority_level
        )

    @property
    def critical_path_s(self) -> float:
        """The longest path of estimated task times through the jobs that depend on it, in seconds.

        A task's time consists of the fetch of its image and its run.
        """
        return 0.0 if self.dependency_node is None else self.dependency_node.critical_path_s

    def update_deadline_risk(self, wall_time: float) -> None:
        """Update whether the pipeline's deadline is at risk, if the job belongs to a pipeline.

        `wall_time` is in seconds since the epoch.
        """
        if self.dependency_node is not None:
            self.remaining_time.update_deadline_risk(self.dependency_node, wall_time)

    # -- machines --------------------------------------------------------------------------

    def eligible_machines(self, machine_types: dict[str, MachineType]) -> EligibleMachines:
        """Return the machines that can take the job's tasks.

        They are computed again only if `machine_types`, the catalog by name, is another object.
        """
        cached = self._eligibility
        if cached.machine_types is not machine_types:
            cached.machine_types = machine_types
            cached.machines = self.spec.eligible_machines(machine_types.values())
        return cached.machines

    # -- tasks -----------------------------------------------------------------------------

    @property
    def all_tasks_completed(self) -> bool:
        """Whether every task is completed; the record may not say so yet."""
        return self.progress.completed.count >= self.spec.task_count

    def is_completed(self, index: int) -> bool:
        """Return whether the task is completed."""
        return self.progress.completed.contains(index)

    def is_durable(self, index: int) -> bool:
        """Return whether the task's completion is stored in the state service."""
        return self.progress.durable.contains(index)

    def unfinished_task_count(self) -> int:
        """Return how many tasks are not completed, whether they are on a machine or not."""
        return self.spec.task_count - self.progress.completed.count

    def pending_task_count(self) -> int:
        """Return how many tasks are neither completed nor on a machine."""
        return max(0, self.unfinished_task_count() - len(self.runs))

    def next_pending_tasks(self, limit: int) -> list[int]:
        """Return the next tasks to start, at most `limit`: neither completed nor on a machine."""
        return self.task_queue.first_pending(limit, self.runs, self.progress.completed.contains)

    def requeue(self, index: int) -> None:
        """Make a task start again unless it is completed.

        If the job is a gang with other tasks on machines, mark it for a restart of all of them.
        """
        if not self.is_completed(index):
            self.task_queue.requeue(index)
            self.gang.restarting = self.spec.kind is _GANG and bool(self.runs)
