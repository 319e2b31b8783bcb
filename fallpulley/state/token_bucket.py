"""Token buckets, which limit the rates of requests, changes and bytes."""

from __future__ import annotations


class TokenBucket:
    """A bucket that earns `rate` tokens a second and holds at most those of one second.

    Callers refill it and spend tokens by lowering `tokens`, which may become negative.
    """

    def __init__(self, rate: float) -> None:
        """Create a full bucket; `rate`: tokens a second."""
        self.base_rate = rate  # tokens a second when all controllers have the same rate
        self.rate_factor = 1.0  # factor by which the base rate is multiplied
        self.rate = rate  # tokens a second
        self.capacity = max(rate, 1.0)
        self.tokens = self.capacity
        self.refilled_at: float | None = None  # monotonic clock, in seconds; None: never

    def lower_rate(self, rate: float) -> None:
        """Lower the base rate to `rate` tokens a second; it is never raised."""
        self.base_rate = min(self.base_rate, rate)
        self.set_rate_factor(self.rate_factor)

    def set_rate_factor(self, factor: float) -> None:
        """Set the rate to `factor` times the base rate.

        The factors of all controllers add up to the number of controllers.
        """
        self.rate_factor = factor
        self.rate = self.base_rate * factor
        self.capacity = max(self.rate, 1.0)
        self.tokens = min(self.tokens, self.capacity)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call; `now`: monotonic clock, in seconds."""
        if self.refilled_at is not None:
            self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
