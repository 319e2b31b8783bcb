"""Token buckets: rates of requests, changes and bytes that are kept over time."""

from __future__ import annotations


class TokenBucket:
    """Tokens for one budget: `rate` a second, saving up at most one second's worth.

    Callers refill it, and spend tokens by lowering `tokens`.
    """

    def __init__(self, rate: float) -> None:
        self.equal_rate = rate  # a second; what each controller has where all have the same
        self.share = 1.0  # of the equal rate
        self.rate = rate
        self.capacity = max(rate, 1.0)
        self.tokens = self.capacity
        self.refilled_at: float | None = None

    def lower_rate(self, rate: float) -> None:
        """Lower the equal rate to `rate` tokens a second; it is never raised."""
        self.equal_rate = min(self.equal_rate, rate)
        self.set_share(self.share)

    def set_share(self, share: float) -> None:
        """Use `share` times the equal rate; all controllers' shares add up to their number."""
        self.share = share
        self.rate = self.equal_rate * share
        self.capacity = max(self.rate, 1.0)
        self.tokens = min(self.tokens, self.capacity)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call; `now` in seconds of the monotonic clock."""
        if self.refilled_at is not None:
            self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
