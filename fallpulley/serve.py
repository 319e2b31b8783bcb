"""The shell round the owner: sockets, clocks and calls. Decides nothing."""

from __future__ import annotations

import logging
import os
import time
from collections import deque

import anyio

from fallpulley.controller import Controller
from fallpulley.effects import (
    Answer,
    Call,
    Command,
    Effect,
    OperatorRequest,
    PeerMessage,
    Request,
    Result,
)
from fallpulley.settings import CALL_SHARE, MESH_SHARE, SERVE_SHARE, Settings
from fallpulley.wire.client import Client
from fallpulley.wire.limit import AdaptiveLimit
from fallpulley.wire.server import Server

log = logging.getLogger(__name__)

# The owner looks at its timers at least this often; all its delays are several times longer.
TICK_S = 0.1
# What arrives within this time is one batch: at 200 check-ins a second a step for each would cost
# more than all of them, and nobody who waits for an answer notices.
GATHER_S = 0.015
# Of the memory, what one answer may take: the changes of a long gap have no limit, and reading all
# keys again by pages costs less than an end for memory.
ANSWER_SHARE = 0.125
# A step that takes longer is told: meanwhile nobody is answered.
SLOW_STEP_S = 0.5
# How often connections that were idle for long are closed.
SWEEP_S = 5.0


class Service:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # No two processes have the same, even if the machine's source of chance starts anew.
        boot = f"{os.urandom(6).hex()}-{time.time_ns():x}"
        self.controller = Controller(settings, boot, time.monotonic)
        self._commands: deque[Command] = deque()
        self._wake = anyio.Event()
        self._awake = False

    def post(self, command: Command) -> None:
        self._commands.append(command)
        if not self._awake:
            self._awake = True
            self._wake.set()

    def post_peer(self, request: Request) -> None:
        """What reaches the mesh address is a peer's message, which has no answer but that it came,
        or an operator's request."""
        if request.method == "POST" and request.path == "/beat":
            self.post(PeerMessage(request.body))
            request.ticket.settle(204, b"", None)
        else:
            operators = OperatorRequest(request.ticket, request.method, request.path, request.body)
            self.post(operators)

    async def run(self) -> None:
        limits = self.settings.facts.machine_limits
        sockets = int(limits.sockets * SERVE_SHARE)
        limit = AdaptiveLimit(least=8, most=max(16, sockets // 2))
        public = Server(self.settings.serve_on, self.post, sockets, limit)
        mesh = Server(
            self.settings.mesh_addr, self.post_peer, max(8, int(limits.sockets * MESH_SHARE))
        )
        async with anyio.create_task_group() as tasks:
            settings = self.settings
            first = [settings.endpoints.state, settings.endpoints.cloud]
            first += [seed.address for seed in settings.seeds]
            answer_most = int(ANSWER_SHARE * limits.memory_mb * 2**20)
            client = Client(tasks, max(8, int(limits.sockets * CALL_SHARE)), first, answer_most)
            tasks.start_soon(public.run)
            tasks.start_soon(mesh.run)
            tasks.start_soon(self._sweep, client)
            await self._own(client)

    async def _sweep(self, client: Client) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            client.sweep()

    async def _own(self, client: Client) -> None:
        """The one owner: everything that changes state happens in this loop."""
        while True:
            if not self._commands:
                with anyio.move_on_after(TICK_S):
                    await self._wake.wait()
            # What comes within a moment is taken together: a step has a cost of its own.
            await anyio.sleep(GATHER_S)
            self._wake = anyio.Event()
            self._awake = False
            batch = list(self._commands)
            self._commands.clear()
            for effect in self._step(batch):
                if isinstance(effect, Answer):
                    effect.ticket.settle(effect.status, effect.body, effect.retry_after)
                else:
                    self._call(client, effect)

    def _step(self, batch: list[Command]) -> list[Effect]:
        began = time.monotonic()
        effects = self.controller.step(batch, began, time.time())
        took_s = time.monotonic() - began
        if took_s > SLOW_STEP_S:
            log.info("slow step s=%.2f commands=%d", took_s, len(batch))
        return effects

    def _call(self, client: Client, call: Call) -> None:
        sent_at = time.monotonic()

        def answered(status: int | None, body: bytes) -> None:
            self.post(Result(call.done, status, body, sent_at))

        client.call(call.address, call.method, call.path, call.body, call.timeout_s, answered)


def serve(settings: Settings) -> None:
    anyio.run(Service(settings).run, backend="asyncio")
