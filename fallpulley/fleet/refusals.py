"""Exponential back-off for offers that the cloud has refused."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.cloud.offer import Offer
from fallpulley.mesh.peers import PEER_HEARTBEAT_INTERVAL_SECONDS

# Back-off after the first refusal of an offer, as a share of the type's boot time. It doubles with
# each further refusal up to the maximum, which is short because capacity that was lost in a wave of
# preemptions is often available again within a boot time.
INITIAL_BACKOFF_BOOT_TIMES = 0.25
MAX_BACKOFF_BOOT_TIMES = 0.4
# How long a refusal is announced at least, in intervals of the heartbeats between controllers: an
# owner that does not lead learns of it and requests other machines with one heartbeat each.
MIN_ANNOUNCED_HEARTBEATS = 3.0


class _Backoff(NamedTuple):
    refused_at: float  # in seconds of the monotonic clock
    wait_s: float

    @property
    def until(self) -> float:
        """When the offer may be requested again, in seconds of the monotonic clock."""
        return self.refused_at + self.wait_s


class RefusedOffers:
    """Tracks the back-off of each offer that was refused and not filled completely since.

    The cloud's responses reach the leader only, which announces the refused offers to the others.
    """

    def __init__(self) -> None:
        self._backoffs: dict[Offer, _Backoff] = {}
        # The ends of the back-offs that the leader announced, in seconds of the monotonic clock.
        self._announced_until: dict[Offer, float] = {}

    def current(self, now: float) -> set[Offer]:
        """Return the offers whose back-off has not ended yet."""
        refused = {offer for offer, backoff in self._backoffs.items() if backoff.until > now}
        return refused | {offer for offer, until in self._announced_until.items() if until > now}

    def to_announce(self, now: float) -> dict[Offer, float]:
        """Return for how many seconds other owners should not request each refused offer."""
        min_s = MIN_ANNOUNCED_HEARTBEATS * PEER_HEARTBEAT_INTERVAL_SECONDS
        until = {
            offer: backoff.refused_at + max(min_s, backoff.wait_s)
            for offer, backoff in self._backoffs.items()
        }
        return {offer: ends_at - now for offer, ends_at in until.items() if ends_at > now}

    def on_announced(self, remaining_s: dict[Offer, float], now: float) -> None:
        """Replace the announced refusals by the newest ones, given with their `to_announce`."""
        self._announced_until = {offer: now + wait_s for offer, wait_s in remaining_s.items()}

    def on_refused(self, offer: Offer, boot_s: float, now: float) -> float:
        """Start or prolong the back-off of the offer; return its length in seconds."""
        last = self._backoffs.get(offer)
        last_wait_s = 0.5 * INITIAL_BACKOFF_BOOT_TIMES * boot_s if last is None else last.wait_s
        wait_s = min(2 * last_wait_s, MAX_BACKOFF_BOOT_TIMES * boot_s)
        self._backoffs[offer] = _Backoff(now, wait_s)
        return wait_s

    def on_filled(self, offer: Offer) -> None:
        """End the back-off: the cloud has granted all machines that were requested."""
        self._backoffs.pop(offer, None)
        self._announced_until.pop(offer, None)
