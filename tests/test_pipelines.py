"""Jobs that await others: no early start, joint withdrawal, the same view on all controllers."""

from __future__ import annotations

import json
import math
import random

import pytest

from fallpulley.jobs.pipelines import DependencyNode, Pipelines
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, job_spec
from tests.test_combined_failures import cancel_job, job_states
from tests.test_fault_tolerance import task_start_count
from tests.test_jobs_and_takeovers import other_controllers, ready_cluster, submit_job


def pipeline_cluster(machines: int = 2, **facts: object) -> SimulatedCluster:
    cluster = ready_cluster(machines, **facts)
    cluster.capacity = machines
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 5.0)
    cluster.run(0.2)
    return cluster


def test_job_starts_only_when_the_records_of_all_awaited_jobs_are_done() -> None:
    """The simulated cluster itself checks that no task starts too early."""
    cluster = pipeline_cluster()
    first, second = submit_job(cluster, 1, pieces=2), submit_job(cluster, 2, "node-1", pieces=2)
    last = submit_job(cluster, 3, "node-2", pieces=2, awaits=[first, second, first])
    assert job_states(cluster, last) == {"pending"}
    cluster.run_until(lambda: cluster.job_state(last) == "done", 60.0)
    after = submit_job(cluster, 4, awaits=[first, last])
    cluster.run_until(lambda: cluster.job_state(after) == "done", 30.0)


@pytest.mark.parametrize("moment_s", [0.0, 1.0, 3.0, 4.6, 5.0])
def test_pipeline_continues_after_an_owner_crash_and_a_restart_of_all_controllers(
    moment_s: float,
) -> None:
    cluster = pipeline_cluster()
    names = [submit_job(cluster, 1, pieces=2)]
    for n in range(2, 5):
        names.append(submit_job(cluster, n, CONTROLLER_LABELS[n % 3], pieces=2, awaits=[names[-1]]))
    cluster.run(moment_s)
    crashed = cluster.owner()
    cluster.crash(crashed)
    cluster.run(6.0)
    cluster.start_controller(crashed)
    cluster.run(4.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(1.0)
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: cluster.job_state(names[-1]) == "done", 150.0)
    task_ids = [task_id for _, task_id, _ in cluster.task_starts]
    assert [p[:10] for p in task_ids] == sorted(p[:10] for p in task_ids)


def test_direct_and_indirect_dependents_of_a_cancelled_job_are_withdrawn_at_once() -> None:
    cluster = pipeline_cluster()
    first = submit_job(cluster, 1, pieces=2)
    cluster.task_durations_s[first] = 60.0
    middle = submit_job(cluster, 2, awaits=[first])
    other = submit_job(cluster, 3)
    last = submit_job(cluster, 4, awaits=[middle, other])
    cancel_job(cluster, "node-1", first)
    assert job_states(cluster, middle) == job_states(cluster, last) == {"withdrawn"}
    # One submitted after the cancellation is accepted all the same.
    status, body, _ = cluster.request("node-2", "POST", "/work", job_spec(5, awaits=[last]))
    assert (status, body["stage"]) == (201, "withdrawn")
    assert job_states(cluster, "job-000005") == {"withdrawn"}
    cancel_job(cluster, "node-0", last)
    # Their records follow, written by whichever controller owns the shard; other jobs continue.
    cluster.crash(cluster.owner())
    withdrawn_ids = ["job-000002", "job-000004", "job-000005"]
    cluster.run_until(
        lambda: all(cluster.job_state(uid) == "withdrawn" for uid in withdrawn_ids), 20.0
    )
    cluster.run_until(lambda: cluster.job_state(other) == "done", 60.0)
    assert not any(task_start_count(cluster, uid) for uid in withdrawn_ids)


def test_cancelling_a_job_that_is_done_withdraws_no_dependent() -> None:
    cluster = pipeline_cluster()
    first = submit_job(cluster, 1, pieces=1)
    last = submit_job(cluster, 2, awaits=[first])
    cluster.run_until(lambda: cluster.job_state(first) == "done", 30.0)
    assert cluster.request("node-1", "POST", f"/work/{first}/abort")[1]["stage"] == "done"
    cluster.run_until(lambda: cluster.job_state(last) == "done", 30.0)


