"""The client's idle connections, kept for later calls to the same addresses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class IdleConnection(Protocol):
    """What the pool needs to know of a connection."""

    transport: asyncio.Transport | None
    address: str
    idle_since: float  # in seconds of the monotonic clock

    def abort(self) -> None:
        """Close at once."""


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


class IdleConnections(Generic[ConnectionT]):
    """Idle connections by address, at most `max_per_address` for each, for up to `max_idle_s`."""

    def __init__(self, max_per_address: int, max_idle_s: float) -> None:
        self._max_per_address = max_per_address
        self._max_idle_s = max_idle_s
        self._by_address: dict[str, list[ConnectionT]] = {}
        # Those that may be closed for another address, the one idle for longest first.
        self._evictable: dict[ConnectionT, None] = {}

    def count(self, address: str) -> int:
        """How many there are to this address."""
        return len(self._by_address.get(address, ()))

    def has_room(self, address: str) -> bool:
        """Whether one more connection to this address may be kept."""
        return self.count(address) < self._max_per_address

    def add(self, connection: ConnectionT, evictable: bool) -> None:
        """Keep a connection that there is room for."""
        self._by_address.setdefault(connection.address, []).append(connection)
        if evictable:
            self._evictable[connection] = None

    def pop(self, address: str) -> ConnectionT | None:
        """A usable connection to this address, no longer idle; unusable ones are closed."""
        idle = self._by_address.get(address)
        expired_at = time.monotonic() - self._max_idle_s
        while idle:
            connection = idle.pop()
            self._evictable.pop(connection, None)
            transport = connection.transport
            if connection.idle_since > expired_at and transport and not transport.is_closing():
                return connection
            connection.abort()
        return None

    def remove(self, connection: ConnectionT) -> None:
        """A connection is closed, whether or not it was idle."""
        self._evictable.pop(connection, None)
        idle = self._by_address.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self._by_address[connection.address]

    def close_longest_idle(self) -> None:
        """Close one connection to make room for another address, if any may be closed."""
        longest_idle = next(iter(self._evictable), None)
        if longest_idle is not None:
            longest_idle.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        expired_at = time.monotonic() - self._max_idle_s
        for connection in list(self._all()):
            if connection.idle_since <= expired_at:
                connection.abort()

    def _all(self) -> Iterator[ConnectionT]:
        for idle in self._by_address.values():
            yield from idle
