"""The backfilling profile: free room on one machine over future time (thesis 3-2)."""

from __future__ import annotations

from bisect import bisect_right
from math import inf

# Rounding left over from adding and subtracting decimal amounts.
EPSILON = 1e-6


class Profile:
    """Steps of free room: from `times[i]` until the next step, or for ever after the last."""

    __slots__ = ("cards", "cpus", "mem", "times")

    def __init__(
        self,
        now: float,
        cpus: float,
        cards: float,
        mem: float,
        running: list[tuple[float, float, float, float]],
    ) -> None:
        """`running`: (end, cpus, cards, mem) of what occupies the machine now."""
        steps = sorted(running)
        for _, c, g, m in steps:
            cpus -= c
            cards -= g
            mem -= m
        self.times = [now]
        self.cpus = [cpus]
        self.cards = [cards]
        self.mem = [mem]
        for end, c, g, m in steps:
            cpus += c
            cards += g
            mem += m
            if end <= self.times[-1]:
                if len(self.times) > 1:
                    self.cpus[-1], self.cards[-1], self.mem[-1] = cpus, cards, mem
                    continue
                end = now + EPSILON  # room is not free before it is reported free
            self.times.append(end)
            self.cpus.append(cpus)
            self.cards.append(cards)
            self.mem.append(mem)

    def copy(self) -> Profile:
        other = Profile.__new__(Profile)
        other.times = self.times.copy()
        other.cpus = self.cpus.copy()
        other.cards = self.cards.copy()
        other.mem = self.mem.copy()
        return other

    def begin_at(self, now: float) -> None:
        """Let a profile made earlier, of which nothing has changed since, begin now. What was
        booked from its old beginning on could lie in the past altogether, and take no room."""
        if self.times[0] < now and (len(self.times) == 1 or self.times[1] > now):
            self.times[0] = now

    def next_change(self) -> float:
        """When the room now first changes."""
        return self.times[1] if len(self.times) > 1 else inf

    def earliest(self, need: tuple[float, float, float], duration: float) -> float | None:
        """The first time from which `need` fits for `duration`; None: never."""
        c, g, m = need[0] - EPSILON, need[1] - EPSILON, need[2] - EPSILON
        times, cpus, cards, mem = self.times, self.cpus, self.cards, self.mem
        count = len(times)
        start = 0
        while start < count:
            if cpus[start] < c or mem[start] < m or cards[start] < g:
                start += 1
                continue
            end = times[start] + duration
            step = start + 1
            while step < count and times[step] < end:
                if cpus[step] < c or mem[step] < m or cards[step] < g:
                    break
                step += 1
            else:
                return times[start]
            start = step + 1
        return None

    def book(self, start: float, duration: float, need: tuple[float, float, float]) -> None:
        """Take `need` from `start` for `duration`."""
        first = self._cut(start)
        last = self._cut(start + duration)
        for step in range(first, last):
            self.cpus[step] -= need[0]
            self.cards[step] -= need[1]
            self.mem[step] -= need[2]

    def _cut(self, at: float) -> int:
        """The index of the step that begins at `at`, made if there is none."""
        step = bisect_right(self.times, at) - 1
        if step < 0:
            return 0
        if self.times[step] == at:
            return step
        self.times.insert(step + 1, at)
        self.cpus.insert(step + 1, self.cpus[step])
        self.cards.insert(step + 1, self.cards[step])
        self.mem.insert(step + 1, self.mem[step])
        return step + 1

    def room_now(self, need: tuple[float, float, float]) -> bool:
        return (
            self.cpus[0] >= need[0] - EPSILON
            and self.mem[0] >= need[2] - EPSILON
            and self.cards[0] >= need[1] - EPSILON
        )
