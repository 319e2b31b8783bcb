"""The h11 client: carries out calls over kept connections, one at a time on each.

A call over a kept connection is a write, a timer and a callback, without a task of its own.
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

# Gets status and body; (None, b"") when no response came and the outcome is unknown;
# `RESPONSE_TOO_LONG` as the status of a response that was longer than the limit.
CompletionHandler = Callable[[int | None, bytes], None]


class ClientLimits(msgspec.Struct, frozen=True):
    """Sizes and times that a client keeps to."""

    max_response_bytes: int = 64 * 1024 * 1024  # of a body, where no memory limit says less
    max_idle_s: float = 20.0  # a connection idle for longer is not used again
    max_idle_per_address: int = 6


DEFAULT_LIMITS = ClientLimits()


@lru_cache(HEAD_CACHE_SIZE)
def request_head(address: str, length: int) -> h11.Request:
    """A request whose headers others of the same length reuse: h11 has checked them once."""
    headers = [("Host", address), *content_headers(length)]
    return h11.Request(method="GET", target="/", headers=headers)


def _request_events(address: str, method: str, path: str, body: bytes | None) -> list[h11.Event]:
    """The request as h11 sends it; raises `h11.ProtocolError` where HTTP does not allow it."""
    headers = request_head(address, len(body or b"")).headers
    events: list[h11.Event] = [h11.Request(method=method, target=path, headers=headers)]
    if body:
        events.append(h11.Data(data=body))
    events.append(END_OF_MESSAGE)
    return events


class _Call:
    """A call in progress: completed once, by its response, its connection's end or its timer."""

    __slots__ = (
        "address",
        "completed",
        "connecting",
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
        self.connecting: anyio.CancelScope | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.completed = False

    def complete(self, status: int | None, body: bytes) -> None:
        """Report the outcome, unless there was one."""
        if self.completed:
            return
        self.completed = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_completed(status, body)

    def on_timeout(self) -> None:
        """No response came in time: whatever was opened for the call is closed."""
        if self.completed:
            return
        self.complete(None, b"")
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()


class _Connection(HttpConnection):
    """A connection to one address; idle unless it has a call."""

    def __init__(self, client: Client, address: str) -> None:
        super().__init__(h11.Connection(h11.CLIENT))
        self.client = client
        self.address = address
        self.idle_since = 0.0
        self.call: _Call | None = None
        self._status = 0
        self._body = BodyBuffer(client.limits.max_response_bytes)

    # -- events of the transport -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.client.open.add(self)

    def data_received(self, data: bytes) -> None:
        """Read the response as far as it has arrived."""
        try:
            self.http.receive_data(data)
            self._read_response()
        except Exception as error:
            if not isinstance(error, h11.ProtocolError):
                log.exception("call response failed address=%s", self.address)
            self._complete(None)
            self.abort()

    def eof_received(self) -> bool:
        """A response without a length ends with its connection."""
        self.data_received(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed; the outcome of its call is unknown."""
        self.transport = None
        self._complete(None)
        self.client.on_closed(self)

    # -- calls -----------------------------------------------------------------------------

    def send(self, call: _Call) -> None:
        """Send the call's request over this idle connection."""
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
                raise h11.RemoteProtocolError("connection closed")

    def _keep_or_close(self) -> None:
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
    """Calls wait for a socket while `sockets` are in use: a failover or a plan may send a command
    to every machine at once, and sockets that calls use are missing to heartbeats. Calls to the
    addresses in `priority_addresses` (state service, cloud, peers) wait for nobody."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        sockets: int = 128,
        priority_addresses: Collection[str] = (),
        limits: ClientLimits = DEFAULT_LIMITS,
    ) -> None:
        """`tasks`: the group in which connections are opened."""
        self.sockets = sockets
        self.priority_addresses = frozenset(priority_addresses)
        self.limits = limits
        self.open: set[_Connection] = set()
        self.idle: IdleConnections[_Connection] = IdleConnections(
            limits.max_idle_per_address, limits.max_idle_s
        )
        self._tasks = tasks
        self._opening = 0
        self._waiting: deque[_Call] = deque()

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_completed: CompletionHandler,
    ) -> None:
        """Carry out a call; `on_completed` is called once, never before this returns."""
        loop = asyncio.get_running_loop()
        try:
            request = _request_events(address, method, path, body)
        except h11.ProtocolError:
            log.exception("call invalid address=%s path=%s", address, path)
            loop.call_soon(on_completed, None, b"")
            return
        call = _Call(address, request, on_completed)
        call.timer = loop.call_later(timeout_s, call.on_timeout)
        connection = self.idle.pop(address)
        if connection is not None:
            connection.send(call)
        elif address in self.priority_addresses:
            self._start_opening(call)
        else:
            self._waiting.append(call)
            self._start_waiting()

    # -- opening connections ---------------------------------------------------------------

    def _start_opening(self, call: _Call) -> None:
        self._opening += 1
        self._tasks.start_soon(self._open, call)

    def _start_waiting(self) -> None:
        """Open connections for calls that wait, as far as sockets are free."""
        while self._waiting:
            if self._waiting[0].completed:
                self._waiting.popleft()
            elif self._opening + len(self.open) < self.sockets:
                self._start_opening(self._waiting.popleft())
            else:
                self.idle.close_longest_idle()  # `on_closed` calls this again
                return

    async def _open(self, call: _Call) -> None:
        try:
            await self._connect(call)
        finally:
            self._opening -= 1
            self._start_waiting()

    async def _connect(self, call: _Call) -> None:
        with anyio.CancelScope() as scope:
            call.connecting = scope
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
                # Whatever went wrong with one call, its outcome is unknown, the process goes on.
                log.exception("call failed address=%s", call.address)
                call.complete(None, b"")
                return
            call.connecting = None
            if call.completed:
                connection.abort()
            else:
                connection.send(call)

    # -- idle and closed connections -------------------------------------------------------

    def keep_idle(self, connection: _Connection) -> bool:
        """Keep a connection for later calls; False if its socket is needed otherwise."""
        evictable = connection.address not in self.priority_addresses
        if not self.idle.has_room(connection.address) or (self._waiting and evictable):
            return False
        self.idle.add(connection, evictable)
        return True

    def on_closed(self, connection: _Connection) -> None:
        """A connection is closed; it may have been idle."""
        self.open.discard(connection)
        self.idle.remove(connection)
        self._start_waiting()

    def close_idle(self) -> None:
        """Close what has been idle for long: machines come and go, sockets are few."""
        self.idle.close_expired()
