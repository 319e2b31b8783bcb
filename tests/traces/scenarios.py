"""The scenarios: how the cluster is set up, what users send and which failures overlap."""

from __future__ import annotations

import functools
import json
import pathlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tests.traces import failures
from tests.traces.adapter import Cluster
from tests.traces.failures import Failure, Failures, start_missing_controllers
from tests.traces.timeline import Timeline
from tests.traces.users import PRIORITIES, Users

PRODUCTION = pathlib.Path(__file__).parent.parent / "data" / "production.json"

STATE_LIMITS = {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16}
NEXT_LIMITS = {"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 5}
STATE_WITH_NEXT = STATE_LIMITS | {"next": NEXT_LIMITS}

STANDBY: dict[str, Any] = {"standby": {"enabled": True, "batch_s": 0.2, "session_s": 2.0}}
SHARES: dict[str, Any] = {"shares": {"enabled": True}, "idle_boots": 50.0}
DUTIES: dict[str, Any] = {"duties": {"enabled": True}, "idle_boots": 1.0}
POLICY = "{'node-0': load['node-0'] + 1.0, 'node-1': load['node-1'] + 1.0}"

Play = Callable[[Timeline, random.Random], None]

# Field of ordinary jobs -> the values that it is drawn from.
ORDINARY: dict[str, list[Any]] = {
    "crew": ["crew", "crew", "small"],
    "rank": PRIORITIES,
    "pieces": [1, 2, 5, 12],
    "cpus": [1.0, 4.0],
    "expect_s": [2.0, 4.0, 30.0],
    "loaners": [True, False],
}
# The same for jobs that are hard to place.
DEMANDING: dict[str, list[Any]] = ORDINARY | {
    "jobclass": ["work", "urgent", "dated"],
    "shape": ["sweep", "ensemble", "service"],
    "one_zone": [False, True],
    "apart": [False, False, True],
    "hall": [None, "a"],
    "builds": [None, ["box"]],
    "due_s": [None, 30.0],
    "bookmark_s": [0.0, 5.0],
    "stow_s": [0.0, 2.0],
    "size_gb": [0.1, 5.0],
}


# Objectives of job classes: tasks are preempted for jobs that would wait too long.
OBJECTIVES: list[dict[str, Any]] = [
    {"kind": "wait", "class": "urgent", "within_s": 12.0, "share": 0.9},
    {"kind": "wait", "class": "work", "within_s": 60.0, "share": 0.9},
    {"kind": "deadline", "class": "dated", "share": 0.9},
    {"kind": "wait", "class": "dated", "within_s": 30.0, "share": 0.9},
]


@dataclass(frozen=True)
class Scenario:
    """A seed, the function that plays the scenario, and the settings of its cluster."""

    seed: int
    play: Play
    machines: int = 4
    capacity: int = 8
    operators: dict[str, Any] = field(default_factory=dict)
    facts: dict[str, Any] = field(default_factory=dict)
    older: tuple[str, ...] = ()  # controllers that know only record format 1 at first
    step_s: float = 0.05  # length of a step of the cluster in seconds


def load_with_failures(
    timeline: Timeline,
    rng: random.Random,
    kinds: list[Failure],
    fields: dict[str, list[Any]] = ORDINARY,
    seconds: float = 300.0,
    failures_every_s: float = 3.0,
    requests_every_s: float = 1.0,
) -> None:
    """Users send requests while failures overlap; then all failures end and work continues."""
    timeline.run(5.0)
    Users(timeline, rng, requests_every_s, **fields).begin(seconds)
    Failures(timeline, rng, kinds, failures_every_s).begin(seconds)
    timeline.run(seconds + 1.0)
    start_missing_controllers(timeline.cluster, timeline.cluster.labels)
    timeline.run(40.0)


def wrong_requests(timeline: Timeline, rng: random.Random) -> None:
    """Users send invalid requests to all routes.

    They do so before and after the controllers have read their records, and while the state service
    is down.
    """
    users = Users(timeline, rng, 0.2, **ORDINARY)
    users.send_all_invalid()
    timeline.run(5.0)
    users.submit(pieces=3)
    users.send_all_invalid()
    users.begin(60.0)
    timeline.run(60.0)
    timeline.cluster.set_state_down(True)
    users.send_all_invalid()
    users.begin(10.0)
    timeline.run(12.0)
    timeline.cluster.set_state_down(False)
    timeline.run(30.0)


def pipelines(timeline: Timeline, rng: random.Random) -> None:
    """Jobs await others in chains and fan-outs; some of them are cancelled."""
    timeline.run(5.0)
    users = Users(timeline, rng, 1.0)
    Failures(timeline, rng, failures.CONTROLLERS + failures.STATE, 8.0).begin(150.0)
    for _ in range(10):
        first = users.submit(rng.uniform(1.0, 8.0), pieces=3)
        timeline.run(rng.choice([0.0, 0.3, 2.0]))
        fan = [users.submit(awaits=[first], pieces=2) for _ in range(3)]
        last = users.submit(awaits=fan, pieces=2, cpus=1.0)
        timeline.run(rng.uniform(0.0, 10.0))
        for uid in rng.sample([first, *fan, last], rng.choice([0, 1, 1, 2])):
            timeline.cluster.send_request(users.label(), "POST", f"/work/{uid}/abort")
        timeline.run(3.0)
        users.query()
    timeline.run(60.0)
    start_missing_controllers(timeline.cluster, timeline.cluster.labels)
    timeline.run(40.0)


def preemption(timeline: Timeline, rng: random.Random) -> None:
    """Jobs of higher priority come while tasks of lower priority fill the machines."""
    timeline.run(5.0)
    users = Users(timeline, rng, 1.0)
    for turn in range(4):
        for _ in range(6):
            users.submit(30.0, rank="best_effort", pieces=12, cpus=1.0, bookmark_s=5.0, stow_s=1.0)
        timeline.run(rng.uniform(6.0, 15.0))
        Failures(timeline, rng, failures.CONTROLLERS + failures.MACHINES, 4.0).begin(30.0)
        for rank in PRIORITIES[1:]:
            users.submit(8.0, rank=rank, pieces=6, cpus=4.0)
            users.submit(8.0, rank=rank, pieces=2, shape="ensemble", cpus=8.0)
            users.submit(8.0, rank=rank, pieces=1, shape="service", due_s=20.0)
            users.submit(8.0, rank=rank, pieces=4, jobclass="urgent", loaners=False)
            users.submit(8.0, rank=rank, pieces=2, jobclass="dated", due_s=30.0)
            timeline.run(rng.uniform(0.0, 6.0))
        timeline.run(20.0 if turn % 2 else 45.0)
    start_missing_controllers(timeline.cluster, timeline.cluster.labels)
    timeline.run(90.0)


def large_arrays(timeline: Timeline, rng: random.Random) -> None:
    """Jobs with hundreds or thousands of tasks are cancelled or taken over halfway."""
    timeline.run(5.0)
    users = Users(timeline, rng, 3.0, **ORDINARY)
    users.submit(1.0, pieces=700, cpus=0.5, expect_s=1.0)
    users.submit(2.0, pieces=3000, cpus=0.25, rank="best_effort")
    last = users.submit(2.0, pieces=400, cpus=1.0, crew="small")
    users.begin(100.0)
    Failures(timeline, rng, failures.CONTROLLERS + failures.STATE, 6.0).begin(100.0)
    timeline.run(60.0)
    timeline.cluster.send_request(users.label(), "POST", f"/work/{last}/abort")
    timeline.run(60.0)
    start_missing_controllers(timeline.cluster, timeline.cluster.labels)
    timeline.run(60.0)


def all_boot_within_a_second(timeline: Timeline, rng: random.Random) -> None:
    """All controllers crash and restart within a second, repeatedly, while jobs run."""
    cluster = timeline.cluster
    timeline.run(5.0)
    Users(timeline, rng, 0.8, **DEMANDING).begin(150.0)
    Failures(timeline, rng, failures.STATE + failures.MACHINES, 6.0).begin(150.0)
    for _ in range(12):
        timeline.run(rng.uniform(2.0, 20.0))
        for label in cluster.labels:
            cluster.crash(label)
            timeline.after(
                rng.uniform(0.0, 1.0), functools.partial(cluster.start_controller, label)
            )
        timeline.run(1.5)
    timeline.run(40.0)


def quiet_growth(timeline: Timeline, rng: random.Random) -> None:
    """Nothing fails: machines are rented, used and released, several times."""
    timeline.run(5.0)
    users = Users(timeline, rng, 0.7, **DEMANDING)
    for _ in range(3):
        users.begin(40.0)
        timeline.run(100.0)


def clocks_apart(timeline: Timeline, rng: random.Random) -> None:
    """Two controllers' time of day is wrong; the monotonic clock of one runs a little fast."""
    first, second, _ = timeline.cluster.labels
    timeline.cluster.set_clock(first, 3600.0, 1.0)
    timeline.cluster.set_clock(second, -50.0, 1.0004)
    load_with_failures(timeline, rng, failures.CONTROLLERS + failures.STATE, seconds=150.0)


def older_first(timeline: Timeline, rng: random.Random) -> None:
    """Controllers are upgraded to the newer record format while failures overlap.

    Then the state service's lower limits take effect.
    """
    cluster = timeline.cluster
    timeline.run(5.0)
    users = Users(timeline, rng, 1.5, **ORDINARY)
    users.begin(150.0)
    for _ in range(5):
        label = failures.random_controller(cluster, rng)
        cluster.crash(label)
        timeline.run(rng.choice([0.2, 5.0]))
        cluster.start_controller(label, older=True)
        timeline.run(rng.uniform(2.0, 8.0))
    users.submit(10.0, pieces=900, cpus=0.5)
    Failures(timeline, rng, failures.MACHINES + failures.NETWORK, 8.0).begin(60.0)
    for label in rng.sample(cluster.labels, 3):
        timeline.run(4.0)
        cluster.crash(label)
        timeline.run(1.0)
        cluster.start_controller(label)
    timeline.run(60.0)
    cluster.set_state_limits(2048, 5, 6.0)
    timeline.run(60.0)
    Failures(timeline, rng, failures.CONTROLLERS, 5.0).begin(30.0)
    timeline.run(60.0)


def records_of_production(timeline: Timeline, rng: random.Random) -> None:
    """Controllers take over the records that the version in production has written."""
    cluster = timeline.cluster
    for label in cluster.labels:
        cluster.crash(label)
    cluster.skip_controller_starts(100)
    for key, value in json.loads(PRODUCTION.read_text())["records"].items():
        if not key.startswith(("live/session/", "live/leader")):
            cluster.put_record(key, value)
    for label in cluster.labels:
        cluster.start_controller(label)
    for message in json.loads(PRODUCTION.read_text())["beats"]:
        for label in cluster.labels:
            cluster.send_peer_message(label, json.dumps(message).encode())
    load_with_failures(timeline, rng, failures.CONTROLLERS, seconds=60.0, failures_every_s=8.0)


def limits_before_all_were_seen(timeline: Timeline, rng: random.Random) -> None:
    """The state service's limits drop before all controllers are known to be upgraded.

    Node-2, older at first, has restarted with the newer record format, but is cut off from the
    others and the state service. The values stored so far are too large for the new limits.
    """
    cluster = timeline.cluster
    timeline.run(5.0)
    users = Users(timeline, rng, 2.0, **ORDINARY)
    users.submit(25.0, pieces=300, cpus=8.0)
    timeline.run(20.0)
    cluster.crash("node-2")
    for other in ("state", "node-0", "node-1"):
        cluster.add_partition("node-2", other)
    cluster.start_controller("node-2")
    timeline.run(6.0)
    cluster.set_state_limits(819, 5, 18.0)
    users.begin(20.0)
    owner = cluster.owner()
    cluster.crash(owner)
    timeline.run(20.0)
    cluster.start_controller(owner)
    timeline.run(40.0)
    for other in ("state", "node-0", "node-1"):
        cluster.remove_partition("node-2", other)
    timeline.run(30.0)


def records_in_parts(timeline: Timeline, rng: random.Random) -> None:
    """A shard has more machines than its record holds in one value."""
    cluster = timeline.cluster
    timeline.run(2.0)
    users = Users(timeline, rng, 2.0)
    for _ in range(4):
        users.submit(30.0, pieces=700, expect_s=30.0, size_gb=0.1)
    timeline.run(25.0)
    owner = cluster.owner()
    cluster.crash(owner)
    Failures(timeline, rng, failures.MACHINES, 1.0).begin(20.0)
    timeline.run(25.0)
    cluster.start_controller(owner)
    cluster.set_state_limits(2048, 5, 18.0)
    timeline.run(25.0)
    cluster.set_capacity(0)
    timeline.run(90.0)
    cluster.set_capacity(600)
    users.submit(5.0, pieces=1200, expect_s=30.0)
    timeline.run(40.0)


def parts_of_small_values(timeline: Timeline, rng: random.Random) -> None:
    """Values are so small that parts of records are split; the fleet shrinks and grows again."""
    cluster = timeline.cluster
    timeline.run(2.0)
    users = Users(timeline, rng, 2.0)
    for turn in range(3):
        cluster.set_capacity([1000, 150, 800][turn])
        for _ in range(3):
            users.submit(8.0, pieces=600, expect_s=8.0, size_gb=0.1)
        timeline.run(15.0)
        hosts = cluster.hosts()
        for host in rng.sample(hosts, len(hosts) // 2):
            cluster.remove_machine(host)
        Failures(timeline, rng, failures.CONTROLLERS + failures.MACHINES, 4.0).begin(20.0)
        timeline.run(25.0)
        start_missing_controllers(cluster, cluster.labels)
        timeline.run(20.0)


def thousand_jobs(timeline: Timeline, rng: random.Random) -> None:
    """There are more open jobs than one heartbeat between controllers has task counts for."""
    timeline.run(5.0)
    users = Users(timeline, rng, 1.0)
    for _ in range(230):
        for _ in range(5):
            users.submit(rng.uniform(1.0, 6.0), pieces=1, cpus=4.0, rank=rng.choice(PRIORITIES))
        timeline.run(0.05)
    timeline.run(10.0)
    timeline.cluster.crash(timeline.cluster.owner())
    timeline.run(15.0)
    start_missing_controllers(timeline.cluster, timeline.cluster.labels)
    timeline.run(5.0)


BROKEN_RECORDS: dict[str, Any] = {
    "live/job/job-900001": {"stage": 7},
    "live/job/nonsense": {},
    "live/block/zz": {"holder": "nobody", "boot": 7},
    "live/machines/zz/0": [1, 2],
    "live/machines/zz": {},
    "live/session/nobody": {"boot": 1},
    "live/team/nobody": 5,
    "live/retire/vm-999999": [],
    "live/shares": {"revision": "none"},
    "live/catalog": {"builds": 3},
    "live/duty/nothing": {"holder": 3},
    "live/intent/nothing": {"token": "x"},
    "live/unheard-of": {},
}


def broken_records(timeline: Timeline, rng: random.Random) -> None:
    """Some records are unreadable, and so are some responses and peer messages."""
    cluster = timeline.cluster
    timeline.run(5.0)
    Users(timeline, rng, 1.0, **ORDINARY).begin(90.0)
    kinds = [failures.responses_corrupted, failures.responses_corrupted, *failures.CONTROLLERS]
    Failures(timeline, rng, kinds, 4.0).begin(90.0)
    for key, value in BROKEN_RECORDS.items():
        timeline.run(5.0)
        cluster.put_record(key, value)
    timeline.run(40.0)
    start_missing_controllers(cluster, cluster.labels)
    timeline.run(40.0)


def several_blocks(timeline: Timeline, rng: random.Random) -> None:
    """There are more machines than one owner has sockets for, so there are several shards."""
    load_with_failures(
        timeline,
        rng,
        failures.CONTROLLERS + failures.NETWORK + failures.MACHINES,
        ORDINARY | {"pieces": [5, 40]},
        seconds=120.0,
        failures_every_s=8.0,
    )


INVALID_SHARES: list[dict[str, Any]] = [
    {},
    {"node-9": {"weight": 1.0}},
    {"node-0": {"weight": -1.0}},
    {"node-0": {"weight": 0.0}},
    {"node-0": {"weight": 1.0, "floor": -2.0}},
    {"node-0": {"weight": 1.0, "ceiling": -2.0}},
    {"node-0": {"weight": 1.0, "floor": 20.0, "ceiling": 10.0}},
    {"node-0": {"weight": 1.0, "floor": 1e6}},
    {"node-0": {"weight": 1.0, "heaviness": 2.0}},
    {"node-0": {"weight": 1.0, "teams": ["small"]}, "node-1": {"weight": 1.0, "teams": ["small"]}},
    {"node-0": {"weight": 1.0, "teams": ["crew"] * 1500}},
]


class OperatorTool:
    """An operator's tool that changes and queries the shares of the fleet at random times."""

    def __init__(self, timeline: Timeline, rng: random.Random) -> None:
        self.timeline = timeline
        self.rng = rng
        self.operations = 0

    def label(self) -> str:
        return self.rng.choice(self.timeline.cluster.labels)

    def random_shares(self) -> dict[str, Any]:
        labels = self.timeline.cluster.labels
        chosen = self.rng.sample(labels, self.rng.choice([1, 2, 2, 3]))
        if self.rng.random() < 0.2:
            return self.rng.choice(INVALID_SHARES)
        shares: dict[str, Any] = {}
        for label in chosen:
            shares[label] = {"weight": self.rng.choice([1.0, 2.0, 5.0])}
            if self.rng.random() < 0.2:
                shares[label]["floor"] = 16.0
            if self.rng.random() < 0.2:
                shares[label]["ceiling"] = 32.0
        if self.rng.random() < 0.3:
            shares[chosen[0]]["teams"] = [self.rng.choice(["crew", "small", "nobody"])]
        return shares

    def change(self) -> None:
        """Send a change of shares, sometimes twice, each time to a random controller.

        Some changes expect a random revision, which may be outdated or not exist yet.
        """
        self.operations += 1
        body: dict[str, Any] = {
            "shares": self.random_shares(),
            "operation": f"change-{self.operations}",
        }
        if self.rng.random() < 0.4:
            body["expect"] = self.rng.randint(0, self.operations)
        for _ in range(self.rng.choice([1, 1, 2])):
            self.timeline.cluster.send_operator_request(self.label(), "POST", "/shares", body)

    def send_random(self) -> None:
        draw = self.rng.random()
        if draw < 0.4:
            self.change()
        elif draw < 0.9:
            self.timeline.cluster.send_operator_request(self.label(), "GET", "/shares")
        else:
            method, path = self.rng.choice([("PUT", "/shares"), ("GET", "/other")])
            self.timeline.cluster.send_operator_request(self.label(), method, path, b"{")

    def begin(self, seconds: float, every_s: float) -> None:
        until = self.timeline.cluster.now + seconds

        def send_next() -> None:
            if self.timeline.cluster.now < until:
                self.send_random()
                self.timeline.after(self.rng.uniform(0.0, 2.0) * every_s, send_next)

        send_next()


def shares_with_failures(
    timeline: Timeline, rng: random.Random, kinds: list[Failure], seconds: float = 300.0
) -> None:
    """An operator changes shares while users send requests and failures overlap."""
    OperatorTool(timeline, rng).begin(seconds, 5.0)
    load_with_failures(timeline, rng, kinds, seconds=seconds, failures_every_s=6.0)


def standby_on_some(timeline: Timeline, rng: random.Random) -> None:
    """Controllers restart with or without standby, so that both kinds run side by side."""
    cluster = timeline.cluster
    timeline.run(10.0)
    Users(timeline, rng, 1.0, **ORDINARY).begin(120.0)
    Failures(timeline, rng, [failures.peer_messages_delayed_duplicated_or_lost], 5.0).begin(120.0)
    for _ in range(10):
        timeline.run(rng.uniform(4.0, 12.0))
        label = failures.random_controller(cluster, rng)
        cluster.crash(label)
        timeline.run(rng.choice([0.0, 3.0]))
        cluster.start_controller(label, operators={} if rng.random() < 0.4 else None)
    timeline.run(40.0)


ALL_KINDS = [
    *failures.CONTROLLERS,
    *failures.NETWORK,
    *failures.STATE,
    *failures.MACHINES,
    *failures.CLOUD,
    failures.responses_corrupted,
]
LARGE_FACTS: dict[str, Any] = {
    "workers": {"report_s": 10.0, "lease_s": 40.0, "cancel_s": 150.0},
    "teams": [{"name": "crew"}],
    "machine_limits": {"core_share": 1.0, "memory_mb": 400.0, "sockets": 6000},
    "state": STATE_WITH_NEXT,
}
FEW_SOCKETS = {"machine_limits": {"core_share": 1.0, "memory_mb": 400.0, "sockets": 16}}

SCENARIOS: dict[str, Scenario] = {
    "quiet_growth": Scenario(1, quiet_growth, machines=0, capacity=12),
    "wrong_requests": Scenario(2, wrong_requests),
    "controllers_fail": Scenario(
        3, functools.partial(load_with_failures, kinds=failures.CONTROLLERS)
    ),
    "network_fails": Scenario(
        4,
        functools.partial(load_with_failures, kinds=failures.NETWORK + failures.CONTROLLERS),
    ),
    "state_fails": Scenario(
        5, functools.partial(load_with_failures, kinds=failures.STATE + failures.CONTROLLERS)
    ),
    "state_limits_change": Scenario(
        29,
        functools.partial(
            load_with_failures,
            kinds=[failures.state_limits_lower, *failures.CONTROLLERS],
            failures_every_s=5.0,
            requests_every_s=0.3,
            seconds=150.0,
        ),
        facts={"state": STATE_WITH_NEXT},
    ),
    "machines_fail": Scenario(
        6,
        functools.partial(load_with_failures, kinds=failures.MACHINES, failures_every_s=1.5),
    ),
    "cloud_fails": Scenario(
        7,
        functools.partial(load_with_failures, kinds=failures.CLOUD + failures.MACHINES),
        machines=1,
    ),
    "all_kinds_fail": Scenario(8, functools.partial(load_with_failures, kinds=ALL_KINDS)),
    "demanding_jobs": Scenario(
        9,
        functools.partial(
            load_with_failures, kinds=ALL_KINDS, fields=DEMANDING, failures_every_s=6.0
        ),
        facts={"objectives": OBJECTIVES},
    ),
    "all_boot_within_a_second": Scenario(10, all_boot_within_a_second),
    "pipelines": Scenario(11, pipelines),
    "preemption": Scenario(
        12, preemption, machines=4, capacity=4, facts={"objectives": OBJECTIVES}
    ),
    "large_arrays": Scenario(13, large_arrays),
    "clocks_apart": Scenario(14, clocks_apart),
    "older_first": Scenario(
        15,
        older_first,
        facts={"state": STATE_WITH_NEXT},
        older=("node-0", "node-1", "node-2"),
        machines=12,
        capacity=16,
    ),
    "records_of_production": Scenario(
        16, records_of_production, machines=5, capacity=5, facts={"state": STATE_LIMITS}
    ),
    "limits_before_all_were_seen": Scenario(
        17,
        limits_before_all_were_seen,
        facts={"state": STATE_LIMITS | {"next": NEXT_LIMITS | {"value_kb": 0.8}}},
        older=("node-2",),
        machines=300,
        capacity=300,
    ),
    "records_in_parts": Scenario(
        18, records_in_parts, machines=0, capacity=1300, facts=LARGE_FACTS, step_s=0.1
    ),
    "parts_of_small_values": Scenario(
        26,
        parts_of_small_values,
        machines=0,
        capacity=700,
        facts=LARGE_FACTS
        | {
            "workers": {"report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0},
            "state": STATE_LIMITS | {"value_kb": 0.6, "txn_ops": 4},
        },
        step_s=0.1,
    ),
    "thousand_jobs": Scenario(
        27, thousand_jobs, facts={"state": STATE_LIMITS | {"rps": 900.0, "write_rps": 900.0}}
    ),
    "broken_records": Scenario(28, broken_records, operators=STANDBY | SHARES | DUTIES),
    "several_blocks": Scenario(
        19,
        several_blocks,
        machines=40,
        capacity=60,
        facts=FEW_SOCKETS,
        operators={"idle_boots": 20.0},
    ),
    "standby": Scenario(
        20,
        functools.partial(
            load_with_failures,
            kinds=[*failures.CONTROLLERS, *failures.NETWORK, failures.responses_corrupted],
            failures_every_s=5.0,
        ),
        operators=STANDBY,
    ),
    "standby_on_some": Scenario(21, standby_on_some, operators=STANDBY),
    "shares": Scenario(
        22,
        functools.partial(shares_with_failures, kinds=failures.CONTROLLERS + failures.STATE),
        operators=SHARES,
        machines=9,
        capacity=9,
    ),
    "shares_by_policy": Scenario(
        23,
        functools.partial(shares_with_failures, kinds=failures.MACHINES, seconds=120.0),
        operators={"shares": {"enabled": True, "policy": POLICY, "policy_every_s": 5.0}},
        machines=8,
        capacity=10,
    ),
    "duties": Scenario(
        24,
        functools.partial(
            load_with_failures,
            kinds=failures.CLOUD + failures.CONTROLLERS + failures.MACHINES,
        ),
        operators=DUTIES,
        machines=3,
    ),
    "all_options": Scenario(
        25,
        functools.partial(shares_with_failures, kinds=ALL_KINDS),
        operators=STANDBY | SHARES | DUTIES,
        machines=6,
        capacity=10,
        facts={"state": STATE_WITH_NEXT},
    ),
}


def play(scenario: Scenario, cluster: Cluster) -> None:
    """Start the controllers and play the scenario on the cluster."""
    if scenario.step_s != 0.05:
        cluster.set_step(scenario.step_s)
    for label in cluster.labels:
        cluster.start_controller(label, older=label in scenario.older)
    scenario.play(Timeline(cluster), random.Random(scenario.seed))
