"""The HTTP client: sends requests over persistent connections, one at a time on each.

A call over an idle connection needs a write, a timer and a callback, but no task.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Collection
from functools import lru_cache

import anyio
import anyio.abc
import h11
import msgspec

from fallpulley.effects import RESPONSE_TOO_LONG
from fallpulley.settings import split_address
from fallpulley.wire.connection import (
    END_OF_MESSAGE,
    HEAD_CACHE_SIZE,
    BodyBuffer,
    HttpConnection,
    content_headers,
)
from fallpulley.wire.idle_connections import IdleConnections

log = logging.getLogger(__name__)

# Gets the response's status and body. The status is None where no complete response came and the
# outcome is unknown, and `RESPONSE_TOO_LONG` where the body was longer than the limit; the body is
# empty then.
CompletionHandler = Callable[[int | None, bytes], None]


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits of a client's responses and idle connections."""

    max_response_bytes: int = 64 * 1024 * 1024  # in one body; less where memory is limited
    max_idle_s: float = 20.0  # a connection idle for longer is not used again
    max_idle_per_address: int = 6  # idle connections kept to one address


DEFAULT_LIMITS = ClientLimits()


@lru_cache(HEAD_CACHE_SIZE)
def request_head(address: str, length: int) -> h11.Request:
    """Return a request whose headers fit all requests to `address` with `length` body bytes.

    Cached, because h11 checks the headers each time that they are given as strings.
    """
    headers = [("Host", address), *content_headers(length)]
    return h11.Request(method="GET", target="/", headers=headers)


def _request_events(address: str, method: str, path: str, body: bytes | None) -> list[h11.Event]:
    """Return the h11 events of a request.

    Raises:
        h11.ProtocolError: the method, the path or the address is not valid in HTTP.
    """
    headers = request_head(address, len(body or b"")).headers
    events: list[h11.Event] = [h11.Request(method=method, target=path, headers=headers)]
    if body:
        events.append(h11.Data(data=body))
    events.append(END_OF_MESSAGE)
    return events


class _Call:
    """A call in progress; a response, the end of its connection or its timer completes it."""

    __slots__ = (
        "address",
        "completed",
        "connect_scope",
        "connection",
        "on_completed",
        "request",
        "timer",
    )

    def __init__(
        self, address: str, request: list[h11.Event], on_completed: CompletionHandler
    ) -> None:
        self.address = address
        self.request = request
        self.on_completed = on_completed
        self.connection: _Connection | None = None
        self.connect_scope: anyio.CancelScope | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.completed = False

    def complete(self, status: int | None, body: bytes) -> None:
        """Report the outcome, unless one was reported before."""
        if self.completed:
            return
        self.completed = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_completed(status, body)

    def on_timeout(self) -> None:
        """Complete the call without a response and abort its connection or connection attempt."""
        if self.completed:
            return
        self.complete(None, b"")
        if self.connect_scope is not None:
            self.connect_scope.cancel()
        if self.connection is not None:
            self.connection.abort()


class _Connection(HttpConnection):
    """A client's connection to one address; it is idle while `call` is None."""

    def __init__(self, client: Client, address: str) -> None:
        super().__init__(h11.Connection(h11.CLIENT))
        self.client = client
        self.address = address
        self.idle_since = 0.0  # monotonic clock, in seconds
        self.call: _Call | None = None
        self._status = 0
        self._body = BodyBuffer(client.limits.max_response_bytes)

    # -- events of the transport -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the client's open connections."""
        super().connection_made(transport)
        self.client.open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Read what has arrived of the response."""
        try:
            self.http.receive_data(data)
            self._read_response()
        except Exception as error:
            if not isinstance(error, h11.ProtocolError):
                log.exception("reading a response failed address=%s", self.address)
            self._complete(None)
            self.abort()

    def eof_received(self) -> bool:
        """Pass the end of the stream to h11, where it ends a response that has no length."""
        self.data_received(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the connection's call, if there is one, with an unknown outcome."""
        self.transport = None
        self._complete(None)
        self.client.on_closed(self)

    # -- calls -----------------------------------------------------------------------------

    def send(self, call: _Call) -> None:
        """Send the call's request over this connection, which must be idle."""
        self.call, call.connection = call, self
        self._status = 0
        self._body.clear()
        transport = self.transport
        if transport is None:
            self._complete(None)
            return
        try:
            transport.write(b"".join(self.http.send(event) or b"" for event in call.request))
        except h11.ProtocolError:
            self._complete(None)
            self.abort()

    def _read_response(self) -> None:
        while self.call is not None:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.Response:
                self._status = event.status_code
            elif type(event) is h11.Data:
                if not self._body.add(event.data):
                    self._complete(RESPONSE_TOO_LONG)
                    self.abort()
                    return
            elif type(event) is h11.EndOfMessage:
                body = self._body.finish()
                self._keep_or_close()
                self._complete(self._status, body)
                return
            elif type(event) is not h11.InformationalResponse:
                raise h11.RemoteProtocolError("connection closed before the response was complete")

    def _keep_or_close(self) -> None:
        """Keep the connection as an idle one if possible, otherwise close it."""
        if self.between_messages:
            self.http.start_next_cycle()
            self.idle_since = time.monotonic()
            if self.client.keep_idle(self):
                return
        self.abort()

    def _complete(self, status: int | None, body: bytes = b"") -> None:
        call, self.call = self.call, None
        if call is not None:
            call.complete(status, body)


