"""The graph of dependencies between open jobs, and the urgency that it gives to each job.

The graph is derived from job records alone, so that every controller and every new owner of a
shard derives the same graph:

- A job is ready once the records of all its dependencies say that they are done. This state is
  final.
- A job that depends on a cancelled job, directly or through others, is cancelled as well. It cannot
  have started any task. Its own record is updated later, when the write queue has room.

A pipeline corresponds to one task graph of the thesis that `fallpulley.placement` follows: a job's
priority, its deadline and the length of the path after it are derived from the jobs that depend on
it (upward rank, T 3-1).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

# The share by which a path must have grown before the new length is propagated to dependencies.
# Without this, each job added to the end of a chain of thousands of jobs causes a traversal of the
# whole chain. The order of the queue does not need more exact lengths.
MIN_PATH_GROWTH = 1 / 16


class DependencyNode(msgspec.Struct, eq=False):
    """An open job that depends on other jobs or that other jobs depend on.

    Deadlines are in seconds since the epoch, infinite where there is none.
    """

    # When the last dependency was done (so far), in ms since the epoch; the time of submission if
    # there is no dependency.
    ready_since_ms: int
    own_priority_level: int = 0  # without regard to the jobs that depend on it
    task_s: float = 0.0  # the estimated time to fetch the image and run one task, in seconds
    own_deadline_at: float = math.inf  # without regard to the jobs that depend on it
    # The ids of the dependencies that are not known to be done.
    unfinished_dependencies: set[str] = msgspec.field(default_factory=set)
    priority_level: int = 0  # the highest level among the job and all jobs that depend on it
    # The longest path of task times through the jobs that depend on it, in seconds.
    critical_path_s: float = 0.0
    # When the job must be done so that it and all jobs that depend on it can meet their deadlines.
    deadline_at: float = math.inf


class Urgency(msgspec.Struct):
    """The urgency of a job that follows from itself and from the jobs that depend on it.

    The fields have the same meaning as in `DependencyNode`.
    """

    priority_level: int
    critical_path_s: float
    deadline_at: float


class PipelineChanges(msgspec.Struct):
    """The ids of the jobs that a change of another job's record affects."""

    ready: list[str] = []  # all dependencies are done now
    cancelled: list[str] = []  # a dependency was cancelled
    urgency_changed: list[str] = []  # the priority, path or deadline has changed


# Takes a job id; returns when the job was done, in ms since the epoch, or None if it is not known
# to be done.
FinishedAt = Callable[[str], int | None]
# Takes a job id; returns whether the job is known to be cancelled.
IsCancelled = Callable[[str], bool]


class Pipelines:
    """The dependency graph of open jobs. The records of jobs may be added in any order."""

    def __init__(self, finished_at_ms: FinishedAt, is_cancelled: IsCancelled) -> None:
        """Create an empty graph.

        Args:
            finished_at_ms: Returns when a job was done according to its record.
            is_cancelled: Returns whether a job is known to be cancelled.
        """
        self.nodes: dict[str, DependencyNode] = {}
        self.dependents: dict[str, set[str]] = {}  # job id -> ids of the jobs that depend on it
        self._finished_at_ms = finished_at_ms
        self._is_cancelled = is_cancelled

    def node(self, job_id: str) -> DependencyNode | None:
        """Return the job's node; None if the job is not part of any pipeline."""
        return self.nodes.get(job_id)

    def add_job(self, job_id: str, depends_on: list[str], node: DependencyNode) -> PipelineChanges:
        """Add an open job and return what changes for it and for other jobs.

        Args:
            job_id: The job's id.
            depends_on: The ids of the jobs that it depends on.
            node: The job's node, without the effects of the jobs that depend on it.
        """
        changes = PipelineChanges()
        if not depends_on and job_id not in self.dependents:
            return changes  # its node is added once another job depends on it
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

    def ensure_node(self, job_id: str, node: DependencyNode) -> None:
        """Add a node for a job that others depend on, unless the job already has one."""
        self.nodes.setdefault(job_id, node)

    def complete_job(self, job_id: str, finished_at_ms: int) -> PipelineChanges:
        """Remove a job whose durable record says done; return which other jobs became ready."""
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
        """Remove a job whose durable record says cancelled; return which others are cancelled."""
        changes = PipelineChanges(cancelled=[job_id])
        self._cancel_dependents(changes)
        changes.cancelled.remove(job_id)
        return changes

    def _cancel_dependents(self, changes: PipelineChanges) -> None:
        """Remove the jobs in `changes.cancelled` and, breadth first, all jobs that depend on them.

        The dependents are appended to `changes.cancelled`. There is no recursion, since chains may
        be thousands of jobs long. The other dependencies of a removed job lose a dependent, so
        their urgency is computed again.
        """
        cancelled_ids = set(changes.cancelled)
        other_dependencies: set[str] = set()
        for job_id in changes.cancelled:  # also the queue: it grows during the loop
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
        """Return a job's urgency, computed from its own node and its dependents' (T 3-1)."""
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
        """Update the urgency of jobs, and propagate it to their dependencies.

        Propagation stops at jobs that do not become clearly more urgent. Empties `job_ids`.
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
        """Compute again the urgency of jobs that lost dependents, and of their dependencies."""
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
    """Return whether a job is more urgent than its node says, by enough to be propagated."""
    deadline_is_sooner = (
        urgency.deadline_at < node.deadline_at - MIN_PATH_GROWTH * node.critical_path_s
    )
    return (
        urgency.priority_level > node.priority_level
        or urgency.critical_path_s > node.critical_path_s * (1 + MIN_PATH_GROWTH)
        or deadline_is_sooner
    )
