"""How long shares take to be met, and what they give the side that does not flood.

    python3 -m tests.loopback.measure_shares --machines 50 --moves 20 --part 0.25
    python3 -m tests.loopback.measure_shares --machines 50 --flood 60 --shares off
    python3 -m tests.loopback.measure_shares --machines 50 --flood 60 --alike --shares on

Real processes on this machine against the stand-ins. Moves a part of the fleet back and forth under
load and prints percentiles until the blocks match; or lets one team flood and prints how long the
other team's jobs take, small ones or such as the flood is made of.
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
LOOKUP_EVERY_S = 2.0
MET_WITHIN_S = 120.0
# Jobs of the other team that are like the flood's come so often: a quarter of the fleet's room.
ALIKE_EVERY_S = 10.0
LOOKUP_FIRST = 500_000  # numbers of the other team's jobs


async def set_shares(deployment: Deployment, shares: dict[str, Share]) -> SharesResponse:
    """Replace the table, at whichever controller answers."""
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
    """`POST /shares` with a body, `GET` without; None where that did not succeed."""
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
    """Wait until a controller says that all blocks match their shares."""
    until = time.monotonic() + MET_WITHIN_S
    while time.monotonic() < until:
        answer = await shares_call(deployment, CONTROLLER_LABELS[0], None)
        if answer is not None and answer.converged:
            return
        await anyio.sleep(0.05)
    raise TimeoutError(f"shares not met within {MET_WITHIN_S} s: {answer}")


async def move(deployment: Deployment, moves: int, part: float) -> None:
    """Move a part of the fleet to one block and back."""
    cluster = deployment.cluster
    taken = histogram()
    await set_shares(deployment, {"node-0": Share(1.0), "node-1": Share(1.0)})
    await wait_until_converged(deployment)
    changes, began, starts = cluster.state.changes, cluster.now, len(cluster.task_starts)
    for turn in range(moves):
        first = 0.5 + part if turn % 2 == 0 else 0.5
        since = time.monotonic()
        await set_shares(deployment, {"node-0": Share(first), "node-1": Share(1.0 - first)})
        await wait_until_converged(deployment)
        taken.record_value(round((time.monotonic() - since) * 1000))
        await anyio.sleep(2.0)
    seconds = cluster.now - began
    print(percentiles("shares met after", taken))
    print(
        f"{len(cluster.task_starts) - starts} tasks started, {len(cluster.stopped_tasks)} stopped,"
        f" {(cluster.state.changes - changes) / seconds:.1f} changes a second"
    )


async def lookups(deployment: Deployment, seconds: float, alike: bool) -> None:
    """Jobs of the other team while the first one floods: small ones, or like the flood's."""
    task_count = deployment.cluster.capacity if alike else 2
    task_s = TASK_S if alike else 2.0
    every_s = ALIKE_EVERY_S if alike else LOOKUP_EVERY_S
    cluster = deployment.cluster
    taken = histogram()
    until = cluster.now + seconds
    number = LOOKUP_FIRST

    async def one(uid: int) -> None:
        spec = job_spec(uid, crew="lookup", pieces=task_count, expect_s=task_s, size_gb=0.1)
        cluster.task_durations_s[spec["uid"]] = task_s
        since = time.monotonic()
        if await cluster.submit(spec):
            await deployment.wait_until(
                lambda: bool(cluster.job_state(spec["uid"]) == "done"), 300.0, "a lookup is done"
            )
            taken.record_value(round((time.monotonic() - since) * 1000))

    async with anyio.create_task_group() as tasks:
        while cluster.now < until:
            number += 1
            tasks.start_soon(one, number)
            await anyio.sleep(every_s)
    print(percentiles("the other team's jobs done after", taken))


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """One deployment, under a load that never ends."""
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
                lambda: len(cluster.task_starts) >= options.machines // 2, 60.0, "work has begun"
            )
            if options.flood:
                await lookups(deployment, options.flood, options.alike)
            else:
                await move(deployment, options.moves, options.part)
            tasks.cancel_scope.cancel()
        assert not cluster.violations


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--machines", type=int, default=50)
    parser.add_argument("--moves", type=int, default=20)
    parser.add_argument("--part", type=float, default=0.25, help="of the fleet, moved each time")
    parser.add_argument("--flood", type=float, default=0.0, help="seconds of the other measurement")
    parser.add_argument("--alike", action="store_true", help="its jobs are like the flood's")
    parser.add_argument("--report-s", type=float, default=1.0)
    parser.add_argument("--shares", choices=("on", "off"), default="on")
    options = parser.parse_args()
    print(f"{options.machines} machines, shares {options.shares}, part {options.part}")
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(measure, options, pathlib.Path(folder), backend="asyncio")


if __name__ == "__main__":
    main()
