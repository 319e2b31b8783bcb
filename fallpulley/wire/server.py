"""The h11 server: reads whole requests, submits them to the controller, sends its responses."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum
from functools import lru_cache
from http import HTTPStatus

import anyio
import h11
import msgspec

from fallpulley.effects import Request
from fallpulley.settings import split_address
from fallpulley.wire.connection import (
    END_OF_MESSAGE,
    HEAD_CACHE_SIZE,
    BodyBuffer,
    HttpConnection,
    content_headers,
)
from fallpulley.wire.limit import AdaptiveLimit

log = logging.getLogger(__name__)

TOO_LONG = b'{"error":"too long"}'
BUSY = b'{"error":"busy"}'
RETRY_AFTER_SECONDS = 1.0
# Connections that may wait to be accepted, whatever the number of sockets.
MIN_BACKLOG = 512


class ServerLimits(msgspec.Struct, frozen=True):
    """Sizes and times that a server keeps to; times in seconds."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024
    idle_s: float = 75.0  # how long an open connection may be idle between requests
    read_s: float = 10.0  # a request that began must arrive within this
    write_s: float = 10.0  # a response must be received within this
    response_s: float = 15.0  # the controller always responds well before this
    check_interval_s: float = 2.0  # between two checks for overdue connections
    # Beyond this share of the sockets users' connections end with their response: a machine that
    # finds no socket loses its lease with all its tasks, a user comes back through the load
    # balancer.
    capacity_share: float = 0.85
    # For so long after a machine's connection had to make room for another one, machines'
    # connections end with their response, too, while the server is at capacity: there are more
    # machines than sockets.
    close_machines_s: float = 60.0


DEFAULT_LIMITS = ServerLimits()


class ConnectionState(Enum):
    """What a connection is doing."""

    AWAITING_REQUEST = "awaiting request"  # idle, or the head is incomplete
    READING_BODY = "reading body"
    AWAITING_RESPONSE = "awaiting response"


class ClientKind(Enum):
    """Who sent a connection's last request."""

    USER = "user"
    MACHINE = "machine"
    OTHER = "other"


# Constants: looking up a member of an enum class costs ten times as much, several times a request.
_AWAITING_REQUEST = ConnectionState.AWAITING_REQUEST
_READING_BODY = ConnectionState.READING_BODY
_AWAITING_RESPONSE = ConnectionState.AWAITING_RESPONSE
_USER = ClientKind.USER
_MACHINE = ClientKind.MACHINE
_OTHER = ClientKind.OTHER


@lru_cache(HEAD_CACHE_SIZE)
def response_head(
    status: int, length: int, retry_after: float | None = None, close: bool = False
) -> h11.Response:
    """A response's head. h11 checks every header of a head that it is given; hundreds of responses
    a second have the same few, and checking them anew was a third of the time of sending."""
    headers = content_headers(length)
    if retry_after is not None:
        headers.append(("Retry-After", str(max(1, round(retry_after)))))
    if close:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers)


def _client_kind(path: str) -> ClientKind:
    if path.startswith("/work"):
        return _USER
    return _MACHINE if path == "/checkin" else _OTHER


