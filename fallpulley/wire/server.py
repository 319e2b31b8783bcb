"""The HTTP server: reads whole requests, passes them to the controller, sends its responses."""

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
from fallpulley.wire.adaptive_limit import AdaptiveLimit
from fallpulley.wire.connection import (
    END_OF_MESSAGE,
    HEAD_CACHE_SIZE,
    BodyBuffer,
    HttpConnection,
    content_headers,
)

log = logging.getLogger(__name__)

BODY_TOO_LONG_ERROR = b'{"error":"too long"}'
BUSY_ERROR = b'{"error":"busy"}'
# Value of the Retry-After header of a refused request.
RETRY_AFTER_SECONDS = 1.0
# Lower bound of the number of connections that may wait to be accepted; it is `max_connections` if
# that is larger.
MIN_BACKLOG = 512


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of a server's requests and connections; times in seconds."""

    max_head_bytes: int = 16 * 1024  # of a request's head
    max_body_bytes: int = 64 * 1024  # of a request's body
    idle_s: float = 75.0  # how long a connection may be idle between requests
    # Time limit for receiving the rest of a request; restarted by each part of its head.
    read_s: float = 10.0
    write_s: float = 10.0  # time limit for the client to receive a response
    response_s: float = 15.0  # time limit for the controller, which always responds well before
    check_interval_s: float = 2.0  # between two checks for overdue connections
    # Share of the sockets beyond which the server is at capacity: users' connections are then
    # closed after their response. A machine that gets no connection loses its lease and all its
    # tasks, while a user connects again through the load balancer.
    capacity_share: float = 0.85
    # How long machines' connections, too, are closed after their responses while the server is at
    # capacity. The time starts whenever a new connection needs a socket and no user's connection is
    # idle: there are more machines than sockets then.
    close_machines_s: float = 60.0


DEFAULT_LIMITS = ServerLimits()


class ConnectionState(Enum):
    """The stage of a connection's current request."""

    AWAITING_REQUEST = "awaiting request"  # idle, or the head is incomplete
    READING_BODY = "reading body"
    AWAITING_RESPONSE = "awaiting response"


class ClientKind(Enum):
    """Who sent a connection's last request."""

    USER = "user"
    MACHINE = "machine"
    OTHER = "other"


# Constants, because looking up a member of an enum class takes ten times as long, and it is done
# several times for each request.
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
    """Return the head of a response; `retry_after` in seconds, None sends no such header.

    Cached, because h11 checks every header of a new head. Hundreds of responses a second have the
    same few heads, and checking them each time was a third of the time of sending.
    """
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
    """The pending response to a request.

    `connection` is None once the response is sent or the connection is closed.
    """

    __slots__ = ("connection",)

    def __init__(self, connection: Connection) -> None:
        self.connection: Connection | None = connection

    def __call__(self, status: int, body: bytes, retry_after: float | None, /) -> None:
        """Send the response, unless one was sent before or the connection is closed."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.respond(self, status, body, retry_after)


class Connection(HttpConnection):
    """A server's connection; each request is responded to before the next one is read."""

    def __init__(self, server: Server) -> None:
        limits = server.limits
        super().__init__(
            h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        )
        self.server = server
        self.limits = limits
        self.client_kind = _OTHER
        self._state = _AWAITING_REQUEST
        # When the current state has lasted too long (monotonic clock, in seconds).
        self._overdue_at = 0.0
        self._counted_in_limit = False  # whether the user request limit counts the current request
        self._pending_response: ConnectionResponse | None = None
        self._request: h11.Request | None = None
        self._body = BodyBuffer(limits.max_body_bytes)
        # When the current request was complete (monotonic clock, in seconds).
        self._received_at = 0.0

    # -- events of the transport -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or abort it if all sockets are in use.

        If necessary, an idle connection is closed for it.
        """
        super().connection_made(transport)
        server = self.server
        if (
            len(server.open_connections) >= server.max_connections
            and not server.close_longest_idle()
        ):
            self.abort()
            return
        server.open_connections.add(self)
        self._overdue_at = time.monotonic() + self.limits.idle_s

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the closed connection; a later response of the controller is discarded."""
        self.server.on_closed(self)
        self.transport = None
        self._leave_limit()
        if self._pending_response is not None:
            self._pending_response.connection = None
            self._pending_response = None
            self._state = _AWAITING_REQUEST

    def data_received(self, data: bytes) -> None:
        """Read the request as far as it has arrived, unless one is awaiting its response."""
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
                self.abort()  # supported clients do not pipeline requests
        except Exception:
            # An unexpected error ends only this connection, not the process.
            log.exception("reading a request failed")
            self.abort()

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its side."""
        return False

    # -- requests --------------------------------------------------------------------------

    def _read_request(self) -> None:
        """Read what has arrived, up to the end of one request."""
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
        """Send status 100 if the client waits for it before it sends the body."""
        if self.http.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            transport.write(self.http.send(head) or b"")

    def _on_event(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> bool:
        """Handle a part of a request; return False when no more is to be read now."""
        if type(event) is h11.Request:
            self._request = event
            self._state = _READING_BODY
            self._body.clear()
            return True
        if type(event) is h11.Data:
            if self._body.add(event.data):
                return True
            self._send(HTTPStatus.BAD_REQUEST, BODY_TOO_LONG_ERROR, None, close=True)
            self._close()
        elif type(event) is h11.EndOfMessage and self._request is not None:
            request, self._request = self._request, None
            self._on_request(request, self._body.finish())
        else:
            self._close()
        return False

    def _on_request(self, request: h11.Request, body: bytes) -> None:
        """Pass a whole request to the controller, or refuse a user's beyond the limit."""
        path = request.target.decode("ascii", "replace")
        self._received_at = time.monotonic()
        self._overdue_at = self._received_at + self.limits.response_s
        self._state = _AWAITING_RESPONSE
        self._pending_response = pending_response = ConnectionResponse(self)
        self.client_kind = _client_kind(path)
        limit = self.server.user_request_limit
        if limit is not None and self.client_kind is _USER:
            if not limit.enter(query=request.method == b"GET"):
                pending_response(HTTPStatus.SERVICE_UNAVAILABLE, BUSY_ERROR, RETRY_AFTER_SECONDS)
                return
            self._counted_in_limit = True
        method = request.method.decode("ascii")
        self.server.on_request(Request(pending_response, method, path, body))

    def _leave_limit(self) -> None:
        if self._counted_in_limit and self.server.user_request_limit is not None:
            self._counted_in_limit = False
            self.server.user_request_limit.leave(time.monotonic() - self._received_at)

    # -- responses -------------------------------------------------------------------------

    def respond(
        self,
        pending_response: ConnectionResponse,
        status: int,
        body: bytes,
        retry_after: float | None,
    ) -> None:
        """Send the response to the current request; ignore one to an earlier request."""
        if self._pending_response is not pending_response or self.transport is None:
            return
        self._pending_response = None
        self._state = _AWAITING_REQUEST
        self._leave_limit()
        try:
            close = self.server.must_close_after_response(self)
            self._send(status, body, retry_after, close)
            if self.between_messages:
                self._prepare_next_request()
            else:
                self._close()
        except Exception:
            log.exception("sending a response failed")
            self.abort()

    def _prepare_next_request(self) -> None:
        self.http.start_next_cycle()
        self.server.on_idle(self)
        if self.http.trailing_data[0]:
            # The next request has arrived already. It belongs to the controller's next batch of
            # commands, so it is read only after the effects of the present step are carried out.
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
        """Close the connection once its response is sent."""
        if self.transport is not None:
            self._overdue_at = min(self._overdue_at, time.monotonic() + self.limits.write_s)
            self.transport.close()

    def close_if_overdue(self, now: float) -> None:
        """Close the connection if its state has lasted too long.

        The client has sent no request or does not receive its response, or the controller has not
        responded. `now`: monotonic clock, in seconds.
        """
        transport = self.transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > 0:
            # `_send` has set the time limit of an idle connection. While data is left to be sent,
            # the time limit for receiving a response applies.
            if now > self._overdue_at - self.limits.idle_s + self.limits.write_s:
                transport.abort()
        elif now > self._overdue_at:
            if self._pending_response is not None:
                self._pending_response(HTTPStatus.SERVICE_UNAVAILABLE, b"", RETRY_AFTER_SECONDS)
            self._close()


