"""Where troubles meet: a story for each meeting that the users name. docs/meetings.md lists them.

The world of `tests/world.py` watches the rules at every step: a task on two machines, a limit
passed, a start in a wrong place, a task of a cancelled job that goes on.
"""

from __future__ import annotations

import json
import random

import pytest

from fallpulley.effects import Request, Response
from fallpulley.heartbeats.deferral import DeferredHeartbeat
from fallpulley.shared_records.shard_record import decode_shard
from tests.test_day_end import replay, started
from tests.test_stories import busy, others, ready, submit
from tests.world import LABELS, World, job


def cancel(world: World, label: str, uid: str) -> None:
    status, body, _ = world.get(label, "POST", f"/work/{uid}/abort")
    assert (status, body["stage"]) == (200, "withdrawn")


def stages(world: World, uid: str) -> set[object]:
    """What all nodes answer when they are asked in the same moment."""
    asked = [world.ask(label, "GET", f"/work/{uid}") for label in world.controllers]
    world.until(lambda: all(asked), 5.0)
    assert all(found[0] == 200 for found in asked), asked
    return {found[1]["stage"] for found in asked}


def marked(world: World, host: str) -> bool:
    """The durable record says that the machine may hold tasks."""
    for record in world.blocks().values():
        entry = decode_shard(json.dumps(record).encode()).machines.get(host)
        if entry is not None:
            return entry.occupied
    return False


# -- the gap ---------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_the_gap_refused_alone_then_an_outage_for_longer_than_a_cancellation_has(seed: int) -> None:
    """The leader is refused alone, others confirm cancellations, then nobody reaches the state
    service; workers go on reporting to the old leader. Some hang within their leases."""
    chance = random.Random(seed)
    world = ready(4)
    world.capacity = 4
    uids = [submit(world, n, pieces=2) for n in range(4)]
    for uid in uids:
        world.times[uid] = 300.0
    world.until(lambda: len(world.running()) == 8, 30.0)
    old = world.holder()
    world.refused.add(old)
    world.run(chance.uniform(0.0, 1.5))
    for uid in uids[:2]:
        cancel(world, chance.choice(others(old)), uid)
    world.run(chance.uniform(0.0, 0.5))
    world.state.down = True
    hung = world.workers[chance.choice(sorted(world.workers))]
    world.run(chance.uniform(0.0, 5.0))
    hung.hung = True
    world.run(chance.uniform(1.0, 7.5))
    hung.hung = False
    world.run(40.0)  # the world watches for what goes on after `cancel_s`
    world.state.down = False
    world.refused.clear()
    world.times.clear()
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids[2:]), 60.0)


def test_a_leader_refused_alone_hears_of_cancellations_from_its_peers_and_starts_nothing() -> None:
    """A quickening only: the window holds without it. Started anew meanwhile from an old copy of
    its record, the job would run on until the window is over."""
    world, uid = busy(40, 6.0)
    old = world.holder()
    world.refused.add(old)
    world.run(0.5)
    cancel(world, others(old)[0], uid)
    world.run(2.5)
    assert not world.running(uid)
    before = len(world.starts_seen)
    assert (
        uid
        in world.controllers[old].components.jobs.open_job_ids_by_shard[
            next(iter(world.controllers[old].components.owned_shards.shards))
        ]
    )
    world.controllers[old].components.job_sync.sync(uid)
    world.run(4.0)
    assert len(world.starts_seen) == before
    world.refused.clear()
    world.run(5.0)
    assert not world.controllers[old].components.job_sync._cancelled_before_record and stages(
        world, uid
    ) == {"withdrawn"}


def test_no_check_in_is_answered_once_the_window_is_over_even_if_it_came_before() -> None:
    """One that waited for the next plan was answered without another look at the clock."""
    world, _ = busy(8, 60.0)
    controller = world.controllers[world.holder()]
    (held,) = controller.components.owned_shards.shards.values()
    (host, machine) = next(iter(held.machines.items()))
    answers: list[int] = []

    def ticket(status: int, body: bytes, retry_after: float | None) -> None:
        answers.append(status)

    controller.components.heartbeats.deferred.waiting.append(
        DeferredHeartbeat(
            ticket, controller.components.owned_shards.agents[held.shard_id], machine, True, 0.0
        )
    )
    controller.components.watch.fresh_at = (
        controller.components.context.now - controller.components.context.timing.response_window_s
    )
    world.step()
    assert answers == [503] and host in held.machines


