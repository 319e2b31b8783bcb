"""Whether controllers of two builds work together while one replaces the other and is taken back.

    python3 -m tests.loopback.measure_upgrade 07c4983

Real processes on this machine against the stand-ins. Three controllers run the sources of a commit,
from a worktree under `target/`; they are killed one after the other and started with the sources at
hand, and then back again, while jobs are submitted and run. Each way, the leader and the owner of a
shard is once of each build while the other build runs beside it. Once with the default operators'
settings, once with standby, shares and duties. Exits with 1 where a rule was broken.
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
from tests.loopback.deployment import ROOT, Deployment, running
from tests.loopback.measure_shares import set_shares, shares_call
from tests.test_duties import check_actions
from tests.test_shares import check_history
from tests.traces.trees import commit_of, tree_of
from tests.world import LABELS, job

OPERATORS = {
    "default": "",
    "extensions": (
        "[standby]\nenabled = true\nbatch_s = 0.2\n[shares]\nenabled = true\n"
        "[duties]\nenabled = true\n"
    ),
}
AT_HAND = "at hand"
MACHINES = 8
MORE_MACHINES = 3  # that can be rented
JOB_EVERY_S = 1.0
TASK_S = 2.0
LONG_TASK_S = 20.0  # so long that progress is recorded while the job runs
LONG_PIECES = 16
MOST_KILLS = 8  # until the wanted build leads and owns
LOGGED = re.compile("Traceback|malformed|undecodable")


class Load:
    """Submits jobs of several kinds, and cancels some."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.specs: dict[str, dict[str, Any]] = {}
        self.expected: dict[str, str] = {}  # job -> the state that it is to end in
        self.open = True
        self.ended = anyio.Event()

    async def run(self) -> None:
        """One job after the other until `stop`."""
        number = 0
        while self.open:
            number += 1
            spec = self._spec(number)
            if not await self.world.submit(spec, 60.0):
                raise TimeoutError(f"not accepted: {spec['uid']}")
            self.specs[spec["uid"]] = spec
            self.expected[spec["uid"]] = "done"
            await anyio.sleep(JOB_EVERY_S)
            if number % 7 == 0:
                await self._cancel(spec["uid"], number)
        self.ended.set()

    def _spec(self, number: int) -> dict[str, Any]:
        over: dict[str, Any] = {"pieces": 6, "cpus": 2.0, "expect_s": TASK_S, "size_gb": 0.1}
        task_s = LONG_TASK_S if number % 6 == 0 else TASK_S
        if number % 6 == 0:
            over |= {"pieces": LONG_PIECES, "cpus": 0.5, "expect_s": LONG_TASK_S}
        if number % 4 == 0:
            done_first = f"job-{number - 1:06d}"
            if self.expected.get(done_first) == "done":
                over["awaits"] = [done_first]
        if number % 5 == 0 and number % 6 != 0:
            over |= {"shape": "ensemble", "pieces": 2}
        if number % 2 == 0:
            over["crew"] = "lookup"
        spec = job(number, **over)
        self.world.times[spec["uid"]] = task_s
        return spec

    async def _cancel(self, uid: str, number: int) -> None:
        until = self.world.now + 60.0
        while self.world.now < until:
            label = LABELS[number % len(LABELS)]
            number += 1
            status, answer = await self.world.ask(label, "POST", f"/work/{uid}/abort")
            if status == 200:
                self.expected[uid] = str(answer["stage"])
                if self.expected[uid] == "withdrawn":
                    self.world.cancelled_at[uid] = self.world.now
                return
            await anyio.sleep(0.2)
        raise TimeoutError(f"not cancelled: {uid}")

    async def stop(self) -> None:
        """Submit no more."""
        self.open = False
        await self.ended.wait()


