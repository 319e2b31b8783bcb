"""A limit on user requests in progress, adapted to the measured response times.

When requests take much longer than the best time seen, the limit shrinks toward the number that can
be served promptly. Otherwise it grows slowly while it is used.
"""

from __future__ import annotations

import math

# Mean response times of up to this many times the best time are acceptable: a response that waits
# for a current read takes up to two reads, and the controller gets its share of a core in slices.
TOLERATED_SLOWDOWN = 6.0
# Mean response times up to this are acceptable, whatever the best time: a quarter of the 2 s that
# users wait for a response. Responses from memory take 20 ms. Without this bound, while the state
# service responded in 150 ms instead of 5 ms, the limit stayed at its minimum for 20 s, and a
# controller that was not overloaded refused two hundred requests.
PROMPT_SECONDS = 0.5
# Share of the limit up to which queries are admitted; the rest is reserved for submissions and
# cancellations. Users repeat a query after 5 s anyway.
QUERY_SHARE = 0.75
# Weight of one measurement in the moving average of the response times.
MEAN_WEIGHT = 0.05
# Share by which the best time grows with each request, so that it follows a lasting slowdown.
BEST_TIME_GROWTH = 0.002
# The limit, in requests, before any time is measured.
INITIAL_LIMIT = 64
# Lower bound of the factor by which the limit is multiplied to get the target.
MIN_GRADIENT = 0.5
# Weights of the present limit and of the target in the next limit.
LIMIT_WEIGHT = 0.9
TARGET_WEIGHT = 0.1
# Shorter response times are taken as this, so that the best time is never zero.
MIN_MEASURED_SECONDS = 1e-4


class AdaptiveLimit:
    """A gradient concurrency limit.

    It compares the mean of the recent response times with the best time, which slowly grows until
    a shorter time is measured.
    """

    def __init__(self, min_limit: int, max_limit: int) -> None:
        """Create a limit between `min_limit` and `max_limit` requests in progress."""
        self.min_limit, self.max_limit = float(min_limit), float(max_limit)
        self.limit = float(min(max_limit, max(min_limit, INITIAL_LIMIT)))
        self.in_progress = 0  # number of requests in progress
        self._best_s: float | None = None
        self._mean_s = 0.0

    def enter(self, query: bool = False) -> bool:
        """Count a new request; return False, without counting it, if the limit is reached.

        `query`: the request only reads, so that a lower limit applies.
        """
        if self.in_progress >= self.limit * (QUERY_SHARE if query else 1.0):
            return False
        self.in_progress += 1
        return True

    def leave(self, took_s: float) -> None:
        """Remove a request from the count and adapt the limit to the seconds that it took."""
        was_half_used = self.in_progress * 2 >= self.limit
        self.in_progress -= 1
        took_s = max(took_s, MIN_MEASURED_SECONDS)
        if self._best_s is None:
            self._best_s = self._mean_s = took_s
        self._best_s = min(took_s, self._best_s * (1 + BEST_TIME_GROWTH))
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        acceptable_s = max(TOLERATED_SLOWDOWN * self._best_s, PROMPT_SECONDS)
        gradient = max(MIN_GRADIENT, min(1.0, acceptable_s / self._mean_s))
        if gradient >= 1.0 and not was_half_used:
            # While less than half of the limit is used, good response times do not show that a
            # higher limit could be served, so it does not grow.
            return
        target = self.limit * gradient + math.sqrt(self.limit)
        smoothed = LIMIT_WEIGHT * self.limit + TARGET_WEIGHT * target
        self.limit = max(self.min_limit, min(self.max_limit, smoothed))
