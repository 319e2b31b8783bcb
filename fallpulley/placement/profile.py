"""The backfilling profile: free room on one machine over future time (thesis 3-2)."""

from __future__ import annotations

from bisect import bisect_right
from math import inf

from fallpulley.resources import Resources

# Rounding left over from adding and subtracting decimal amounts.
EPSILON = 1e-6


class Profile:
    """Steps of free room: from `times[i]` until the next step, or for ever after the last."""

    __slots__ = ("cpus", "gpus", "memory_gb", "times")

    def __init__(
        self,
        now: float,
        cpus: float,
        gpus: float,
        memory_gb: float,
        running: list[tuple[float, float, float, float]],
    ) -> None:
        """`running`: (end, cpus, cards, mem) of what occupies the machine now."""
        steps = sorted(running)
        for _, c, g, m in steps:
            cpus -= c
            gpus -= g
            memory_gb -= m
        self.times = [now]
        self.cpus = [cpus]
        self.gpus = [gpus]
        self.memory_gb = [memory_gb]
        for end, c, g, m in steps:
            cpus += c
            gpus += g
            memory_gb += m
            if end <= self.times[-1]:
                if len(self.times) > 1:
                    self.cpus[-1], self.gpus[-1], self.memory_gb[-1] = cpus, gpus, memory_gb
                    continue
                end = now + EPSILON  # room is not free before it is reported free
            self.times.append(end)
            self.cpus.append(cpus)
            self.gpus.append(gpus)
            self.memory_gb.append(memory_gb)

    def copy(self) -> Profile:
        other = Profile.__new__(Profile)
        other.times = self.times.copy()
        other.cpus = self.cpus.copy()
        other.gpus = self.gpus.copy()
        other.memory_gb = self.memory_gb.copy()
        return other

    def begin_at(self, now: float) -> None:
        """Let a profile made earlier, of which nothing has changed since, begin now. What was
        booked from its old beginning on could lie in the past altogether, and take no room."""
        if self.times[0] < now and (len(self.times) == 1 or self.times[1] > now):
            self.times[0] = now

    def next_change(self) -> float:
        """When the room now first changes."""
        return self.times[1] if len(self.times) > 1 else inf

    def earliest(self, resources: Resources, duration: float) -> float | None:
        """The first time from which `need` fits for `duration`; None: never."""
        c, g, m = resources.cpus - EPSILON, resources.gpus - EPSILON, resources.memory_gb - EPSILON
        times, cpus, gpus, memory_gb = self.times, self.cpus, self.gpus, self.memory_gb
        count = len(times)
        start = 0
        while start < count:
            if cpus[start] < c or memory_gb[start] < m or gpus[start] < g:
                start += 1
                continue
            end = times[start] + duration
            step = start + 1
            while step < count and times[step] < end:
                if cpus[step] < c or memory_gb[step] < m or gpus[step] < g:
                    break
                step += 1
            else:
                return times[start]
            start = step + 1
        return None

    def book(self, start: float, duration: float, resources: Resources) -> None:
        """Take `need` from `start` for `duration`."""
        first = self._cut(start)
        last = self._cut(start + duration)
        for step in range(first, last):
            self.cpus[step] -= resources.cpus
            self.gpus[step] -= resources.gpus
            self.memory_gb[step] -= resources.memory_gb

    def _cut(self, at: float) -> int:
        """The index of the step that begins at `at`, made if there is none."""
        step = bisect_right(self.times, at) - 1
        if step < 0:
            return 0
        if self.times[step] == at:
            return step
        self.times.insert(step + 1, at)
        self.cpus.insert(step + 1, self.cpus[step])
        self.gpus.insert(step + 1, self.gpus[step])
        self.memory_gb.insert(step + 1, self.memory_gb[step])
        return step + 1

    def fits_now(self, resources: Resources) -> bool:
        return (
            self.cpus[0] >= resources.cpus - EPSILON
            and self.memory_gb[0] >= resources.memory_gb - EPSILON
            and self.gpus[0] >= resources.gpus - EPSILON
        )
