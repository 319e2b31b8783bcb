"""Measures how long shards take to match their shares, and how shares protect a team from a flood.

    python3 -m tests.loopback.measure_shares --machines 50 --moves 20 --part 0.25
    python3 -m tests.loopback.measure_shares --machines 50 --flood 60 --shares off
    python3 -m tests.loopback.measure_shares --machines 50 --flood 60 --alike --shares on

Real processes on this machine, beside simulated services. Moves a part of the fleet back and forth
under load and prints percentiles of the time until the shards match their shares; or lets one team
flood the fleet with tasks and prints how long the other team's jobs take: small jobs, or with
`--alike` jobs like those of the flood.
"""

from __future__ import annotations

import argparse
import pathlib
import tempfile
import time

import anyio
import anyio.abc
import msgspec

from fallpulley.shares.messages import SetShares, Share, SharesResponse
from tests.loopback.deployment import Deployment, running_deployment
from tests.loopback.measure_takeover import Load, histogram, percentiles
from tests.simulated_cluster import CONTROLLER_LABELS, job_spec

TASK_S = 5.0
LOOKUP_INTERVAL_S = 2.0
CONVERGENCE_TIMEOUT_S = 120.0
# Interval in seconds of the other team's jobs with `--alike`, which have the size of the flood's
# jobs: they need a quarter of the fleet.
ALIKE_INTERVAL_S = 10.0
FIRST_LOOKUP_NUMBER = 500_000  # number in the id of the other team's first job


async def set_shares(deployment: Deployment, shares: dict[str, Share]) -> SharesResponse:
    """Replace the table of shares at the first controller that accepts the request."""
    request = SetShares(shares, f"measure-{time.monotonic_ns()}")
    while True:
        for label in CONTROLLER_LABELS:
            answer = await shares_call(deployment, label, msgspec.json.encode(request))
            if answer is not None:
                return answer
        await anyio.sleep(0.2)


async def shares_call(
    deployment: Deployment, label: str, body: bytes | None
) -> SharesResponse | None:
    """Send `POST /shares` with a body, `GET` without one; return None if it did not succeed."""
    done = anyio.Event()
    found: list[SharesResponse] = []

    def answered(status: int | None, answer: bytes) -> None:
        if status == 200:
            found.append(msgspec.json.decode(answer, type=SharesResponse))
        done.set()

    assert deployment.cluster.client is not None
    method = "POST" if body else "GET"
    address = deployment.mesh[label]
    deployment.cluster.client.call(address, method, "/shares", body, 5.0, answered)
    await done.wait()
    return found[0] if found else None


async def wait_until_converged(deployment: Deployment) -> None:
    """Wait until a controller reports that all shards match their shares."""
    until = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while time.monotonic() < until:
        answer = await shares_call(deployment, CONTROLLER_LABELS[0], None)
        if answer is not None and answer.converged:
            return
        await anyio.sleep(0.05)
    raise TimeoutError(f"shares not met within {CONVERGENCE_TIMEOUT_S} s: {answer}")


async def measure_moves(deployment: Deployment, moves: int, part: float) -> None:
    """Move a part of the fleet to one shard and back, and print how long it takes."""
    cluster = deployment.cluster
    delays = histogram()
    await set_shares(deployment, {"node-0": Share(1.0), "node-1": Share(1.0)})
    await wait_until_converged(deployment)
    changes, began, starts = cluster.state.changes, cluster.now, len(cluster.task_starts)
    for turn in range(moves):
        first = 0.5 + part if turn % 2 == 0 else 0.5
        since = time.monotonic()
        await set_shares(deployment, {"node-0": Share(first), "node-1": Share(1.0 - first)})
        await wait_until_converged(deployment)
        delays.record_value(round((time.monotonic() - since) * 1000))
        await anyio.sleep(2.0)
    seconds = cluster.now - began
    print(percentiles("shares met after", delays))
    print(
        f"{len(cluster.task_starts) - starts} tasks started, {len(cluster.stopped_tasks)} stopped,"
        f" {(cluster.state.changes - changes) / seconds:.1f} changes a second"
    )


async def measure_lookups(deployment: Deployment, seconds: float, alike: bool) -> None:
    """Submit jobs of the other team during the flood, and print how long they take.

    The jobs are small, or with `alike` like those of the flood.
    """
    task_count = deployment.cluster.capacity if alike else 2
    task_s = TASK_S if alike else 2.0
    interval_s = ALIKE_INTERVAL_S if alike else LOOKUP_INTERVAL_S
    cluster = deployment.cluster
    delays = histogram()
    until = cluster.now + seconds
    number = FIRST_LOOKUP_NUMBER

    async def one(uid: int) -> None:
        spec = job_spec(uid, crew="lookup", pieces=task_count, expect_s=task_s, size_gb=0.1)
        cluster.task_durations_s[spec["uid"]] = task_s
        since = time.monotonic()
        if await cluster.submit(spec):
            await deployment.wait_until(
                lambda: bool(cluster.job_state(spec["uid"]) == "done"), 300.0, "a lookup is done"
            )
            delays.record_value(round((time.monotonic() - since) * 1000))

    async with anyio.create_task_group() as tasks:
        while cluster.now < until:
            number += 1
            tasks.start_soon(one, number)
            await anyio.sleep(interval_s)
    print(percentiles("the other team's jobs done after", delays))


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Run one of the measurements on a deployment under constant load."""
    enabled = "true" if options.shares == "on" else "false"
    operators = (
        f"machines_max = {options.machines}\nidle_boots = 50.0\n[shares]\nenabled = {enabled}\n"
    )
    sockets = 2 * options.machines + 200
    async with running_deployment(
        folder, options.machines, 20.0, operators, options.report_s, sockets
    ) as deployment:
        cluster = deployment.cluster
        async with anyio.create_task_group() as tasks:
            if options.flood and options.shares == "on":
                table = {"node-0": Share(1.0, teams=["crew"])}
                table["node-1"] = Share(1.0, teams=["lookup"])
                await set_shares(deployment, table)
                await wait_until_converged(deployment)
            tasks.start_soon(Load(deployment, TASK_S, options.machines).run)
            await deployment.wait_until(
                lambda: len(cluster.task_starts) >= options.machines // 2,
                60.0,
                "tasks have started",
            )
            if options.flood:
                await measure_lookups(deployment, options.flood, options.alike)
            else:
                await measure_moves(deployment, options.moves, options.part)
            tasks.cancel_scope.cancel()
        assert not cluster.violations


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--machines", type=int, default=50)
    parser.add_argument("--moves", type=int, default=20)
    parser.add_argument(
        "--part", type=float, default=0.25, help="part of the fleet that is moved each time"
    )
    parser.add_argument(
        "--flood", type=float, default=0.0, help="measure the flood instead, for so many seconds"
    )
    parser.add_argument(
        "--alike", action="store_true", help="the other team's jobs are like the flood's"
    )
    parser.add_argument("--report-s", type=float, default=1.0)
    parser.add_argument("--shares", choices=("on", "off"), default="on")
    options = parser.parse_args()
    print(f"{options.machines} machines, shares {options.shares}, part {options.part}")
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(measure, options, pathlib.Path(folder), backend="asyncio")


if __name__ == "__main__":
    main()
