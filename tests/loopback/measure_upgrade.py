"""Checks that controllers of two builds work together during an upgrade and a rollback.

    python3 -m tests.loopback.measure_upgrade 07c4983

Real processes on this machine, beside simulated services. Three controllers run the sources of a
commit, from a worktree under `target/`. One after the other is killed and started with the present
sources, and then back again, while jobs are submitted and run. In both directions each build is
once the leader and once the owner of a shard while a controller of the other build runs. Done once
with the operators' default settings, and once with standby, shares and duties enabled. Exits with 1
if there was a violation.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import re
import sys
import tempfile
from collections import Counter
from typing import Any

import anyio

from fallpulley.shares.messages import Share
from tests.loopback.deployment import ROOT, Deployment, running_deployment
from tests.loopback.measure_shares import set_shares, shares_call
from tests.simulated_cluster import CONTROLLER_LABELS, job_spec
from tests.test_duties import check_cloud_actions
from tests.test_shares import check_history
from tests.traces.worktrees import commit_of, worktree_of

OPERATORS = {
    "default": "",
    "extensions": (
        "[standby]\nenabled = true\nbatch_s = 0.2\n[shares]\nenabled = true\n"
        "[duties]\nenabled = true\n"
    ),
}
PRESENT = "present"
MACHINES = 8
RENTABLE_MACHINES = 3
JOB_INTERVAL_S = 1.0
TASK_S = 2.0
LONG_TASK_S = 20.0  # long enough for progress to be recorded while the job runs
LONG_JOB_TASKS = 16
MAX_KILLS = 8  # until the wanted build has the leader and an owner
# Log lines of either build by which something cannot be decoded or handled.
REJECTION = re.compile("Traceback|malformed|undecodable|cannot be decoded")


class Load:
    """Submits jobs of several kinds, and cancels some of them."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.specs: dict[str, dict[str, Any]] = {}
        self.expected: dict[str, str] = {}  # job -> state in which it must end
        self.open = True
        self.ended = anyio.Event()

    async def run(self) -> None:
        """Submit one job after the other until `stop` is called."""
        number = 0
        while self.open:
            number += 1
            spec = self._spec(number)
            if not await self.cluster.submit(spec, 60.0):
                raise TimeoutError(f"not accepted: {spec['uid']}")
            self.specs[spec["uid"]] = spec
            self.expected[spec["uid"]] = "done"
            await anyio.sleep(JOB_INTERVAL_S)
            if number % 7 == 0:
                await self._cancel(spec["uid"], number)
        self.ended.set()

    def _spec(self, number: int) -> dict[str, Any]:
        overrides: dict[str, Any] = {"pieces": 6, "cpus": 2.0, "expect_s": TASK_S, "size_gb": 0.1}
        task_s = LONG_TASK_S if number % 6 == 0 else TASK_S
        if number % 6 == 0:
            overrides |= {"pieces": LONG_JOB_TASKS, "cpus": 0.5, "expect_s": LONG_TASK_S}
        if number % 4 == 0:
            dependency = f"job-{number - 1:06d}"
            if self.expected.get(dependency) == "done":
                overrides["awaits"] = [dependency]
        if number % 5 == 0 and number % 6 != 0:
            overrides |= {"shape": "ensemble", "pieces": 2}
        if number % 2 == 0:
            overrides["crew"] = "lookup"
        spec = job_spec(number, **overrides)
        self.cluster.task_durations_s[spec["uid"]] = task_s
        return spec

    async def _cancel(self, uid: str, number: int) -> None:
        until = self.cluster.now + 60.0
        while self.cluster.now < until:
            label = CONTROLLER_LABELS[number % len(CONTROLLER_LABELS)]
            number += 1
            status, answer = await self.cluster.send_request(label, "POST", f"/work/{uid}/abort")
            if status == 200:
                self.expected[uid] = str(answer["stage"])
                if self.expected[uid] == "withdrawn":
                    self.cluster.cancelled_at[uid] = self.cluster.now
                return
            await anyio.sleep(0.2)
        raise TimeoutError(f"not cancelled: {uid}")

    async def stop(self) -> None:
        """Stop submitting jobs."""
        self.open = False
        await self.ended.wait()


