"""Shares of the fleet: machines move between shards while jobs run, and are never in two."""

from __future__ import annotations

import itertools
import json
import math
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fallpulley.cli import main
from fallpulley.effects import OperatorRequest
from fallpulley.settings import SharesSettings, Team
from fallpulley.shared_records.shard_record import MachineEntry, decode_shard
from fallpulley.shares.command import UsageError, parse_table, print_shares
from fallpulley.shares.messages import SetShares, Share, SharesResponse, ShareTable
from fallpulley.shares.policy import (
    Policy,
    PolicyError,
    PolicyInput,
    check_expression,
    compile_expression,
)
from fallpulley.shares.table import (
    ConflictError,
    Deployment,
    RefusedError,
    apply_request,
    validate_shares,
)
from fallpulley.shares.targets import plan_moves, target_processors
from tests.simulated_cluster import CONTROLLER_LABELS, TEAMS, SimulatedCluster
from tests.test_jobs_and_takeovers import other_controllers, submit_job
from tests.test_standby import write_files

SHARES_ENABLED: dict[str, Any] = {"shares": {"enabled": True}, "idle_boots": 50.0}
EVEN = {"node-0": 1.0, "node-1": 1.0, "node-2": 1.0}


# -- arithmetic --------------------------------------------------------------------------------


def deployment(fleet: float = 100.0, **homes: str) -> Deployment:
    teams = {"crew": Team("crew"), "small": Team("small", cpus_max=8.0)}
    return Deployment(["a", "b", "c"], teams, homes, fleet)


@pytest.mark.parametrize(
    ("shares", "why"),
    [
        ({}, "no shares"),
        ({"d": Share(1.0)}, "no controller d"),
        ({"a": Share(-1.0)}, "weight of a is -1"),
        ({"a": Share(math.nan)}, "weight of a is nan"),
        ({"a": Share(1.0, floor=-2.0)}, "floor of a is -2"),
        ({"a": Share(1.0, ceiling=math.inf)}, "ceiling of a is inf"),
        ({"a": Share(1.0, 20.0, 10.0)}, "ceiling of a is below its floor"),
        ({"a": Share(0.0), "b": Share(0.0)}, "no share has a weight"),
        ({"a": Share(1.0, 60.0), "b": Share(1.0, 50.0)}, "floors of 110 exceed the fleet of 100"),
        ({"a": Share(1.0, teams=["nobody"])}, "no team nobody"),
        ({"c": Share(1.0, teams=["small"]), "b": Share(1.0, teams=["small"])}, "small stands at"),
        ({"b": Share(1.0, teams=["small"])}, "team small has a limit and lives in block c"),
    ],
)
def test_invalid_shares_are_refused_with_the_reason(shares: dict[str, Share], why: str) -> None:
    with pytest.raises(RefusedError, match=why):
        validate_shares(shares, deployment(small="c"))


def test_change_adds_one_revision_and_its_repetition_adds_none() -> None:
    first = apply_request(ShareTable(), SetShares({"a": Share(1.0)}, "one", 0), deployment())
    assert (first.revision, first.shares) == (1, {"a": Share(1.0)})
    assert apply_request(first, SetShares({"a": Share(1.0)}, "one", 0), deployment()) is first
    with pytest.raises(ConflictError, match="revision 1"):
        apply_request(first, SetShares({"b": Share(1.0)}, "two", 0), deployment())
    table = first
    for n in range(20):
        table = apply_request(table, SetShares({"a": Share(1.0)}, f"n{n}"), deployment())
    assert table.revision == 21 and len(table.operations) <= 8


share_tables = st.dictionaries(
    st.sampled_from("abcde"),
    st.builds(
        lambda weight, floor, extra: Share(weight, floor, floor + extra if extra else 0.0),
        st.floats(0.1, 10.0),
        st.floats(0.0, 30.0),
        st.sampled_from([0.0, 5.0, 50.0]),
    ),
    min_size=1,
)


