"""The conservative backfilling profile: free room on one machine over future time (T 3-2)."""

from __future__ import annotations

from bisect import bisect_right
from math import inf

from fallpulley.resources import Resources

# Rounding left over from adding and subtracting decimal amounts.
EPSILON = 1e-6


# A running task: the estimated time of its end, and the processors, accelerators and memory (GB)
# that it holds until then. A plain tuple: one is made for each task of a machine that changed.
Occupancy = tuple[float, float, float, float]


class Profile:
    """Steps of free room: step `i` lasts from `times[i]` until the next, the last one for ever.

    Parallel lists, as the search for a start goes over them for every pair of job and machine.
    """

    __slots__ = ("cpus", "gpus", "memory_gb", "times")

    def __init__(self, now: float, capacity: Resources, running: list[Occupancy]) -> None:
        """The room that `running` leaves of the machine's capacity, from now on."""
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
            if ends_at <= self.times[-1]:
                if len(self.times) > 1:
                    self.cpus[-1], self.gpus[-1], self.memory_gb[-1] = cpus, gpus, memory_gb
                    continue
                ends_at = now + EPSILON  # room is not free before it is reported free
            self.times.append(ends_at)
            self.cpus.append(cpus)
            self.gpus.append(gpus)
            self.memory_gb.append(memory_gb)

    def copy(self) -> Profile:
        """A profile of the same steps, to book in without changing this one."""
        other = Profile.__new__(Profile)
        other.times = self.times.copy()
        other.cpus = self.cpus.copy()
        other.gpus = self.gpus.copy()
        other.memory_gb = self.memory_gb.copy()
        return other

    def begin_at(self, now: float) -> None:
        """Let a profile made earlier, of which nothing has changed since, begin now. What was
        booked from its old beginning on could lie in the past altogether, and use no room."""
        if self.times[0] < now and (len(self.times) == 1 or self.times[1] > now):
            self.times[0] = now

    def next_change(self) -> float:
        """When the present room first changes; infinity: never."""
        return self.times[1] if len(self.times) > 1 else inf

    def earliest_start(self, resources: Resources, duration_s: float) -> float | None:
        """The first time from which the resources are free for the duration; None: never."""
        min_cpus = resources.cpus - EPSILON
        min_gpus = resources.gpus - EPSILON
        min_memory_gb = resources.memory_gb - EPSILON
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
        """Reserve the resources from `start` for the duration."""
        first = self._step_at(start)
        end = self._step_at(start + duration_s)
        for step in range(first, end):
            self.cpus[step] -= resources.cpus
            self.gpus[step] -= resources.gpus
            self.memory_gb[step] -= resources.memory_gb

    def _step_at(self, time: float) -> int:
        """The index of the step that begins at `time`, split off if there is none."""
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
        """Whether the resources are free at the beginning of the profile."""
        return (
            self.cpus[0] >= resources.cpus - EPSILON
            and self.memory_gb[0] >= resources.memory_gb - EPSILON
            and self.gpus[0] >= resources.gpus - EPSILON
        )
