"""The parts that the connections of the server and the client have in common.

Connections are asyncio protocols rather than anyio streams. Several hundred machines send a
heartbeat every few seconds to a controller that has a fifth of a core, and the locks, cancel scopes
and task switches of a stream took most of the time of such a request.
"""

from __future__ import annotations

import asyncio

import h11

# Number of heads, checked by h11, that the caches of requests' and of responses' heads keep each.
# The same few addresses, statuses and lengths occur again and again.
HEAD_CACHE_SIZE = 512

END_OF_MESSAGE = h11.EndOfMessage()


def content_headers(length: int) -> list[tuple[str, str]]:
    """Return the headers that describe a body of `length` bytes."""
    headers = [("Content-Length", str(length))]
    if length:
        headers.append(("Content-Type", "application/json"))
    return headers


class HttpConnection(asyncio.Protocol):
    """A connection with its h11 state; `transport` is None unless the connection is open."""

    def __init__(self, http: h11.Connection) -> None:
        self.http = http
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def abort(self) -> None:
        """Close the connection at once; data not sent yet is discarded."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def between_messages(self) -> bool:
        """Whether request and response are complete and the connection may be used again."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE


class BodyBuffer:
    """Collects the body of one message, up to `max_bytes`."""

    __slots__ = ("_chunks", "_max_bytes", "_size")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._size = 0

    def clear(self) -> None:
        """Start a new body."""
        self._chunks = []
        self._size = 0

    def add(self, data: bytes) -> bool:
        """Append a part of the body.

        Returns False, without appending it, if the body would become longer than `max_bytes`.
        """
        self._size += len(data)
        if self._size > self._max_bytes:
            return False
        self._chunks.append(bytes(data))
        return True

    def finish(self) -> bytes:
        """Return the whole body and empty the buffer."""
        body = b"".join(self._chunks)
        self.clear()
        return body
