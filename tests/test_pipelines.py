"""Jobs that await others: never early, withdrawn together, seen alike by all nodes."""

from __future__ import annotations

import json
import math
import random

import pytest

from fallpulley.jobs.pipelines import DependencyNode, Pipelines
from tests.test_day_end import started
from tests.test_meetings import cancel, stages
from tests.test_stories import others, ready, submit
from tests.world import LABELS, World, job


def pipeline_world(machines: int = 2, **facts: object) -> World:
    world = ready(machines, **facts)
    world.capacity = machines
    world.until(lambda: "live/format" in world.state.data, 5.0)
    world.run(0.2)
    return world


def test_a_job_starts_only_when_all_that_it_awaits_are_done_by_their_records() -> None:
    """The world watches for starts that come too early."""
    world = pipeline_world()
    first, second = submit(world, 1, pieces=2), submit(world, 2, "node-1", pieces=2)
    last = submit(world, 3, "node-2", pieces=2, awaits=[first, second, first])
    assert stages(world, last) == {"pending"}
    world.until(lambda: world.stage(last) == "done", 60.0)
    after = submit(world, 4, awaits=[first, last])
    world.until(lambda: world.stage(after) == "done", 30.0)


@pytest.mark.parametrize("moment_s", [0.0, 1.0, 3.0, 4.6, 5.0])
def test_a_pipeline_goes_on_across_a_change_of_leader_and_an_end_of_all(moment_s: float) -> None:
    world = pipeline_world()
    names = [submit(world, 1, pieces=2)]
    for n in range(2, 5):
        names.append(submit(world, n, LABELS[n % 3], pieces=2, awaits=[names[-1]]))
    world.run(moment_s)
    old = world.holder()
    world.crash(old)
    world.run(6.0)
    world.boot(old)
    world.run(4.0)
    world.crash(*LABELS)
    world.run(1.0)
    for label in LABELS:
        world.boot(label)
    world.until(lambda: world.stage(names[-1]) == "done", 150.0)
    pieces = [piece for _, piece, _ in world.starts_seen]
    assert [p[:10] for p in pieces] == sorted(p[:10] for p in pieces)


def test_what_needs_a_cancelled_job_is_withdrawn_at_once_at_every_node_and_depth() -> None:
    world = pipeline_world()
    first = submit(world, 1, pieces=2)
    world.times[first] = 60.0
    middle = submit(world, 2, awaits=[first])
    other = submit(world, 3)
    last = submit(world, 4, awaits=[middle, other])
    cancel(world, "node-1", first)
    assert stages(world, middle) == stages(world, last) == {"withdrawn"}
    # One submitted after the cancellation is accepted all the same.
    status, body, _ = world.get("node-2", "POST", "/work", job(5, awaits=[last]))
    assert (status, body["stage"]) == (201, "withdrawn")
    assert stages(world, "job-000005") == {"withdrawn"}
    cancel(world, "node-0", last)
    # Their own records follow, by whoever holds the block, and the rest goes on.
    world.crash(world.holder())
    late = ["job-000002", "job-000004", "job-000005"]
    world.until(lambda: all(world.stage(uid) == "withdrawn" for uid in late), 20.0)
    world.until(lambda: world.stage(other) == "done", 60.0)
    assert not any(started(world, uid) for uid in late)


def test_a_cancellation_answered_with_done_withdraws_nothing() -> None:
    world = pipeline_world()
    first = submit(world, 1, pieces=1)
    last = submit(world, 2, awaits=[first])
    world.until(lambda: world.stage(first) == "done", 30.0)
    assert world.get("node-1", "POST", f"/work/{first}/abort")[1]["stage"] == "done"
    world.until(lambda: world.stage(last) == "done", 30.0)