class ConnectionResponse:
    """The pending response to a connection's request; without a connection once it has ended."""

    __slots__ = ("connection",)

    def __init__(self, connection: Connection) -> None:
        self.connection: Connection | None = connection

    def __call__(self, status: int, body: bytes, retry_after: float | None, /) -> None:
        """Send the response, unless there was one or the connection is closed."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.respond(self, status, body, retry_after)


class Connection(HttpConnection):
    """One connection: a request at a time, each answered before the next is read."""

    def __init__(self, server: Server) -> None:
        limits = server.limits
        super().__init__(
            h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        )
        self.server = server
        self.limits = limits
        self.client_kind = _OTHER
        self._state = _AWAITING_REQUEST
        self._overdue_at = 0.0  # in every state
        self._limited = False  # the limit counts the request in progress
        self._pending_response: ConnectionResponse | None = None
        self._request: h11.Request | None = None
        self._body = BodyBuffer(limits.max_body_bytes)
        self._received_at = 0.0  # when the request was complete

    # -- events of the transport -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection if there is a socket for it, if need be an idle one's."""
        super().connection_made(transport)
        server = self.server
        if len(server.open) >= server.sockets and not server.close_longest_idle():
            self.abort()
            return
        server.open.add(self)
        self._overdue_at = time.monotonic() + self.limits.idle_s

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed; a response that comes now is dropped."""
        self.server.on_closed(self)
        self.transport = None
        self._leave_limit()
        if self._pending_response is not None:
            self._pending_response.connection = None
            self._pending_response = None
            self._state = _AWAITING_REQUEST

    def data_received(self, data: bytes) -> None:
        """Read on, unless a request is in progress."""
        if self.transport is None:
            return
        if self._state is _AWAITING_REQUEST:
            self._overdue_at = time.monotonic() + self.limits.read_s
            self.server.on_active(self)
        try:
            self.http.receive_data(data)
            if self._state is not _AWAITING_RESPONSE:
                self._read_request()
            elif len(self.http.trailing_data[0]) > self.limits.max_body_bytes:
                self.abort()  # nobody pipelines: this is no client of ours
        except Exception:
            # A request must never harm other connections or end the process.
            log.exception("request failed")
            self.abort()

    def eof_received(self) -> bool:
        """Close when the other side does."""
        return False

    # -- requests --------------------------------------------------------------------------

    def _read_request(self) -> None:
        """Read what has arrived, up to a whole request."""
        while self.transport is not None and not self.transport.is_closing():
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    self._send(error.error_status_hint, b"", None, close=True)
                self._close()
                return
            if event is h11.NEED_DATA:
                self._send_continue(self.transport)
                return
            if not self._on_event(event):
                return

    def _send_continue(self, transport: asyncio.Transport) -> None:
        """Ask for the body, if the client waits for that."""
        if self.http.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            transport.write(self.http.send(head) or b"")

    def _on_event(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> bool:
        """Handle a part of a request; False when no more is to be read now."""
        if type(event) is h11.Request:
            self._request = event
            self._state = _READING_BODY
            self._body.clear()
            return True
        if type(event) is h11.Data:
            if self._body.add(event.data):
                return True
            self._send(HTTPStatus.BAD_REQUEST, TOO_LONG, None, close=True)
            self._close()
        elif type(event) is h11.EndOfMessage and self._request is not None:
            request, self._request = self._request, None
            self._on_request(request, self._body.finish())
        else:
            self._close()
        return False

    def _on_request(self, request: h11.Request, body: bytes) -> None:
        path = request.target.decode("ascii", "replace")
        self._received_at = time.monotonic()
        self._overdue_at = self._received_at + self.limits.response_s
        self._state = _AWAITING_RESPONSE
        self._pending_response = pending_response = ConnectionResponse(self)
        self.client_kind = _client_kind(path)
        limit = self.server.limit
        if limit is not None and self.client_kind is _USER:
            if not limit.enter(query=request.method == b"GET"):
                pending_response(HTTPStatus.SERVICE_UNAVAILABLE, BUSY, RETRY_AFTER_SECONDS)
                return
            self._limited = True
        method = request.method.decode("ascii")
        self.server.on_request(Request(pending_response, method, path, body))

    def _leave_limit(self) -> None:
        if self._limited and self.server.limit is not None:
            self._limited = False
            self.server.limit.leave(time.monotonic() - self._received_at)

    # -- responses -------------------------------------------------------------------------

    def respond(
        self,
        pending_response: ConnectionResponse,
        status: int,
        body: bytes,
        retry_after: float | None,
    ) -> None:
        """Send the response to the request in progress."""
        if self._pending_response is not pending_response or self.transport is None:
            return
        self._pending_response = None
        self._state = _AWAITING_REQUEST
        self._leave_limit()
        try:
            close = self.server.must_close_after_response(self)
            self._send(status, body, retry_after, close)
            if self.between_messages:
                self._await_next_request()
            else:
                self._close()
        except Exception:
            log.exception("response failed")
            self.abort()

    def _await_next_request(self) -> None:
        self.http.start_next_cycle()
        self.server.on_idle(self)
        if self.http.trailing_data[0]:
            # Never within the controller's step: the next request is for its next batch.
            asyncio.get_running_loop().call_soon(self._read_request)

    def _send(
        self, status: int, body: bytes, retry_after: float | None, close: bool = False
    ) -> None:
        transport = self.transport
        if transport is None:
            return
        http = self.http
        out = http.send(response_head(status, len(body), retry_after, close)) or b""
        if body:
            out += http.send(h11.Data(data=body)) or b""
        transport.write(out + (http.send(END_OF_MESSAGE) or b""))
        self._overdue_at = time.monotonic() + self.limits.idle_s

    # -- closing ---------------------------------------------------------------------------

    def _close(self) -> None:
        """Close once the response is sent."""
        if self.transport is not None:
            self._overdue_at = min(self._overdue_at, time.monotonic() + self.limits.write_s)
            self.transport.close()

    def close_if_overdue(self, now: float) -> None:
        """Close a connection whose other side sends nothing or does not receive its response."""
        transport = self.transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > 0:
            # The response was sent with an idle time ahead of it: less is left for receiving it.
            if now > self._overdue_at - self.limits.idle_s + self.limits.write_s:
                transport.abort()
        elif now > self._overdue_at:
            if self._pending_response is not None:
                self._pending_response(HTTPStatus.SERVICE_UNAVAILABLE, b"", RETRY_AFTER_SECONDS)
            self._close()


class Server:
    """Listens on one address. With a limit, user requests beyond it are refused at once."""

    def __init__(
        self,
        address: str,
        on_request: Callable[[Request], None],
        sockets: int,
        limit: AdaptiveLimit | None = None,
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> None:
        """`sockets`: connections that may be open; `on_request` gets each whole request."""
        self.address = address
        self.on_request = on_request
        self.sockets = sockets
        self.limit = limit
        self.limits = limits
        self.open: set[Connection] = set()
        # Between two requests, the one idle for longest first.
        self._idle_users: dict[Connection, None] = {}
        self._idle_others: dict[Connection, None] = {}
        self._close_machines_until = float("-inf")

    @property
    def at_capacity(self) -> bool:
        """Nearly all sockets are in use."""
        return len(self.open) > self.limits.capacity_share * self.sockets

    def must_close_after_response(self, connection: Connection) -> bool:
        """Whether a connection ends with the response that is sent now."""
        if not self.at_capacity:
            return False
        if connection.client_kind is _USER:
            return True
        return connection.client_kind is _MACHINE and time.monotonic() < self._close_machines_until

    # -- idle connections ------------------------------------------------------------------

    def on_idle(self, connection: Connection) -> None:
        """The connection's request has been responded to."""
        is_user = connection.client_kind is _USER
        idle = self._idle_users if is_user else self._idle_others
        idle[connection] = None

    def on_active(self, connection: Connection) -> None:
        """The connection is no longer idle."""
        self._idle_users.pop(connection, None)
        self._idle_others.pop(connection, None)

    def on_closed(self, connection: Connection) -> None:
        """The connection is closed."""
        self.open.discard(connection)
        self.on_active(connection)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest, a user's before a machine's; False:
        there is none. A machine that sends a heartbeat every few seconds comes again with a new
        one; without this a fleet larger than the sockets had its later machines refused for good.
        """
        longest_idle = next(iter(self._idle_users), None)
        if longest_idle is None:
            longest_idle = next(iter(self._idle_others), None)
            self._close_machines_until = time.monotonic() + self.limits.close_machines_s
        if longest_idle is None:
            return False
        self.on_closed(longest_idle)
        longest_idle.abort()
        return True

    # -- running ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        # After a restart every machine of the fleet connects at once: they queue here.
        listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=max(MIN_BACKLOG, self.sockets)
        )
        try:
            while True:
                await anyio.sleep(self.limits.check_interval_s)
                now = time.monotonic()
                for connection in list(self.open):
                    connection.close_if_overdue(now)
        finally:
            listener.close()
            for connection in list(self.open):
                connection.abort()
