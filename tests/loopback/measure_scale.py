"""Measures the cost of a fleet's size: from 300 machines to thousands, with three controllers.

    python3 -m tests.loopback.measure_scale --machines 300 900 2000 4000 6000

Real processes on this machine, beside simulated services. The processor time of the services limits
the rate of heartbeats: give more machines a longer `--report-s`. Prints percentiles in seconds.
"""

from __future__ import annotations

import argparse
import http.client
import pathlib
import re
import tempfile
import threading
import time
from collections.abc import Callable

import anyio
from hdrh.histogram import HdrHistogram

from tests.loopback.deployment import Deployment, running_deployment
from tests.loopback.measure_takeover import Load, cpu_s, histogram, percentiles
from tests.simulated_cluster import CONTROLLER_LABELS

TASK_S = 30.0
TASKS_PER_JOB = 1000
PROBE_INTERVAL_S = 0.05
RESIDENT = re.compile(r"VmRSS:\s+(\d+) kB")


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (1024 kB)."""
    found = RESIDENT.search(pathlib.Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


class Probe(threading.Thread):
    """Measures how long a controller's responses to `/up` take: each waits for the current step.

    Runs in a thread of its own, so that it does not measure the work of the simulated services.
    """

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(daemon=True)
        self.deployment = deployment
        self.label: str | None = None
        self.took = histogram()

    def measure(self, label: str | None) -> HdrHistogram:
        """Return the response times so far; from now on measure this controller (None: no one)."""
        took, self.took = self.took, histogram()
        self.label = label
        return took

    def run(self) -> None:
        """Send requests until the process ends."""
        while True:
            label, took = self.label, self.took
            if label is not None:
                began = time.monotonic()
                if self._ask(label):
                    took.record_value(max(1, round((time.monotonic() - began) * 1000)))
            time.sleep(PROBE_INTERVAL_S)

    def _ask(self, label: str) -> bool:
        connection = http.client.HTTPConnection(self.deployment.serve[label], timeout=30)
        try:
            connection.request("GET", "/up")
            return bool(connection.getresponse().read() is not None)
        except OSError:
            return False
        finally:
            connection.close()


class Scale:
    """Runs the measurements for one size of fleet."""

    def __init__(self, deployment: Deployment, steady_s: float) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.steady_s = steady_s
        self.probe = Probe(deployment)

    def owners(self) -> dict[str, int]:
        """Return the number of shards by owner."""
        found: dict[str, int] = {}
        for record in self.cluster.shards().values():
            found[str(record["holder"])] = found.get(str(record["holder"]), 0) + 1
        return found

    def _all_reported_with(self, token: int) -> Callable[[], bool]:
        """Return a condition that holds once all machines reported with the token or were released.

        A machine that has done so is not checked again.
        """
        remaining = list(self.cluster.workers.values())

        def met() -> bool:
            while remaining and (
                remaining[-1].reported_token >= token
                or remaining[-1].host not in self.cluster.workers
            ):
                remaining.pop()
            return not remaining

        return met

    async def measure_steady_load(self) -> None:
        """Print what the first shard's owner uses while nothing fails, and its response times."""
        owner = str(self.deployment.owner())
        pid = self.deployment.processes[owner].pid
        self.probe.measure(owner)
        used, reports, changes = (
            cpu_s(pid),
            self.cluster.heartbeat_count,
            self.cluster.state.changes,
        )
        starts = len(self.cluster.task_starts)
        await anyio.sleep(self.steady_s)
        used, reports = cpu_s(pid) - used, self.cluster.heartbeat_count - reports
        print(
            f"steady {self.steady_s:g} s: {reports} heartbeats,"
            f" {len(self.cluster.task_starts) - starts} starts,"
            f" {self.cluster.state.changes - changes} changes;"
            f" owner {used:.2f} s of processor time,"
            f" {1000 * used / max(1, reports):.2f} ms a heartbeat, {memory_mb(pid):.0f} MB;"
            f" shards {self.owners()}"
        )
        print(percentiles("  /up of the owner", self.probe.measure(None)))

    async def measure_takeover(self) -> None:
        """Kill the owner; wait until every machine has reported with the new token."""
        old = str(self.deployment.owner())
        token_count = len(self.cluster.fencing_tokens)
        changes, began = self.cluster.state.changes, self.cluster.now
        released = len(self.cluster.released_hosts)
        self.deployment.kill(old)
        await self.deployment.wait_until(
            lambda: len(self.cluster.fencing_tokens) > token_count,
            120.0,
            "the shard has a new owner",
        )
        owned_after_s = self.cluster.now - began
        writes = self.cluster.state.changes - changes
        self.probe.measure(self.deployment.owner())
        token = self.cluster.fencing_tokens[-1]
        await self.deployment.wait_until(
            self._all_reported_with(token),
            300.0,
            "all machines have reported with the new token",
        )
        print(
            f"takeover: owned after {owned_after_s:.1f} s ({writes} changes by then),"
            f" all machines confirmed after {self.cluster.now - began:.1f} s,"
            f" {len(self.cluster.released_hosts) - released} released meanwhile"
        )
        print(percentiles("  /up of the new owner", self.probe.measure(None)))
        self.deployment.start(old)

    async def measure_full_restart(self) -> None:
        """Kill all controllers, start them again and wait until every machine has reported."""
        token_count, began = len(self.cluster.fencing_tokens), self.cluster.now
        for label in CONTROLLER_LABELS:
            self.deployment.kill(label)
        for label in CONTROLLER_LABELS:
            self.deployment.start(label)
        await self.deployment.wait_until(
            lambda: len(self.cluster.fencing_tokens) > token_count,
            120.0,
            "the shard has a new owner",
        )
        token = self.cluster.fencing_tokens[-1]
        await self.deployment.wait_until(
            self._all_reported_with(token),
            300.0,
            "all machines have reported with the new token",
        )
        print(
            f"all controllers killed: all machines confirmed after {self.cluster.now - began:.1f} s"
        )


