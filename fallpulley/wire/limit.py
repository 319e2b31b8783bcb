"""The limit on user requests in progress, adjusted to measured times.

When requests begin to take much longer than the best times seen, the limit shrinks toward
what can be served promptly; while they do not, it grows slowly.
"""

from __future__ import annotations

import math

# Times up to this many times the best are taken as undisturbed: responses that wait
# for a current read take up to two reads, and the machine's share of a core comes in slices.
TOLERATED_SLOWDOWN = 6.0
# Times up to a quarter of what users wait for a response (2 s) are no reason to refuse anybody,
# however short the best were: responses from memory take 20 ms, and while the state service
# responded in 150 ms instead of 5 the limit sat at its minimum for 20 s and turned away two
# hundred requests on a controller with time to spare.
PROMPT_SECONDS = 0.5
# Queries leave this share of the limit to submissions and cancels: their users ask again in 5 s
# anyway.
QUERY_SHARE = 0.75
# Weight of one measurement in the running mean, and how fast the best time is forgotten.
MEAN_WEIGHT = 0.05
BEST_TIME_DRIFT = 0.002
# The limit before anything was measured.
INITIAL_LIMIT = 64
# One step lowers the target to no less than this share of the limit.
MIN_GRADIENT = 0.5
# Weights of the present limit and the target in the next limit.
LIMIT_WEIGHT = 0.9
TARGET_WEIGHT = 0.1
# Shorter times count as this, so that the best time is never zero.
MIN_MEASURED_SECONDS = 1e-4


class AdaptiveLimit:
    """A gradient limit: compares the recent mean time with a slowly forgotten best time."""

    def __init__(self, min_limit: int, max_limit: int) -> None:
        """The bounds of the limit, in requests."""
        self.min_limit, self.max_limit = float(min_limit), float(max_limit)
        self.limit = float(min(max_limit, max(min_limit, INITIAL_LIMIT)))
        self.in_progress = 0
        self._best_s: float | None = None
        self._mean_s = 0.0

    def enter(self, query: bool = False) -> bool:
        """Count a request in; False if there is no room for it."""
        if self.in_progress >= self.limit * (QUERY_SHARE if query else 1.0):
            return False
        self.in_progress += 1
        return True

    def leave(self, took_s: float) -> None:
        """Count a request out and adjust the limit to the time it took, in seconds."""
        was_full = self.in_progress * 2 >= self.limit
        self.in_progress -= 1
        took_s = max(took_s, MIN_MEASURED_SECONDS)
        if self._best_s is None:
            self._best_s = self._mean_s = took_s
        self._best_s = min(took_s, self._best_s * (1 + BEST_TIME_DRIFT))
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        undisturbed_s = max(TOLERATED_SLOWDOWN * self._best_s, PROMPT_SECONDS)
        gradient = max(MIN_GRADIENT, min(1.0, undisturbed_s / self._mean_s))
        if gradient >= 1.0 and not was_full:
            return  # nothing to learn from a limit that is not reached
        target = self.limit * gradient + math.sqrt(self.limit)
        smoothed = LIMIT_WEIGHT * self.limit + TARGET_WEIGHT * target
        self.limit = max(self.min_limit, min(self.max_limit, smoothed))
