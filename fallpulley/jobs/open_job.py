"""An unfinished job as its shard's owner knows it."""

from __future__ import annotations

from fallpulley.jobs.completion import JobProgress
from fallpulley.jobs.job_parts import (
    GangState,
    JobUrgency,
    ProcessorEstimate,
    RetryState,
    RunTimeObservations,
    TaskQueue,
)
from fallpulley.jobs.messages import PRIORITY_LEVELS, JobKind, JobRecord, Submission
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.resources import Resources
from fallpulley.workers.machine import TaskRun

_GANG = JobKind.GANG


class OpenJob:
    """An unfinished job: its specification, its tasks, and what was observed of them."""

    def __init__(
        self,
        job_id: str,
        record: JobRecord,
        spec: Submission,
        mod_revision: int,
        dependency_node: DependencyNode | None = None,
    ) -> None:
        """`mod_revision`: of the job's record; `dependency_node`: its place in a pipeline."""
        self.job_id = job_id
        self.record = record
        self.spec = spec
        self.mod_revision = mod_revision
        self.dependency_node = dependency_node
        self.resources = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        self.runs: dict[int, TaskRun] = {}  # task index -> its attempt
        self.cancelled = False
        self.final_write_pending = False  # the final record is being written
        self.task_queue = TaskQueue(spec.task_count)
        self.progress = JobProgress(spec.task_count)
        self.gang = GangState()
        self.run_times = RunTimeObservations()
        self.retry = RetryState()
        self.urgency = JobUrgency()
        self.processors = ProcessorEstimate(spec.cpus)

    # -- its place in a pipeline -----------------------------------------------------------

    @property
    def waits_for_dependencies(self) -> bool:
        """A job that it depends on is not known to be done: nothing of it may start."""
        return self.dependency_node is not None and bool(
            self.dependency_node.unfinished_dependencies
        )

    @property
    def ready_since_ms(self) -> int:
        """Its times count from here: its submission, or the end of its last dependency."""
        return (
            self.record.submitted_at_ms
            if self.dependency_node is None
            else self.dependency_node.ready_since_ms
        )

    @property
    def priority_level(self) -> int:
        """The highest priority level of its own and of all jobs that depend on it."""
        return (
            PRIORITY_LEVELS[self.spec.priority]
            if self.dependency_node is None
            else self.dependency_node.priority_level
        )

    @property
    def critical_path_s(self) -> float:
        """The longest path of estimated fetches and run times after it, in seconds."""
        return 0.0 if self.dependency_node is None else self.dependency_node.critical_path_s

    def update_deadline_risk(self, wall_time: float) -> None:
        """Set whether its pipeline's deadline is at risk, if it belongs to one."""
        if self.dependency_node is not None:
            self.urgency.update_deadline_risk(self.dependency_node, wall_time)

    # -- its tasks -------------------------------------------------------------------------

    @property
    def finished(self) -> bool:
        """Every task is completed."""
        return self.progress.completed.count >= self.spec.task_count

    def is_completed(self, index: int) -> bool:
        """Whether the task is completed."""
        return self.progress.completed.contains(index)

    def is_durable(self, index: int) -> bool:
        """Whether the task's completion stands in the state service."""
        return self.progress.durable.contains(index)

    def waiting_count(self) -> int:
        """How many tasks are neither completed nor on a machine."""
        return max(0, self.spec.task_count - self.progress.completed.count - len(self.runs))

    def next_tasks(self, limit: int) -> list[int]:
        """The first tasks that are neither completed nor on a machine, each once."""
        return self.task_queue.first(limit, self.runs, self.progress.completed.contains)

    def requeue(self, index: int) -> None:
        """A task has to start again, unless it is completed; a gang's others with it."""
        if not self.is_completed(index):
            self.task_queue.requeue(index)
            self.gang.restarting = self.spec.kind is _GANG and bool(self.runs)
