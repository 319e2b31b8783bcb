"""The shell round the owner: sockets, clocks and calls. Decides nothing."""

from __future__ import annotations

import logging
import os
import time
from collections import deque

import anyio

from fallpulley.controller import Controller
from fallpulley.effects import (
    CallCompleted,
    Command,
    Effect,
    HttpCall,
    OperatorRequest,
    PeerMessage,
    Request,
    SendResponse,
)
from fallpulley.settings import CALL_SHARE, MESH_SHARE, SERVE_SHARE, Settings
from fallpulley.wire.client import Client
from fallpulley.wire.limit import AdaptiveLimit
from fallpulley.wire.server import Server

log = logging.getLogger(__name__)

# The owner looks at its timers at least this often; all its delays are several times longer.
TICK_SECONDS = 0.1
# What arrives within this time is one batch: at 200 check-ins a second a step for each would cost
# more than all of them, and nobody who waits for an answer notices.
BATCH_WINDOW_SECONDS = 0.015
# Of the memory, what one answer may take: the changes of a long gap have no limit, and reading all
# keys again by pages costs less than an end for memory.
MAX_RESPONSE_MEMORY_SHARE = 0.125
# A step that takes longer is told: meanwhile nobody is answered.
SLOW_STEP_SECONDS = 0.5
# How often connections that were idle for long are closed.
IDLE_CHECK_SECONDS = 5.0


class Service:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # No two processes have the same, even if the machine's source of chance starts anew.
        incarnation = f"{os.urandom(6).hex()}-{time.time_ns():x}"
        self.controller = Controller(settings, incarnation, time.monotonic)
        self._commands: deque[Command] = deque()
        self._wake = anyio.Event()
        self._wake_pending = False

    def submit(self, command: Command) -> None:
        self._commands.append(command)
        if not self._wake_pending:
            self._wake_pending = True
            self._wake.set()

    def submit_peer_request(self, request: Request) -> None:
        """What reaches the mesh address is a peer's message, which has no answer but that it came,
        or an operator's request."""
        if request.method == "POST" and request.path == "/beat":
            self.submit(PeerMessage(request.body))
            request.pending_response(204, b"", None)
        else:
            operators = OperatorRequest(
                request.pending_response, request.method, request.path, request.body
            )
            self.submit(operators)

    async def run(self) -> None:
        limits = self.settings.facts.machine_limits
        sockets = int(limits.sockets * SERVE_SHARE)
        limit = AdaptiveLimit(least=8, most=max(16, sockets // 2))
        public = Server(self.settings.serve_on, self.submit, sockets, limit)
        mesh = Server(
            self.settings.mesh_addr,
            self.submit_peer_request,
            max(8, int(limits.sockets * MESH_SHARE)),
        )
        async with anyio.create_task_group() as tasks:
            settings = self.settings
            first = [settings.endpoints.state, settings.endpoints.cloud]
            first += [peer.address for peer in settings.peers]
            answer_most = int(MAX_RESPONSE_MEMORY_SHARE * limits.memory_mb * 2**20)
            client = Client(tasks, max(8, int(limits.sockets * CALL_SHARE)), first, answer_most)
            tasks.start_soon(public.run)
            tasks.start_soon(mesh.run)
            tasks.start_soon(self._close_idle_connections, client)
            await self._run_owner(client)

    async def _close_idle_connections(self, client: Client) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_SECONDS)
            client.sweep()

    async def _run_owner(self, client: Client) -> None:
        """The one owner: everything that changes state happens in this loop."""
        while True:
            if not self._commands:
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wake.wait()
            # What comes within a moment is taken together: a step has a cost of its own.
            await anyio.sleep(BATCH_WINDOW_SECONDS)
            self._wake = anyio.Event()
            self._wake_pending = False
            batch = list(self._commands)
            self._commands.clear()
            for effect in self._step(batch):
                if isinstance(effect, SendResponse):
                    effect.pending_response(effect.status, effect.body, effect.retry_after)
                else:
                    self._call(client, effect)

    def _step(self, batch: list[Command]) -> list[Effect]:
        began = time.monotonic()
        effects = self.controller.step(batch, began, time.time())
        took_s = time.monotonic() - began
        if took_s > SLOW_STEP_SECONDS:
            log.info("slow step s=%.2f commands=%d", took_s, len(batch))
        return effects

    def _call(self, client: Client, call: HttpCall) -> None:
        sent_at = time.monotonic()

        def answered(status: int | None, body: bytes) -> None:
            self.submit(CallCompleted(call.on_response, status, body, sent_at))

        client.call(call.address, call.method, call.path, call.body, call.timeout_s, answered)


def serve(settings: Settings) -> None:
    anyio.run(Service(settings).run, backend="asyncio")
