"""What the connections of server and client have in common.

They are protocols of anyio's asyncio backend rather than anyio's streams. On a fifth of a core
several hundred machines send a heartbeat every few seconds, and a stream's locks, scopes and
wake-ups took most of the time of such a request.
"""

from __future__ import annotations

import asyncio

import h11

# Heads that h11 has checked are kept by status or address and by length: a few of them occur again
# and again.
HEAD_CACHE_SIZE = 512

END_OF_MESSAGE = h11.EndOfMessage()


def content_headers(length: int) -> list[tuple[str, str]]:
    """The headers that describe a body of `length` bytes."""
    headers = [("Content-Length", str(length))]
    if length:
        headers.append(("Content-Type", "application/json"))
    return headers


class HttpConnection(asyncio.Protocol):
    """A connection with its h11 state; `transport` is None before and after it is open."""

    def __init__(self, http: h11.Connection) -> None:
        self.http = http
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def abort(self) -> None:
        """Close at once; what is not sent yet is dropped."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def between_messages(self) -> bool:
        """Request and response are complete, and the connection may be used again."""
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
        """Add a part; False, and the part is dropped, if the body becomes too long."""
        self._size += len(data)
        if self._size > self._max_bytes:
            return False
        self._chunks.append(bytes(data))
        return True

    def finish(self) -> bytes:
        """The whole body; the buffer is empty afterwards."""
        body = b"".join(self._chunks)
        self.clear()
        return body
