"""The limit on user requests in progress, adjusted to measured times.

When requests begin to take much longer than the best times seen, the limit shrinks toward
what can be served promptly; while they do not, it grows slowly.
"""

from __future__ import annotations

import math


class AdaptiveLimit:
    """Gradient limit: compares the recent mean time with a slowly forgotten best time."""

    # Times up to this many times the best are taken as undisturbed: answers that wait for a
    # round of reads take up to two rounds, and the machine's share of a core comes in slices.
    TOLERANCE = 6.0
    # Times up to a quarter of what users wait for an answer (2 s) are no reason to refuse anybody,
    # however short the best were: answers from memory take 20 ms, and while the state service
    # answered in 150 ms instead of 5 the limit sat at its least for 20 s and turned away two
    # hundred requests on a controller with time to spare.
    PROMPT_S = 0.5
    # Queries leave this share of the limit to submissions and cancels: their users ask again in 5 s
    # anyway.
    QUERY_SHARE = 0.75
    # Weight of one measurement in the running mean, and how fast the best time is forgotten.
    MEAN_WEIGHT = 0.05
    BEST_DRIFT = 0.002

    def __init__(self, least: int, most: int) -> None:
        self.least, self.most = float(least), float(most)
        self.limit = float(min(most, max(least, 64)))
        self.in_progress = 0
        self._best: float | None = None
        self._mean = 0.0

    def enter(self, query: bool = False) -> bool:
        """Count a request in, or say that there is no room for it."""
        if self.in_progress >= self.limit * (self.QUERY_SHARE if query else 1.0):
            return False
        self.in_progress += 1
        return True

    def leave(self, took_s: float) -> None:
        """Count a request out and learn from the time it took."""
        was_full = self.in_progress * 2 >= self.limit
        self.in_progress -= 1
        took_s = max(took_s, 1e-4)
        if self._best is None:
            self._best = self._mean = took_s
        self._best = min(took_s, self._best * (1 + self.BEST_DRIFT))
        self._mean += self.MEAN_WEIGHT * (took_s - self._mean)
        undisturbed = max(self.TOLERANCE * self._best, self.PROMPT_S)
        gradient = max(0.5, min(1.0, undisturbed / self._mean))
        if gradient >= 1.0 and not was_full:
            return  # nothing to learn from a limit that is not reached
        target = self.limit * gradient + math.sqrt(self.limit)
        self.limit = max(self.least, min(self.most, 0.9 * self.limit + 0.1 * target))
