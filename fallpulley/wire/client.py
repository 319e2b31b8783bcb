"""The h11 client: carries out calls over kept connections, one at a time on each."""

from __future__ import annotations

import contextlib
import time

import anyio
import anyio.abc
import h11

from fallpulley.settings import split_address

RECEIVE_BYTES = 64 * 1024
KEEP_S = 20.0  # a connection idle for longer is not used again
KEEP_MOST = 6  # idle connections kept for one address


class _Kept:
    __slots__ = ("http", "stream", "used_at")

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.used_at = time.monotonic()


class Client:
    def __init__(self) -> None:
        self._idle: dict[str, list[_Kept]] = {}

    async def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int | None, bytes]:
        """Status and body, or (None, b"") when no answer came: the outcome is unknown."""
        kept: _Kept | None = None
        try:
            with anyio.fail_after(timeout_s):
                kept = await self._take(address)
                if kept is None:
                    host, port = split_address(address)
                    kept = _Kept(await anyio.connect_tcp(host, port))
                status, answer = await self._exchange(kept, address, method, path, body)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._close(kept)
            return None, b""
        except (h11.ProtocolError, anyio.EndOfStream, ValueError):
            await self._close(kept)
            return None, b""
        except BaseException:
            await self._close(kept)
            raise
        if kept.http.our_state is h11.DONE and kept.http.their_state is h11.DONE:
            kept.http.start_next_cycle()
            kept.used_at = time.monotonic()
            idle = self._idle.setdefault(address, [])
            if len(idle) < KEEP_MOST:
                idle.append(kept)
                return status, answer
        await self._close(kept)
        return status, answer

    async def _take(self, address: str) -> _Kept | None:
        idle = self._idle.get(address)
        oldest = time.monotonic() - KEEP_S
        while idle:
            kept = idle.pop()
            if kept.used_at > oldest:
                return kept
            await self._close(kept)
        return None

    async def _exchange(
        self, kept: _Kept, address: str, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        http, stream = kept.http, kept.stream
        headers = [("Host", address), ("Content-Length", str(len(body or b"")))]
        if body:
            headers.append(("Content-Type", "application/json"))
        out = http.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body:
            out += http.send(h11.Data(data=body)) or b""
        out += http.send(h11.EndOfMessage()) or b""
        await stream.send(out)
        status = 0
        chunks: list[bytes] = []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive(RECEIVE_BYTES))
                except anyio.EndOfStream:
                    http.receive_data(b"")
            elif type(event) is h11.Response:
                status = event.status_code
            elif type(event) is h11.Data:
                chunks.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                return status, b"".join(chunks)
            elif type(event) is not h11.InformationalResponse:
                raise anyio.EndOfStream

    async def _close(self, kept: _Kept | None) -> None:
        if kept is not None:
            with contextlib.suppress(Exception):
                await anyio.aclose_forcefully(kept.stream)