async def measure(options: argparse.Namespace, machines: int, folder: pathlib.Path) -> None:
    """Run all measurements for one size of fleet."""
    operators = f"machines_max = {machines}\nidle_boots = 50.0\n"
    sockets = options.sockets or 2 * machines + 200
    print(f"-- {machines} machines, a report every {options.report_s:g} s, {sockets} sockets")
    began = time.monotonic()
    async with running_deployment(
        folder, machines, options.lease_s, operators, options.report_s, sockets
    ) as deployment:
        print(f"all machines have a token after {time.monotonic() - began:.1f} s")
        scale = Scale(deployment, options.steady_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Load(deployment, TASK_S, TASKS_PER_JOB).run)
            scale.probe.start()
            cluster = deployment.cluster
            await deployment.wait_until(
                lambda: len(cluster.task_starts) >= machines, 120.0, "tasks have started"
            )
            await scale.measure_steady_load()
            await scale.measure_takeover()
            sessions = [f"live/session/{label}" for label in CONTROLLER_LABELS]
            await deployment.wait_until(
                lambda: all(key in cluster.state.entries for key in sessions), 60.0, "all sessions"
            )
            await scale.measure_full_restart()
            tasks.cancel_scope.cancel()
        assert not cluster.violations


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--machines", type=int, nargs="+", default=[300, 900, 2000, 4000, 6000])
    parser.add_argument("--report-s", type=float, default=10.0)
    parser.add_argument("--lease-s", type=float, default=60.0)
    parser.add_argument("--steady-s", type=float, default=30.0)
    parser.add_argument(
        "--sockets", type=int, default=0, help="limit of each controller; 0: enough"
    )
    parser.add_argument("--logs", type=pathlib.Path, help="a new folder to keep the logs in")
    options = parser.parse_args()
    for machines in options.machines:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if options.logs is not None:
                folder = options.logs / str(machines)
                folder.mkdir(parents=True)
            anyio.run(measure, options, machines, folder, backend="asyncio")


if __name__ == "__main__":
    main()