# -- users in a hurry ------------------------------------------------------------------------


def test_all_nodes_asked_at_once_after_each_change_answer_nothing_older() -> None:
    world = ready()
    for number in range(1, 9):
        uid = f"job-{number:06d}"
        found = [world.ask(label, "POST", "/work", job(number)) for label in LABELS]
        world.until(lambda asked=found: any(asked), 5.0)
        assert stages(world, uid) <= {"pending", "running"}
        world.until(lambda asked=found: all(asked), 5.0)
        assert sorted(answer[0] for answer in found) == [200, 200, 201]
        if number % 2:
            cancel(world, LABELS[number % 3], uid)
            assert stages(world, uid) == {"withdrawn"}
        else:
            world.until(lambda uid=uid: world.stage(uid) == "done", 30.0)
            assert stages(world, uid) == {"done"}
        again = [world.ask(label, "POST", "/work", job(number)) for label in LABELS]
        world.until(lambda asked=again: all(asked), 5.0)
        assert {answer[1]["stage"] for answer in again} <= {"withdrawn", "done"}


def test_a_repeat_of_an_accepted_job_never_gets_400_or_422() -> None:
    """Neither from the node that knows it, nor from one that has not heard of it yet."""
    world = ready()
    spec = job(1)
    bad = [
        json.dumps({k: v for k, v in spec.items() if k != "kit"}).encode(),
        json.dumps(spec | {"cpus": 900.0}).encode(),
        json.dumps(spec | {"crew": "nobody"}).encode(),
    ]
    first = world.ask("node-0", "POST", "/work", spec)
    world.until(lambda: bool(first), 5.0)
    for body in bad:
        asked = [world.ask(label, "POST", "/work", body) for label in LABELS]
        world.until(lambda found=asked: all(found), 5.0)
        assert [found[0] for found in asked] == [200, 200, 200]
    cancel(world, "node-1", "job-000001")
    for body in bad:
        assert world.get("node-2", "POST", "/work", body)[1]["stage"] == "withdrawn"


def test_a_repeat_with_other_fields_out_of_the_state_services_reach_claims_nothing_old() -> None:
    world = ready()
    uid = submit(world, 1)
    lone = others(world.holder())[0]
    world.run(1.0)
    world.cut.add((lone, "state"))
    cancel(world, others(lone)[0], uid)
    body = json.dumps(job(1) | {"cpus": 900.0}).encode()
    status, answer, _ = world.get(lone, "POST", "/work", body)
    assert status == 503, answer


def test_bad_input_gets_the_same_answer_at_every_node_and_changes_nothing() -> None:
    world = ready()
    uid = submit(world, 1)
    world.until(lambda: world.stage(uid) == "done", 30.0)
    before = world.state.ledger
    for label in LABELS:
        assert world.get(label, "POST", f"/work/{uid}/abort")[1]["stage"] == "done"
        assert world.get(label, "POST", "/work/job-000777/abort")[0] == 404
        assert world.get(label, "GET", "/work/job-000777")[0] == 404
        assert world.get(label, "POST", "/work", job(5, cpus=900.0))[0] == 422
        lacking = {k: v for k, v in job(6).items() if k != "pieces"}
        assert world.get(label, "POST", "/work", lacking)[0] == 400
    changed = [e for e in world.state.log if e["stamp"] > before and "/job/" in e.get("set", "")]
    assert not changed


# -- transactions late, or carried out without an answer -------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 2.5, 9.0])
def test_writes_without_answers_are_recognised_and_late_ones_change_nothing(late_s: float) -> None:
    world = ready(3)
    world.capacity = 3
    node = world.holder()
    world.unanswered[node] = late_s
    uids = [f"job-{n:06d}" for n in range(1, 5)]
    for n, uid in enumerate(uids, 1):
        assert world.get(node, "POST", "/work", job(n, pieces=2))[0] == 503
        other = others(node)[n % 2]
        status, body, _ = world.get(other, "POST", "/work", job(n, pieces=2))
        assert (status, body["stage"]) in ((200, "pending"), (200, "running"), (201, "pending"))
        if n % 2:
            assert world.get(node, "POST", f"/work/{uid}/abort")[0] in (200, 503)
            cancel(world, other, uid)
            assert stages(world, uid) == {"withdrawn"}
    world.run(12.0)
    world.unanswered.clear()
    for n, uid in enumerate(uids, 1):
        wished = "withdrawn" if n % 2 else "done"
        world.until(lambda uid=uid, wished=wished: world.stage(uid) == wished, 60.0)
        assert stages(world, uid) == {wished}


