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
PATH_STEP = 1 / 16


class Node(msgspec.Struct, eq=False):
    """An unfinished job that awaits others, or that others await."""

    since_ms: int  # when the last that it awaited was done; its own submission if it awaited none
    own_rank: int = 0
    length_s: float = 0.0  # estimated fetch and run time of a task
    own_due_at: float = math.inf  # its own deadline, time of day
    missing: set[str] = msgspec.field(default_factory=set)  # awaited and not known to be done
    rank: int = 0  # the highest of its own and of all that need it
    path_s: float = 0.0  # the longest path of lengths after it
    due_at: float = math.inf  # when it has to be done for all that need it to meet theirs


class Outlook(msgspec.Struct):
    """What the jobs that need a job ask of it."""

    rank: int
    path_s: float
    due_at: float


class Changes(msgspec.Struct):
    """What a record has changed for other jobs."""

    ready: list[str] = []
    withdrawn: list[str] = []
    lifted: list[str] = []  # rank, path or deadline are other than before


# How a job stands: None while its record has not been seen; whether it is done, and when; or
# withdrawn.
IsDone = Callable[[str], int | None]
IsWithdrawn = Callable[[str], bool]


class Pipelines:
    def __init__(self, ended_ms: IsDone, is_withdrawn: IsWithdrawn) -> None:
        self.nodes: dict[str, Node] = {}
        self.needed_by: dict[str, set[str]] = {}
        self._ended_ms = ended_ms
        self._is_withdrawn = is_withdrawn

    def node(self, job: str) -> Node | None:
        return self.nodes.get(job)

    def opened(self, job: str, awaits: list[str], node: Node) -> Changes:
        """An unfinished job's record has come, in whatever order. `node` as it stands alone."""
        changes = Changes([], [], [])
        if not awaits and job not in self.needed_by:
            return changes  # nothing awaits it yet; its node is made when something does
        self.nodes[job] = node
        for name in awaits:
            ended = self._ended_ms(name)
            if ended is not None:
                node.since_ms = max(node.since_ms, ended)
                continue
            node.missing.add(name)
            self.needed_by.setdefault(name, set()).add(job)
        if any(self._is_withdrawn(name) for name in node.missing):
            changes.withdrawn.append(job)
            self._spread(changes)
        else:
            self._lift([job, *node.missing], changes)
        return changes

    def awaited(self, job: str, node: Node) -> None:
        """A job that awaits none is to have a node: something awaits it."""
        self.nodes.setdefault(job, node)

    def done(self, job: str, at_ms: int) -> Changes:
        """A job's durable record says done."""
        changes = Changes([], [], [])
        for name in sorted(self.needed_by.pop(job, ())):
            node = self.nodes.get(name)
            if node is None or job not in node.missing:
                continue
            node.missing.discard(job)
            node.since_ms = max(node.since_ms, at_ms)
            if not node.missing:
                changes.ready.append(name)
        self.nodes.pop(job, None)
        return changes

    def withdrawn(self, job: str) -> Changes:
        """A job's durable record says withdrawn."""
        changes = Changes([], [job], [])
        self._spread(changes)
        changes.withdrawn.remove(job)
        return changes

    def _spread(self, changes: Changes) -> None:
        """All that need a withdrawn job, at whatever depth, are withdrawn: no recursion. What they
        awaited besides is needed by one job fewer."""
        at = 0
        seen = set(changes.withdrawn)
        relieved: set[str] = set()
        while at < len(changes.withdrawn):
            job = changes.withdrawn[at]
            at += 1
            node = self.nodes.pop(job, None)
            if node is not None:
                for name in node.missing:
                    self.needed_by.get(name, set()).discard(job)
                relieved |= node.missing
            for name in sorted(self.needed_by.pop(job, ())):
                if name not in seen and name in self.nodes:
                    seen.add(name)
                    changes.withdrawn.append(name)
        self._lower(relieved - seen, changes)

    def _outlook(self, job: str, node: Node) -> Outlook:
        """Rank, path and deadline of a job by its own and those of the jobs that need it."""
        found = Outlook(node.own_rank, 0.0, node.own_due_at)
        for name in self.needed_by.get(job, ()):
            after = self.nodes.get(name)
            if after is not None:
                found.rank = max(found.rank, after.rank)
                found.path_s = max(found.path_s, after.length_s + after.path_s)
                found.due_at = min(found.due_at, after.due_at - after.length_s)
        return found

    def _lift(self, jobs: list[str], changes: Changes) -> None:
        """Carry rank, path and deadline from jobs back to those that they await, where they press
        more than before."""
        stack = jobs
        while stack:
            job = stack.pop()
            node = self.nodes.get(job)
            if node is None:
                continue
            found = self._outlook(job, node)
            sooner = found.due_at < node.due_at - PATH_STEP * node.path_s
            if found.rank > node.rank or found.path_s > node.path_s * (1 + PATH_STEP) or sooner:
                node.rank = max(found.rank, node.rank)
                node.path_s = max(found.path_s, node.path_s)
                node.due_at = min(found.due_at, node.due_at)
                changes.lifted.append(job)
                stack.extend(node.missing)

    def _lower(self, jobs: Iterable[str], changes: Changes) -> None:
        """Jobs are needed by fewer than before: what pressed them may press them no more."""
        stack = sorted(jobs)
        while stack:
            job = stack.pop()
            node = self.nodes.get(job)
            if node is None:
                continue
            found = self._outlook(job, node)
            if (found.rank, found.path_s, found.due_at) != (node.rank, node.path_s, node.due_at):
                node.rank, node.path_s, node.due_at = found.rank, found.path_s, found.due_at
                changes.lifted.append(job)
                stack.extend(node.missing)
