"""What a fleet's size costs: from 300 machines to thousands, against one set of controllers.

    python3 -m tests.loopback.measure_scale --machines 300 900 2000 4000 6000

Real processes on this machine against the stand-ins, whose own time limits the rate of reports:
give more machines a longer `--report-s`. Prints percentiles in seconds.
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
PROBE_S = 0.05
RESIDENT = re.compile(r"VmRSS:\s+(\d+) kB")


def memory_mb(pid: int) -> float:
    """What a process holds now."""
    found = RESIDENT.search(pathlib.Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


class Probe(threading.Thread):
    """Asks a controller for `/up` again and again: an answer waits for the step under way. In a
    thread of its own, so that the stand-ins' work is not measured with it."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(daemon=True)
        self.deployment = deployment
        self.label: str | None = None
        self.took = histogram()

    def look_at(self, label: str | None) -> HdrHistogram:
        """Measure this controller from now on; returns what was measured so far."""
        took, self.took = self.took, histogram()
        self.label = label
        return took

    def run(self) -> None:
        """Until the process ends."""
        while True:
            label, took = self.label, self.took
            if label is not None:
                began = time.monotonic()
                if self._ask(label):
                    took.record_value(max(1, round((time.monotonic() - began) * 1000)))
            time.sleep(PROBE_S)

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
    """One size of fleet."""

    def __init__(self, deployment: Deployment, steady_s: float) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.steady_s = steady_s
        self.probe = Probe(deployment)

    def owners(self) -> dict[str, int]:
        """Blocks by holder."""
        found: dict[str, int] = {}
        for record in self.cluster.shards().values():
            found[str(record["holder"])] = found.get(str(record["holder"]), 0) + 1
        return found

    def _shown(self, token: int) -> Callable[[], bool]:
        """All machines have reported with the token; each is looked at until it has."""
        left = list(self.cluster.workers.values())

        def met() -> bool:
            while left and (
                left[-1].reported_token >= token or left[-1].host not in self.cluster.workers
            ):
                left.pop()  # or it was released
            return not left

        return met

    async def steady(self) -> None:
        """What an undisturbed spell takes of the first block's holder."""
        owner = str(self.deployment.owner())
        pid = self.deployment.processes[owner].pid
        self.probe.look_at(owner)
        used, reports, changes = (
            cpu_s(pid),
            self.cluster.heartbeat_count,
            self.cluster.state.changes,
        )
        starts = len(self.cluster.task_starts)
        await anyio.sleep(self.steady_s)
        used, reports = cpu_s(pid) - used, self.cluster.heartbeat_count - reports
        print(
            f"steady {self.steady_s:g} s: {reports} check-ins,"
            f" {len(self.cluster.task_starts) - starts} starts,"
            f" {self.cluster.state.changes - changes} changes;"
            f" holder {used:.2f} s of processor time,"
            f" {1000 * used / max(1, reports):.2f} ms a check-in, {memory_mb(pid):.0f} MB;"
            f" blocks {self.owners()}"
        )
        print(percentiles("  /up of the holder", self.probe.look_at(None)))

    async def takeover(self) -> None:
        """End the holder; wait until every machine of the fleet has shown the new token."""
        old = str(self.deployment.owner())
        token_count = len(self.cluster.fencing_tokens)
        changes, began = self.cluster.state.changes, self.cluster.now
        released = len(self.cluster.released_hosts)
        self.deployment.kill(old)
        await self.deployment.wait_until(
            lambda: len(self.cluster.fencing_tokens) > token_count, 120.0, "the block changes hands"
        )
        held_s = self.cluster.now - began
        writes = self.cluster.state.changes - changes
        self.probe.look_at(self.deployment.owner())
        token = self.cluster.fencing_tokens[-1]
        await self.deployment.wait_until(
            self._shown(token),
            300.0,
            "all machines have shown the new token",
        )
        print(
            f"takeover: held after {held_s:.1f} s ({writes} changes by then),"
            f" all machines confirmed after {self.cluster.now - began:.1f} s,"
            f" {len(self.cluster.released_hosts) - released} released meanwhile"
        )
        print(percentiles("  /up of the new holder", self.probe.look_at(None)))
        self.deployment.start(old)

    async def all_end(self) -> None:
        """End all controllers at once and start them again; wait for every machine."""
        token_count, began = len(self.cluster.fencing_tokens), self.cluster.now
        for label in CONTROLLER_LABELS:
            self.deployment.kill(label)
        for label in CONTROLLER_LABELS:
            self.deployment.start(label)
        await self.deployment.wait_until(
            lambda: len(self.cluster.fencing_tokens) > token_count, 120.0, "the block changes hands"
        )
        token = self.cluster.fencing_tokens[-1]
        await self.deployment.wait_until(
            self._shown(token),
            300.0,
            "all machines have shown the new token",
        )
        print(
            f"all controllers ended: all machines confirmed after {self.cluster.now - began:.1f} s"
        )


async def measure(options: argparse.Namespace, machines: int, folder: pathlib.Path) -> None:
    """All of it for one size."""
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
                lambda: len(cluster.task_starts) >= machines, 120.0, "work runs"
            )
            await scale.steady()
            await scale.takeover()
            sessions = [f"live/session/{label}" for label in CONTROLLER_LABELS]
            await deployment.wait_until(
                lambda: all(key in cluster.state.entries for key in sessions), 60.0, "all sessions"
            )
            await scale.all_end()
            tasks.cancel_scope.cancel()
        assert not cluster.violations


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--machines", type=int, nargs="+", default=[300, 900, 2000, 4000, 6000])
    parser.add_argument("--report-s", type=float, default=10.0)
    parser.add_argument("--lease-s", type=float, default=60.0)
    parser.add_argument("--steady-s", type=float, default=30.0)
    parser.add_argument("--sockets", type=int, default=0, help="of each controller; 0: enough")
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