@seed(21)
@settings(max_examples=200, deadline=None)
@given(shares=share_tables, fleet=st.floats(1.0, 300.0))
def test_targets_add_up_to_the_fleet_within_floors_and_ceilings(
    shares: dict[str, Share], fleet: float
) -> None:
    found = target_processors(shares, fleet)
    assert sum(found.values()) == pytest.approx(fleet, rel=1e-3)
    floors = sum(share.floor for share in shares.values())
    ceilings = sum(share.ceiling or math.inf for share in shares.values())
    for label, share in shares.items():
        if floors <= fleet:
            assert found[label] >= share.floor - 0.01
        if share.ceiling and ceilings >= fleet:
            assert found[label] <= share.ceiling + 0.01
    actual = dict.fromkeys(shares, fleet / len(shares))
    after = dict(actual)
    for move in plan_moves(actual, found):
        assert move.processors > 0
        after[move.source] -= move.processors
        after[move.destination] += move.processors
    for label in shares:
        assert after[label] == pytest.approx(found[label], abs=0.01 * fleet)


def test_move_improves_only_if_both_shards_together_come_closer_to_their_targets() -> None:
    """A shard without a share gives up its last machine; each other shard lacks half of it."""
    found = plan_moves({"a": 32.0, "b": 32.0, "c": 8.0}, {"a": 36.0, "b": 36.0, "c": 0.0})
    assert all(move.source == "c" and move.improves(8.0) for move in found)
    assert not any(
        move.improves(8.0) for move in plan_moves({"a": 40.0, "b": 32.0}, {"a": 36.0, "b": 36.0})
    )
    # Two sources do not both move the machine that one destination lacks.
    two = plan_moves({"a": 12.0, "b": 12.0, "c": 0.0}, {"a": 8.0, "b": 8.0, "c": 8.0})
    assert [move.improves(8.0) for move in two] == [True, False]


# -- in the simulated cluster ------------------------------------------------------------------


def check_history(cluster: SimulatedCluster) -> None:
    """Check the histories of the state service and of the workers, independently of controllers.

    A machine is in one shard at a time, leaves a shard only for another one or to be released, and
    takes no task under a token from before it came to its present shard.
    """
    # Record key of a shard -> machine -> revision at which the machine came to the shard.
    machines_by_shard: dict[str, dict[str, int]] = {}
    responses = sorted(cluster.run_responses)
    next_response = 0
    for stamp, events in itertools.groupby(cluster.state.log, key=lambda event: event["stamp"]):
        while next_response < len(responses) and responses[next_response][0] < stamp:
            _, host, token = responses[next_response]
            arrivals = [
                machines[host] for machines in machines_by_shard.values() if host in machines
            ]
            assert all(token >= arrival for arrival in arrivals), (host, token, arrivals)
            next_response += 1
        before = {host for machines in machines_by_shard.values() for host in machines}
        released: set[str] = set()
        for event in events:
            key = event.get("set", "")
            if key.startswith("live/block/"):
                record = decode_shard(json.dumps(event["v"]).encode())
                known = machines_by_shard.get(key, {})
                machines_by_shard[key] = {host: known.get(host, stamp) for host in record.machines}
            elif key.startswith("live/retire/"):
                released |= {key.rpartition("/")[2], *event["v"].get("hosts", [])}
        assigned = [host for machines in machines_by_shard.values() for host in machines]
        assert len(assigned) == len(set(assigned)), f"a machine in two shards at revision {stamp}"
        assert before - set(assigned) <= released, f"a machine in no shard at revision {stamp}"


def send_operator_request(
    cluster: SimulatedCluster, label: str, method: str, body: Any = None
) -> list[Any]:
    """Send an operator's request; the returned list gets status and body."""
    found: list[Any] = []

    def settle(status: int, answer: bytes, retry: float | None) -> None:
        found.extend([status, json.loads(answer) if answer else None])

    data = msgspec.json.encode(body) if body is not None else b""
    cluster.commands[label].append(OperatorRequest(settle, method, "/shares", data))
    return found


def operator_request(
    cluster: SimulatedCluster, label: str, method: str, body: Any = None
) -> tuple[int, Any]:
    found = send_operator_request(cluster, label, method, body)
    cluster.run_until(lambda: bool(found), 6.0)
    return found[0], found[1]


