"""The graph of dependencies between unfinished jobs, and the urgency that follows from it.

All of it follows from job records alone, so every controller and every new owner derives the same:

- A job is ready once the records of all jobs that it depends on say done. Done never goes back.
- A job that depends on a cancelled one, at whatever depth, is cancelled: it has never started
  anything. Its own record follows when there is time.

A pipeline is one task graph of the thesis: priority, deadline and the length of the path after a
job are carried back from the jobs that depend on it (upward rank, T 3-1).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

# A path is carried back once it has grown by this share: at every new end of a chain of thousands
# all of it was traversed, and the order of the queue does not need it more exactly.
MIN_PATH_GROWTH = 1 / 16


class DependencyNode(msgspec.Struct, eq=False):
    """An unfinished job that depends on others, or that others depend on."""

    # When its last dependency was done; its own submission if it depends on none.
    ready_since_ms: int
    own_priority_level: int = 0
    task_s: float = 0.0  # estimated fetch and run time of a task
    own_deadline_at: float = math.inf  # its own deadline, time of day
    # Jobs that it depends on and that are not known to be done.
    unfinished_dependencies: set[str] = msgspec.field(default_factory=set)
    priority_level: int = 0  # the highest of its own and of all that depend on it
    critical_path_s: float = 0.0  # the longest path of task times after it
    deadline_at: float = math.inf  # when it has to be done for all that depend on it to meet theirs


class Urgency(msgspec.Struct):
    """What a job itself and the jobs that depend on it ask of it."""

    priority_level: int
    critical_path_s: float
    deadline_at: float  # time of day


class PipelineChanges(msgspec.Struct):
    """Ids of the jobs for which another job's record has changed something."""

    ready: list[str] = []
    cancelled: list[str] = []
    urgency_changed: list[str] = []  # priority, path or deadline are other than before


# When a job was done, by its id; None: it is not known to be done.
FinishedAt = Callable[[str], int | None]
# Whether a job is known to be cancelled, by its id.
IsCancelled = Callable[[str], bool]


