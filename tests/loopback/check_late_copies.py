"""Checks on real processes that late copies of messages start no task again.

    python3 -m tests.loopback.check_late_copies

Real processes on this machine, beside simulated services. In each round the tasks of a job end,
move to another machine or are cancelled, and their owner or their machine comes back within a
second, with or without a new owner meanwhile. All requests to machines, and all their heartbeats,
are delivered again and again. Exits with 1 if there was a violation.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import sys
import tempfile
from collections.abc import Callable
from typing import Any

import anyio

from fallpulley.effects import Request
from tests.loopback.deployment import Deployment, running_deployment
from tests.loopback.simulated_services import LoopbackCluster
from tests.simulated_cluster import CONTROLLER_LABELS, Worker, job_spec
from tests.test_late_copies import COPY_INTERVAL_S, RESTART_S, restart_machine

MACHINES = 3
LEASE_S = 8.0
HAND_OVERS = ("ended", "moved", "cancelled")
RESTARTS = ("owner", "new owner", "machine", "machine in a new epoch")
SHORT_TASK_S, LONG_TASK_S = 3.0, 12.0
COPIES_S = 12.0  # how long copies arrive after the restart
MAX_COPIED_HEARTBEATS = 20  # of each machine, the newest
TASKS = 2  # of each job


class CopyingLoopbackCluster(LoopbackCluster):
    """Services whose network delivers every request to a machine and every heartbeat again."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.direct_commands: dict[str, list[dict[str, Any]]] = {}  # by machine
        self.copies = 0  # delivered so far
        super().__init__(*args, **kwargs)

    def _direct_command_handler(self, worker: Worker) -> Callable[[Request], None]:
        post = super()._direct_command_handler(worker)

        def record_and_post(request: Request) -> None:
            if request.path == "/do":
                body = json.loads(request.body or b"{}")
                self.direct_commands.setdefault(worker.host, []).append(body)
            post(request)

        return record_and_post

    def record_heartbeat(self, worker: Worker, body: bytes) -> None:
        """Keep a heartbeat for copies."""
        self.sent_heartbeats.setdefault(worker.host, []).append(body)

    def deliver_copies(self) -> None:
        """Deliver all requests to machines again, and the newest heartbeats to all controllers."""
        assert self.client is not None
        for host, bodies in self.direct_commands.items():
            for body in bodies if host in self.workers else ():
                self.workers[host].handle_direct_command(body)
                self.copies += 1
        for heartbeats in self.sent_heartbeats.values():
            for address in self.controller_addresses.values():
                for body in heartbeats[-MAX_COPIED_HEARTBEATS:]:
                    self.client.call(address, "POST", "/checkin", body, 4.0, lambda *_: None)
                    self.copies += 1

    async def run_with_copies(self, seconds: float) -> None:
        """Deliver copies at intervals."""
        until = self.now + seconds
        while self.now < until:
            self.deliver_copies()
            await anyio.sleep(COPY_INTERVAL_S)


class Round:
    """One hand-over of a job's tasks, and the restart of their owner or machine."""

    def __init__(
        self, deployment: Deployment, cluster: CopyingLoopbackCluster, number: int, how: str
    ) -> None:
        self.deployment = deployment
        self.cluster = cluster
        self.how = how
        self.spec = job_spec(number, pieces=TASKS, expect_s=SHORT_TASK_S, size_gb=0.1)
        self.uid = str(self.spec["uid"])

    def starts(self) -> int:
        """Return how many tasks of the job were started."""
        return sum(1 for _, task_id, _ in self.cluster.task_starts if task_id.startswith(self.uid))

    async def run(self, back: str) -> None:
        """Play the round and check its outcome."""
        cluster, deployment = self.cluster, self.deployment
        task_s = SHORT_TASK_S if self.how == "ended" else LONG_TASK_S
        cluster.task_durations_s[self.uid] = task_s
        assert await cluster.submit(self.spec)
        await deployment.wait_until(
            lambda: len(cluster.running_tasks(self.uid)) == TASKS, 30.0, "the tasks run"
        )
        worker = await self._hand_over()
        await cluster.run_with_copies(1.2)
        if back.startswith("machine"):
            restart_machine(worker, new_epoch=back != "machine")
        else:
            await self._restart_owner(new_owner=back == "new owner")
        await cluster.run_with_copies(COPIES_S)
        final = "withdrawn" if self.how == "cancelled" else "done"
        await deployment.wait_until(
            lambda: bool(cluster.job_state(self.uid) == final), 60.0, f"the job is {final}"
        )
        assert self.how == "moved" or self.starts() == TASKS, cluster.task_starts
        worker.preemption_notice_s = None

    async def _hand_over(self) -> Worker:
        """Let the tasks end, move or be cancelled; return a machine that had one."""
        cluster = self.cluster
        worker = next(
            each
            for each in cluster.workers.values()
            if any(name.startswith(self.uid) for name in each.running_tasks())
        )
        if self.how == "moved":
            worker.preemption_notice_s = 2.0
        elif self.how == "cancelled":
            await self._cancel()
        await self.deployment.wait_until(
            lambda: not any(name.startswith(self.uid) for name in worker.running_tasks()),
            20.0,
            "the tasks have left the machine",
        )
        return worker

    async def _cancel(self) -> None:
        for label in itertools.cycle(CONTROLLER_LABELS):
            status, answer = await self.cluster.send_request(
                label, "POST", f"/work/{self.uid}/abort"
            )
            if status == 200:
                assert answer["stage"] == "withdrawn"
                return
            await asyncio.sleep(0.2)

    async def _restart_owner(self, new_owner: bool) -> None:
        deployment = self.deployment
        owner = deployment.owner()
        assert owner is not None
        deployment.kill(owner)
        if new_owner:
            await deployment.wait_until(lambda: deployment.owner() != owner, 20.0, "a new owner")
        await anyio.sleep(RESTART_S)
        deployment.start(owner)
        sessions = [f"live/session/{label}" for label in CONTROLLER_LABELS]
        await deployment.wait_until(
            lambda: all(key in self.cluster.state.entries for key in sessions), 30.0, "all sessions"
        )


async def check(folder: pathlib.Path) -> int:
    """Play all rounds; return the exit code."""
    async with running_deployment(
        folder, MACHINES, LEASE_S, "idle_boots = 50.0\n", cluster_type=CopyingLoopbackCluster
    ) as deployment:
        cluster = deployment.cluster
        assert isinstance(cluster, CopyingLoopbackCluster)
        for number, (how, back) in enumerate(itertools.product(HAND_OVERS, RESTARTS), 1):
            game = Round(deployment, cluster, number, how)
            await game.run(back)
            print(f"{how}, {back} back: {game.starts()} starts, {cluster.copies} copies so far")
        sent = [
            command["verb"]
            for bodies in cluster.direct_commands.values()
            for body in bodies
            for command in body["orders"]
        ]
        print(f"commands sent to machines' addresses: {len(sent)}, starts {sent.count('run')}")
        print(f"violations: {cluster.violations}")
        return 1 if cluster.violations or "run" in sent else 0


def main() -> None:
    """Run the check in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(anyio.run(check, pathlib.Path(folder), backend="asyncio"))


if __name__ == "__main__":
    main()
