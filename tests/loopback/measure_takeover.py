"""How long a takeover takes: from the holder's end to its successor's first placement.

    python3 -m tests.loopback.measure_takeover --machines 50 --mode killed --standby on

Real processes on this machine against the stand-ins. Prints percentiles in milliseconds; what the
stream of decisions cost is read from the logs and from the processes' times.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import re
import tempfile

import anyio
from hdrh.histogram import HdrHistogram

from tests.loopback.deployment import Deployment, running_deployment
from tests.simulated_cluster import CONTROLLER_LABELS, job_spec

PERCENTILES = (50.0, 90.0, 99.0, 100.0)
LONGEST_MS = 120_000
TASK_S = 15.0
TASKS_PER_JOB = 2000
# Tasks kept waiting for each machine.
WAITING_TASKS = 4
STEADY_S = 4.0  # between a takeover and the next one, at the least
STATUS = re.compile(r"replication status shard=\S+ token=(\d+) entries=(\d+) bytes=(\d+)")
TICKS = os.sysconf("SC_CLK_TCK")


class Load:
    """Keeps more tasks waiting than there is room for."""

    def __init__(
        self, deployment: Deployment, task_s: float = TASK_S, tasks_per_job: int = TASKS_PER_JOB
    ) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.task_s = task_s
        self.tasks_per_job = tasks_per_job
        self.number = 0

    def waiting(self) -> int:
        started = len({task_id for _, task_id, _ in self.cluster.task_starts})
        return self.number * self.tasks_per_job - started

    async def run(self) -> None:
        """Submit further jobs as they are needed."""
        while True:
            if self.waiting() < self.deployment.cluster.capacity * WAITING_TASKS:
                spec = job_spec(
                    self.number + 1, pieces=self.tasks_per_job, expect_s=self.task_s, size_gb=0.1
                )
                self.cluster.task_durations_s[spec["uid"]] = self.task_s
                if await self.cluster.submit(spec, 60.0):
                    self.number += 1
                    continue
            await anyio.sleep(0.2)


def histogram() -> HdrHistogram:
    """Milliseconds, to three digits."""
    return HdrHistogram(1, LONGEST_MS, 3)


def percentiles(name: str, found: HdrHistogram) -> str:
    """One line of a histogram."""
    values = " ".join(f"p{p:g}={found.get_value_at_percentile(p) / 1000:.2f}" for p in PERCENTILES)
    return f"{name} n={found.get_total_count()} {values} s"


def cpu_s(pid: int) -> float:
    """Processor time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Takeovers:
    """Ends one holder after the other and measures what follows."""

    def __init__(self, deployment: Deployment, mode: str) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.mode = mode
        self.ownership_delays = histogram()
        self.placement_delays = histogram()

    async def one(self) -> None:
        """End the holder; wait for the first placement under the next token; bring it back."""
        old = self.deployment.owner()
        assert old is not None
        token_count = len(self.cluster.fencing_tokens)
        self.cluster.placements.clear()
        began = self.cluster.now
        if self.mode == "killed":
            self.deployment.kill(old)
        else:
            self.deployment.pause(old)
        await self.deployment.wait_until(
            lambda: len(self.cluster.fencing_tokens) > token_count, 60.0, "the block changes hands"
        )
        self.ownership_delays.record_value(round((self.cluster.now - began) * 1000))
        token = self.cluster.fencing_tokens[-1]
        await self.deployment.wait_until(
            lambda: any(under >= token for _, under, _ in self.cluster.placements),
            100.0,
            "a placement",
        )
        first = min(at for at, under, _ in self.cluster.placements if under >= token)
        self.placement_delays.record_value(round((first - began) * 1000))
        if self.mode == "killed":
            self.deployment.start(old)
        else:
            self.deployment.resume(old)

    async def steady(self) -> None:
        """All three are there again, and the fleet is at work."""
        sessions = [f"live/session/{label}" for label in CONTROLLER_LABELS]
        await self.deployment.wait_until(
            lambda: all(key in self.cluster.state.entries for key in sessions), 60.0, "all sessions"
        )
        await anyio.sleep(STEADY_S)


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Steady cost first, then the takeovers."""
    enabled = "true" if options.standby == "on" else "false"
    operators = f"machines_max = {options.machines}\n[standby]\nenabled = {enabled}\n"
    async with running_deployment(
        folder, options.machines, options.lease_s, operators
    ) as deployment:
        cluster = deployment.cluster
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Load(deployment).run)
            await deployment.wait_until(
                lambda: len(cluster.task_starts) >= options.machines, 60.0, "work has begun"
            )
            await cost(deployment, options.steady_s)
            takeovers = Takeovers(deployment, options.mode)
            for _ in range(options.takeovers):
                await takeovers.one()
                await takeovers.steady()
            print(percentiles("block held after", takeovers.ownership_delays))
            print(percentiles("first placement after", takeovers.placement_delays))
            tasks.cancel_scope.cancel()
        assert not cluster.violations


async def cost(deployment: Deployment, seconds: float) -> None:
    """What an undisturbed spell takes of the holder and of a follower, and what was sent."""
    cluster = deployment.cluster
    owner = deployment.owner()
    before = {label: cpu_s(process.pid) for label, process in deployment.processes.items()}
    starts = len(cluster.task_starts)
    await anyio.sleep(seconds)
    used = {
        label: cpu_s(process.pid) - before[label] for label, process in deployment.processes.items()
    }
    starts = len(cluster.task_starts) - starts
    followers = [used[label] for label in used if label != owner]
    print(
        f"steady {seconds:g} s: {starts} tasks started, holder {used[str(owner)]:.2f} s of"
        f" processor time, followers {' and '.join(f'{value:.2f}' for value in followers)} s"
    )
    found = STATUS.findall(deployment.log_file(str(owner)).read_text())
    if found:
        _, entries, sent = found[-1]
        print(f"stream so far: {entries} entries, {sent} bytes to all followers")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--machines", type=int, default=50)
    parser.add_argument("--takeovers", type=int, default=30)
    parser.add_argument("--mode", choices=("killed", "paused"), default="killed")
    parser.add_argument("--standby", choices=("on", "off"), default="on")
    parser.add_argument("--lease-s", type=float, default=20.0)
    parser.add_argument("--steady-s", type=float, default=30.0)
    parser.add_argument("--logs", type=pathlib.Path, help="a new folder to keep the logs in")
    options = parser.parse_args()
    print(f"{options.machines} machines, {options.mode}, standby {options.standby}")
    if options.logs is not None:
        options.logs.mkdir(parents=True)
        anyio.run(measure, options, options.logs, backend="asyncio")
        return
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(measure, options, pathlib.Path(folder), backend="asyncio")


if __name__ == "__main__":
    main()
