"""Exponential back-off for offers that the cloud has refused."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.cloud.offer import Offer

# Back-off after the first refusal of an offer, as a share of the type's boot time. It doubles with
# each further refusal up to the maximum, which is short because capacity that was lost in a wave of
# preemptions is often available again within a boot time.
INITIAL_BACKOFF_BOOT_TIMES = 0.25
MAX_BACKOFF_BOOT_TIMES = 0.4


class _Backoff(NamedTuple):
    until: float  # in seconds of the monotonic clock
    wait_s: float


class RefusedOffers:
    """Tracks the back-off of each offer that was refused and not filled completely since."""

    def __init__(self) -> None:
        self._backoffs: dict[Offer, _Backoff] = {}

    def current(self, now: float) -> set[Offer]:
        """Return the offers whose back-off has not ended yet."""
        return {offer for offer, backoff in self._backoffs.items() if backoff.until > now}

    def on_refused(self, offer: Offer, boot_s: float, now: float) -> float:
        """Start or prolong the back-off of the offer; return its length in seconds."""
        last = self._backoffs.get(offer)
        last_wait_s = 0.5 * INITIAL_BACKOFF_BOOT_TIMES * boot_s if last is None else last.wait_s
        wait_s = min(2 * last_wait_s, MAX_BACKOFF_BOOT_TIMES * boot_s)
        self._backoffs[offer] = _Backoff(now + wait_s, wait_s)
        return wait_s

    def on_filled(self, offer: Offer) -> None:
        """End the back-off: the cloud has granted all machines that were requested."""
        self._backoffs.pop(offer, None)
