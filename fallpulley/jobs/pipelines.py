"""Jobs that await others: which are still to be done, which can never run, and what hangs on them.

All of it follows from job records alone, so every node and every successor derives the same:

- A job is ready once the records of all jobs that it awaits say done. Done never goes back.
- A job of which one that it awaits is withdrawn, at whatever depth, is withdrawn: it has never
  started anything. Its own record follows when there is time.

A pipeline is one task graph of the thesis: its priority and the path after a job reach back from
the jobs that need it (upward rank, T 3-1).
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# A path is carried back once it has grown by this share: at every new end of a chain of thousands
# all of it was walked, and the order of the queue does not need it closer.
PATH_STEP = 1 / 16


class Node(msgspec.Struct, eq=False):
    """An unfinished job that awaits others, or that others await."""

    awaits: list[str]
    missing: set[str]  # of those, what is not known to be done
    since_ms: int  # when the last of them was done; its own submission if it awaited none
    rank: int = 0  # the highest of its own and of all that need it
    own_rank: int = 0
    length_s: float = 0.0  # estimated fetch and run time of a task
    path_s: float = 0.0  # the longest path of lengths after it


class Changes(msgspec.Struct):
    """What a record has changed for other jobs."""

    ready: list[str] = []
    withdrawn: list[str] = []
    lifted: list[str] = []  # rank or path have grown


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

    def opened(
        self, job: str, awaits: list[str], at_ms: int, rank: int, length_s: float
    ) -> Changes:
        """An unfinished job's record has come, in whatever order."""
        changes = Changes([], [], [])
        if not awaits and job not in self.needed_by:
            return changes  # nothing awaits it yet; its node is made when something does
        node = self._make(job, awaits, at_ms, rank, length_s)
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

    def _make(self, job: str, awaits: list[str], at_ms: int, rank: int, length_s: float) -> Node:
        node = Node(awaits, set(), at_ms, rank, rank, length_s)
        self.nodes[job] = node
        return node

    def awaited(self, job: str, at_ms: int, rank: int, length_s: float) -> None:
        """A job that awaits none is to have a node: something awaits it."""
        if job not in self.nodes:
            self._make(job, [], at_ms, rank, length_s)

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
        """All that need a withdrawn job, at whatever depth, are withdrawn: no recursion."""
        at = 0
        seen = set(changes.withdrawn)
        while at < len(changes.withdrawn):
            job = changes.withdrawn[at]
            at += 1
            node = self.nodes.pop(job, None)
            if node is not None:
                for name in node.missing:
                    self.needed_by.get(name, set()).discard(job)
            for name in sorted(self.needed_by.pop(job, ())):
                if name not in seen and name in self.nodes:
                    seen.add(name)
                    changes.withdrawn.append(name)

    def _lift(self, jobs: list[str], changes: Changes) -> None:
        """Carry rank and path from jobs back to those that they await, where they grow."""
        stack = jobs
        while stack:
            job = stack.pop()
            node = self.nodes.get(job)
            if node is None:
                continue
            rank, path_s = node.own_rank, 0.0
            for name in self.needed_by.get(job, ()):
                after = self.nodes.get(name)
                if after is not None:
                    rank = max(rank, after.rank)
                    path_s = max(path_s, after.length_s + after.path_s)
            if rank > node.rank or path_s > node.path_s * (1 + PATH_STEP):
                node.rank, node.path_s = max(rank, node.rank), max(path_s, node.path_s)
                changes.lifted.append(job)
                stack.extend(node.missing)
