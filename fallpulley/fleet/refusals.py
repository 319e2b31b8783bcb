"""Offers that the cloud has refused: left alone for a while, longer each time."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.cloud.offer import Offer

# A refused offer is asked for again after this share of the type's boot time, doubling up to the
# other: what a wave of preemptions took is often to be had again within a boot time.
REFUSAL_BACKOFF_BOOTS = 0.25
MAX_REFUSAL_BACKOFF_BOOTS = 0.4


class _Backoff(NamedTuple):
    until: float  # by the steady clock
    wait_s: float


class RefusedOffers:
    """The back-off of each offer since the cloud last had it in full."""

    def __init__(self) -> None:
        self._backoffs: dict[Offer, _Backoff] = {}

    def current(self, now: float) -> set[Offer]:
        """Offers not to be asked for at present."""
        return {offer for offer, backoff in self._backoffs.items() if backoff.until > now}

    def on_refused(self, offer: Offer, boot_s: float, now: float) -> float:
        """Leave the offer alone from now on; returns for how many seconds."""
        last = self._backoffs.get(offer)
        last_wait_s = 0.5 * REFUSAL_BACKOFF_BOOTS * boot_s if last is None else last.wait_s
        wait_s = min(2 * last_wait_s, MAX_REFUSAL_BACKOFF_BOOTS * boot_s)
        self._backoffs[offer] = _Backoff(now + wait_s, wait_s)
        return wait_s

    def on_filled(self, offer: Offer) -> None:
        """The cloud had all machines that were asked for: begin anew with the next refusal."""
        self._backoffs.pop(offer, None)