@pytest.mark.parametrize("moment_s", [0.0, 0.05, 0.1, 0.15, 0.3])
def test_a_cancel_at_the_end_of_a_stage_is_told_alike_for_all_that_need_it(moment_s: float) -> None:
    world = pipeline_world()
    first = submit(world, 1, pieces=2)
    last = submit(world, 2, awaits=[first])
    world.until(lambda: len(world.running(first)) == 2, 20.0)
    world.until(lambda: not world.running(first), 20.0)
    world.run(moment_s)
    found = world.ask("node-2", "POST", f"/work/{first}/abort")
    world.until(lambda: bool(found), 5.0)
    told = found[1]["stage"]
    if told == "withdrawn":
        assert stages(world, last) == {"withdrawn"}
    else:
        world.until(lambda: world.stage(last) == "done", 30.0)
    world.run(5.0)
    assert stages(world, last) == {told}


def test_names_that_were_never_accepted_and_malformed_ones_are_told_apart() -> None:
    world = pipeline_world()
    known = submit(world, 1)
    for label in LABELS:
        assert world.get(label, "POST", "/work", job(2, awaits=["job-000777"]))[0] == 422
        assert world.get(label, "POST", "/work", job(2, awaits=["job-000002"]))[0] == 422
        for bad in ("job-000001", ["x"], [1], {"a": 1}, ["job-1\n"]):
            assert world.get(label, "POST", "/work", job(2, awaits=bad))[0] == 400
    assert world.get("node-0", "POST", "/work", job(2, awaits=None))[0] == 201
    assert world.get("node-0", "POST", "/work", job(3, awaits=[]))[0] == 201
    # A repeat of a known job is answered as such before its names are looked at.
    assert world.get("node-0", "POST", "/work", job(2, awaits=["job-000777"]))[0] == 200
    # A name that another node accepted a moment ago is found by a look begun now.
    asked = world.ask("node-1", "POST", "/work", job(4))
    world.until(lambda: bool(asked), 5.0)
    assert world.get("node-2", "POST", "/work", job(5, awaits=["job-000004", known]))[0] == 201
    # A node that cannot look says so.
    lone = others(world.holder())[0]
    world.run(1.0)
    world.cut.add((lone, "state"))
    status, _, retry = world.get(lone, "POST", "/work", job(6, awaits=["job-000778"]))
    assert (status, retry) == (503, 1.0)


def test_while_it_waits_a_job_holds_nothing_of_its_teams_limit_and_rents_nothing() -> None:
    world = pipeline_world()
    first = submit(world, 1, pieces=2, cpus=1.0)
    world.times[first] = 40.0
    last = submit(world, 2, crew="small", pieces=50, cpus=8.0, awaits=[first])
    world.capacity = 30
    between = submit(world, 3, crew="small", pieces=2, cpus=4.0)
    world.until(lambda: world.stage(between) == "done", 20.0)
    world.run(5.0)
    assert len(world.workers) <= 3 and not started(world, last)
    world.times[last] = 0.5
    world.until(lambda: started(world, last) > 0, 60.0)


def test_waiting_bounds_count_from_the_end_of_the_last_awaited_job_after_a_takeover_too() -> None:
    world = pipeline_world()
    first = submit(world, 1, pieces=1)
    world.times[first] = 30.0
    last = submit(world, 2, awaits=[first])
    world.until(lambda: world.stage(first) == "done", 60.0)
    end = world.now
    world.crash(world.holder())
    world.run(8.0)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    if last in held.jobs:
        assert abs(held.jobs[last].ready_since_ms / 1000 - 1e6 - end) < 1.0
    else:
        assert world.stage(last) == "done"


def test_priority_and_the_path_after_a_job_reach_back_from_the_last_one() -> None:
    world = pipeline_world()
    blocker = submit(world, 9, pieces=4)
    world.times[blocker] = 15.0
    world.until(lambda: len(world.running(blocker)) == 4, 20.0)
    first = submit(world, 1, pieces=4, rank="best_effort", expect_s=9.0)
    lone = submit(world, 2, pieces=4, rank="standard", expect_s=1.0)
    middle = submit(world, 3, awaits=[first], rank="best_effort", expect_s=7.0)
    submit(world, 4, awaits=[middle], rank="high", expect_s=5.0)
    world.run(1.0)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    assert held.jobs[first].priority_level == held.jobs[middle].priority_level == 2
    assert held.jobs[first].critical_path_s == pytest.approx(7.0 + 5.0 + 2 * 0.5)
    world.until(lambda: started(world, first) > 0, 30.0)
    assert not started(world, lone)