class Pipelines:
    """The unfinished jobs that take part in pipelines. Records may come in any order."""

    def __init__(self, finished_at_ms: FinishedAt, is_cancelled: IsCancelled) -> None:
        """Both functions look up a job's record by its id."""
        self.nodes: dict[str, DependencyNode] = {}
        self.dependents: dict[str, set[str]] = {}  # job id -> ids of the jobs that depend on it
        self._finished_at_ms = finished_at_ms
        self._is_cancelled = is_cancelled

    def node(self, job_id: str) -> DependencyNode | None:
        """The job's node; None if it takes part in no pipeline."""
        return self.nodes.get(job_id)

    def add_job(self, job_id: str, depends_on: list[str], node: DependencyNode) -> PipelineChanges:
        """An unfinished job's record has come; returns what it changes for this and other jobs.

        `node`: the job as it stands alone.
        """
        changes = PipelineChanges()
        if not depends_on and job_id not in self.dependents:
            return changes  # nothing depends on it yet; its node is made when something does
        self.nodes[job_id] = node
        for dependency_id in depends_on:
            finished_at_ms = self._finished_at_ms(dependency_id)
            if finished_at_ms is not None:
                node.ready_since_ms = max(node.ready_since_ms, finished_at_ms)
                continue
            node.unfinished_dependencies.add(dependency_id)
            self.dependents.setdefault(dependency_id, set()).add(job_id)
        if any(self._is_cancelled(dependency_id) for dependency_id in node.unfinished_dependencies):
            changes.cancelled.append(job_id)
            self._cancel_dependents(changes)
        else:
            self._raise_urgency([job_id, *node.unfinished_dependencies], changes)
        return changes

    def add_dependency(self, job_id: str, node: DependencyNode) -> None:
        """Something depends on this job: it has a node, though it may depend on none."""
        self.nodes.setdefault(job_id, node)

    def complete_job(self, job_id: str, finished_at_ms: int) -> PipelineChanges:
        """A job's durable record says done; returns which others are ready by that."""
        changes = PipelineChanges()
        for dependent_id in sorted(self.dependents.pop(job_id, ())):
            node = self.nodes.get(dependent_id)
            if node is None or job_id not in node.unfinished_dependencies:
                continue
            node.unfinished_dependencies.discard(job_id)
            node.ready_since_ms = max(node.ready_since_ms, finished_at_ms)
            if not node.unfinished_dependencies:
                changes.ready.append(dependent_id)
        self.nodes.pop(job_id, None)
        return changes

    def cancel_job(self, job_id: str) -> PipelineChanges:
        """A job's durable record says cancelled; returns which others are by that."""
        changes = PipelineChanges(cancelled=[job_id])
        self._cancel_dependents(changes)
        changes.cancelled.remove(job_id)
        return changes

    def _cancel_dependents(self, changes: PipelineChanges) -> None:
        """Cancel all jobs that depend on those in `changes.cancelled`, breadth first.

        Without recursion: chains are thousands of jobs long. What a cancelled job depended on
        besides has one dependent fewer, so its urgency is computed anew.
        """
        cancelled_ids = set(changes.cancelled)
        other_dependencies: set[str] = set()
        for job_id in changes.cancelled:  # grows meanwhile: it is the queue as well
            node = self.nodes.pop(job_id, None)
            if node is not None:
                for dependency_id in node.unfinished_dependencies:
                    self.dependents.get(dependency_id, set()).discard(job_id)
                other_dependencies |= node.unfinished_dependencies
            for dependent_id in sorted(self.dependents.pop(job_id, ())):
                if dependent_id not in cancelled_ids and dependent_id in self.nodes:
                    cancelled_ids.add(dependent_id)
                    changes.cancelled.append(dependent_id)
        self._recompute_urgency(other_dependencies - cancelled_ids, changes)

    def _urgency(self, job_id: str, node: DependencyNode) -> Urgency:
        """Priority, path and deadline of a job by its own and its dependents' (T 3-1)."""
        urgency = Urgency(node.own_priority_level, 0.0, node.own_deadline_at)
        for dependent_id in self.dependents.get(job_id, ()):
            dependent = self.nodes.get(dependent_id)
            if dependent is not None:
                urgency.priority_level = max(urgency.priority_level, dependent.priority_level)
                urgency.critical_path_s = max(
                    urgency.critical_path_s, dependent.task_s + dependent.critical_path_s
                )
                urgency.deadline_at = min(
                    urgency.deadline_at, dependent.deadline_at - dependent.task_s
                )
        return urgency

    def _raise_urgency(self, job_ids: list[str], changes: PipelineChanges) -> None:
        """Carry priority, path and deadline from jobs back to their dependencies.

        Only as far as a job becomes more urgent by it. `job_ids` is used up.
        """
        stack = job_ids
        while stack:
            job_id = stack.pop()
            node = self.nodes.get(job_id)
            if node is None:
                continue
            urgency = self._urgency(job_id, node)
            if _clearly_exceeds(urgency, node):
                node.priority_level = max(urgency.priority_level, node.priority_level)
                node.critical_path_s = max(urgency.critical_path_s, node.critical_path_s)
                node.deadline_at = min(urgency.deadline_at, node.deadline_at)
                changes.urgency_changed.append(job_id)
                stack.extend(node.unfinished_dependencies)

    def _recompute_urgency(self, job_ids: Iterable[str], changes: PipelineChanges) -> None:
        """Jobs have fewer dependents now: they and their dependencies may be less urgent."""
        stack = sorted(job_ids)
        while stack:
            job_id = stack.pop()
            node = self.nodes.get(job_id)
            if node is None:
                continue
            urgency = self._urgency(job_id, node)
            if urgency != Urgency(node.priority_level, node.critical_path_s, node.deadline_at):
                node.priority_level = urgency.priority_level
                node.critical_path_s = urgency.critical_path_s
                node.deadline_at = urgency.deadline_at
                changes.urgency_changed.append(job_id)
                stack.extend(node.unfinished_dependencies)


def _clearly_exceeds(urgency: Urgency, node: DependencyNode) -> bool:
    """Whether a job is so much more urgent than its node says that it is worth carrying back."""
    deadline_is_sooner = (
        urgency.deadline_at < node.deadline_at - MIN_PATH_GROWTH * node.critical_path_s
    )
    return (
        urgency.priority_level > node.priority_level
        or urgency.critical_path_s > node.critical_path_s * (1 + MIN_PATH_GROWTH)
        or deadline_is_sooner
    )
