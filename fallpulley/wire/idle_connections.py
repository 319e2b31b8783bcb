"""The client's idle connections, kept for later calls to the same addresses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class IdleConnection(Protocol):
    """A connection as `IdleConnections` uses it."""

    transport: asyncio.Transport | None
    address: str  # host:port
    idle_since: float  # monotonic clock, in seconds

    def abort(self) -> None:
        """Close the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


class IdleConnections(Generic[ConnectionT]):
    """A pool of idle connections by address."""

    def __init__(self, max_per_address: int, max_idle_s: float) -> None:
        """Create an empty pool.

        Args:
            max_per_address: how many connections to one address are kept.
            max_idle_s: how long a connection may be idle to be used again.
        """
        self._max_per_address = max_per_address
        self._max_idle_s = max_idle_s
        self._by_address: dict[str, list[ConnectionT]] = {}
        # Connections that may be closed to make room for other addresses, longest idle first.
        self._evictable: dict[ConnectionT, None] = {}

    def count(self, address: str) -> int:
        """Return the number of idle connections to this address."""
        return len(self._by_address.get(address, ()))

    def has_room(self, address: str) -> bool:
        """Return whether another connection to this address may be kept."""
        return self.count(address) < self._max_per_address

    def add(self, connection: ConnectionT, evictable: bool) -> None:
        """Keep a connection for which `has_room` returned True.

        `evictable`: it may be closed to make room for a connection to another address.
        """
        self._by_address.setdefault(connection.address, []).append(connection)
        if evictable:
            self._evictable[connection] = None

    def pop(self, address: str) -> ConnectionT | None:
        """Remove and return a usable connection to this address; None if there is none.

        Unusable connections that are found first are closed.
        """
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
        """Remove a closed connection, if it is in the pool."""
        self._evictable.pop(connection, None)
        idle = self._by_address.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self._by_address[connection.address]

    def close_longest_idle(self) -> None:
        """Close the evictable connection that has been idle for longest, if there is one."""
        longest_idle = next(iter(self._evictable), None)
        if longest_idle is not None:
            longest_idle.abort()

    def close_expired(self) -> None:
        """Close the connections that have been idle for `max_idle_s` or longer."""
        expired_at = time.monotonic() - self._max_idle_s
        for connection in list(self._all()):
            if connection.idle_since <= expired_at:
                connection.abort()

    def _all(self) -> Iterator[ConnectionT]:
        for idle in self._by_address.values():
            yield from idle