def set_shares_request(
    weights: dict[str, float], operation: str, expect: int | None = None
) -> SetShares:
    shares = {label: Share(weight) for label, weight in weights.items()}
    return SetShares(shares, operation, expect)


def shard_machine_counts(cluster: SimulatedCluster) -> dict[str, int]:
    return {
        key[len("live/block/") :]: len(decode_shard(json.dumps(record).encode()).machines)
        for key, record in cluster.shards().items()
    }


def cluster_with_shares(
    weights: dict[str, float], machines: int = 9, **overrides: Any
) -> SimulatedCluster:
    """Return a cluster with these weights as its shares, and one shard for each of them."""
    cluster = SimulatedCluster(machines, operators=SHARES_ENABLED | overrides)
    cluster.capacity = machines
    cluster.run_until(lambda: bool(cluster.shards()), 8.0)
    cluster.run(4.0)
    status, answer = operator_request(
        cluster, "node-0", "POST", set_shares_request(weights, "first")
    )
    assert status == 200 and answer["revision"] == 1
    cluster.run_until(lambda: len(shard_machine_counts(cluster)) == len(weights), 10.0)
    return cluster


def machines_are_placed(cluster: SimulatedCluster, wanted: dict[str, int]) -> bool:
    return shard_machine_counts(cluster) == wanted


def test_idle_machines_move_at_once_and_all_controllers_report_the_same() -> None:
    cluster = cluster_with_shares({"node-0": 2.0, "node-1": 1.0})
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 6, "node-1": 3}), 20.0)
    for label in CONTROLLER_LABELS:
        status, answer = operator_request(cluster, label, "GET")
        assert status == 200 and answer["converged"] and answer["revision"] == 1
        assert [shard["target"] for shard in answer["blocks"]] == [48.0, 24.0]
    cluster.run(10.0)
    assert machines_are_placed(cluster, {"node-0": 6, "node-1": 3})
    check_history(cluster)


