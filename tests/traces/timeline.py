"""Schedules actions at times of the simulated cluster."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from tests.traces.adapter import Cluster

Action = Callable[[], None]


class Timeline:
    """Steps the cluster and carries out the actions that are due before each step."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._due: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def after(self, seconds: float, action: Action) -> None:
        """Schedule an action in so many seconds of the cluster's time."""
        heapq.heappush(self._due, (self.cluster.now + seconds, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Step the cluster for so many seconds of its time."""
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            while self._due and self._due[0][0] <= self.cluster.now:
                heapq.heappop(self._due)[2]()
            self.cluster.step()