def test_no_run_goes_out_before_the_mark_that_a_machine_may_hold_tasks_is_durable() -> None:
    """The mark was to be taken back from a silent machine, without an answer; the machine came
    back, and the write that marked it again met a conflict: the first had got through. Taken for
    settled on the older copy of the record, the mark counted, and a successor would have held the
    machine for empty."""
    world = ready(1)
    world.capacity = 1
    (host,) = world.workers
    world.until(lambda: marked(world, host), 5.0)
    node = world.holder()
    controller = world.controllers[node]
    writer, (label,) = controller.components.writer, controller.components.owned_shards.shards
    record, _ = controller.components.registry.shards[label]
    assert record.machines[host].occupied
    writer.set_occupied(label, host, False)
    world.unanswered[node] = 0.0  # carried out, unanswered, and not seen here for a while
    controller.components.watch.subscribe(lambda key, value, mod_revision: None)
    world.until(lambda: not marked(world, host), 5.0)
    world.run(2.0)
    world.unanswered.clear()
    writer.set_occupied(label, host, True)
    for _ in range(120):
        world.step()
        assert marked(world, host) or not writer.is_occupied(label, host)


def test_a_machine_up_at_once_gets_work_only_with_a_durable_mark_and_the_leader_ends() -> None:
    world = ready(1)
    world.capacity = 5
    uid = submit(world, 1, pieces=10)
    world.times[uid] = 8.0
    world.unanswered[world.holder()] = 1.0
    first = world.holder()
    for at in range(400):
        world.step()
        for worker in world.workers.values():
            if worker.pieces:
                assert marked(world, worker.host)
        if at == 200:
            world.crash(first)
            world.unanswered.clear()
    world.boot(first)
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_one_task_jobs_four_a_second_a_quarter_cancelled() -> None:
    world = World(6, state={"rps": 60.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16})
    world.until(lambda: bool(world.blocks()), 5.0)
    world.run(3.0)
    asked = []
    for n in range(1, 121):
        asked.append(world.ask(LABELS[n % 3], "POST", "/work", job(n, pieces=1, cpus=1.0)))
        if n % 4 == 0 and n > 8:
            world.ask(LABELS[n % 3], "POST", f"/work/job-{n - 4:06d}/abort")
        world.run(0.25)
    assert all(found and found[0] == 201 for found in asked)
    world.until(lambda: all(world.stage(f"job-{n:06d}") != "open" for n in range(1, 121)), 30.0)
    # A burst beyond all budgets: answered in time, and the service has nothing to refuse.
    world.state.write_rps, world.state._saved, world.state._saved_at = 25.0, 25.0, world.now
    burst = [
        world.ask(LABELS[n % 3], "POST", "/work", job(n, pieces=1, cpus=1.0))
        for n in range(200, 380)
    ]
    world.until(lambda: all(burst), 5.0)
    assert {found[0] for found in burst} == {201, 503} and world.state.too_many == 0
    world.run(15.0)
    for controller in world.controllers.values():
        assert all(not held.jobs for held in controller.components.owned_shards.shards.values())
        assert all(known.record is None for known in controller.components.jobs.entries.values())


# -- limits, cancels and a change of leader --------------------------------------------------


@pytest.mark.parametrize("trouble", ["cut", "hang", "none"])
def test_a_team_at_its_limit_keeps_it_when_leader_changes_and_its_job_is_cancelled(
    trouble: str,
) -> None:
    """A successor knew nothing of a cancelled job but its end: what a machine still ran of it did
    not count, and the team's next job started beside it."""
    world = ready(3)
    world.capacity = 3
    uid = submit(world, 1, crew="small", pieces=2)
    world.times[uid] = 300.0
    world.until(lambda: len(world.running(uid)) == 2, 20.0)
    after = submit(world, 2, crew="small", pieces=2)
    old = world.holder()
    hosts = [host for host, worker in world.workers.items() if worker.on_machine()]
    if trouble == "cut":
        world.cut.update((host, other) for host in hosts for other in others(old))
    elif trouble == "hang":
        for host in hosts:
            world.workers[host].hung = True
    world.crash(old)
    cancel(world, others(old)[0], uid)
    world.until(lambda: world.holder() != old, 15.0)
    world.run(9.0)
    world.cut.clear()
    for host in hosts:
        if host in world.workers:
            world.workers[host].hung = False
    world.until(lambda: world.stage(after) == "done", 90.0)


