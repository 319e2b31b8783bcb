"""Measures how duties delay rentals, also when their owner fails.

    python3 -m tests.loopback.measure_duties --rounds 20 --duties on --mode killed

Real processes on this machine, beside simulated services. In each round a job needs machines that
have to be rented; in every other round the leader is killed or paused as soon as the job is
accepted. With duties on, the services' histories are compared: every action was recorded before it
was sent.
"""

from __future__ import annotations

import argparse
import pathlib
import tempfile

import anyio

from tests.loopback.deployment import Deployment, running_deployment
from tests.loopback.measure_takeover import histogram, percentiles
from tests.simulated_cluster import CONTROLLER_LABELS, job_spec
from tests.test_duties import check_cloud_actions

MACHINES = 10
SETTLE_S = 3.0  # pause before each round


class Rounds:
    """Runs rounds with and without a failure of the leader, and records the delays."""

    def __init__(self, deployment: Deployment, mode: str) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.mode = mode
        self.number = 0
        self.rental_delays = {False: histogram(), True: histogram()}
        self.release_delays = {False: histogram(), True: histogram()}

    async def run_round(self, disturbed: bool) -> None:
        """Submit a job; wait until machines are rented, the job is done and they are released."""
        cluster = self.cluster
        self.number += 1
        spec = job_spec(self.number, pieces=MACHINES, cpus=8.0, expect_s=2.0, size_gb=0.1)
        cluster.task_durations_s[spec["uid"]] = 2.0
        actions = len(cluster.cloud_actions)
        assert await cluster.submit(spec, 60.0)
        began = cluster.now
        failed = self._fail_leader() if disturbed else None
        await self.deployment.wait_until(
            lambda: len(cluster.cloud_actions) > actions, 60.0, "a rental"
        )
        self.rental_delays[disturbed].record_value(max(1, round((cluster.now - began) * 1000)))
        await self.deployment.wait_until(
            lambda: bool(cluster.job_state(spec["uid"]) == "done"), 120.0, "the job is done"
        )
        began = cluster.now
        await self.deployment.wait_until(
            lambda: not cluster.workers, 120.0, "all machines are released"
        )
        self.release_delays[disturbed].record_value(max(1, round((cluster.now - began) * 1000)))
        if failed is not None:
            await self._restore(failed)
        await anyio.sleep(SETTLE_S)

    def _fail_leader(self) -> str:
        leader = str(self.cluster.state.entries["live/leader"][0]["label"])
        if self.mode == "killed":
            self.deployment.kill(leader)
        else:
            self.deployment.pause(leader)
        return leader

    async def _restore(self, label: str) -> None:
        if self.mode == "killed":
            self.deployment.start(label)
        else:
            self.deployment.resume(label)
        sessions = [f"live/session/{name}" for name in CONTROLLER_LABELS]
        await self.deployment.wait_until(
            lambda: all(key in self.cluster.state.entries for key in sessions), 60.0, "all sessions"
        )


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Run all rounds on one deployment that starts without machines."""
    enabled = "true" if options.duties == "on" else "false"
    operators = f"idle_boots = 0.2\n[duties]\nenabled = {enabled}\n"
    async with running_deployment(folder, 0, options.lease_s, operators) as deployment:
        deployment.cluster.capacity = MACHINES
        rounds = Rounds(deployment, options.mode)
        await anyio.sleep(SETTLE_S)
        for number in range(options.rounds):
            await rounds.run_round(disturbed=number % 2 == 1)
        for disturbed, name in ((False, "undisturbed"), (True, f"leader {options.mode}")):
            print(percentiles(f"{name}: rented after", rounds.rental_delays[disturbed]))
            print(percentiles(f"{name}: released after", rounds.release_delays[disturbed]))
        in_use = [action for action in deployment.cluster.cloud_actions if action.hosts_in_use]
        print(f"{len(deployment.cluster.cloud_actions)} actions, {len(in_use)} on machines in use")
        if options.duties == "on":
            check_cloud_actions(deployment.cluster)
            print("every action was recorded under its duty's token before it was sent")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--mode", choices=("killed", "paused"), default="killed")
    parser.add_argument("--duties", choices=("on", "off"), default="on")
    parser.add_argument("--lease-s", type=float, default=20.0)
    parser.add_argument("--logs", type=pathlib.Path, help="a new folder to keep the logs in")
    options = parser.parse_args()
    print(f"duties {options.duties}, leader {options.mode}")
    if options.logs is not None:
        options.logs.mkdir(parents=True)
        anyio.run(measure, options, options.logs, backend="asyncio")
        return
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(measure, options, pathlib.Path(folder), backend="asyncio")


if __name__ == "__main__":
    main()
