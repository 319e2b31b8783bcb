"""Real processes on loopback: what is safe while the holder is killed, paused and resumed."""

from __future__ import annotations

import pathlib

import anyio

from tests.loopback.deployment import Deployment, running
from tests.world import job

LEASE_S = 8.0
STANDBY = "[standby]\nenabled = true\nbatch_s = 0.2\n"


async def submit_all(deployment: Deployment, first: int, number: int) -> list[str]:
    names = []
    for n in range(first, first + number):
        spec = job(n, pieces=6, expect_s=2.0, size_gb=0.1)
        assert await deployment.world.submit(spec)
        deployment.world.times[spec["uid"]] = 2.0
        names.append(str(spec["uid"]))
    return names


async def scenario(folder: pathlib.Path) -> None:
    async with running(folder, 8, LEASE_S, STANDBY) as deployment:
        world = deployment.world
        names = await submit_all(deployment, 1, 6)
        killed = deployment.holder()
        assert killed is not None
        await anyio.sleep(1.0)
        deployment.kill(killed)
        await deployment.until(lambda: deployment.holder() != killed, 20.0, "a takeover")
        names += await submit_all(deployment, 11, 6)
        deployment.start(killed)
        paused = deployment.holder()
        assert paused is not None
        await anyio.sleep(2.0)
        deployment.pause(paused)
        await deployment.until(lambda: deployment.holder() != paused, 20.0, "a second takeover")
        names += await submit_all(deployment, 21, 6)
        deployment.resume(paused)
        await deployment.until(
            lambda: all(world.stage(name) == "done" for name in names), 90.0, "all jobs are done"
        )
        for name in names:
            for label in deployment.processes:
                status, answer = await world.ask(label, "GET", f"/work/{name}")
                assert status == 200 and answer["stage"] == "done"
        assert not world.broken
        done = {piece for _, piece, _ in world.starts_seen}
        assert done == {f"{name}/{n}" for name in names for n in range(6)}
        logs = "".join(deployment.log_file(label).read_text() for label in deployment.processes)
        assert "takeover with replica" in logs and "Traceback" not in logs


def test_a_killed_and_a_paused_holder_cost_no_job_and_nothing_runs_twice(
    tmp_path: pathlib.Path,
) -> None:
    """The stand-ins watch for tasks on two machines and for work on unconfirmed ones."""
    anyio.run(scenario, tmp_path, backend="asyncio")
