"""The shell round the owner: sockets, clocks and calls. Decides nothing."""

from __future__ import annotations

import logging
import os
import time
from collections import deque

import anyio
import anyio.abc

from fallpulley.controller import Controller
from fallpulley.effects import Answer, Call, Command, PeerMessage, Request, Result
from fallpulley.settings import Settings
from fallpulley.wire.client import Client
from fallpulley.wire.limit import AdaptiveLimit
from fallpulley.wire.server import Server

log = logging.getLogger(__name__)

# The owner looks at its timers at least this often; all its delays are several times longer.
TICK_S = 0.1
# Of the machine's sockets: for users and workers, for other controllers, the rest for calls.
SERVE_SHARE, MESH_SHARE = 0.7, 0.05


class Service:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        boot = os.urandom(6).hex()
        self.controller = Controller(settings, boot, time.monotonic)
        self.client = Client()
        self._commands: deque[Command] = deque()
        self._wake = anyio.Event()

    def post(self, command: Command) -> None:
        self._commands.append(command)
        self._wake.set()

    def post_peer(self, request: Request) -> None:
        """What reaches the mesh address is a message; it has no answer but that it came."""
        if request.method == "POST" and request.path == "/beat":
            self.post(PeerMessage(request.body))
            request.ticket.settle(204, b"", None)
        else:
            request.ticket.settle(404, b"", None)

    async def run(self) -> None:
        limits = self.settings.facts.machine_limits
        sockets = int(limits.sockets * SERVE_SHARE)
        limit = AdaptiveLimit(least=8, most=max(16, sockets // 2))
        public = Server(self.settings.serve_on, self.post, sockets, limit)
        mesh = Server(
            self.settings.mesh_addr, self.post_peer, max(8, int(limits.sockets * MESH_SHARE))
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(public.run)
            tasks.start_soon(mesh.run)
            await self._own(tasks)

    async def _own(self, tasks: anyio.abc.TaskGroup) -> None:
        """The one owner: everything that changes state happens in this loop."""
        while True:
            if not self._commands:
                with anyio.move_on_after(TICK_S):
                    await self._wake.wait()
            self._wake = anyio.Event()
            batch = list(self._commands)
            self._commands.clear()
            for effect in self.controller.step(batch, time.monotonic(), time.time()):
                if isinstance(effect, Answer):
                    effect.ticket.settle(effect.status, effect.body, effect.retry_after)
                else:
                    tasks.start_soon(self._call, effect)
            await anyio.sleep(0)

    async def _call(self, call: Call) -> None:
        sent_at = time.monotonic()
        status: int | None = None
        body = b""
        try:
            status, body = await self.client.call(
                call.address, call.method, call.path, call.body, call.timeout_s
            )
        except Exception:
            # Whatever went wrong with one call, its outcome is unknown and the process goes on.
            log.exception("call failed address=%s path=%s", call.address, call.path)
        self.post(Result(call.done, status, body, sent_at))


def serve(settings: Settings) -> None:
    anyio.run(Service(settings).run, backend="asyncio")