class Builds:
    """The build of each controller, and the roles each build had while the other one ran."""

    def __init__(self, deployment: Deployment, old: str, roots: dict[str, pathlib.Path]) -> None:
        self.deployment = deployment
        self.cluster = deployment.cluster
        self.roots = roots
        self.started_at = self.cluster.now
        # Controller -> build of its present process.
        self.build = dict.fromkeys(CONTROLLER_LABELS, old)
        # Controller -> incarnation of its present process, once its session is known.
        self.incarnations: dict[str, str] = {}
        self.ended: set[str] = set()  # incarnations of killed processes
        self.progress_records = 0  # sum over the kills of the progress records at that moment
        # Role and build, for each role that a build had while the other build ran too.
        self.seen: set[tuple[str, str]] = set()
        # Role and build -> time in seconds for which this was so.
        self.mixed_s: dict[tuple[str, str], float] = {}
        self._last = ""

    def log(self, text: str) -> None:
        """Print a line with the time since the start."""
        print(f"{self.cluster.now - self.started_at:7.1f} s  {text}", flush=True)

    def record(self, key: str) -> dict[str, Any]:
        """Return the value of a record; empty if there is none."""
        return dict(self.cluster.state.entries.get(key, ({},))[0])

    def controller_in(self, record: dict[str, Any]) -> str | None:
        """Return the controller whose present process a record names; None if there is none."""
        label = record.get("holder", record.get("label"))
        return label if label and self.incarnations.get(label) == record["boot"] else None

    def leader(self) -> str | None:
        """Return the leader, or None while there is none."""
        return self.controller_in(self.record("live/leader"))

    def owners(self) -> dict[str, str | None]:
        """Return each shard's owner; None while its owner has ended."""
        return {
            key.rpartition("/")[2]: self.controller_in(record)
            for key, record in sorted(self.cluster.shards().items())
        }

    def is_settled(self) -> bool:
        """Return whether all controllers have sessions, and there are a leader and all owners."""
        return (
            len(self.incarnations) == len(CONTROLLER_LABELS)
            and self.leader() is not None
            and all(self.owners().values())
        )

    async def watch(self) -> None:
        """Follow sessions, leader and owners until cancelled."""
        at = self.cluster.now
        while True:
            for label in CONTROLLER_LABELS:
                incarnation = self.record(f"live/session/{label}").get("boot")
                if (
                    incarnation
                    and incarnation not in self.ended
                    and label in self.deployment.processes
                ):
                    self.incarnations[label] = incarnation
            running_builds = {self.build[label] for label in self.incarnations}
            leader, owners = self.leader(), self.owners()
            if len(running_builds) > 1:
                roles = {("leader", leader)} | {("owner", owner) for owner in owners.values()}
                for found in {(role, self.build[label]) for role, label in roles if label}:
                    self.seen.add(found)
                    self.mixed_s[found] = self.mixed_s.get(found, 0.0) + self.cluster.now - at
            at = self.cluster.now
            self._log_roles(leader, owners)
            await anyio.sleep(0.05)

    def _log_roles(self, leader: str | None, owners: dict[str, str | None]) -> None:
        if leader is None or not all(owners.values()):
            return
        owned_by = ", ".join(f"{shard} {self.describe(owner)}" for shard, owner in owners.items())
        line = f"leader {self.describe(leader)}; owners: {owned_by}"
        if line != self._last:
            self.log(line)
            self._last = line

    def describe(self, label: str | None) -> str:
        """Return a controller and its build as text."""
        return f"{label} ({self.build[label]})" if label else "nobody"

    async def replace(self, label: str, build: str) -> None:
        """Kill a controller, wait for the failover, and start the controller with a build."""
        before = self.describe(label)
        self.ended.add(self.incarnations.pop(label))
        self.progress_records += sum(key.startswith("prog/") for key in self.cluster.state.entries)
        self.deployment.kill(label)
        await self.deployment.wait_until(
            lambda: self.leader() is not None and all(self.owners().values()), 40.0, "failover"
        )
        self.build[label] = build
        self.deployment.start(label, self.roots[build])
        cwd = os.readlink(f"/proc/{self.deployment.processes[label].pid}/cwd")
        assert pathlib.Path(cwd) == self.roots[build].resolve(), cwd
        self.log(f"killed {before}, started {self.describe(label)}")
        await self.deployment.wait_until(self.is_settled, 40.0, "three controllers")

    async def wait_for_both_roles(self, build: str) -> None:
        """Kill leader or owner until a build has had both roles while the other build ran."""
        for _ in range(MAX_KILLS):
            missing = {("leader", build), ("owner", build)} - self.seen
            if not missing:
                return
            leader = self.leader() if ("leader", build) in missing else None
            label = leader or next(owner for owner in self.owners().values() if owner)
            await self.replace(label, self.build[label])
            await anyio.sleep(1.0)
        raise TimeoutError(f"{build} did not get both roles within {MAX_KILLS} kills")


