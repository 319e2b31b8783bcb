"""Reads that confirm that the watch cache is current, for those who must not act on old data."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from fallpulley.effects import Response
from fallpulley.state.client import StateClient
from fallpulley.state.transactions import RequestPriority

# A read that takes longer counts as failed: users wait 2 s for an answer.
READ_TIMEOUT_SECONDS = 1.2

CurrentHandler = Callable[[bool], None]


class _Waiter(NamedTuple):
    """Waits for a read that was sent after its arrival."""

    on_current: CurrentHandler
    expires_at: float


class CurrentReads:
    """One read at a time serves all who were waiting when it was sent.

    `on_response` applies a read's response to the cache and returns whether the read succeeded.
    """

    def __init__(self, client: StateClient, on_response: Callable[[Response], bool]) -> None:
        self._client = client
        self._on_response = on_response
        self._waiters: list[_Waiter] = []
        self._in_flight = False

    def add(self, on_current: CurrentHandler, now: float) -> None:
        """Call `on_current` after the next read, with whether it succeeded."""
        self._waiters.append(_Waiter(on_current, now + READ_TIMEOUT_SECONDS))

    @property
    def needed(self) -> bool:
        """Somebody waits, and no read is under way."""
        return bool(self._waiters) and not self._in_flight

    def start(self, path: str, now: float) -> None:
        """Send a read of `path` for all who wait now."""
        waiters, self._waiters = self._waiters, []
        self._in_flight = True

        def on_response(response: Response) -> None:
            self._in_flight = False
            succeeded = self._on_response(response)
            for waiter in waiters:
                waiter.on_current(succeeded)

        self._client.request(
            path,
            on_response,
            RequestPriority.READ,
            timeout_s=READ_TIMEOUT_SECONDS,
            expires_at=now + READ_TIMEOUT_SECONDS,
        )

    def expire(self, now: float) -> None:
        """Fail those who have waited too long for a read to be sent."""
        if self._waiters and self._waiters[0].expires_at <= now:
            expired = [waiter for waiter in self._waiters if waiter.expires_at <= now]
            self._waiters = [waiter for waiter in self._waiters if waiter.expires_at > now]
            for waiter in expired:
                waiter.on_current(False)