class Client:
    """Sends HTTP requests, over a limited number of connections.

    A call waits while `max_connections` are open: a failover or a plan may send a command to every
    machine at once, and sockets that calls use are not available for heartbeats. Calls to
    `priority_addresses` (state service, cloud and peers) open a connection without waiting.
    """

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        max_connections: int = 128,
        priority_addresses: Collection[str] = (),
        limits: ClientLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create a client without connections.

        Args:
            task_group: runs the tasks that open connections.
            max_connections: open connections beyond which calls wait.
            priority_addresses: addresses, as host:port, to which calls do not wait.
            limits: limits of responses and idle connections.
        """
        self.max_connections = max_connections
        self.priority_addresses = frozenset(priority_addresses)
        self.limits = limits
        self.open_connections: set[_Connection] = set()
        self.idle_connections: IdleConnections[_Connection] = IdleConnections(
            limits.max_idle_per_address, limits.max_idle_s
        )
        self._task_group = task_group
        self._opening_count = 0
        self._waiting_calls: deque[_Call] = deque()

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_completed: CompletionHandler,
    ) -> None:
        """Send a request.

        `on_completed` is called once: with the response, or with an unknown outcome when the call
        fails or no response has come after `timeout_s` seconds, waiting for a connection included.
        It is never called before this method returns.
        """
        loop = asyncio.get_running_loop()
        try:
            request = _request_events(address, method, path, body)
        except h11.ProtocolError:
            log.exception("call not sent, invalid HTTP request address=%s path=%s", address, path)
            loop.call_soon(on_completed, None, b"")
            return
        call = _Call(address, request, on_completed)
        call.timer = loop.call_later(timeout_s, call.on_timeout)
        connection = self.idle_connections.pop(address)
        if connection is not None:
            connection.send(call)
        elif address in self.priority_addresses:
            self._start_opening(call)
        else:
            self._waiting_calls.append(call)
            self._start_waiting_calls()

    # -- opening connections ---------------------------------------------------------------

    def _start_opening(self, call: _Call) -> None:
        self._opening_count += 1
        self._task_group.start_soon(self._open, call)

    def _start_waiting_calls(self) -> None:
        """Open connections for waiting calls while fewer than `max_connections` are open.

        Otherwise close an idle connection to another address, if any may be closed; `on_closed`
        then calls this again.
        """
        while self._waiting_calls:
            if self._waiting_calls[0].completed:
                self._waiting_calls.popleft()
            elif self._opening_count + len(self.open_connections) < self.max_connections:
                self._start_opening(self._waiting_calls.popleft())
            else:
                self.idle_connections.close_longest_idle()
                return

    async def _open(self, call: _Call) -> None:
        try:
            await self._connect(call)
        finally:
            self._opening_count -= 1
            self._start_waiting_calls()

    async def _connect(self, call: _Call) -> None:
        with anyio.CancelScope() as scope:
            call.connect_scope = scope
            try:
                host, port = split_address(call.address)
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, call.address), host, port
                )
            except (OSError, ValueError):
                call.complete(None, b"")
                return
            except Exception:
                # An unexpected error ends only this call, with an unknown outcome.
                log.exception("opening a connection failed address=%s", call.address)
                call.complete(None, b"")
                return
            call.connect_scope = None
            if call.completed:
                connection.abort()
            else:
                connection.send(call)

    # -- idle and closed connections -------------------------------------------------------

    def keep_idle(self, connection: _Connection) -> bool:
        """Keep a connection for later calls; return False if it is to be closed instead."""
        evictable = connection.address not in self.priority_addresses
        if not self.idle_connections.has_room(connection.address) or (
            self._waiting_calls and evictable
        ):
            return False
        self.idle_connections.add(connection, evictable)
        return True

    def on_closed(self, connection: _Connection) -> None:
        """Forget a closed connection and open connections for waiting calls."""
        self.open_connections.discard(connection)
        self.idle_connections.remove(connection)
        self._start_waiting_calls()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long.

        Machines come and go, and the number of sockets is limited.
        """
        self.idle_connections.close_expired()