def test_a_cancelled_tasks_room_in_its_teams_limit_is_free_only_once_it_is_gone() -> None:
    """The machine took the new leader's token, reported, and was then cut off with its tasks."""
    world = ready(3)
    world.capacity = 3
    uid = submit(world, 1, crew="small", pieces=2)
    world.times[uid] = 300.0
    world.until(lambda: len(world.running(uid)) == 2, 20.0)
    old = world.holder()
    (host,) = [host for host, worker in world.workers.items() if worker.on_machine()]
    after = submit(world, 2, crew="small", pieces=2)
    baton = world.workers[host].baton
    world.crash(old)
    cancel(world, others(old)[0], uid)
    world.until(lambda: world.workers[host].baton > baton, 20.0)
    # It is heard, but from then on nothing reaches it: it holds the limit for a lease.
    world.answers_lost.add(host)
    world.no_direct.add(host)
    world.run(2.0)
    assert world.running(uid)
    world.run(9.0)
    world.answers_lost.clear()
    world.no_direct.clear()
    world.until(lambda: world.stage(after) == "done", 120.0)


@pytest.mark.parametrize("seed", range(4))
def test_jobs_cancelled_in_the_seconds_in_which_work_changes_hands(seed: int) -> None:
    chance = random.Random(seed)
    world = ready(4)
    world.capacity = 4
    uids = [submit(world, n, pieces=2) for n in range(6)]
    for uid in uids:
        world.times[uid] = 100.0
    world.until(lambda: len(world.running()) == 8, 30.0)
    old = world.holder()
    world.cut.update((old, other) for other in [*others(old), "state"])
    for uid in uids:
        world.run(chance.uniform(0.0, 1.0))
        cancel(world, chance.choice(others(old)), uid)
    world.run(45.0)
    assert not world.running()


def test_a_leader_cut_from_all_but_workers_and_users_while_the_new_one_confirms_cancels() -> None:
    world, uid = busy(4, 300.0)
    old = world.holder()
    world.cut.update((old, other) for other in [*others(old), "state"])
    world.until(lambda: world.holder() != old, 10.0)
    cancel(world, world.holder(), uid)
    status, body, _ = world.get(old, "GET", f"/work/{uid}")
    assert status == 503, body  # never an older answer
    world.run(32.0)
    assert not world.running(uid)


def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage() -> None:
    world = ready(3)
    world.capacity = 3
    uids = [submit(world, n, pieces=3) for n in range(4)]
    for uid in uids:
        world.times[uid] = 25.0
    for change in range(10):
        world.run(6.0)
        holder = world.holder()
        world.state.down = change in (4, 5)
        world.crash(holder)
        world.run(5.0 if change % 2 else 0.3)
        world.boot(holder)
    world.state.down = False
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids), 200.0)


def test_all_controllers_away_for_longer_than_a_lease() -> None:
    world, uid = busy(6, 15.0)
    world.crash(*LABELS)
    world.run(9.0)
    assert not world.running(uid)  # their leases are over
    for label in LABELS:
        world.boot(label)
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_hand_over_and_back_then_all_end_and_one_returns_within_a_second() -> None:
    world, uid = busy(6, 15.0)
    first = world.holder()
    leadership = world.controllers[first].components.leadership
    (label,) = world.controllers[first].components.owned_shards.shards
    leadership.hand_off(label, others(first)[0])
    world.until(lambda: world.holder() != first, 5.0)
    second = world.holder()
    world.run(0.5)
    world.controllers[second].components.leadership.hand_off(label, first)
    world.until(lambda: world.holder() == first, 5.0)
    world.crash(*LABELS)
    world.run(0.5)
    world.boot(second)
    world.until(lambda: world.stage(uid) == "done", 120.0)
    pieces = [piece for _, piece, _ in world.starts_seen if piece.startswith(uid)]
    assert len(pieces) == len(set(pieces))


# -- machines that hear or say nothing, old reports ------------------------------------------


