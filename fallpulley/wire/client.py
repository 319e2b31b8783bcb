"""The h11 client: carries out calls over kept connections, one at a time on each.

Like the server's, its connections are protocols of anyio's asyncio backend: a call over a kept
connection is a write, a timer and a callback, without a task of its own.
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

from fallpulley.effects import RESPONSE_TOO_LONG
from fallpulley.settings import split_address

log = logging.getLogger(__name__)

KEEP_S = 20.0  # a connection idle for longer is not used again
KEEP_MOST = 6  # idle connections kept for one address
ANSWER_MOST = 64 * 1024 * 1024  # of an answer's body, where no memory limit says less
HEADS_KEPT = 512  # of requests, by address and length

_END = h11.EndOfMessage()


@lru_cache(HEADS_KEPT)
def request_head(address: str, length: int) -> h11.Request:
    """A request whose headers others of the same length take over: h11 has checked them once."""
    headers = [("Host", address), ("Content-Length", str(length))]
    if length:
        headers.append(("Content-Type", "application/json"))
    return h11.Request(method="GET", target="/", headers=headers)


# Status and body; (None, b"") when no answer came: the outcome is unknown; `ANSWER_TOO_LONG`.
Answered = Callable[[int | None, bytes], None]


class _Call:
    """A call under way: it ends once, by its answer, its connection's end or its timer."""

    __slots__ = ("address", "answered", "connection", "ended", "scope", "timer", "wire")

    def __init__(self, address: str, wire: list[h11.Event], answered: Answered) -> None:
        self.address = address
        self.wire = wire
        self.answered = answered
        self.connection: _Connection | None = None
        self.scope: anyio.CancelScope | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False

    def end(self, status: int | None, body: bytes) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.answered(status, body)

    def overdue(self) -> None:
        if self.ended:
            return
        self.end(None, b"")
        if self.scope is not None:
            self.scope.cancel()
        if self.connection is not None:
            self.connection.abort()


class _Connection(asyncio.Protocol):
    def __init__(self, client: Client, address: str) -> None:
        self.client = client
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.used_at = 0.0
        self.call: _Call | None = None
        self._status = 0
        self._chunks: list[bytes] = []
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.client.open.add(self)

    def send(self, call: _Call) -> None:
        self.call, call.connection = call, self
        self._status, self._chunks, self._size = 0, [], 0
        transport = self.transport
        if transport is None:
            self._end(None)
            return
        try:
            transport.write(b"".join(self.http.send(event) or b"" for event in call.wire))
        except h11.ProtocolError:
            self._end(None)
            self.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            self._advance()
        except Exception as error:
            if not isinstance(error, h11.ProtocolError):
                log.exception("call's answer failed")
            self._end(None)
            self.abort()

    def eof_received(self) -> bool:
        self.data_received(b"")  # an answer without a length ends with its connection
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._end(None)
        self.client.forget(self)

    def _advance(self) -> None:
        while self.call is not None:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return
            if type(event) is h11.Response:
                self._status = event.status_code
            elif type(event) is h11.Data:
                self._size += len(event.data)
                if self._size > self.client.answer_most:
                    self._end(RESPONSE_TOO_LONG)
                    self.abort()
                    return
                self._chunks.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                body = b"".join(self._chunks)
                self._chunks = []
                self._keep_or_close()
                self._end(self._status, body)
                return
            elif type(event) is not h11.InformationalResponse:
                raise h11.RemoteProtocolError("connection closed")

    def _keep_or_close(self) -> None:
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.used_at = time.monotonic()
            if self.client.keep(self):
                return
        self.abort()

    def _end(self, status: int | None, body: bytes = b"") -> None:
        call, self.call = self.call, None
        if call is not None:
            call.end(status, body)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Calls wait for a socket while `sockets` are in use: a takeover or a plan may have something
    to say to every machine at once, and sockets that calls take are missing to check-ins. Calls
    to the addresses in `first` (state service, cloud, peers) wait for nobody."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        sockets: int = 128,
        first: Collection[str] = (),
        answer_most: int = ANSWER_MOST,
    ) -> None:
        self._tasks = tasks
        self.answer_most = answer_most
        self.sockets = sockets
        self.first = frozenset(first)
        self.open: set[_Connection] = set()
        self._opening = 0
        self._waiting: deque[_Call] = deque()
        # Idle connections by address; and all of them, the one idle for longest first.
        self._idle: dict[str, list[_Connection]] = {}
        self._oldest: dict[_Connection, None] = {}

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        answered: Answered,
    ) -> None:
        """Carry out a call; `answered` is called once, never before this returns."""
        loop = asyncio.get_running_loop()
        try:
            headers = request_head(address, len(body or b"")).headers
            wire: list[h11.Event] = [h11.Request(method=method, target=path, headers=headers)]
            if body:
                wire.append(h11.Data(data=body))
            wire.append(_END)
        except h11.ProtocolError:
            log.exception("call cannot be sent address=%s path=%s", address, path)
            loop.call_soon(answered, None, b"")
            return
        call = _Call(address, wire, answered)
        call.timer = loop.call_later(timeout_s, call.overdue)
        kept = self._take(address)
        if kept is not None:
            kept.send(call)
        elif address in self.first:
            self._start(call)
        else:
            self._waiting.append(call)
            self._next()

    def _start(self, call: _Call) -> None:
        self._opening += 1
        self._tasks.start_soon(self._open, call)

    def _next(self) -> None:
        """Open connections for calls that wait, as far as sockets are free."""
        while self._waiting:
            if self._waiting[0].ended:
                self._waiting.popleft()
            elif self._opening + len(self.open) < self.sockets:
                self._start(self._waiting.popleft())
            else:
                if self._oldest:
                    next(iter(self._oldest)).abort()  # its end calls us again
                return

    async def _open(self, call: _Call) -> None:
        try:
            await self._connect(call)
        finally:
            self._opening -= 1
            self._next()

    async def _connect(self, call: _Call) -> None:
        with anyio.CancelScope() as scope:
            call.scope = scope
            try:
                host, port = split_address(call.address)
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, call.address), host, port
                )
            except (OSError, ValueError):
                call.end(None, b"")
                return
            except Exception:
                # Whatever went wrong with one call, its outcome is unknown, the process goes on.
                log.exception("call failed address=%s", call.address)
                call.end(None, b"")
                return
            call.scope = None
            if call.ended:
                connection.abort()
            else:
                connection.send(call)

    def _take(self, address: str) -> _Connection | None:
        idle = self._idle.get(address)
        oldest = time.monotonic() - KEEP_S
        while idle:
            kept = idle.pop()
            self._oldest.pop(kept, None)
            if kept.used_at > oldest and kept.transport and not kept.transport.is_closing():
                return kept
            kept.abort()
        return None

    def keep(self, connection: _Connection) -> bool:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= KEEP_MOST or (self._waiting and connection.address not in self.first):
            return False
        idle.append(connection)
        if connection.address not in self.first:
            self._oldest[connection] = None
        return True

    def forget(self, connection: _Connection) -> None:
        """A connection is closed; it may be among the idle ones."""
        self.open.discard(connection)
        self._oldest.pop(connection, None)
        idle = self._idle.get(connection.address)
        if idle is not None:
            if connection in idle:
                idle.remove(connection)
            if not idle:
                del self._idle[connection.address]
        self._next()

    def close_idle(self) -> None:
        """Close what has been idle for long: machines come and go, sockets are few."""
        oldest = time.monotonic() - KEEP_S
        for idle in list(self._idle.values()):
            for connection in [kept for kept in idle if kept.used_at <= oldest]:
                connection.abort()
