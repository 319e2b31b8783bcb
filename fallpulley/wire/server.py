"""The h11 server: reads whole requests, posts them to the owner, sends its answers.

Its connections are protocols of anyio's asyncio backend rather than anyio's streams. On a
fifth of a core several hundred machines report every few seconds, and a stream's locks, scopes
and wake-ups took most of the time of such a request.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from functools import lru_cache

import anyio
import h11

from fallpulley.effects import Request
from fallpulley.settings import split_address
from fallpulley.wire.limit import AdaptiveLimit

log = logging.getLogger(__name__)

BODY_MOST = 64 * 1024
IDLE_S = 75.0  # an open connection may stay silent between requests
READ_S = 10.0  # a request that began must arrive within this
WRITE_S = 10.0  # an answer must be taken within this
ANSWER_S = 15.0  # the owner always answers well before this
SWEEP_S = 2.0  # how often overdue connections are looked for
# Beyond this share of the sockets users' connections end with their answer: a machine that finds
# no socket loses its lease with all its tasks, a user comes back through the load balancer.
CROWDED = 0.85
# For so long after a machine's connection had to make room for another one, machines' connections
# end with their answer, too, while sockets are crowded: there are more machines than sockets.
SHORT_S = 60.0
# Heads of answers that are kept: statuses with the lengths that occur, most of them a few bytes.
HEADS_KEPT = 512

_END = h11.EndOfMessage()


@lru_cache(HEADS_KEPT)
def answer_head(
    status: int, length: int, retry_after: float | None = None, close: bool = False
) -> h11.Response:
    """An answer's head. h11 checks every header of a head it is given; hundreds of answers a
    second have the same few, and checking them anew was a third of the time of sending."""
    headers = [("Content-Length", str(length))]
    if length:
        headers.append(("Content-Type", "application/json"))
    if retry_after is not None:
        headers.append(("Retry-After", str(max(1, round(retry_after)))))
    if close:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers)


class ConnectionResponse:
    """Where the owner's answer to one request arrives."""

    __slots__ = ("connection",)

    def __init__(self, connection: Connection) -> None:
        self.connection: Connection | None = connection

    def __call__(self, status: int, body: bytes, retry_after: float | None) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.answer(self, status, body, retry_after)