@pytest.mark.parametrize("moment_s", [0.0, 0.05, 0.1, 0.15, 0.3])
def test_dependents_agree_with_the_response_to_a_cancellation_at_the_end_of_a_job(
    moment_s: float,
) -> None:
    cluster = pipeline_cluster()
    first = submit_job(cluster, 1, pieces=2)
    last = submit_job(cluster, 2, awaits=[first])
    cluster.run_until(lambda: len(cluster.running_tasks(first)) == 2, 20.0)
    cluster.run_until(lambda: not cluster.running_tasks(first), 20.0)
    cluster.run(moment_s)
    outcome = cluster.send_request("node-2", "POST", f"/work/{first}/abort")
    cluster.run_until(lambda: bool(outcome), 5.0)
    reported_state = outcome[1]["stage"]
    if reported_state == "withdrawn":
        assert job_states(cluster, last) == {"withdrawn"}
    else:
        cluster.run_until(lambda: cluster.job_state(last) == "done", 30.0)
    cluster.run(5.0)
    assert job_states(cluster, last) == {reported_state}


def test_unknown_and_malformed_ids_of_awaited_jobs_get_different_statuses() -> None:
    cluster = pipeline_cluster()
    known = submit_job(cluster, 1)
    for label in CONTROLLER_LABELS:
        assert cluster.request(label, "POST", "/work", job_spec(2, awaits=["job-000777"]))[0] == 422
        assert cluster.request(label, "POST", "/work", job_spec(2, awaits=["job-000002"]))[0] == 422
        for bad in ("job-000001", ["x"], [1], {"a": 1}, ["job-1\n"]):
            assert cluster.request(label, "POST", "/work", job_spec(2, awaits=bad))[0] == 400
    assert cluster.request("node-0", "POST", "/work", job_spec(2, awaits=None))[0] == 201
    assert cluster.request("node-0", "POST", "/work", job_spec(3, awaits=[]))[0] == 201
    # A repeated submission is answered as such before its awaited jobs are checked.
    assert cluster.request("node-0", "POST", "/work", job_spec(2, awaits=["job-000777"]))[0] == 200
    # A job that another controller accepted a moment ago is found by a read that starts now.
    submitted = cluster.send_request("node-1", "POST", "/work", job_spec(4))
    cluster.run_until(lambda: bool(submitted), 5.0)
    assert (
        cluster.request("node-2", "POST", "/work", job_spec(5, awaits=["job-000004", known]))[0]
        == 201
    )
    # A controller that cannot read the state service responds with a retry delay.
    isolated = other_controllers(cluster.owner())[0]
    cluster.run(1.0)
    cluster.partitions.add((isolated, "state"))
    status, _, retry_after_s = cluster.request(
        isolated, "POST", "/work", job_spec(6, awaits=["job-000778"])
    )
    assert (status, retry_after_s) == (503, 1.0)


def test_waiting_job_uses_none_of_its_teams_limit_and_rents_no_machines() -> None:
    cluster = pipeline_cluster()
    first = submit_job(cluster, 1, pieces=2, cpus=1.0)
    cluster.task_durations_s[first] = 40.0
    last = submit_job(cluster, 2, crew="small", pieces=50, cpus=8.0, awaits=[first])
    cluster.capacity = 30
    other_job = submit_job(cluster, 3, crew="small", pieces=2, cpus=4.0)
    cluster.run_until(lambda: cluster.job_state(other_job) == "done", 20.0)
    cluster.run(5.0)
    assert len(cluster.workers) <= 3 and not task_start_count(cluster, last)
    cluster.task_durations_s[last] = 0.5
    cluster.run_until(lambda: task_start_count(cluster, last) > 0, 60.0)


def test_waiting_time_starts_at_the_end_of_the_awaited_job_also_after_a_takeover() -> None:
    cluster = pipeline_cluster()
    first = submit_job(cluster, 1, pieces=1)
    cluster.task_durations_s[first] = 30.0
    last = submit_job(cluster, 2, awaits=[first])
    cluster.run_until(lambda: cluster.job_state(first) == "done", 60.0)
    end = cluster.now
    cluster.crash(cluster.owner())
    cluster.run(8.0)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    if last in shard.jobs:
        assert abs(shard.jobs[last].ready_since_ms / 1000 - 1e6 - end) < 1.0
    else:
        assert cluster.job_state(last) == "done"


