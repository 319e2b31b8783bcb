"""Measures takeovers: from the owner's failure to its successor's first placement.

    python3 -m tests.loopback.measure_takeover --machines 50 --mode killed --standby on

Real processes on this machine, beside simulated services. Prints percentiles in seconds, and the
cost of replication, which is read from the logs and from the processes' processor time.
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
MAX_RECORDED_MS = 120_000
TASK_S = 15.0
TASKS_PER_JOB = 2000
# Number of tasks that are kept waiting for each machine.
WAITING_TASKS = 4
MIN_STEADY_S = 4.0  # least time between a takeover and the next one
STATUS = re.compile(r"replication status shard=\S+ token=(\d+) entries=(\d+) bytes=(\d+)")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Load:
    """Submits jobs so that more tasks are waiting than the machines can run."""

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
        """Submit further jobs as needed, until cancelled."""
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
    """Return an empty histogram of milliseconds with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED_MS, 3)


def percentiles(name: str, found: HdrHistogram) -> str:
    """Return a histogram's percentiles in seconds, as one line."""
    values = " ".join(f"p{p:g}={found.get_value_at_percentile(p) / 1000:.2f}" for p in PERCENTILES)
    return f"{name} n={found.get_total_count()} {values} s"


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class Takeovers:
    """Kills or pauses one shard owner after the other and measures the takeovers."""

    def __init__(self, deployment: Deployment, mode: str) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.mode = mode
        self.ownership_delays = histogram()
        self.placement_delays = histogram()

    async def run_takeover(self) -> None:
        """Fail the owner; wait for the first placement under the next token; restore it."""
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
            lambda: len(self.cluster.fencing_tokens) > token_count,
            60.0,
            "the shard has a new owner",
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

    async def wait_until_steady(self) -> None:
        """Wait until all three controllers have a session, and let the fleet work for a while."""
        sessions = [f"live/session/{label}" for label in CONTROLLER_LABELS]
        await self.deployment.wait_until(
            lambda: all(key in self.cluster.state.entries for key in sessions), 60.0, "all sessions"
        )
        await anyio.sleep(MIN_STEADY_S)


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Measure the steady cost first, then the takeovers."""
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
            await measure_steady_cost(deployment, options.steady_s)
            takeovers = Takeovers(deployment, options.mode)
            for _ in range(options.takeovers):
                await takeovers.run_takeover()
                await takeovers.wait_until_steady()
            print(percentiles("shard owned after", takeovers.ownership_delays))
            print(percentiles("first placement after", takeovers.placement_delays))
            tasks.cancel_scope.cancel()
        assert not cluster.violations


async def measure_steady_cost(deployment: Deployment, seconds: float) -> None:
    """Print the processor time of owner and followers without failures, and what was sent."""
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
        f"steady {seconds:g} s: {starts} tasks started, owner {used[str(owner)]:.2f} s of"
        f" processor time, followers {' and '.join(f'{value:.2f}' for value in followers)} s"
    )
    found = STATUS.findall(deployment.log_file(str(owner)).read_text())
    if found:
        _, entries, sent = found[-1]
        print(f"stream so far: {entries} entries, {sent} bytes to all followers")


def main() -> None:
    """Run the command line."""
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