class Connection(asyncio.Protocol):
    """One connection: a request at a time, each answered before the next is looked at."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        self.transport: asyncio.Transport | None = None
        self.due_at = 0.0  # when the connection is overdue, whatever it is at
        self.counted = False  # the limit counts the request in progress
        self.user = False  # its last request was a user's
        self.machine = False  # its last request was a machine's report
        self.ticket: ConnectionResponse | None = None
        self._request: h11.Request | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._began = 0.0

    # -- events of the transport -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        server = self.server
        if len(server.open) >= server.sockets and not server.make_room():
            transport.abort()
            return
        server.open.add(self)
        self.due_at = time.monotonic() + IDLE_S

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.forget(self)
        self.transport = None
        self._uncount()
        if self.ticket is not None:
            self.ticket.connection = None
            self.ticket = None

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        if self._request is None and self.ticket is None:
            self.due_at = time.monotonic() + READ_S
            self.server.wake(self)
        try:
            self.http.receive_data(data)
            if self.ticket is None:
                self._advance()
            elif len(self.http.trailing_data[0]) > BODY_MOST:
                self.transport.abort()  # nobody pipelines: this is no client of ours
        except Exception:
            # A request must never harm other connections or end the process.
            log.exception("http connection failed")
            self.abort()

    def eof_received(self) -> bool:
        return False

    # -- requests --------------------------------------------------------------------------

    def _advance(self) -> None:
        """Take what has arrived, up to a whole request."""
        while self.transport is not None and not self.transport.is_closing():
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    self._send(error.error_status_hint, b"", None, close=True)
                self._close()
                return
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    go = h11.InformationalResponse(status_code=100, headers=[])
                    self.transport.write(self.http.send(go) or b"")
                return
            if type(event) is h11.Request:
                self._request = event
                self._chunks = []
                self._size = 0
            elif type(event) is h11.Data:
                self._size += len(event.data)
                if self._size > BODY_MOST:
                    self._send(400, b'{"error":"too long"}', None, close=True)
                    self._close()
                    return
                self._chunks.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage and self._request is not None:
                request, self._request = self._request, None
                self._post(request, b"".join(self._chunks))
                return
            else:
                self._close()
                return

    def _post(self, request: h11.Request, body: bytes) -> None:
        path = request.target.decode("ascii", "replace")
        self._began = time.monotonic()
        self.due_at = self._began + ANSWER_S
        self.ticket = ticket = ConnectionResponse(self)
        limit = self.server.limit
        self.user = path.startswith("/work")
        self.machine = path == "/checkin"
        if limit is not None and self.user:
            if not limit.enter(query=request.method == b"GET"):
                ticket(503, b'{"error":"busy"}', 1.0)
                return
            self.counted = True
        self.server.post(Request(ticket, request.method.decode("ascii"), path, body))

    def _uncount(self) -> None:
        if self.counted and self.server.limit is not None:
            self.counted = False
            self.server.limit.leave(time.monotonic() - self._began)

    def answer(
        self, ticket: ConnectionResponse, status: int, body: bytes, retry_after: float | None
    ) -> None:
        if self.ticket is not ticket or self.transport is None:
            return
        self.ticket = None
        self._uncount()
        try:
            self._send(status, body, retry_after, close=self.server.is_to_close(self))
            if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
                self._close()
                return
            self.http.start_next_cycle()
            self.server.rest(self)
            if self.http.trailing_data[0]:
                # Never within the owner's step: the next request is for its next batch.
                asyncio.get_running_loop().call_soon(self._advance)
        except Exception:
            log.exception("http answer failed")
            self.abort()

    def _send(
        self, status: int, body: bytes, retry_after: float | None, close: bool = False
    ) -> None:
        transport = self.transport
        if transport is None:
            return
        http = self.http
        out = http.send(answer_head(status, len(body), retry_after, close)) or b""
        if body:
            out += http.send(h11.Data(data=body)) or b""
        transport.write(out + (http.send(_END) or b""))
        self.due_at = time.monotonic() + IDLE_S

    # -- ends ------------------------------------------------------------------------------

    def _close(self) -> None:
        if self.transport is not None:
            self.due_at = min(self.due_at, time.monotonic() + WRITE_S)
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        """Let go of a connection whose other side is silent or does not take its answer."""
        transport = self.transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > 0:
            # The answer went out with an idle time ahead of it: less is left for taking it.
            if now > self.due_at - IDLE_S + WRITE_S:
                transport.abort()
        elif now > self.due_at:
            if self.ticket is not None:
                self.ticket(503, b"", 1.0)
            self._close()


class Server:
    """Listens on one address. With a limit, user requests beyond it are refused at once."""

    def __init__(
        self,
        address: str,
        post: Callable[[Request], None],
        sockets: int,
        limit: AdaptiveLimit | None = None,
    ) -> None:
        self.address = address
        self.post = post
        self.sockets = sockets
        self.limit = limit
        self.open: set[Connection] = set()
        # Between two requests, the one idle for longest first.
        self._idle_users: dict[Connection, None] = {}
        self._idle_others: dict[Connection, None] = {}
        self._short_until = float("-inf")

    @property
    def crowded(self) -> bool:
        """Nearly all sockets are taken."""
        return len(self.open) > CROWDED * self.sockets

    def is_to_close(self, connection: Connection) -> bool:
        """Whether a connection ends with the answer that it gets now."""
        if not self.crowded:
            return False
        short = time.monotonic() < self._short_until
        return connection.user or (connection.machine and short)

    def rest(self, connection: Connection) -> None:
        """The connection has had its answer and is idle."""
        idle = self._idle_users if connection.user else self._idle_others
        idle[connection] = None

    def wake(self, connection: Connection) -> None:
        """The connection is idle no longer."""
        self._idle_users.pop(connection, None)
        self._idle_others.pop(connection, None)

    def forget(self, connection: Connection) -> None:
        """The connection is closed."""
        self.open.discard(connection)
        self.wake(connection)

    def make_room(self) -> bool:
        """Close the connection that has been idle for longest, a user's before a machine's; False:
        there is none. A machine that reports each few seconds comes again with a new one; without
        this a fleet larger than the sockets had its later machines refused for good."""
        first = next(iter(self._idle_users), None)
        if first is None:
            first = next(iter(self._idle_others), None)
            self._short_until = time.monotonic() + SHORT_S
        if first is None:
            return False
        self.forget(first)
        first.abort()
        return True

    async def run(self) -> None:
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        # After a restart every machine of the fleet connects at once: they queue here.
        listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=max(512, self.sockets)
        )
        try:
            while True:
                await anyio.sleep(SWEEP_S)
                now = time.monotonic()
                for connection in list(self.open):
                    connection.sweep(now)
        finally:
            listener.close()
            for connection in list(self.open):
                connection.abort()
