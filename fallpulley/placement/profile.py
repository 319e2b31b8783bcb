"""The profile of conservative backfilling (T 3-2): a machine's free resources over time."""

from __future__ import annotations

from bisect import bisect_right
from math import inf

from fallpulley.resources import TOLERANCE, Resources

# How long an overdue task counts as holding its resources: until it is reported as ended.
OVERDUE_TASK_SECONDS = 1e-6


# The estimated end of a running task, and the processors, GPUs and memory (GB) that it
# holds until then. A plain tuple for speed: one is made for every task of each changed machine.
HeldResources = tuple[float, float, float, float]


class Profile:
    """The free resources of one machine over time, as a step function.

    Step `i` begins at `times[i]` and lasts until the next step begins; the last one has no end.
    The amounts are kept in parallel lists for speed: the search for a start scans them for every
    pair of job and machine.
    """

    __slots__ = ("cpus", "gpus", "memory_gb", "times")

    def __init__(self, now: float, capacity: Resources, running: list[HeldResources]) -> None:
        """Start at `now` with the part of the capacity that the running tasks leave free."""
        cpus, gpus, memory_gb = capacity
        by_end = sorted(running)
        for _, task_cpus, task_gpus, task_memory_gb in by_end:
            cpus -= task_cpus
            gpus -= task_gpus
            memory_gb -= task_memory_gb
        self.times = [now]
        self.cpus = [cpus]
        self.gpus = [gpus]
        self.memory_gb = [memory_gb]
        for ends_at, task_cpus, task_gpus, task_memory_gb in by_end:
            cpus += task_cpus
            gpus += task_gpus
            memory_gb += task_memory_gb
            step_at = ends_at
            if ends_at <= self.times[-1]:
                if len(self.times) > 1:
                    self.cpus[-1], self.gpus[-1], self.memory_gb[-1] = cpus, gpus, memory_gb
                    continue
                step_at = now + OVERDUE_TASK_SECONDS
            self.times.append(step_at)
            self.cpus.append(cpus)
            self.gpus.append(gpus)
            self.memory_gb.append(memory_gb)

    def copy(self) -> Profile:
        """Return a copy with the same steps, so that bookings leave this profile unchanged."""
        other = Profile.__new__(Profile)
        other.times = self.times.copy()
        other.cpus = self.cpus.copy()
        other.gpus = self.gpus.copy()
        other.memory_gb = self.memory_gb.copy()
        return other

    def advance_to(self, now: float) -> None:
        """Move the beginning of a profile that was made earlier, and is still valid, to `now`.

        A booking made from the old beginning could end before `now` and so reserve nothing. The
        profile stays as it is if its first step ends by then.
        """
        if self.times[0] < now and (len(self.times) == 1 or self.times[1] > now):
            self.times[0] = now

    def next_change(self) -> float:
        """Return when the first step ends, or infinity if it is the only one."""
        return self.times[1] if len(self.times) > 1 else inf

    def earliest_start(self, resources: Resources, duration_s: float) -> float | None:
        """Return the first time from which the resources are free for the duration, or None."""
        min_cpus = resources.cpus - TOLERANCE
        min_gpus = resources.gpus - TOLERANCE
        min_memory_gb = resources.memory_gb - TOLERANCE
        times, cpus, gpus, memory_gb = self.times, self.cpus, self.gpus, self.memory_gb
        count = len(times)
        first = 0
        while first < count:
            if cpus[first] < min_cpus or memory_gb[first] < min_memory_gb or gpus[first] < min_gpus:
                first += 1
                continue
            end = times[first] + duration_s
            step = first + 1
            while step < count and times[step] < end:
                if (
                    cpus[step] < min_cpus
                    or memory_gb[step] < min_memory_gb
                    or gpus[step] < min_gpus
                ):
                    break
                step += 1
            else:
                return times[first]
            first = step + 1
        return None

    def book(self, start: float, duration_s: float, resources: Resources) -> None:
        """Reserve the resources from `start` on for the duration."""
        first = self._step_at(start)
        end = self._step_at(start + duration_s)
        for step in range(first, end):
            self.cpus[step] -= resources.cpus
            self.gpus[step] -= resources.gpus
            self.memory_gb[step] -= resources.memory_gb

    def _step_at(self, time: float) -> int:
        """Return the index of the step that begins at `time`; split a step if none does.

        Times before the profile's beginning count as its beginning.
        """
        step = bisect_right(self.times, time) - 1
        if step < 0:
            return 0
        if self.times[step] == time:
            return step
        self.times.insert(step + 1, time)
        self.cpus.insert(step + 1, self.cpus[step])
        self.gpus.insert(step + 1, self.gpus[step])
        self.memory_gb.insert(step + 1, self.memory_gb[step])
        return step + 1

    def fits_now(self, resources: Resources) -> bool:
        """Return whether the resources are free at the beginning of the profile."""
        return (
            self.cpus[0] >= resources.cpus - TOLERANCE
            and self.memory_gb[0] >= resources.memory_gb - TOLERANCE
            and self.gpus[0] >= resources.gpus - TOLERANCE
        )