def test_priority_and_critical_path_of_a_job_include_its_dependents() -> None:
    cluster = pipeline_cluster()
    blocker = submit_job(cluster, 9, pieces=4)
    cluster.task_durations_s[blocker] = 15.0
    cluster.run_until(lambda: len(cluster.running_tasks(blocker)) == 4, 20.0)
    first = submit_job(cluster, 1, pieces=4, rank="best_effort", expect_s=9.0)
    independent = submit_job(cluster, 2, pieces=4, rank="standard", expect_s=1.0)
    middle = submit_job(cluster, 3, awaits=[first], rank="best_effort", expect_s=7.0)
    submit_job(cluster, 4, awaits=[middle], rank="high", expect_s=5.0)
    cluster.run(1.0)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    assert shard.jobs[first].priority_level == shard.jobs[middle].priority_level == 2
    assert shard.jobs[first].critical_path_s == pytest.approx(7.0 + 5.0 + 2 * 0.5)
    cluster.run_until(lambda: task_start_count(cluster, first) > 0, 30.0)
    assert not task_start_count(cluster, independent)


def test_pipelines_are_the_same_for_every_order_of_records() -> None:
    """Controllers load records in the order of their ids, but jobs arrive in any order."""
    rng = random.Random(7)
    for _ in range(60):
        names = [f"job-{n:06d}" for n in range(12)]
        awaits = {
            name: rng.sample(names[:at], min(at, rng.randint(0, 3)))
            for at, name in enumerate(names)
        }
        final_states = {name: rng.choice(["open", "done", "withdrawn"]) for name in names[:5]}
        results = []
        for _ in range(3):
            order = rng.sample(names, len(names))
            stage: dict[str, str] = {}
            cancelled_ids: set[str] = set()

            def completed_at(name: str, stage: dict[str, str] = stage) -> int | None:
                return 5 if stage.get(name) == "done" else None

            def is_withdrawn(
                name: str, stage: dict[str, str] = stage, cancelled_ids: set[str] = cancelled_ids
            ) -> bool:
                return stage.get(name) == "withdrawn" or name in cancelled_ids

            pipelines = Pipelines(completed_at, is_withdrawn)
            for name in order:
                stage[name] = final_states.get(name, "open")
                if stage[name] == "open":
                    for other in awaits[name]:
                        if stage.get(other) == "open" and other not in cancelled_ids:
                            pipelines.ensure_node(other, DependencyNode(1, 1, 1.0))
                    changes = pipelines.add_job(name, awaits[name], DependencyNode(1, 1, 1.0))
                elif stage[name] == "done":
                    changes = pipelines.complete_job(name, 5)
                else:
                    changes = pipelines.cancel_job(name)
                cancelled_ids.update(changes.cancelled)
            waits = {
                name: sorted(pipelines.nodes[name].unfinished_dependencies)
                if name in pipelines.nodes
                else []
                for name in names
                if final_states.get(name, "open") == "open" and name not in cancelled_ids
            }
            results.append((sorted(cancelled_ids), waits))
        assert results[0] == results[1] == results[2]


def test_pipeline_of_thousands_of_jobs_is_processed_without_recursion() -> None:
    cancelled_ids: set[str] = set()
    pipelines = Pipelines(lambda name: None, lambda name: name in cancelled_ids)
    for n in range(5000):
        pipelines.ensure_node(f"job-{n}", DependencyNode(0, 1, 1.0))
        pipelines.add_job(f"job-{n + 1}", [f"job-{n}"], DependencyNode(0, 1, 1.0))
    pipelines.add_job("job-9999", ["job-5000"], DependencyNode(0, 3, 1.0))
    assert (
        pipelines.nodes["job-0"].priority_level == 3
        and pipelines.nodes["job-0"].critical_path_s > 16.0
    )
    assert len(pipelines.cancel_job("job-0").cancelled) == 5001
    assert not pipelines.nodes and not any(pipelines.dependents.values())


