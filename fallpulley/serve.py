"""The controller's process: sockets, clocks and calls around the controller, which alone decides.

Everything runs in one thread, on one event loop. Its tasks are the two servers (the public address
and the mesh address), the closing of idle connections, and the controller's loop, which runs the
controller in steps. Servers and calls add commands to a queue; the loop takes them in batches and
carries out the effects of each step. The process ends with a signal: nothing needs to be written
or sent before, since all that must survive is in the state service.
"""

from __future__ import annotations

import logging
import os
import time
from collections import deque

import anyio
import anyio.abc

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
from fallpulley.mesh.messages import PEER_MESSAGES_PATH
from fallpulley.settings import CALL_SHARE, MESH_SHARE, SERVE_SHARE, Settings
from fallpulley.wire.client import Client, ClientLimits
from fallpulley.wire.limit import AdaptiveLimit
from fallpulley.wire.server import Server

log = logging.getLogger(__name__)

# The controller checks its timers at least this often; all its delays are several times longer.
TICK_SECONDS = 0.1
# What arrives within this time is one batch: at 200 heartbeats a second a step for each would cost
# more than all of them, and nobody who waits for a response notices.
BATCH_WINDOW_SECONDS = 0.015
# Of the memory, what one response may take: the changes of a long gap have no limit, and reading
# all keys again by pages costs less than running out of memory.
MAX_RESPONSE_MEMORY_SHARE = 0.125
# A step that takes longer is logged: meanwhile no request is answered.
SLOW_STEP_SECONDS = 0.5
# How often connections that were idle for long are closed.
IDLE_CHECK_SECONDS = 5.0
# Sockets that the mesh's server and the calls have at least.
MIN_SOCKETS = 8
# Bounds of the limit on user requests in progress.
MIN_USER_REQUESTS = 8
MIN_MAX_USER_REQUESTS = 16


class Service:
    """One controller with its servers, its client and the queue of its commands."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Unique to the process, even if the machine's random numbers repeat after a restart.
        incarnation = f"{os.urandom(6).hex()}-{time.time_ns():x}"
        self.controller = Controller(settings, incarnation, time.monotonic)
        self._commands: deque[Command] = deque()
        self._wake = anyio.Event()
        self._wake_pending = False

    # -- commands --------------------------------------------------------------------------

    def submit(self, command: Command) -> None:
        """Queue a command for the controller's next step."""
        self._commands.append(command)
        if not self._wake_pending:
            self._wake_pending = True
            self._wake.set()

    def submit_mesh_request(self, request: Request) -> None:
        """Queue a request to the mesh address: a peer's message or an operator's request.

        A peer's message is acknowledged at once; its sender expects nothing else.
        """
        if request.method == "POST" and request.path == PEER_MESSAGES_PATH:
            self.submit(PeerMessage(request.body))
            request.pending_response(204, b"", None)
        else:
            self.submit(
                OperatorRequest(
                    request.pending_response, request.method, request.path, request.body
                )
            )

    # -- running ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until the process is ended."""
        public, mesh = self._public_server(), self._mesh_server()
        async with anyio.create_task_group() as tasks:
            client = self._client(tasks)
            tasks.start_soon(public.run)
            tasks.start_soon(mesh.run)
            tasks.start_soon(self._close_idle_connections, client)
            await self._run_controller(client)

    def _public_server(self) -> Server:
        """The server for users and machines."""
        sockets = int(self.settings.facts.machine_limits.sockets * SERVE_SHARE)
        limit = AdaptiveLimit(MIN_USER_REQUESTS, max(MIN_MAX_USER_REQUESTS, sockets // 2))
        return Server(self.settings.serve_on, self.submit, sockets, limit)

    def _mesh_server(self) -> Server:
        """The server for peers and operators."""
        sockets = max(MIN_SOCKETS, int(self.settings.facts.machine_limits.sockets * MESH_SHARE))
        return Server(self.settings.mesh_addr, self.submit_mesh_request, sockets)

    def _client(self, tasks: anyio.abc.TaskGroup) -> Client:
        """The client for all calls; those to the state service, cloud and peers never queue."""
        limits = self.settings.facts.machine_limits
        endpoints = self.settings.endpoints
        return Client(
            tasks,
            max(MIN_SOCKETS, int(limits.sockets * CALL_SHARE)),
            [endpoints.state, endpoints.cloud, *(peer.address for peer in self.settings.peers)],
            ClientLimits(int(MAX_RESPONSE_MEMORY_SHARE * limits.memory_mb * 2**20)),
        )

    async def _close_idle_connections(self, client: Client) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_SECONDS)
            client.close_idle()

    async def _run_controller(self, client: Client) -> None:
        """Run the controller's steps: everything that changes its state happens in this loop."""
        while True:
            if not self._commands:
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wake.wait()
            # What arrives within a moment is one batch: a step has a cost of its own.
            await anyio.sleep(BATCH_WINDOW_SECONDS)
            self._wake = anyio.Event()
            self._wake_pending = False
            batch = list(self._commands)
            self._commands.clear()
            for effect in self._step(batch):
                self._carry_out(client, effect)

    def _step(self, batch: list[Command]) -> list[Effect]:
        started_at = time.monotonic()
        effects = self.controller.step(batch, started_at, time.time())
        seconds = time.monotonic() - started_at
        if seconds > SLOW_STEP_SECONDS:
            log.info("slow step seconds=%.2f count=%d", seconds, len(batch))
        return effects

    # -- effects ---------------------------------------------------------------------------

    def _carry_out(self, client: Client, effect: Effect) -> None:
        if isinstance(effect, SendResponse):
            effect.pending_response(effect.status, effect.body, effect.retry_after)
        else:
            self._send_call(client, effect)

    def _send_call(self, client: Client, call: HttpCall) -> None:
        sent_at = time.monotonic()

        def on_completed(status: int | None, body: bytes) -> None:
            self.submit(CallCompleted(call.on_response, status, body, sent_at))

        client.call(call.address, call.method, call.path, call.body, call.timeout_s, on_completed)


def serve(settings: Settings) -> None:
    """Run a controller until the process is ended."""
    anyio.run(Service(settings).run, backend="asyncio")
