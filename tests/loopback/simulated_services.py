"""The simulated cluster's state service, cloud and workers behind real sockets."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from fallpulley.effects import HttpCall, Request
from fallpulley.wire.client import Client
from fallpulley.wire.server import Server
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, Worker

STEP_INTERVAL_S = 0.05  # between two steps of the workers and of the leases
REPORT_TIMEOUT_S = 4.0  # for the response to a heartbeat
MAX_SOCKETS = 30_000  # of the client, and of each server of the state service and the cloud


class LoopbackCluster(SimulatedCluster):
    """A simulated cluster in real time, whose messages go through sockets."""

    def __init__(
        self,
        machines: int,
        lease_s: float,
        controller_addresses: dict[str, str],
        port: int,
        report_s: float = 1.0,
    ) -> None:
        self.port = port
        self.lease_s = lease_s
        self.report_s = report_s
        self.controller_addresses = controller_addresses  # label -> address for users and workers
        self.state_address = f"127.0.0.1:{port}"
        self.cloud_address = f"127.0.0.1:{port + 1}"
        self.client: Client | None = None
        self.heartbeat_count = 0
        self.watches: list[tuple[Request, str, int, float]] = []
        self.placements: list[tuple[float, int, str]] = []  # (time, token, host)
        super().__init__(0, start=False)
        self.capacity = machines
        for at in range(machines):
            self.add_machine("ab"[at % 2], spot=False)

    @property
    def now(self) -> float:
        return time.monotonic()

    @now.setter
    def now(self, value: float) -> None:
        """Ignore the value: the simulated cluster would set its clock."""

    def add_machine(self, zone: str, spot: bool, machine_type: str = "box") -> str:
        host = super().add_machine(zone, spot, machine_type)
        number = int(host[3:])
        worker = self.workers[host]
        worker.address = f"127.1.{number // 200}.{number % 200 + 1}:{self.port}"
        self.workers_by_address[worker.address] = worker
        # Spreads the heartbeats of the fleet over the report interval.
        worker.next_heartbeat_at = self.now + self.report_s * (number % 997) / 997
        return host

    def task_duration_s(self, task_id: str) -> float:
        """Return the task's duration, varied by up to half so that a job's tasks end one by one.

        It depends on the task alone: it is the same on whichever machine the task runs.
        """
        return super().task_duration_s(task_id) * random.Random(task_id).uniform(0.5, 1.5)

    # -- workers ---------------------------------------------------------------------------

    def send_heartbeat(self, worker: Worker, label: str, number: int, agent_epoch: int) -> None:
        def answered(status: int | None, body: bytes) -> None:
            if status is not None:
                before = set(worker.tasks)
                worker.on_heartbeat_response(number, agent_epoch, status, body)
                if worker.tasks.keys() - before:
                    self.placements.append((self.now, worker.fencing_token, worker.host))
            elif worker.heartbeat_in_flight is not None and worker.heartbeat_in_flight[1] == number:
                worker.try_next_controller(1.0)

        assert self.client is not None
        self.heartbeat_count += 1
        body = json.dumps(worker.build_heartbeat()).encode()
        self.record_heartbeat(worker, body)
        self.client.call(
            self.controller_addresses[label], "POST", "/checkin", body, REPORT_TIMEOUT_S, answered
        )

    def record_heartbeat(self, worker: Worker, body: bytes) -> None:
        """Record a heartbeat that is being sent; subclasses may keep it."""

    def _direct_command_handler(self, worker: Worker) -> Callable[[Request], None]:
        def post(request: Request) -> None:
            if worker.host not in self.workers:
                return  # the machine was released: no response
            status, answer = worker.handle_direct_command(json.loads(request.body or b"{}"))
            request.pending_response(status, json.dumps(answer).encode(), None)

        return post

    # -- state service and cloud -----------------------------------------------------------

    def on_state(self, request: Request) -> None:
        """Handle a request to the state service; one for changes may wait for the next change."""
        if request.path.startswith("/changes"):
            query = request.path.partition("?")[2]
            args = dict(part.partition("=")[::2] for part in query.split("&"))
            until = self.now + int(args["hold_ms"]) / 1000
            self.watches.append((request, args["under"], int(args["after"]), until))
        else:
            status, answer = self.state.handle(request.method, request.path, request.body, self.now)
            request.pending_response(status, json.dumps(answer).encode(), None)
            self._record_owner_change()
        self._answer_watches()

    def _answer_watches(self) -> None:
        waiting = []
        for request, under, after, until in self.watches:
            events = self.state.events_after(under, after)
            if events["news"] or self.now >= until:
                request.pending_response(200, json.dumps(events).encode(), None)
            else:
                waiting.append((request, under, after, until))
        self.watches = waiting

    def on_cloud(self, request: Request) -> None:
        """Handle a request to the cloud."""
        call = HttpCall("", request.method, request.path, request.body, 0.0, lambda *_: None)
        status, answer = self._handle_cloud_request(call)
        request.pending_response(status, json.dumps(answer).encode(), None)

    # -- running ---------------------------------------------------------------------------

    async def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen on all addresses, and step the workers until the task group is cancelled."""
        self.client = Client(tasks, MAX_SOCKETS, [])
        tasks.start_soon(Server(self.state_address, self.on_state, MAX_SOCKETS).run)
        tasks.start_soon(Server(self.cloud_address, self.on_cloud, MAX_SOCKETS).run)
        for worker in self.workers.values():
            tasks.start_soon(Server(worker.address, self._direct_command_handler(worker), 16).run)
        tasks.start_soon(self._step_repeatedly)
        tasks.start_soon(self._close_idle_connections)

    async def _step_repeatedly(self) -> None:
        while True:
            self.state.expire_leases(self.now)
            self._answer_watches()
            for worker in list(self.workers.values()):
                worker.step()
            await anyio.sleep(STEP_INTERVAL_S)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(5.0)
            assert self.client is not None
            self.client.close_idle()

    # -- users -----------------------------------------------------------------------------

    async def send_request(  # type: ignore[override]
        self, label: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a user's request to a controller; return status (0: no response) and body."""
        done: asyncio.Future[tuple[int, Any]] = asyncio.get_running_loop().create_future()

        def answered(status: int | None, answer: bytes) -> None:
            if not done.done():
                done.set_result((status or 0, json.loads(answer) if answer else None))

        assert self.client is not None
        data = json.dumps(body).encode() if body is not None else None
        self.client.call(self.controller_addresses[label], method, path, data, 3.0, answered)
        return await done

    async def submit(self, spec: dict[str, Any], within_s: float = 30.0) -> bool:
        """Submit a job to the controllers in turn; return whether one accepted it in time."""
        self.submissions[spec["uid"]] = spec
        until = self.now + within_s
        while self.now < until:
            for label in CONTROLLER_LABELS:
                status, _ = await self.send_request(label, "POST", "/work", spec)
                if status in (200, 201):
                    return True
            await anyio.sleep(0.3)
        return False