def test_jobs_without_dependencies_add_nothing_to_pipelines_or_records() -> None:
    cluster = pipeline_cluster()
    submit_job(cluster, 1)
    jobs = cluster.controllers["node-0"].components.jobs
    assert not jobs.pipelines.nodes and not jobs.pipelines.dependents
    assert "awaits" not in json.dumps(cluster.state.entries["live/job/job-000001"][0])


def test_deadline_of_a_job_bounds_its_dependencies_until_it_is_cancelled() -> None:
    cancelled_ids: set[str] = set()
    pipelines = Pipelines(lambda name: None, lambda name: name in cancelled_ids)

    def node(length_s: float, due_at: float = math.inf) -> DependencyNode:
        return DependencyNode(
            0, 1, length_s, own_deadline_at=due_at, priority_level=1, deadline_at=due_at
        )

    pipelines.ensure_node("job-1", node(9.0))
    pipelines.add_job("job-2", ["job-1"], node(5.0))
    assert math.isinf(pipelines.nodes["job-1"].deadline_at)
    pipelines.add_job("job-3", ["job-2"], node(7.0, due_at=100.0))
    assert pipelines.nodes["job-2"].deadline_at == 100.0 - 7.0
    assert pipelines.nodes["job-1"].deadline_at == 100.0 - 7.0 - 5.0
    # A second pipeline with the same first job is more urgent, until it is cancelled.
    pipelines.add_job(
        "job-4",
        ["job-1"],
        DependencyNode(0, 3, 2.0, own_deadline_at=60.0, priority_level=3, deadline_at=60.0),
    )
    assert (pipelines.nodes["job-1"].priority_level, pipelines.nodes["job-1"].deadline_at) == (
        3,
        58.0,
    )
    assert pipelines.cancel_job("job-4").urgency_changed == ["job-1"]
    assert (pipelines.nodes["job-1"].priority_level, pipelines.nodes["job-1"].deadline_at) == (
        1,
        88.0,
    )


@pytest.mark.parametrize("due_s", [30.0, 400.0])
def test_job_precedes_shorter_ones_only_when_its_pipelines_deadline_is_near(
    due_s: float,
) -> None:
    """The new owner after a crash, which knows the pipeline only from records, does the same."""
    cluster = pipeline_cluster()
    blocker = submit_job(cluster, 9, pieces=4)
    cluster.task_durations_s[blocker] = 24.0
    cluster.run_until(lambda: len(cluster.running_tasks(blocker)) == 4, 20.0)
    first = submit_job(cluster, 1, pieces=4, rank="best_effort", expect_s=9.0)
    short = submit_job(cluster, 2, pieces=4, rank="high", expect_s=6.0)
    submit_job(cluster, 3, awaits=[first], rank="high", expect_s=8.0, due_s=due_s)
    cluster.crash(cluster.owner())
    cluster.run_until(
        lambda: task_start_count(cluster, first) + task_start_count(cluster, short) >= 4, 60.0
    )
    assert task_start_count(cluster, first if due_s < 100.0 else short) == 4


def test_repeated_submission_gets_no_400_from_a_controller_that_takes_awaited_jobs_for_open() -> (
    None
):
    # Guards against a final refusal of an accepted job: the copy of the records is old, and a
    # record that lists all awaited jobs as open would be too long.
    state = {"rps": 300.0, "write_rps": 150.0, "value_kb": 2.0, "txn_ops": 16}
    cluster = pipeline_cluster(state=state)
    awaited = [f"job-{number:06d}" for number in range(2, 132)]
    cluster.task_durations_s = dict.fromkeys(awaited, 30.0)
    for number in range(2, 132):
        submit_job(cluster, number, pieces=1, cpus=0.05, mem_gb=0.1)
    last = job_spec(1, awaits=awaited)
    # None of them is done yet: the record is too long for every controller.
    assert cluster.request("node-0", "POST", "/work", last)[0] == 400
    refused = other_controllers(cluster.owner())[0]
    cluster.refused_controllers.add(refused)
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in awaited), 60.0)
    assert cluster.request(cluster.owner(), "POST", "/work", last)[0] == 201
    status, answer, retry_after = cluster.request(refused, "POST", "/work", last)
    assert status == 503 and retry_after, answer
    cluster.refused_controllers.clear()
    cluster.run(1.0)
    assert cluster.request(refused, "POST", "/work", last)[0] == 200