class Builds:
    """Which build each process is of, and which one led and owned beside the other."""

    def __init__(self, deployment: Deployment, old: str, roots: dict[str, pathlib.Path]) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.roots = roots
        self.began = self.world.now
        self.build = dict.fromkeys(LABELS, old)  # label -> build of its present process
        self.boots: dict[str, str] = {}  # label -> incarnation of its present process, once known
        self.ended: set[str] = set()  # incarnations of killed processes
        self.progress = 0  # progress records that were there when a controller was killed
        self.seen: set[tuple[str, str]] = set()  # role, build: while the other build ran beside
        self.beside_s: dict[tuple[str, str], float] = {}
        self._last = ""

    def say(self, text: str) -> None:
        """Print a line with the time since the beginning."""
        print(f"{self.world.now - self.began:7.1f} s  {text}", flush=True)

    def record(self, key: str) -> dict[str, Any]:
        """The value of a record; empty if there is none."""
        return dict(self.world.state.data.get(key, ({},))[0])

    def label_of(self, record: dict[str, Any]) -> str | None:
        """Whose present process a record names; None where it has ended or there is none."""
        label = record.get("holder", record.get("label"))
        return label if label and self.boots.get(label) == record["boot"] else None

    def leader(self) -> str | None:
        """The controller that leads."""
        return self.label_of(self.record("live/leader"))

    def owners(self) -> dict[str, str | None]:
        """Shard -> its owner."""
        return {
            key.rpartition("/")[2]: self.label_of(record)
            for key, record in sorted(self.world.blocks().items())
        }

    def settled(self) -> bool:
        """All three have a session, one leads, and all shards are owned."""
        return (
            len(self.boots) == len(LABELS)
            and self.leader() is not None
            and all(self.owners().values())
        )

    async def watch(self) -> None:
        """Look at sessions, leader and owners again and again."""
        at = self.world.now
        while True:
            for label in LABELS:
                boot = self.record(f"live/session/{label}").get("boot")
                if boot and boot not in self.ended and label in self.deployment.processes:
                    self.boots[label] = boot
            running_builds = {self.build[label] for label in self.boots}
            leader, owners = self.leader(), self.owners()
            if len(running_builds) > 1:
                roles = {("leader", leader)} | {("owner", owner) for owner in owners.values()}
                for found in {(role, self.build[label]) for role, label in roles if label}:
                    self.seen.add(found)
                    self.beside_s[found] = self.beside_s.get(found, 0.0) + self.world.now - at
            at = self.world.now
            self._say_roles(leader, owners)
            await anyio.sleep(0.05)

    def _say_roles(self, leader: str | None, owners: dict[str, str | None]) -> None:
        if leader is None or not all(owners.values()):
            return
        owned = ", ".join(f"{shard} by {self.named(owner)}" for shard, owner in owners.items())
        line = f"leader {self.named(leader)}; owned: {owned}"
        if line != self._last:
            self.say(line)
            self._last = line

    def named(self, label: str | None) -> str:
        """A controller and its build."""
        return f"{label} ({self.build[label]})" if label else "nobody"

    async def replace(self, label: str, build: str) -> None:
        """Kill a controller, wait for what it held to be taken over, and start it with a build."""
        before = self.named(label)
        self.ended.add(self.boots.pop(label))
        self.progress += sum(key.startswith("prog/") for key in self.world.state.data)
        self.deployment.kill(label)
        await self.deployment.until(
            lambda: self.leader() is not None and all(self.owners().values()), 40.0, "a takeover"
        )
        self.build[label] = build
        self.deployment.start(label, self.roots[build])
        cwd = os.readlink(f"/proc/{self.deployment.processes[label].pid}/cwd")
        assert pathlib.Path(cwd) == self.roots[build].resolve(), cwd
        self.say(f"killed {before}, started {self.named(label)}")
        await self.deployment.until(self.settled, 40.0, "three controllers")

    async def lead_and_own(self, build: str) -> None:
        """Until the build has led and owned beside the other one, kill who leads or owns."""
        for _ in range(MOST_KILLS):
            missing = {("leader", build), ("owner", build)} - self.seen
            if not missing:
                return
            leads = self.leader() if ("leader", build) in missing else None
            label = leads or next(owner for owner in self.owners().values() if owner)
            await self.replace(label, self.build[label])
            await anyio.sleep(1.0)
        raise TimeoutError(f"{build} did not lead and own within {MOST_KILLS} kills")


async def exchange(builds: Builds, old: str, new: str, steady_s: float) -> None:
    """Bring all controllers from one build to the other, one by one."""
    builds.seen.clear()
    for turn in range(len(LABELS)):
        left = [label for label in LABELS if builds.build[label] == old]
        busy = {builds.leader(), *builds.owners().values()}
        # First one that neither leads nor owns, if there is one, then those that do.
        left.sort(key=lambda label: (label in busy) == (turn == 0))
        await builds.replace(left[0], new)
        await anyio.sleep(steady_s)
        if turn == 0:
            await builds.lead_and_own(old)
        elif turn == 1:
            await builds.lead_and_own(new)
            await anyio.sleep(steady_s)
    builds.say(f"all three are {new}")


async def move_shares(deployment: Deployment, every_s: float) -> None:
    """Operators change the shares all the time, at whichever controller answers."""
    turn = 0
    while True:
        weights = (1.0, 1.0, 2.0)[turn % 3], (1.0, 2.0, 1.0)[turn % 3]
        shares = dict(zip(LABELS, map(Share, weights), strict=False))
        await set_shares(deployment, shares)
        turn += 1
        await anyio.sleep(every_s)