class Server:
    """Listens on one address and passes each whole request to a handler."""

    def __init__(
        self,
        address: str,
        on_request: Callable[[Request], None],
        max_connections: int,
        user_request_limit: AdaptiveLimit | None = None,
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            address: to listen on, as host:port.
            on_request: called with each whole request.
            max_connections: how many connections may be open.
            user_request_limit: user requests beyond it are refused at once; None: no limit.
            limits: limits of requests and connections.
        """
        self.address = address
        self.on_request = on_request
        self.max_connections = max_connections
        self.user_request_limit = user_request_limit
        self.limits = limits
        self.open_connections: set[Connection] = set()
        # Connections that wait for their next request, longest idle first.
        self._idle_users: dict[Connection, None] = {}
        self._idle_others: dict[Connection, None] = {}
        # Until when machines' connections are closed after their response while the server is at
        # capacity (monotonic clock, in seconds); see `ServerLimits.close_machines_s`.
        self._close_machines_until = float("-inf")

    @property
    def at_capacity(self) -> bool:
        """Whether nearly all sockets are in use."""
        return len(self.open_connections) > self.limits.capacity_share * self.max_connections

    def must_close_after_response(self, connection: Connection) -> bool:
        """Return whether the connection is to be closed after the response that is sent now."""
        if not self.at_capacity:
            return False
        if connection.client_kind is _USER:
            return True
        return connection.client_kind is _MACHINE and time.monotonic() < self._close_machines_until

    # -- idle connections ------------------------------------------------------------------

    def on_idle(self, connection: Connection) -> None:
        """Add a connection to the idle ones, after the response to its request."""
        is_user = connection.client_kind is _USER
        idle = self._idle_users if is_user else self._idle_others
        idle[connection] = None

    def on_active(self, connection: Connection) -> None:
        """Remove a connection that receives data from the idle connections."""
        self._idle_users.pop(connection, None)
        self._idle_others.pop(connection, None)

    def on_closed(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self.open_connections.discard(connection)
        self.on_active(connection)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest, users' connections first.

        A machine whose connection is closed opens a new one for its next heartbeat, some seconds
        later. Without this, in a fleet with more machines than there are sockets, the machines that
        connected last were always refused.

        Returns:
            Whether there was an idle connection.
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
        # After a restart all machines of the fleet connect at once and wait in the backlog.
        listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=max(MIN_BACKLOG, self.max_connections)
        )
        try:
            while True:
                await anyio.sleep(self.limits.check_interval_s)
                now = time.monotonic()
                for connection in list(self.open_connections):
                    connection.close_if_overdue(now)
        finally:
            listener.close()
            for connection in list(self.open_connections):
                connection.abort()