def test_shards_without_a_share_table_are_shown_with_owner_and_without_target(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Such shards were shown as `converged` with a target of 0, and tables named no owners."""
    cluster = SimulatedCluster(4, operators=SHARES_ENABLED)
    cluster.capacity = 4
    cluster.run_until(lambda: bool(cluster.shards()), 8.0)
    cluster.run(4.0)
    status, found = operator_request(cluster, "node-1", "GET")
    assert status == 200 and found["converged"] and found["blocks"][0]["target"] is None
    print_shares(msgspec.convert(found, SharesResponse), as_json=False)
    (row,) = [line for line in capsys.readouterr().out.splitlines() if "converged" in line]
    assert row.split() == [
        found["blocks"][0]["block"],
        cluster.owner(),
        "-",
        "32",
        "4",
        "converged",
    ]


def test_reduced_share_waits_for_running_tasks_and_stops_none() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=8)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 20.0)
    jobs = [submit_job(cluster, n, pieces=8) for n in range(1, 5)]
    for job in jobs:
        cluster.task_durations_s[job] = 25.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 16, 20.0)
    before = set(cluster.running_tasks())
    status, answer = operator_request(
        cluster, "node-2", "POST", set_shares_request({"node-0": 7.0, "node-1": 1.0}, "second")
    )
    assert status == 200
    cluster.run(6.0)
    source = cluster.shards()["live/block/node-1"]["holder"]
    _, answer = operator_request(cluster, source, "GET")
    (state,) = [shard for shard in answer["blocks"] if shard["block"] == "node-1"]
    assert state["state"] == "waiting for tasks" and state["draining"] == 3
    assert before <= set(cluster.running_tasks()) and shard_machine_counts(cluster)["node-1"] == 4
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 7, "node-1": 1}), 60.0)
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 120.0)
    assert not cluster.stopped_tasks
    check_history(cluster)


def test_share_that_is_restored_before_machines_are_drained_keeps_them() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=8)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 20.0)
    jobs = [submit_job(cluster, n, pieces=8) for n in range(1, 5)]
    for job in jobs:
        cluster.task_durations_s[job] = 20.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 16, 20.0)
    operator_request(
        cluster, "node-2", "POST", set_shares_request({"node-0": 7.0, "node-1": 1.0}, "second")
    )
    cluster.run(3.0)
    operator_request(
        cluster, "node-2", "POST", set_shares_request({"node-0": 1.0, "node-1": 1.0}, "third")
    )
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 120.0)
    assert machines_are_placed(cluster, {"node-0": 4, "node-1": 4}) and not cluster.stopped_tasks
    check_history(cluster)


def test_shard_without_a_share_completes_its_jobs_and_gives_up_its_machines() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=6)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 3, "node-1": 3}), 20.0)
    jobs = [submit_job(cluster, n, pieces=6) for n in range(1, 7)]
    cluster.run(2.0)
    operator_request(cluster, "node-0", "POST", set_shares_request({"node-0": 1.0}, "second"))
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 120.0)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 6, "node-1": 0}), 30.0)
    last = submit_job(cluster, 9)
    cluster.run_until(lambda: cluster.job_state(last) == "done", 40.0)
    check_history(cluster)


def test_one_of_two_concurrent_changes_succeeds_and_the_other_conflicts() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0})
    one = send_operator_request(
        cluster, "node-0", "POST", set_shares_request({"node-0": 3.0}, "one", 1)
    )
    two = send_operator_request(
        cluster, "node-1", "POST", set_shares_request({"node-1": 3.0}, "two", 1)
    )
    cluster.run_until(lambda: bool(one and two), 6.0)
    assert sorted([one[0], two[0]]) == [200, 409]
    refused, accepted = (one, two) if one[0] == 409 else (two, one)
    assert refused[1]["revision"] == accepted[1]["revision"] == 2
    for label in CONTROLLER_LABELS:
        assert operator_request(cluster, label, "GET")[1]["revision"] == 2


def test_repeated_change_succeeds_when_its_first_response_was_lost() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0})
    for label in CONTROLLER_LABELS:
        cluster.unanswered_transactions[label] = 0.0
    request = set_shares_request({"node-0": 1.0, "node-2": 2.0}, "again", 1)
    first = operator_request(cluster, "node-1", "POST", request)
    cluster.unanswered_transactions.clear()
    for label in ("node-1", "node-0"):
        status, answer = operator_request(cluster, label, "POST", request)
        assert status == 200 and answer["revision"] == 2
    assert first[0] in (200, 503)
    assert (
        operator_request(cluster, "node-2", "POST", set_shares_request({"node-0": 1.0}, "late", 1))[
            0
        ]
        == 409
    )


@pytest.mark.parametrize("whom", ["giver", "taker", "leader"])
@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.parametrize("moment_s", [0.1, 0.6])
def test_crash_or_pause_during_a_move_leaves_no_machine_in_two_shards(
    whom: str, frozen: bool, moment_s: float
) -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=8)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 20.0)
    jobs = [submit_job(cluster, n, pieces=6) for n in range(1, 6)]
    cluster.run(2.0)
    operator_request(
        cluster, "node-2", "POST", set_shares_request({"node-0": 1.0, "node-1": 3.0}, "second")
    )
    cluster.run(moment_s)
    owners = {key[-6:]: record["holder"] for key, record in cluster.shards().items()}
    leader = cluster.state.entries["live/leader"][0]["label"]
    victim = {"giver": owners["node-0"], "taker": owners["node-1"], "leader": leader}[whom]
    if frozen:
        cluster.paused_controllers.add(victim)
    else:
        cluster.crash(victim)
    cluster.run(7.0)
    cluster.paused_controllers.discard(victim)
    if victim not in cluster.controllers:
        cluster.start_controller(victim)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 2, "node-1": 6}), 90.0)
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 120.0)
    check_history(cluster)


def test_machine_of_a_late_write_of_a_former_leader_does_not_come_to_a_second_shard() -> None:
    # Guards against a machine with two owners: the leader's addition to a shard is carried out
    # after its successor has found the machine in the cloud's list and given it to another shard.
    cluster = cluster_with_shares(EVEN, machines=6)
    cluster.run_until(lambda: machines_are_placed(cluster, dict.fromkeys(EVEN, 2)), 20.0)
    cluster.run(3.0)
    former = cluster.state.entries["live/leader"][0]["label"]
    first, second = (
        key.removeprefix("live/block/")
        for key, record in cluster.shards().items()
        if record["holder"] != former
    )
    host = cluster.add_machine("a", spot=False)
    entry = MachineEntry(cluster.workers[host].address, "box", "a", False)
    cluster.unanswered_transactions[former] = 12.0
    cluster.controllers[former].components.writer.add(first, host, entry)
    cluster.run(0.5)
    cluster.crash(former)
    cluster.run_until(
        lambda: (
            cluster.state.entries.get("live/leader", ({"label": former},))[0]["label"] != former
        ),
        10.0,
    )
    leader = cluster.state.entries["live/leader"][0]["label"]
    cluster.run(0.5)
    cluster.controllers[leader].components.writer.add(second, host, entry)
    cluster.run_until(lambda: host in cluster.recorded_machines(), 8.0)
    cluster.run(20.0)
    check_history(cluster)


@pytest.mark.parametrize("slow_s", [0.0, 0.3, 0.8])
def test_concurrent_writes_of_sources_and_destination_to_one_record_lose_nothing(
    slow_s: float,
) -> None:
    cluster = cluster_with_shares(EVEN, machines=12)
    cluster.run_until(
        lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4, "node-2": 4}), 40.0
    )
    cluster.state_delay_s = slow_s
    for turn, weights in enumerate(
        [
            {"node-0": 8.0, "node-1": 1.0, "node-2": 1.0},
            {"node-0": 1.0, "node-1": 8.0, "node-2": 1.0},
            {"node-0": 1.0, "node-1": 1.0, "node-2": 8.0},
        ]
    ):
        operator_request(
            cluster, CONTROLLER_LABELS[turn], "POST", set_shares_request(weights, f"turn-{turn}")
        )
        submit_job(cluster, turn + 1, pieces=5)
        cluster.run(5.0)
    cluster.state_delay_s = 0.0
    cluster.run_until(lambda: shard_machine_counts(cluster)["node-2"] >= 9, 60.0)
    check_history(cluster)


@pytest.mark.parametrize("moment_s", [0.0, 0.3, 1.0])
def test_machine_that_is_lost_during_a_move_is_in_no_shard_in_the_end(
    moment_s: float,
) -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=8)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 20.0)
    jobs = [submit_job(cluster, n, pieces=6) for n in range(1, 5)]
    operator_request(
        cluster, "node-2", "POST", set_shares_request({"node-0": 1.0, "node-1": 3.0}, "second")
    )
    cluster.run(moment_s)
    lost = sorted(cluster.workers)[:3]
    for host in lost:
        del cluster.workers[host]
    cluster.capacity = 5
    cluster.run_until(lambda: sum(shard_machine_counts(cluster).values()) == 5, 90.0)
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 120.0)
    assigned = [
        host
        for record in cluster.shards().values()
        for host in decode_shard(json.dumps(record).encode()).machines
    ]
    assert not set(assigned) & set(lost)
    check_history(cluster)


def test_records_near_their_size_limit_take_no_more_machines_than_fit() -> None:
    """Random addresses make the records large, and the announced lower limits take effect.

    Records store machines compactly only if their addresses follow from their ids.
    """
    limits = {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16}
    cluster = SimulatedCluster(
        0, operators=SHARES_ENABLED, state=limits | {"next": {"value_kb": 1.0, "txn_ops": 8}}
    )
    rng = random.Random(4)
    for at in range(40):
        host = cluster.add_machine("ab"[at % 2], spot=False)
        address = ".".join(str(rng.randint(1, 250)) for _ in range(4))
        cluster.workers[host].address = f"{address}:{rng.randint(1000, 60000)}"
    cluster.capacity = 40
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 15.0)
    cluster.run(10.0)
    cluster.state.value_bytes, cluster.state.txn_ops = 1024, 8
    cluster.state.oversized_transactions = 0
    for turn, weights in enumerate(
        ({"node-0": 5.0, "node-1": 1.0}, {"node-0": 1.0, "node-1": 5.0})
    ):
        assert (
            operator_request(
                cluster,
                CONTROLLER_LABELS[turn],
                "POST",
                set_shares_request(weights, f"turn-{turn}"),
            )[0]
            == 200
        )
        jobs = [submit_job(cluster, 10 * turn + n, pieces=4) for n in range(1, 4)]
        cluster.run_until(
            lambda jobs=jobs: all(cluster.job_state(job) == "done" for job in jobs), 90.0
        )
        cluster.run(10.0)
    assert cluster.state.oversized_transactions == 0
    assert sum(shard_machine_counts(cluster).values()) == 40
    check_history(cluster)


def test_shard_of_absent_controller_keeps_its_machines_and_returns_to_it() -> None:
    cluster = cluster_with_shares(EVEN)
    cluster.run_until(
        lambda: machines_are_placed(cluster, {"node-0": 3, "node-1": 3, "node-2": 3}), 30.0
    )
    cluster.crash("node-2")
    cluster.run_until(lambda: cluster.shards()["live/block/node-2"]["holder"] != "node-2", 15.0)
    cluster.run(5.0)
    assert shard_machine_counts(cluster)["node-2"] == 3
    cluster.start_controller("node-2")
    cluster.run_until(lambda: cluster.shards()["live/block/node-2"]["holder"] == "node-2", 60.0)
    check_history(cluster)


def test_jobs_go_to_their_teams_share_and_a_team_with_a_limit_cannot_move() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=6)
    table = {"node-0": Share(1.0), "node-1": Share(1.0, teams=["crew", "small"])}
    assert operator_request(cluster, "node-0", "POST", SetShares(table, "teams"))[0] == 200
    for n, team in enumerate(["crew", "small", "crew"], 1):
        uid = submit_job(cluster, n, label="node-2", crew=team, pieces=2)
        record = cluster.state.entries[f"live/job/{uid}"][0]
        assert record["block"] == "node-1"
    other = {"node-0": Share(1.0, teams=["small"]), "node-1": Share(1.0)}
    status, answer = operator_request(cluster, "node-0", "POST", SetShares(other, "elsewhere"))
    assert status == 422 and "lives in block node-1" in answer["reason"]
    assert operator_request(cluster, "node-1", "GET")[1]["revision"] == 2


def test_team_that_floods_its_share_does_not_delay_the_other_team() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=8)
    table = {"node-0": Share(1.0, teams=["crew"]), "node-1": Share(1.0, teams=["flood"])}
    assert operator_request(cluster, "node-0", "POST", SetShares(table, "teams"))[0] == 422
    table["node-1"] = Share(1.0, teams=["small"])
    assert operator_request(cluster, "node-0", "POST", SetShares(table, "teams"))[0] == 200
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 20.0)
    flood = submit_job(cluster, 1, pieces=400)
    cluster.task_durations_s[flood] = 20.0
    cluster.run(5.0)
    urgent = submit_job(cluster, 2, crew="small", pieces=2)
    cluster.run_until(lambda: cluster.job_state(urgent) == "done", 15.0)


@pytest.mark.parametrize("off", ["node-0", "node-1"])
def test_jobs_complete_when_one_controller_has_shares_disabled(off: str) -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=6)
    cluster.crash(off)
    cluster.start_controller(off, operators={"idle_boots": 50.0})
    cluster.run(6.0)
    assert operator_request(cluster, off, "GET")[0] == 404
    jobs = [submit_job(cluster, n, label=other_controllers(off)[0], pieces=4) for n in range(1, 4)]
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 90.0)
    check_history(cluster)


def test_share_changes_in_quick_succession_stay_within_the_write_budget() -> None:
    cluster = cluster_with_shares({"node-0": 1.0, "node-1": 1.0}, machines=12)
    cluster.run(10.0)
    before, began = cluster.state.changes, cluster.now
    for turn in range(40):
        weights = {"node-0": 5.0, "node-1": 1.0} if turn % 2 else {"node-0": 1.0, "node-1": 5.0}
        send_operator_request(
            cluster,
            CONTROLLER_LABELS[turn % 3],
            "POST",
            set_shares_request(weights, f"turn-{turn}"),
        )
        cluster.run(0.5)
    used = cluster.state.changes - before
    assert used <= 40 + 0.25 * 90.0 * (cluster.now - began)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 10, "node-1": 2}), 40.0)
    check_history(cluster)


@seed(5)
@settings(max_examples=10, deadline=None)
@given(number=st.integers(0, 2**32))
def test_share_changes_under_load_and_random_failures_lose_no_job(number: int) -> None:
    """Shares change every few seconds, and one team has a limit.

    Controllers crash, pause and are cut off from the state service; transactions are late or get no
    response.
    """
    rng = random.Random(number)
    cluster = cluster_with_shares(EVEN, machines=9)
    jobs: list[str] = []
    for turn in range(8):
        weights = {label: rng.choice([0.5, 1.0, 4.0]) for label in CONTROLLER_LABELS}
        active = [label for label in cluster.controllers if label not in cluster.paused_controllers]
        send_operator_request(
            cluster, rng.choice(active), "POST", set_shares_request(weights, f"turn-{turn}")
        )
        cluster.run(0.5)
        team = rng.choice(TEAMS)["name"]
        for n in range(2):
            found = cluster.send_request(
                rng.choice(active),
                "POST",
                "/work",
                team_job_spec(10 * turn + n, team, rng.randint(1, 5)),
            )
            cluster.run(0.4)
            if found and found[0] == 201:
                jobs.append(f"job-{10 * turn + n:06d}")
        victim = rng.choice(CONTROLLER_LABELS)
        failure = rng.choice(["none", "crash", "pause", "cut", "late", "unanswered"])
        if failure == "crash":
            cluster.crash(victim)
        elif failure == "pause":
            cluster.paused_controllers.add(victim)
        elif failure == "cut":
            cluster.partitions.add((victim, "state"))
        elif failure in ("late", "unanswered"):
            cluster.unanswered_transactions[victim] = 1.5 if failure == "late" else 0.0
        cluster.run(rng.choice([1.0, 3.0, 6.0]))
        cluster.paused_controllers.clear()
        cluster.partitions.clear()
        cluster.unanswered_transactions.clear()
        if victim not in cluster.controllers:
            cluster.start_controller(victim)
        cluster.run(1.0)
    cluster.run_until(lambda: all(cluster.job_state(job) == "done" for job in jobs), 250.0)
    assert not cluster.stopped_tasks
    check_history(cluster)


def team_job_spec(uid: int, team: str, task_count: int) -> dict[str, Any]:
    from tests.simulated_cluster import job_spec

    return job_spec(uid, crew=team, pieces=task_count, expect_s=3.0)


# -- the policy --------------------------------------------------------------------------------

WEIGHTS_BY_LOAD = "{'node-0': load['node-0'] + 1.0, 'node-1': load['node-1'] + 1.0}"


def policy_input(one: float, two: float) -> PolicyInput:
    loads = {"node-0": one, "node-1": two}
    return PolicyInput(loads, {label: {"high": load} for label, load in loads.items()}, 8.0)


@pytest.mark.parametrize(
    ("expression", "why"),
    [
        ("{'node-0': ", ""),
        ("1.0", "not a map"),
        ("{'node-9': 1.0}", "no controller: node-9"),
        ("{'node-0': -1.0}", "weight of node-0 is -1"),
        ("{'node-0': 0.0}", "no weight above 0"),
        ("{'node-0': true}", "not a number"),
        ("{'node-0': load['elsewhere']}", ""),
        ("{'node-0': 1.0 / 0.0 + nothing}", ""),
        ("{'a': 1.0}" + " " * 3000, "longer than"),
        ("[1].map(a, [1].map(b, [1].map(c, [1].map(d, [1].map(e, 1)))))", "macros"),
    ],
)
def test_check_config_refuses_an_invalid_policy_expression(
    expression: str, why: str, tmp_path: Any, monkeypatch: Any, capsys: Any
) -> None:
    with pytest.raises(PolicyError, match=why or None):
        check_expression(expression, ["node-0", "node-1"])
    node = write_files(tmp_path, monkeypatch, "")
    toml = f"[shares]\nenabled = true\npolicy = {json.dumps(expression)}\n"
    (tmp_path / "fallpulley.toml").write_text(toml)
    assert main(["check-config", node]) == 3
    assert "shares.policy" in capsys.readouterr().err


def test_policy_computes_weights_from_load_backlog_and_hour() -> None:
    assert compile_expression(WEIGHTS_BY_LOAD)(policy_input(2.0, 0.0)) == {
        "node-0": 3.0,
        "node-1": 1.0,
    }
    urgent = "{'node-0': backlog['node-0']['high'] > 10.0 ? 2.0 : 1.0, 'node-1': 1.0}"
    assert compile_expression(urgent)(policy_input(11.0, 0.0))["node-0"] == 2.0
    night = "{'node-0': hour < 6.0 ? 1.0 : 4.0}"
    assert compile_expression(night)(policy_input(0.0, 0.0)) == {"node-0": 4.0}


def test_policy_obeys_interval_and_hysteresis_and_is_disabled_by_a_failure() -> None:
    """After a failure, or an evaluation that takes too long, the last good shares stay."""
    policy = Policy(SharesSettings(True, WEIGHTS_BY_LOAD, 30.0))
    table = ShareTable(1, {"node-0": Share(1.0, 8.0), "node-1": Share(1.0)})
    # The difference is too small.
    assert policy.wanted_shares(0.0, table, lambda: policy_input(0.1, 0.0)) is None
    # The interval has not passed.
    assert policy.wanted_shares(10.0, table, lambda: policy_input(9.0, 0.0)) is None
    wanted = policy.wanted_shares(31.0, table, lambda: policy_input(9.0, 0.0))
    assert wanted == {"node-0": Share(10.0, 8.0), "node-1": Share(1.0)}
    empty_input = PolicyInput({}, {}, 0.0)
    assert policy.wanted_shares(62.0, table, lambda: empty_input) is None  # fails and is disabled
    assert policy.wanted_shares(93.0, table, lambda: policy_input(9.0, 0.0)) is None
    slow = Policy(SharesSettings(True, WEIGHTS_BY_LOAD, 30.0), clock=iter([0.0, 1.0]).__next__)
    assert slow.wanted_shares(0.0, table, lambda: policy_input(9.0, 0.0)) is None


def test_leader_applies_the_policy_and_machines_move(caplog: pytest.LogCaptureFixture) -> None:
    """All controllers have the policy; the leader alone applies it."""
    caplog.set_level("INFO")
    policy = "{'node-0': 1.0, 'node-1': load['node-1'] > 5.0 ? 3.0 : 1.0}"
    cluster = cluster_with_shares(
        {"node-0": 1.0, "node-1": 1.0},
        machines=8,
        shares={"enabled": True, "policy": policy, "policy_every_s": 5.0},
    )
    table = {"node-0": Share(1.0), "node-1": Share(1.0, teams=["crew"])}
    assert operator_request(cluster, "node-0", "POST", SetShares(table, "teams"))[0] == 200
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 4, "node-1": 4}), 30.0)
    job = submit_job(cluster, 1, pieces=120, expect_s=4.0)
    cluster.run_until(lambda: machines_are_placed(cluster, {"node-0": 2, "node-1": 6}), 40.0)
    assert "share policy applied weights=" in caplog.text
    cluster.run_until(lambda: cluster.job_state(job) == "done", 120.0)
    check_history(cluster)


# -- the command -------------------------------------------------------------------------------


def test_command_line_arguments_are_parsed_into_the_whole_table() -> None:
    table = parse_table(["a=2", "b=1:8:64"], ["x=a", "y=a"])
    assert table == {"a": Share(2.0, teams=["x", "y"]), "b": Share(1.0, 8.0, 64.0)}
    for shares, teams in ((["a"], []), (["a=x"], []), (["a=1", "a=2"], []), (["a=1"], ["x=b"])):
        with pytest.raises(UsageError):
            parse_table(shares, teams)


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["shares", "set", "--controller", "127.0.0.1:1", "a"], 2),
        (["shares", "show", "--controller", "nowhere"], 2),
        (["shares", "show", "--controller", "127.0.0.1:1"], 4),
    ],
)
def test_usage_errors_and_unreachable_controllers_have_their_own_exit_codes(
    words: list[str], code: int, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(words) == code
    assert "fallpulley: " in capsys.readouterr().err