def test_pipelines_are_the_same_in_whatever_order_their_records_come() -> None:
    """Nodes load records in the order of their names, and jobs come in none."""
    chance = random.Random(7)
    for _ in range(60):
        names = [f"job-{n:06d}" for n in range(12)]
        awaits = {
            name: chance.sample(names[:at], min(at, chance.randint(0, 3)))
            for at, name in enumerate(names)
        }
        fate = {name: chance.choice(["open", "done", "withdrawn"]) for name in names[:5]}
        fates = []
        for _ in range(3):
            order = chance.sample(names, len(names))
            stage: dict[str, str] = {}
            lost: set[str] = set()

            def ended(name: str, stage: dict[str, str] = stage) -> int | None:
                return 5 if stage.get(name) == "done" else None

            def gone(name: str, stage: dict[str, str] = stage, lost: set[str] = lost) -> bool:
                return stage.get(name) == "withdrawn" or name in lost

            pipelines = Pipelines(ended, gone)
            for name in order:
                stage[name] = fate.get(name, "open")
                if stage[name] == "open":
                    for other in awaits[name]:
                        if stage.get(other) == "open" and other not in lost:
                            pipelines.ensure_node(other, DependencyNode(1, 1, 1.0))
                    changes = pipelines.add_job(name, awaits[name], DependencyNode(1, 1, 1.0))
                elif stage[name] == "done":
                    changes = pipelines.complete_job(name, 5)
                else:
                    changes = pipelines.cancel_job(name)
                lost.update(changes.cancelled)
            waits = {
                name: sorted(pipelines.nodes[name].unfinished_dependencies)
                if name in pipelines.nodes
                else []
                for name in names
                if fate.get(name, "open") == "open" and name not in lost
            }
            fates.append((sorted(lost), waits))
        assert fates[0] == fates[1] == fates[2]


def test_a_pipeline_of_thousands_is_walked_without_recursion() -> None:
    lost: set[str] = set()
    pipelines = Pipelines(lambda name: None, lambda name: name in lost)
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


def test_jobs_without_pipelines_cost_nothing_of_them() -> None:
    world = pipeline_world()
    submit(world, 1)
    jobs = world.controllers["node-0"].components.jobs
    assert not jobs.pipelines.nodes and not jobs.pipelines.dependents
    assert "awaits" not in json.dumps(world.state.data["live/job/job-000001"][0])


def test_a_deadline_reaches_back_less_the_path_after_and_no_further_than_its_job_lives() -> None:
    lost: set[str] = set()
    pipelines = Pipelines(lambda name: None, lambda name: name in lost)

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
    # A second pipeline of which the first job is a part presses more, until it is called off.
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
def test_a_step_goes_before_shorter_ones_only_once_its_pipelines_deadline_presses(
    due_s: float,
) -> None:
    """Also at a successor, which knows of it from records alone."""
    world = pipeline_world()
    blocker = submit(world, 9, pieces=4)
    world.times[blocker] = 24.0
    world.until(lambda: len(world.running(blocker)) == 4, 20.0)
    first = submit(world, 1, pieces=4, rank="best_effort", expect_s=9.0)
    short = submit(world, 2, pieces=4, rank="high", expect_s=6.0)
    submit(world, 3, awaits=[first], rank="high", expect_s=8.0, due_s=due_s)
    world.crash(world.holder())
    world.until(lambda: started(world, first) + started(world, short) >= 4, 60.0)
    assert started(world, first if due_s < 100.0 else short) == 4