async def replace_all(builds: Builds, old: str, new: str, steady_s: float) -> None:
    """Replace all controllers of one build by the other build, one by one."""
    builds.seen.clear()
    for turn in range(len(CONTROLLER_LABELS)):
        remaining = [label for label in CONTROLLER_LABELS if builds.build[label] == old]
        with_roles = {builds.leader(), *builds.owners().values()}
        # First a controller without a role, if there is one, then those with roles.
        remaining.sort(key=lambda label: (label in with_roles) == (turn == 0))
        await builds.replace(remaining[0], new)
        await anyio.sleep(steady_s)
        if turn == 0:
            await builds.wait_for_both_roles(old)
        elif turn == 1:
            await builds.wait_for_both_roles(new)
            await anyio.sleep(steady_s)
    builds.log(f"all controllers run {new}")


async def change_shares(deployment: Deployment, interval_s: float) -> None:
    """Change the shares periodically, at any controller that responds, until cancelled."""
    turn = 0
    while True:
        weights = (1.0, 1.0, 2.0)[turn % 3], (1.0, 2.0, 1.0)[turn % 3]
        shares = dict(zip(CONTROLLER_LABELS, map(Share, weights), strict=False))
        await set_shares(deployment, shares)
        turn += 1
        await anyio.sleep(interval_s)


async def inconsistent_answers(deployment: Deployment, names: list[str]) -> list[str]:
    """Return jobs whose state differs between the controllers' answers or from the record."""
    found = []
    for name in names:
        answers = [
            await deployment.cluster.send_request(label, "GET", f"/work/{name}")
            for label in CONTROLLER_LABELS
        ]
        same = all(answer == answers[0] for answer in answers)
        if (
            not same
            or answers[0][0] != 200
            or answers[0][1]["stage"] != deployment.cluster.job_state(name)
        ):
            found.append(f"{name}: {answers}")
    return found