async def differing(deployment: Deployment, names: list[str]) -> list[str]:
    """Jobs that the controllers answer differently, or otherwise than the record says."""
    found = []
    for name in names:
        answers = [await deployment.world.ask(label, "GET", f"/work/{name}") for label in LABELS]
        same = all(answer == answers[0] for answer in answers)
        if (
            not same
            or answers[0][0] != 200
            or answers[0][1]["stage"] != deployment.world.stage(name)
        ):
            found.append(f"{name}: {answers}")
    return found


async def breaks_of(deployment: Deployment, load: Load, extensions: bool) -> list[str]:
    """The rules that were broken, by the stand-ins, the histories, the answers and the logs."""
    world = deployment.world
    found = list(world.broken)
    names = sorted(load.expected)
    found += [
        f"{name} is {world.stage(name)}, not {load.expected[name]}"
        for name in names
        if world.stage(name) != load.expected[name]
    ]
    starts = Counter(piece for _, piece, _ in world.starts_seen)
    found += [f"{piece} started {count} times" for piece, count in starts.items() if count > 1]
    for name in names:
        tasks = {f"{name}/{index}" for index in range(load.specs[name]["pieces"])}
        if load.expected[name] == "done" and not tasks <= starts.keys():
            found.append(f"{name}: not all tasks started")
    found += await differing(deployment, names)
    if extensions:
        answers = [await shares_call(deployment, label, None) for label in LABELS]
        tables = [answer and (answer.revision, answer.shares) for answer in answers]
        if tables[0] is None or any(table != tables[0] for table in tables):
            found.append(f"shares differ: {tables}")
        for check in (check_history, check_actions):
            try:
                check(world)
            except AssertionError as error:
                found.append(f"{check.__name__}: {error}")
    for label in LABELS:
        lines = deployment.log_file(label).read_text().splitlines()
        found += [f"log of {label}: {line}" for line in lines if LOGGED.search(line)]
    return found


async def measure(options: argparse.Namespace, folder: pathlib.Path, name: str) -> int:
    """Both ways with one kind of operators' settings; returns the number of rule breaks."""
    old = options.revision
    roots = {old: tree_of(commit_of(old)), AT_HAND: ROOT}
    operators = OPERATORS[name]
    print(f"settings {name}: {old} is {commit_of(old)[:16]}, at hand {commit_of('HEAD')[:16]}")
    async with running(folder, MACHINES, options.lease_s, operators, root=roots[old]) as deployment:
        world = deployment.world
        world.capacity = MACHINES + MORE_MACHINES
        builds, load = Builds(deployment, old, roots), Load(deployment)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(builds.watch)
            tasks.start_soon(load.run)
            if operators:
                tasks.start_soon(move_shares, deployment, 5.0)
            await deployment.until(builds.settled, 30.0, "three controllers")
            await anyio.sleep(options.steady_s)
            for one, other in ((old, AT_HAND), (AT_HAND, old)):
                await exchange(builds, one, other, options.steady_s)
            await load.stop()
            await deployment.until(
                lambda: all(world.stage(uid) in ("done", "withdrawn") for uid in load.expected),
                120.0,
                "all jobs have ended",
            )
            await anyio.sleep(3.0)
            tasks.cancel_scope.cancel()
        breaks = await breaks_of(deployment, load, bool(operators))
        report(builds, load, breaks)
    return len(breaks)


def report(builds: Builds, load: Load, breaks: list[str]) -> None:
    """What was done, and what was found."""
    world = builds.world
    for (role, build), seconds in sorted(builds.beside_s.items()):
        print(f"{role} {build} beside the other build: {seconds:.1f} s")
    ends = Counter(world.stage(name) for name in load.expected)
    print(
        f"{len(load.expected)} jobs: {ends['done']} done, {ends['withdrawn']} cancelled,"
        f" {len(world.starts_seen)} tasks started, {len(builds.ended)} kills,"
        f" {builds.progress} progress records left at them,"
        f" {len(world.actions)} rentals and returns"
    )
    for line in breaks:
        print(f"broken: {line}")
    print(f"{len(breaks)} rule breaks", flush=True)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("revision", help="the commit whose sources run beside those at hand")
    parser.add_argument("--settings", choices=(*OPERATORS, "both"), default="both")
    parser.add_argument("--lease-s", type=float, default=8.0)
    parser.add_argument("--steady-s", type=float, default=5.0, help="after each exchange")
    parser.add_argument("--logs", type=pathlib.Path, help="a new folder to keep the logs in")
    options = parser.parse_args()
    names = list(OPERATORS) if options.settings == "both" else [options.settings]
    breaks = 0
    with tempfile.TemporaryDirectory() as temporary:
        for name in names:
            folder = (options.logs or pathlib.Path(temporary)) / name
            folder.mkdir(parents=True)
            breaks += anyio.run(measure, options, folder, name, backend="asyncio")
    sys.exit(1 if breaks else 0)


if __name__ == "__main__":
    main()
