"""Real controller processes on loopback: shard owners are killed, paused and resumed."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import anyio
import anyio.to_thread

from tests.loopback.deployment import ROOT, Deployment, running_deployment
from tests.simulated_cluster import CONTROLLER_LABELS, job_spec
from tests.test_shares import check_history

LEASE_S = 8.0
SHARES = "idle_boots = 50.0\n[shares]\nenabled = true\n"
STANDBY = "[standby]\nenabled = true\nbatch_s = 0.2\n"


async def submit_all(deployment: Deployment, first: int, number: int) -> list[str]:
    job_ids = []
    for n in range(first, first + number):
        spec = job_spec(n, pieces=6, expect_s=2.0, size_gb=0.1)
        assert await deployment.cluster.submit(spec)
        deployment.cluster.task_durations_s[spec["uid"]] = 2.0
        job_ids.append(str(spec["uid"]))
    return job_ids


async def standby_scenario(folder: pathlib.Path) -> None:
    async with running_deployment(folder, 8, LEASE_S, STANDBY) as deployment:
        cluster = deployment.cluster
        job_ids = await submit_all(deployment, 1, 6)
        killed = deployment.owner()
        assert killed is not None
        await anyio.sleep(1.0)
        deployment.kill(killed)
        await deployment.wait_until(lambda: deployment.owner() != killed, 20.0, "a takeover")
        job_ids += await submit_all(deployment, 11, 6)
        deployment.start(killed)
        paused = deployment.owner()
        assert paused is not None
        await anyio.sleep(2.0)
        deployment.pause(paused)
        await deployment.wait_until(lambda: deployment.owner() != paused, 20.0, "a second takeover")
        job_ids += await submit_all(deployment, 21, 6)
        deployment.resume(paused)
        await deployment.wait_until(
            lambda: all(cluster.job_state(job_id) == "done" for job_id in job_ids),
            90.0,
            "all jobs are done",
        )
        for job_id in job_ids:
            for label in deployment.processes:
                status, answer = await cluster.send_request(label, "GET", f"/work/{job_id}")
                assert status == 200 and answer["stage"] == "done"
        assert not cluster.violations
        done = {task_id for _, task_id, _ in cluster.task_starts}
        assert done == {f"{job_id}/{n}" for job_id in job_ids for n in range(6)}
        logs = "".join(deployment.log_file(label).read_text() for label in deployment.processes)
        assert "failover with replica shard=" in logs and "Traceback" not in logs


def test_no_job_is_lost_and_no_task_runs_twice_when_owners_are_killed_and_paused(
    tmp_path: pathlib.Path,
) -> None:
    """The simulated services check that no task runs on two machines and that no unconfirmed
    machine gets work."""
    anyio.run(standby_scenario, tmp_path, backend="asyncio")


def run_shares_command(deployment: Deployment, *words: str) -> subprocess.CompletedProcess[str]:
    """Run `fallpulley shares` with these arguments, as an operator would."""
    addresses = [
        part for label in CONTROLLER_LABELS for part in ("--controller", deployment.mesh[label])
    ]
    return subprocess.run(
        [sys.executable, "run.py", "shares", words[0], *addresses, *words[1:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60.0,
    )


async def shares_command(deployment: Deployment, *words: str) -> subprocess.CompletedProcess[str]:
    """Run `fallpulley shares` in a thread, so that the simulated services go on meanwhile."""
    return await anyio.to_thread.run_sync(run_shares_command, deployment, *words)


async def shares_scenario(folder: pathlib.Path) -> None:
    async with running_deployment(folder, 9, LEASE_S, SHARES) as deployment:
        cluster = deployment.cluster
        await anyio.sleep(2.0)
        done = await shares_command(
            deployment, "set", "node-0=1", "node-1=1", "--wait", "25", "--json"
        )
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout)["revision"] == 1
        job_ids = []
        for turn in range(4):
            job_ids += await submit_all(deployment, 10 * turn + 1, 3)
            weights = ["node-0=5", "node-1=1"] if turn % 2 else ["node-0=1", "node-1=5"]
            done = await shares_command(deployment, "set", *weights, "--operation", f"turn-{turn}")
            assert done.returncode == 0, done.stderr
            if turn == 1:
                owner = cluster.shards()["live/block/node-0"]["holder"]
                deployment.kill(owner)
                await anyio.sleep(3.0)
                deployment.start(owner)
            await anyio.sleep(2.0)
        conflict = await shares_command(deployment, "set", "node-0=1", "--expect", "1")
        assert conflict.returncode == 5 and "--expect 5" in conflict.stderr
        refused = await shares_command(deployment, "set", "node-9=1")
        assert refused.returncode == 6 and "no controller node-9" in refused.stderr
        await deployment.wait_until(
            lambda: all(cluster.job_state(job_id) == "done" for job_id in job_ids),
            90.0,
            "all jobs are done",
        )
        done = await shares_command(deployment, "set", "node-0=5", "node-1=1", "--wait", "40")
        assert done.returncode == 0, done.stdout + done.stderr
        assert "converged" in done.stdout and not cluster.stopped_tasks and not cluster.violations
        check_history(cluster)


def test_share_changes_by_command_lose_no_job_when_an_owner_is_killed(
    tmp_path: pathlib.Path,
) -> None:
    """The histories of the state service and of the workers are checked independently."""
    anyio.run(shares_scenario, tmp_path, backend="asyncio")
