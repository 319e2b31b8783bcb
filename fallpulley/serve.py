"""The controller's process: the servers, the client and the loop that runs the controller.

Everything runs in one thread, on one event loop. Its tasks are the two servers (the public address
and the mesh address), the closing of idle connections, and the controller's loop, which runs the
controller in steps. Servers and completed calls add commands to a queue; the loop takes them in
batches, passes each batch to a step of the controller, which makes all decisions, and carries out
the effects of the step. The process is ended by a signal. It has nothing to write or send first,
since all durable state is in the state service.
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
from fallpulley.settings import (
    MESH_SOCKET_SHARE,
    PUBLIC_SOCKET_SHARE,
    WORKER_CALL_SOCKET_SHARE,
    Settings,
)
from fallpulley.wire.adaptive_limit import AdaptiveLimit
from fallpulley.wire.client import Client, ClientLimits
from fallpulley.wire.server import Server

log = logging.getLogger(__name__)

# Longest wait for commands before the next step, which also checks the controller's timers; all of
# its delays are several times longer.
TICK_SECONDS = 0.1
# Time for which commands are collected into one batch. At 200 heartbeats per second, a step for
# each would cost more than the heartbeats themselves; clients do not notice so short a delay.
BATCH_WINDOW_SECONDS = 0.015
# Share of the controller's memory that one response may take. The list of changes since a long
# outage has no limit; reading all keys again in pages is better than running out of memory.
MAX_RESPONSE_MEMORY_SHARE = 0.125
# Duration above which a step is logged: no request is responded to during a step.
SLOW_STEP_SECONDS = 0.5
# Time between two checks for client connections that have been idle for too long.
IDLE_CHECK_SECONDS = 5.0
# Minimum number of sockets of the mesh server, and of the client for calls to workers.
MIN_SOCKETS = 8
# Lower bound of the adaptive limit on user requests in progress. Its upper bound is half of the
# public sockets, but at least `MIN_USER_REQUEST_CEILING`.
MIN_USER_REQUEST_LIMIT = 8
MIN_USER_REQUEST_CEILING = 16


class ControllerProcess:
    """Runs one controller with its servers, its client and its command queue."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Unique to the process even if the machine's random numbers repeat after a restart.
        incarnation = f"{os.urandom(6).hex()}-{time.time_ns():x}"
        self.controller = Controller(settings, incarnation, time.monotonic)
        self._commands: deque[Command] = deque()
        self._wake_event = anyio.Event()
        self._wake_pending = False

    # -- commands --------------------------------------------------------------------------

    def submit(self, command: Command) -> None:
        """Queue a command for the controller's next step."""
        self._commands.append(command)
        if not self._wake_pending:
            self._wake_pending = True
            self._wake_event.set()

    def submit_mesh_request(self, request: Request) -> None:
        """Queue a request to the mesh address: a peer message or an operator's request.

        A peer message is acknowledged at once; its sender expects no other response.
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
        """Run the servers and the controller until the process is ended."""
        public, mesh = self._public_server(), self._mesh_server()
        async with anyio.create_task_group() as tasks:
            client = self._client(tasks)
            tasks.start_soon(public.run)
            tasks.start_soon(mesh.run)
            tasks.start_soon(self._close_idle_connections, client)
            await self._run_controller(client)

    def _public_server(self) -> Server:
        """Return the server for users and workers."""
        sockets = int(self.settings.facts.machine_limits.sockets * PUBLIC_SOCKET_SHARE)
        limit = AdaptiveLimit(MIN_USER_REQUEST_LIMIT, max(MIN_USER_REQUEST_CEILING, sockets // 2))
        return Server(self.settings.serve_on, self.submit, sockets, limit)

    def _mesh_server(self) -> Server:
        """Return the server for peers and operators."""
        sockets = max(
            MIN_SOCKETS, int(self.settings.facts.machine_limits.sockets * MESH_SOCKET_SHARE)
        )
        return Server(self.settings.mesh_addr, self.submit_mesh_request, sockets)

    def _client(self, tasks: anyio.abc.TaskGroup) -> Client:
        """Return the client for all calls.

        Calls to the state service, the cloud and peers never wait for a socket.
        """
        limits = self.settings.facts.machine_limits
        endpoints = self.settings.endpoints
        return Client(
            tasks,
            max(MIN_SOCKETS, int(limits.sockets * WORKER_CALL_SOCKET_SHARE)),
            [endpoints.state, endpoints.cloud, *(peer.address for peer in self.settings.peers)],
            ClientLimits(int(MAX_RESPONSE_MEMORY_SHARE * limits.memory_mb * 2**20)),
        )

    async def _close_idle_connections(self, client: Client) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_SECONDS)
            client.close_idle()

    async def _run_controller(self, client: Client) -> None:
        """Run the controller's steps; its state changes only here."""
        while True:
            if not self._commands:
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wake_event.wait()
            # Collect more commands into the batch, since each step has a fixed cost.
            await anyio.sleep(BATCH_WINDOW_SECONDS)
            self._wake_event = anyio.Event()
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
            log.info("slow controller step seconds=%.2f count=%d", seconds, len(batch))
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
    anyio.run(ControllerProcess(settings).run, backend="asyncio")
