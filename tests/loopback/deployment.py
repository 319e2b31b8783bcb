"""Three real controller processes beside simulated services, to be killed, paused and resumed."""

from __future__ import annotations

import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

from tests.loopback.simulated_services import LoopbackCluster
from tests.simulated_cluster import CONTROLLER_LABELS

ROOT = pathlib.Path(__file__).parent.parent.parent
SETTINGS_TEMPLATE = """
label = "{label}"
site = "a"
serve_on = "{serve}"
mesh_addr = "{mesh}"
{seeds}
[endpoints]
cloud = "{cloud}"
state = "{state}"
[facts]
nodes = 3
zones = ["a", "b"]
skew_ms = 50.0
[[facts.teams]]
name = "crew"
[[facts.teams]]
name = "lookup"
[facts.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
[facts.state]
rps = 300.0
write_rps = 120.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 10.0
list_lag_s = 1.0
[facts.machine_limits]
sockets = {sockets}
"""
SEED_TEMPLATE = '[[seeds]]\nlabel = "{label}"\nsite = "a"\naddress = "{mesh}"\n'


def free_port() -> int:
    """Return a port P of 127.0.0.1 such that P and P + 1 are both free."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = int(first.getsockname()[1])
            try:
                second.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port


class Deployment:
    """Three controller processes by label, and the simulated services that they use."""

    def __init__(
        self,
        folder: pathlib.Path,
        machines: int,
        lease_s: float,
        operators: str,
        report_s: float = 1.0,
        sockets: int = 2000,
        cluster_type: type[LoopbackCluster] = LoopbackCluster,
    ) -> None:
        self.folder = folder
        self.report_s = report_s
        self.sockets = sockets
        port = free_port()
        self.serve = {
            label: f"127.0.1.{at}:{port}" for at, label in enumerate(CONTROLLER_LABELS, 1)
        }
        self.mesh = {label: f"127.0.2.{at}:{port}" for at, label in enumerate(CONTROLLER_LABELS, 1)}
        self.cluster = cluster_type(machines, lease_s, self.serve, port, report_s)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for label in CONTROLLER_LABELS:
            self._write(label, lease_s, operators)

    def _write(self, label: str, lease_s: float, operators: str) -> None:
        home = self.folder / label
        home.mkdir()
        seeds = [
            SEED_TEMPLATE.format(label=other, mesh=self.mesh[other]) for other in CONTROLLER_LABELS
        ]
        text = SETTINGS_TEMPLATE.format(
            label=label,
            serve=self.serve[label],
            mesh=self.mesh[label],
            seeds="".join(
                seed for seed, other in zip(seeds, CONTROLLER_LABELS, strict=True) if other != label
            ),
            cloud=self.cluster.cloud_address,
            state=self.cluster.state_address,
            report_s=self.report_s,
            sockets=self.sockets,
            lease_s=lease_s,
            cancel_s=2.5 * lease_s,
        )
        (home / "node.toml").write_text(text)
        (home / "fallpulley.toml").write_text(operators)

    def start(self, label: str, root: pathlib.Path = ROOT) -> None:
        """Start a controller with the sources under `root`; its log is appended to its file."""
        with open(self.log_file(label), "ab") as log:
            self.processes[label] = subprocess.Popen(
                [sys.executable, "run.py", "--config", str(self.folder / label / "node.toml")],
                cwd=root,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
            )

    def log_file(self, label: str) -> pathlib.Path:
        return self.folder / f"{label}.log"

    def kill(self, label: str) -> None:
        """Kill a controller, which gets no chance to clean up."""
        process = self.processes.pop(label)
        process.kill()
        process.wait()

    def pause(self, label: str) -> None:
        self.processes[label].send_signal(signal.SIGSTOP)

    def resume(self, label: str) -> None:
        self.processes[label].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        for label in list(self.processes):
            self.resume(label)
            self.kill(label)

    def owner(self) -> str | None:
        """Return the owner of the first shard by its record, or None without any record."""
        records = self.cluster.shards()
        return str(records[min(records)]["holder"]) if records else None

    async def wait_until(self, met: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for a condition, for at most `within_s` seconds.

        Raises:
            AssertionError: The time has passed, or the simulated services recorded a violation.
        """
        until = self.cluster.now + within_s
        while not met():
            assert not self.cluster.violations, self.cluster.violations
            assert self.cluster.now < until, f"not within {within_s} s: {what}"
            await anyio.sleep(0.02)


@asynccontextmanager
async def running_deployment(
    folder: pathlib.Path,
    machines: int,
    lease_s: float,
    operators: str,
    report_s: float = 1.0,
    sockets: int = 2000,
    root: pathlib.Path = ROOT,
    cluster_type: type[LoopbackCluster] = LoopbackCluster,
) -> AsyncIterator[Deployment]:
    """Run a deployment of the sources under `root`; yield it once all machines have a token."""
    deployment = Deployment(folder, machines, lease_s, operators, report_s, sockets, cluster_type)
    async with anyio.create_task_group() as tasks:
        await deployment.cluster.serve(tasks)
        try:
            for label in CONTROLLER_LABELS:
                deployment.start(label, root)
            cluster = deployment.cluster
            await deployment.wait_until(
                lambda: bool(cluster.shards()), 30.0, "a shard has an owner"
            )
            await deployment.wait_until(
                lambda: all(worker.fencing_token > 0 for worker in cluster.workers.values()),
                60.0 + 10.0 * report_s,
                "all machines have a token",
            )
            yield deployment
        finally:
            deployment.stop()
            tasks.cancel_scope.cancel()
