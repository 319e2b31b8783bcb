"""The h11 server: reads whole requests, posts them to the owner, sends its answers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import anyio
import anyio.abc
import h11

from fallpulley.effects import Request
from fallpulley.settings import split_address
from fallpulley.wire.limit import AdaptiveLimit

log = logging.getLogger(__name__)

BODY_MOST = 64 * 1024
RECEIVE_BYTES = 16 * 1024
IDLE_S = 75.0  # an open connection may stay silent between requests
READ_S = 10.0  # a request that began must arrive within this
WRITE_S = 10.0
ANSWER_S = 15.0  # the owner always answers well before this


class Ticket:
    """Where the owner's answer to one request arrives."""

    __slots__ = ("body", "event", "retry_after", "status")

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.status = 503
        self.body = b""
        self.retry_after: float | None = None

    def settle(self, status: int, body: bytes, retry_after: float | None) -> None:
        self.status, self.body, self.retry_after = status, body, retry_after
        self.event.set()


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
        self.open = 0

    async def run(self) -> None:
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=512)
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self.open += 1
        try:
            async with stream:
                if self.open <= self.sockets:
                    await self._requests(stream)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
            pass  # the other side went away or was too slow
        except h11.ProtocolError as error:
            log.debug("http broken message: %s", error)
        except Exception:
            # A request must never harm other connections or end the process.
            log.exception("http connection failed")
        finally:
            self.open -= 1

    async def _requests(self, stream: anyio.abc.SocketStream) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        while True:
            try:
                request, body = await self._read(stream, http)
            except h11.RemoteProtocolError as error:
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._send(stream, http, error.error_status_hint, b"", None, close=True)
                return
            if request is None:
                return
            if body is None:
                await self._send(stream, http, 400, b'{"error":"too long"}', None, close=True)
                return
            status, answer, retry = await self._serve(request, body)
            await self._send(stream, http, status, answer, retry)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _read(
        self, stream: anyio.abc.SocketStream, http: h11.Connection
    ) -> tuple[h11.Request | None, bytes | None]:
        """The next request; (None, _) at the end, (_, None) when its body is too long."""
        request: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        began = False
        with anyio.fail_after(IDLE_S) as scope:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        go = h11.InformationalResponse(status_code=100, headers=[])
                        await stream.send(http.send(go))
                    try:
                        data = await stream.receive(RECEIVE_BYTES)
                    except anyio.EndOfStream:
                        data = b""
                    if data and not began:
                        began = True
                        scope.deadline = anyio.current_time() + READ_S
                    http.receive_data(data)
                elif type(event) is h11.Request:
                    request = event
                elif type(event) is h11.Data:
                    size += len(event.data)
                    if size > BODY_MOST:
                        return request, None
                    chunks.append(bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    return request, b"".join(chunks)
                else:
                    return None, b""

    async def _serve(self, request: h11.Request, body: bytes) -> tuple[int, bytes, float | None]:
        path = request.target.decode("ascii", "replace")
        limit = self.limit if path.startswith("/work") else None
        if limit is not None and not limit.enter():
            return 503, b'{"error":"busy"}', 1.0
        began = time.monotonic()
        try:
            ticket = Ticket()
            self.post(Request(ticket, request.method.decode("ascii"), path, body))
            with anyio.move_on_after(ANSWER_S):
                await ticket.event.wait()
            return ticket.status, ticket.body, ticket.retry_after
        finally:
            if limit is not None:
                limit.leave(time.monotonic() - began)

    async def _send(
        self,
        stream: anyio.abc.SocketStream,
        http: h11.Connection,
        status: int,
        body: bytes,
        retry_after: float | None,
        close: bool = False,
    ) -> None:
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if retry_after is not None:
            headers.append(("Retry-After", str(max(1, round(retry_after)))))
        if close:
            headers.append(("Connection", "close"))
        out = http.send(h11.Response(status_code=status, headers=headers))
        if body:
            out += http.send(h11.Data(data=body)) or b""
        out += http.send(h11.EndOfMessage()) or b""
        with anyio.fail_after(WRITE_S):
            await stream.send(out)