async def find_violations(deployment: Deployment, load: Load, extensions: bool) -> list[str]:
    """Return all violations found in the simulated services, histories, answers and logs."""
    cluster = deployment.cluster
    found = list(cluster.violations)
    names = sorted(load.expected)
    found += [
        f"{name} is {cluster.job_state(name)}, not {load.expected[name]}"
        for name in names
        if cluster.job_state(name) != load.expected[name]
    ]
    starts = Counter(task_id for _, task_id, _ in cluster.task_starts)
    found += [f"{task_id} started {count} times" for task_id, count in starts.items() if count > 1]
    for name in names:
        tasks = {f"{name}/{index}" for index in range(load.specs[name]["pieces"])}
        if load.expected[name] == "done" and not tasks <= starts.keys():
            found.append(f"{name}: not all tasks started")
    found += await inconsistent_answers(deployment, names)
    if extensions:
        answers = [await shares_call(deployment, label, None) for label in CONTROLLER_LABELS]
        tables = [answer and (answer.revision, answer.shares) for answer in answers]
        if tables[0] is None or any(table != tables[0] for table in tables):
            found.append(f"shares differ: {tables}")
        for check in (check_history, check_cloud_actions):
            try:
                check(cluster)
            except AssertionError as error:
                found.append(f"{check.__name__}: {error}")
    for label in CONTROLLER_LABELS:
        lines = deployment.log_file(label).read_text().splitlines()
        found += [f"log of {label}: {line}" for line in lines if REJECTION.search(line)]
    return found


async def measure(options: argparse.Namespace, folder: pathlib.Path, name: str) -> int:
    """Upgrade and roll back with one of `OPERATORS`; return the number of violations."""
    old = options.revision
    roots = {old: worktree_of(commit_of(old)), PRESENT: ROOT}
    operators = OPERATORS[name]
    print(f"settings {name}: {old} is {commit_of(old)[:16]}, present {commit_of('HEAD')[:16]}")
    async with running_deployment(
        folder, MACHINES, options.lease_s, operators, root=roots[old]
    ) as deployment:
        cluster = deployment.cluster
        cluster.capacity = MACHINES + RENTABLE_MACHINES
        builds, load = Builds(deployment, old, roots), Load(deployment)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(builds.watch)
            tasks.start_soon(load.run)
            if operators:
                tasks.start_soon(change_shares, deployment, 5.0)
            await deployment.wait_until(builds.is_settled, 30.0, "three controllers")
            await anyio.sleep(options.steady_s)
            for before, after in ((old, PRESENT), (PRESENT, old)):
                await replace_all(builds, before, after, options.steady_s)
            await load.stop()
            await deployment.wait_until(
                lambda: all(
                    cluster.job_state(uid) in ("done", "withdrawn") for uid in load.expected
                ),
                120.0,
                "all jobs have ended",
            )
            await anyio.sleep(3.0)
            tasks.cancel_scope.cancel()
        violations = await find_violations(deployment, load, bool(operators))
        report(builds, load, violations)
    return len(violations)


def report(builds: Builds, load: Load, violations: list[str]) -> None:
    """Print what was done and the violations."""
    cluster = builds.cluster
    for (role, build), seconds in sorted(builds.mixed_s.items()):
        print(f"{role} {build} while the other build ran: {seconds:.1f} s")
    ends = Counter(cluster.job_state(name) for name in load.expected)
    print(
        f"{len(load.expected)} jobs: {ends['done']} done, {ends['withdrawn']} cancelled,"
        f" {len(cluster.task_starts)} tasks started, {len(builds.ended)} kills,"
        f" {builds.progress_records} progress records at the kills,"
        f" {len(cluster.cloud_actions)} rentals and releases"
    )
    for line in violations:
        print(f"violation: {line}")
    print(f"{len(violations)} violations", flush=True)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument(
        "revision", help="the commit whose sources run together with the present ones"
    )
    parser.add_argument("--settings", choices=(*OPERATORS, "both"), default="both")
    parser.add_argument("--lease-s", type=float, default=8.0)
    parser.add_argument("--steady-s", type=float, default=5.0, help="pause after each replacement")
    parser.add_argument("--logs", type=pathlib.Path, help="a new directory for the logs")
    options = parser.parse_args()
    names = list(OPERATORS) if options.settings == "both" else [options.settings]
    violations = 0
    with tempfile.TemporaryDirectory() as temporary:
        for name in names:
            folder = (options.logs or pathlib.Path(temporary)) / name
            folder.mkdir(parents=True)
            violations += anyio.run(measure, options, folder, name, backend="asyncio")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
