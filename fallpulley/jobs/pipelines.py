"""Jobs that await others: which are still to be done, which can never run, and what hangs on them.

All of it follows from job records alone, so every node and every successor derives the same:

- A job is ready once the records of all jobs that it awaits say done. Done never goes back.
- A job of which one that it awaits is withdrawn, at whatever depth, is withdrawn: it has never
  started anything. Its own record follows when there is time.

A pipeline is one task graph of the thesis: its priority, its deadline and the path after a job
reach back from the jobs that need it (upward rank, T 3-1).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

# A path is carried back once it has grown by this share: at every new end of a chain of thousands
# all of it was walked, and the order of the queue does not need it closer.
MIN_PATH_GROWTH = 1 / 16


class DependencyNode(msgspec.Struct, eq=False):
    """An unfinished job that awaits others, or that others await."""

    ready_since_ms: (
        int  # when the last that it awaited was done; its own submission if it awaited none
    )
    own_priority_level: int = 0
    task_s: float = 0.0  # estimated fetch and run time of a task
    own_deadline_at: float = math.inf  # its own deadline, time of day
    unfinished_dependencies: set[str] = msgspec.field(
        default_factory=set
    )  # awaited and not known to be done
    priority_level: int = 0  # the highest of its own and of all that need it
    critical_path_s: float = 0.0  # the longest path of lengths after it
    deadline_at: float = math.inf  # when it has to be done for all that need it to meet theirs


class Urgency(msgspec.Struct):
    """What the jobs that need a job ask of it."""

    priority_level: int
    critical_path_s: float
    deadline_at: float


class PipelineChanges(msgspec.Struct):
    """What a record has changed for other jobs."""

    ready: list[str] = []
    cancelled: list[str] = []
    more_urgent: list[str] = []  # rank, path or deadline are other than before


# How a job stands: None while its record has not been seen; whether it is done, and when; or
# withdrawn.
FinishedAt = Callable[[str], int | None]
IsCancelled = Callable[[str], bool]


class Pipelines:
    def __init__(self, finished_at_ms_of: FinishedAt, is_cancelled: IsCancelled) -> None:
        self.nodes: dict[str, DependencyNode] = {}
        self.dependents: dict[str, set[str]] = {}
        self._finished_at_ms = finished_at_ms_of
        self._is_cancelled = is_cancelled

    def node(self, job_id: str) -> DependencyNode | None:
        return self.nodes.get(job_id)

    def add_job(self, job_id: str, depends_on: list[str], node: DependencyNode) -> PipelineChanges:
        """An unfinished job's record has come, in whatever order. `node` as it stands alone."""
        changes = PipelineChanges([], [], [])
        if not depends_on and job_id not in self.dependents:
            return changes  # nothing awaits it yet; its node is made when something does
        self.nodes[job_id] = node
        for name in depends_on:
            finished_at_ms = self._finished_at_ms(name)
            if finished_at_ms is not None:
                node.ready_since_ms = max(node.ready_since_ms, finished_at_ms)
                continue
            node.unfinished_dependencies.add(name)
            self.dependents.setdefault(name, set()).add(job_id)
        if any(self._is_cancelled(name) for name in node.unfinished_dependencies):
            changes.cancelled.append(job_id)
            self._cancel_dependents(changes)
        else:
            self._raise_urgency([job_id, *node.unfinished_dependencies], changes)
        return changes

    def add_dependency(self, job_id: str, node: DependencyNode) -> None:
        """A job that awaits none is to have a node: something awaits it."""
        self.nodes.setdefault(job_id, node)

    def complete_job(self, job_id: str, finished_at_ms: int) -> PipelineChanges:
        """A job's durable record says done."""
        changes = PipelineChanges([], [], [])
        for name in sorted(self.dependents.pop(job_id, ())):
            node = self.nodes.get(name)
            if node is None or job_id not in node.unfinished_dependencies:
                continue
            node.unfinished_dependencies.discard(job_id)
            node.ready_since_ms = max(node.ready_since_ms, finished_at_ms)
            if not node.unfinished_dependencies:
                changes.ready.append(name)
        self.nodes.pop(job_id, None)
        return changes

    def cancel_job(self, job_id: str) -> PipelineChanges:
        """A job's durable record says withdrawn."""
        changes = PipelineChanges([], [job_id], [])
        self._cancel_dependents(changes)
        changes.cancelled.remove(job_id)
        return changes

    def _cancel_dependents(self, changes: PipelineChanges) -> None:
        """All that need a withdrawn job, at whatever depth, are withdrawn: no recursion. What they
        awaited besides is needed by one job fewer."""
        at = 0
        seen = set(changes.cancelled)
        relieved: set[str] = set()
        while at < len(changes.cancelled):
            job_id = changes.cancelled[at]
            at += 1
            node = self.nodes.pop(job_id, None)
            if node is not None:
                for name in node.unfinished_dependencies:
                    self.dependents.get(name, set()).discard(job_id)
                relieved |= node.unfinished_dependencies
            for name in sorted(self.dependents.pop(job_id, ())):
                if name not in seen and name in self.nodes:
                    seen.add(name)
                    changes.cancelled.append(name)
        self._recompute_urgency(relieved - seen, changes)

    def _outlook(self, job_id: str, node: DependencyNode) -> Urgency:
        """Rank, path and deadline of a job by its own and those of the jobs that need it."""
        found = Urgency(node.own_priority_level, 0.0, node.own_deadline_at)
        for name in self.dependents.get(job_id, ()):
            after = self.nodes.get(name)
            if after is not None:
                found.priority_level = max(found.priority_level, after.priority_level)
                found.critical_path_s = max(
                    found.critical_path_s, after.task_s + after.critical_path_s
                )
                found.deadline_at = min(found.deadline_at, after.deadline_at - after.task_s)
        return found

    def _raise_urgency(self, job_ids: list[str], changes: PipelineChanges) -> None:
        """Carry rank, path and deadline from jobs back to those that they await, where they press
        more than before."""
        stack = job_ids
        while stack:
            job_id = stack.pop()
            node = self.nodes.get(job_id)
            if node is None:
                continue
            found = self._outlook(job_id, node)
            sooner = found.deadline_at < node.deadline_at - MIN_PATH_GROWTH * node.critical_path_s
            if (
                found.priority_level > node.priority_level
                or found.critical_path_s > node.critical_path_s * (1 + MIN_PATH_GROWTH)
                or sooner
            ):
                node.priority_level = max(found.priority_level, node.priority_level)
                node.critical_path_s = max(found.critical_path_s, node.critical_path_s)
                node.deadline_at = min(found.deadline_at, node.deadline_at)
                changes.more_urgent.append(job_id)
                stack.extend(node.unfinished_dependencies)

    def _recompute_urgency(self, job_ids: Iterable[str], changes: PipelineChanges) -> None:
        """Jobs are needed by fewer than before: what pressed them may press them no more."""
        stack = sorted(job_ids)
        while stack:
            job_id = stack.pop()
            node = self.nodes.get(job_id)
            if node is None:
                continue
            found = self._outlook(job_id, node)
            if (found.priority_level, found.critical_path_s, found.deadline_at) != (
                node.priority_level,
                node.critical_path_s,
                node.deadline_at,
            ):
                node.priority_level, node.critical_path_s, node.deadline_at = (
                    found.priority_level,
                    found.critical_path_s,
                    found.deadline_at,
                )
                changes.more_urgent.append(job_id)
                stack.extend(node.unfinished_dependencies)