def test_a_machine_known_by_direct_commands_alone_and_then_dead_holds_no_task_for_ever() -> None:
    """Fenced after a takeover, its tasks were adopted from its answer; it never checked in, so
    its lease was never looked at, and its tasks never started elsewhere."""
    world, uid = busy(4, 12.0)
    dead = next(host for host, worker in world.workers.items() if worker.on_machine())
    world.mute.add(dead)
    world.cloud_down = True
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.run(0.5)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    world.until(lambda: bool(held.machines[dead].runs), 5.0)
    assert not held.machines[dead].heartbeat.online
    world.workers[dead].hung = True
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_mute_machines_lose_their_tasks_and_get_them_again_once_they_speak() -> None:
    world, uid = busy(4, 20.0)
    world.mute.update(world.workers)
    world.run(25.0)
    assert not world.running(uid)
    world.mute.clear()
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_an_old_report_reaches_every_controller_just_as_a_new_leader_begins() -> None:
    """From before the tasks started, of machines that nobody reaches now: it must neither prove
    them empty nor hide a task. A third machine has room for all of them."""
    world = ready(3)
    world.capacity = 3
    uid = submit(world, 1, pieces=4)
    world.run(0.2)
    old_reports = {host: world.sent[host][-1] for host in world.workers}
    world.times[uid] = 40.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    away = {host for host, worker in world.workers.items() if worker.on_machine()}
    world.times[submit(world, 2, pieces=1, cpus=1.0)] = 40.0
    world.until(lambda: len(world.running()) == 5, 20.0)
    world.mute |= away
    world.no_direct |= away
    world.cloud_down = True
    old = world.holder()
    world.crash(old)
    for _ in range(140):
        for host in away:
            for label in list(world.controllers):
                asked = Request(
                    lambda status, answer, retry: None, "POST", "/checkin", old_reports[host]
                )
                world.commands[label].append(asked)
        world.step()
    assert world.holder() != old
    world.mute.clear()
    world.no_direct.clear()
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_a_report_held_back_until_a_new_leader_has_acted() -> None:
    world, uid = busy(4, 30.0)
    host = next(iter(world.workers))
    body = world.sent[host][-1]
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.run(4.0)
    agent = next(iter(world.controllers[world.holder()].components.owned_shards.agents.values()))
    held = agent.shard
    before = (held.machines[host].heartbeat.agent_epoch, held.machines[host].heartbeat.sequence)
    assert replay(world, world.holder(), body) == [503]
    # As an answer of `/do` that was held up it is no news either.
    agent.direct_commands.on_response(held.machines[host], Response(200, body, world.now))
    assert (
        held.machines[host].heartbeat.agent_epoch,
        held.machines[host].heartbeat.sequence,
    ) >= before
    world.until(lambda: world.stage(uid) == "done", 60.0)
    assert len(world.starts_seen) == 4


def test_reports_of_earlier_sessions_and_attempts_arrive_after_newer_ones() -> None:
    world, uid = busy(6, 8.0)
    host = next(iter(world.workers))
    kept = list(world.sent[host])
    world.mute.add(host)
    world.run(9.5)  # a new session
    world.mute.clear()
    world.run(3.0)
    kept += world.sent[host][:-1]
    for body in kept:
        replay(world, world.holder(), body)
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_a_command_held_up_for_seconds_reaches_its_machine_later() -> None:
    """Stops that reach the machine after it has got the task again change nothing."""
    world, uid = busy(4, 6.0)
    host = next(iter(world.workers))
    worker = world.workers[host]
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    run = next(iter(held.machines[host].runs.values()))
    late = {
        "baton": held.machines[host].fencing.token,
        "shift": worker.shift,
        "orders": [{"verb": "stop", "piece": run.task_id, "try": run.attempt, "windup_s": 0}],
    }
    worker.hung = True
    world.run(4.0)
    worker.direct(late)
    worker.hung = False
    world.until(lambda: world.stage(uid) == "done", 60.0)
    worker.direct(late)
    assert world.stage(uid) == "done"


def test_a_check_in_overtaken_by_an_answer_of_do_still_gets_its_stops() -> None:
    """Its reply renews the lease; without the stops, a cancelled task could go on with it."""
    world, uid = busy(4, 300.0)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    for host, machine in held.machines.items():
        machine.heartbeat.sequence += (
            60  # as if newer answers of `/do` had come before all its reports
        )
        world.no_direct.add(host)
    cancel(world, "node-1", uid)
    world.until(lambda: not world.running(uid), 2.0)


