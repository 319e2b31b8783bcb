"""Reads that bring the watch cache up to date for requests that must not act on old data."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from fallpulley.effects import Response
from fallpulley.state.client import StateClient
from fallpulley.state.transactions import RequestPriority

# Timeout of a read, in the queue and once sent: users wait 2 s for a response.
READ_TIMEOUT_SECONDS = 1.2

# Gets whether the read succeeded, so that the watch cache is current.
CurrentHandler = Callable[[bool], None]


class _Waiter(NamedTuple):
    """A handler that waits for a read that is sent after the handler was added."""

    on_current: CurrentHandler
    expires_at: float  # monotonic clock, in seconds


class CurrentReads:
    """Sends one read at a time; each serves all handlers that waited when it was started."""

    def __init__(self, client: StateClient, on_response: Callable[[Response], bool]) -> None:
        """Create an instance without waiting handlers.

        Args:
            client: sends the reads.
            on_response: applies a read's response to the cache; returns whether the read succeeded.
        """
        self._client = client
        self._on_response = on_response
        self._waiters: list[_Waiter] = []
        self._in_flight = False

    def add_waiter(self, on_current: CurrentHandler, now: float) -> None:
        """Call `on_current` after the next read, with whether the read succeeded."""
        self._waiters.append(_Waiter(on_current, now + READ_TIMEOUT_SECONDS))

    @property
    def read_needed(self) -> bool:
        """Whether a handler waits and no read is in progress."""
        return bool(self._waiters) and not self._in_flight

    def start_read(self, path: str, now: float) -> None:
        """Start a read of `path` for all handlers that wait now."""
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

    def expire_waiters(self, now: float) -> None:
        """Fail the handlers that have waited too long for a read to be started."""
        if self._waiters and self._waiters[0].expires_at <= now:
            expired = [waiter for waiter in self._waiters if waiter.expires_at <= now]
            self._waiters = [waiter for waiter in self._waiters if waiter.expires_at > now]
            for waiter in expired:
                waiter.on_current(False)