# -- other meetings --------------------------------------------------------------------------


def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() -> None:
    world = ready(4)
    world.capacity = 4
    uid = submit(world, 1, pieces=8)
    world.times[uid] = 40.0
    world.until(lambda: len(world.running(uid)) == 8, 20.0)
    inside = world.holder()
    zone = [host for host, worker in world.workers.items() if worker.zone == "a"]
    world.cut.update((inside, other) for other in [*others(inside), "state"])
    world.cut.update((host, other) for host in zone for other in others(inside))
    world.run(20.0)
    world.cut.clear()
    world.until(lambda: world.stage(uid) == "done", 150.0)


@pytest.mark.parametrize("moment_s", [0.0, 0.05, 0.1, 0.3])
def test_a_cancel_a_question_and_a_repeat_meet_the_end_of_the_last_task(moment_s: float) -> None:
    world, uid = busy(4, 5.0)
    world.until(lambda: len(world.running(uid)) < 4, 20.0)
    world.run(moment_s)
    asked = world.ask("node-0", "POST", f"/work/{uid}/abort")
    looked = world.ask("node-1", "GET", f"/work/{uid}")
    again = world.ask("node-2", "POST", "/work", job(1, pieces=4))
    world.until(lambda: bool(asked and looked and again), 5.0)
    told = asked[1]["stage"]
    assert told in ("done", "withdrawn") and looked[0] == again[0] == 200
    assert stages(world, uid) == {told}
    world.run(10.0)
    assert stages(world, uid) == {told} == {world.stage(uid)}


def test_jobs_of_few_tasks_that_end_far_apart_across_a_change_of_leader() -> None:
    world = ready(2)
    world.capacity = 2
    uid = submit(world, 1, pieces=3)
    world.until(lambda: len(world.running(uid)) == 3, 20.0)
    for at, worker in enumerate(world.workers.values()):
        for number, piece in enumerate(worker.pieces.values()):
            piece["end"] = world.now + 2.0 + 15.0 * at + 30.0 * number
    world.run(4.0)
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.stage(uid) == "done", 120.0)
    assert len(world.starts_seen) == 3


@pytest.mark.parametrize(
    "over",
    [
        {"one_zone": True, "cpus": 8.0, "pieces": 6},
        {"apart": True, "cpus": 8.0, "pieces": 3},
        {"hall": "a"},
    ],
)
def test_jobs_bound_to_zones_lose_machines_and_first_tasks_keep_the_bond(
    over: dict[str, object],
) -> None:
    """When its first tasks went before all others, one plan booked the job in two parts, each
    bound to a zone of its own."""
    world = ready(4)
    world.capacity = 4
    blocker = submit(world, 1, pieces=8, rank="high")
    world.times[blocker] = 95.0
    world.until(lambda: len(world.running(blocker)) == 8, 20.0)
    uid = submit(world, 2, **({"pieces": 40, "cpus": 1.0} | over))
    world.times[uid] = 6.0
    world.until(lambda: started(world, uid) > 0, 130.0)
    lost = next(host for host, w in world.workers.items() if w.on_machine())
    world.workers[lost].hung = True
    world.until(lambda: world.stage(uid) == "done", 200.0)


def test_more_work_than_room_urgent_and_not_over_slow_links() -> None:
    world = ready(2)
    world.capacity = 2
    world.slow_s = 0.4
    uids = [
        submit(world, n, pieces=3, rank="high" if n % 2 else "standard", cpus=2.0)
        for n in range(1, 9)
    ]
    cancel(world, "node-1", uids[3])
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids if uid != uids[3]), 120.0)
    assert stages(world, uids[3]) == {"withdrawn"}


def test_a_slow_state_service_then_the_leader_refused_alone_then_everybody() -> None:
    world, uid = busy(8, 100.0)
    other = submit(world, 2, pieces=2)
    world.slow_s = 0.6
    world.run(5.0)
    old = world.holder()
    world.refused.add(old)
    cancel(world, others(old)[0], uid)
    world.run(1.0)
    world.state.down = True
    for _ in range(12):
        world.run(3.0)
        for label in LABELS:
            status, body, _ = world.get(label, "GET", f"/work/{uid}")
            assert status == 503 or body["stage"] == "withdrawn"
    assert not world.running(uid)
    world.state.down = False
    world.refused.clear()
    world.slow_s = 0.0
    world.until(lambda: world.stage(other) == "done", 60.0)


def test_a_job_that_failed_once_on_every_machine_is_tried_again() -> None:
    """Machines on which it failed were closed to it for ever: with all of them so, it waited
    while they stood idle."""
    world = ready(2)
    world.capacity = 2
    world.errors = dict.fromkeys(world.workers, "error")
    uid = submit(world, 1, pieces=4)
    world.until(lambda: len({host for _, _, host in world.starts_seen}) == 2, 40.0)
    world.run(6.0)
    world.errors.clear()
    world.until(lambda: world.stage(uid) == "done", 60.0)


def test_a_machine_whose_move_was_called_off_is_used_again() -> None:
    world = ready(2)
    controller = world.controllers[world.holder()]
    (held,) = controller.components.owned_shards.shards.values()
    machine = next(iter(held.machines.values()))
    machine.departure.leaving_shard = True
    world.run(1.0)
    assert machine.usable


# -- drawn at random, with the seed -----------------------------------------------------------


@pytest.mark.parametrize("seed", range(8))
def test_drawn_troubles_break_no_rule_and_everything_ends(seed: int) -> None:
    chance = random.Random(1000 + seed)
    world = ready(4)
    world.capacity = 5
    told: dict[str, str] = {}
    open_jobs: list[str] = []
    number = 0
    kept: list[bytes] = []
    for _ in range(60):
        draw = chance.random()
        label = chance.choice(LABELS)
        host = chance.choice(sorted(world.workers)) if world.workers else ""
        if draw < 0.25:
            number += 1
            crew = "small" if chance.random() < 0.4 else "crew"
            spec = job(number, pieces=chance.randint(1, 5), crew=crew)
            world.times[spec["uid"]] = chance.uniform(1.0, 40.0)
            found = world.ask(label, "POST", "/work", spec)
            world.run(0.1)
            if found and found[0] in (200, 201):
                open_jobs.append(spec["uid"])
        elif draw < 0.35 and open_jobs:
            uid = chance.choice(open_jobs)
            found = world.ask(label, "POST", f"/work/{uid}/abort")
            world.run(0.1)
            if found and found[0] == 200:
                told[uid] = found[1]["stage"]
        elif draw < 0.45 and label in world.controllers and len(world.controllers) > 1:
            world.crash(label)
            at = world.now + chance.choice([0.1, 1.0, 6.0])
            world.later.append((at, lambda label=label: world.boot(label)))
        elif draw < 0.55:
            wholly = chance.random() < 0.5
            ends = {(label, "state")} | {(label, o) for o in others(label) if wholly}
            world.cut |= ends
            at = world.now + chance.uniform(1.0, 25.0)
            world.later.append((at, lambda ends=ends: world.cut.difference_update(ends)))
        elif draw < 0.62:
            world.unanswered[label] = chance.choice([0.0, 3.0, 10.0])
            at = world.now + chance.uniform(1.0, 6.0)
            world.later.append((at, lambda label=label: world.unanswered.pop(label, None)))
        elif draw < 0.8 and host:
            hosts = chance.choice([world.answers_lost, world.mute, world.no_direct])
            hosts.add(host)
            at = world.now + chance.uniform(1.0, 20.0)
            world.later.append((at, lambda hosts=hosts, host=host: hosts.discard(host)))
        elif draw < 0.86 and host:
            worker = world.workers[host]
            worker.hung = True
            at = world.now + chance.uniform(1.0, 12.0)
            world.later.append((at, lambda worker=worker: setattr(worker, "hung", False)))
        elif draw < 0.9:
            world.state.down = True
            at = world.now + chance.uniform(1.0, 12.0)
            world.later.append((at, lambda: setattr(world.state, "down", False)))
        elif host and world.sent.get(host):
            kept.append(chance.choice(world.sent[host]))
            for other in world.controllers:
                replay(world, other, chance.choice(kept))
        world.run(chance.uniform(0.1, 2.5))
    world.run(26.0)
    world.cut.clear()
    world.unanswered.clear()
    for hosts in (world.answers_lost, world.mute, world.no_direct):
        hosts.clear()
    world.times.clear()
    world.until(lambda: len(world.controllers) == 3, 10.0)

    def over() -> bool:
        return all(world.stage(uid) in ("done", "withdrawn") for uid in open_jobs)

    world.until(over, 120.0)
    for uid, stage in told.items():
        assert stages(world, uid) == {stage}
