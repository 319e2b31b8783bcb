"""Where troubles meet: a story for each meeting that the users name. docs/meetings.md lists them.

The cluster of `tests/simulated_cluster.py` watches the rules at every step: a task on two
machines, a limit passed, a start in a wrong place, a task of a cancelled job that goes on.
"""

from __future__ import annotations

import json
import random

import pytest

from fallpulley.effects import Request, Response
from fallpulley.heartbeats.deferral import DeferredHeartbeat
from fallpulley.shared_records.shard_record import decode_shard
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, job_spec
from tests.test_fault_tolerance import replay_heartbeat, task_start_count
from tests.test_jobs_and_takeovers import busy_cluster, other_controllers, ready_cluster, submit_job


def cancel_job(cluster: SimulatedCluster, label: str, uid: str) -> None:
    status, body, _ = cluster.request(label, "POST", f"/work/{uid}/abort")
    assert (status, body["stage"]) == (200, "withdrawn")


def job_states(cluster: SimulatedCluster, uid: str) -> set[object]:
    """What all nodes answer when they are asked in the same moment."""
    asked = [cluster.send_request(label, "GET", f"/work/{uid}") for label in cluster.controllers]
    cluster.run_until(lambda: all(asked), 5.0)
    assert all(found[0] == 200 for found in asked), asked
    return {found[1]["stage"] for found in asked}


def is_marked_occupied(cluster: SimulatedCluster, host: str) -> bool:
    """The durable record says that the machine may hold tasks."""
    for record in cluster.shards().values():
        entry = decode_shard(json.dumps(record).encode()).machines.get(host)
        if entry is not None:
            return entry.occupied
    return False


# -- the gap ---------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_the_gap_refused_alone_then_an_outage_for_longer_than_a_cancellation_has(seed: int) -> None:
    """The leader is refused alone, others confirm cancellations, then nobody reaches the state
    service; workers go on reporting to the old leader. Some hang within their leases."""
    rng = random.Random(seed)
    cluster = ready_cluster(4)
    cluster.capacity = 4
    uids = [submit_job(cluster, n, pieces=2) for n in range(4)]
    for uid in uids:
        cluster.task_durations_s[uid] = 300.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 8, 30.0)
    old = cluster.owner()
    cluster.refused_controllers.add(old)
    cluster.run(rng.uniform(0.0, 1.5))
    for uid in uids[:2]:
        cancel_job(cluster, rng.choice(other_controllers(old)), uid)
    cluster.run(rng.uniform(0.0, 0.5))
    cluster.state.down = True
    hung = cluster.workers[rng.choice(sorted(cluster.workers))]
    cluster.run(rng.uniform(0.0, 5.0))
    hung.hung = True
    cluster.run(rng.uniform(1.0, 7.5))
    hung.hung = False
    cluster.run(40.0)  # the world watches for what goes on after `cancel_s`
    cluster.state.down = False
    cluster.refused_controllers.clear()
    cluster.task_durations_s.clear()
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in uids[2:]), 60.0)


def test_a_leader_refused_alone_hears_of_cancellations_from_its_peers_and_starts_nothing() -> None:
    """A quickening only: the window holds without it. Started anew meanwhile from an old copy of
    its record, the job would run on until the window is over."""
    cluster, uid = busy_cluster(40, 6.0)
    old = cluster.owner()
    cluster.refused_controllers.add(old)
    cluster.run(0.5)
    cancel_job(cluster, other_controllers(old)[0], uid)
    cluster.run(2.5)
    assert not cluster.running_tasks(uid)
    before = len(cluster.task_starts)
    assert (
        uid
        in cluster.controllers[old].components.jobs.open_job_ids_by_shard[
            next(iter(cluster.controllers[old].components.owned_shards.shards))
        ]
    )
    cluster.controllers[old].components.job_sync.sync(uid)
    cluster.run(4.0)
    assert len(cluster.task_starts) == before
    cluster.refused_controllers.clear()
    cluster.run(5.0)
    assert not cluster.controllers[old].components.job_sync._cancelled_before_record and job_states(
        cluster, uid
    ) == {"withdrawn"}


def test_no_check_in_is_answered_once_the_window_is_over_even_if_it_came_before() -> None:
    """One that waited for the next plan was answered without another look at the clock."""
    cluster, _ = busy_cluster(8, 60.0)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    (host, machine) = next(iter(shard.machines.items()))
    answers: list[int] = []

    def ticket(status: int, body: bytes, retry_after: float | None) -> None:
        answers.append(status)

    controller.components.heartbeats.deferred.waiting.append(
        DeferredHeartbeat(
            ticket, controller.components.owned_shards.agents[shard.shard_id], machine, True, 0.0
        )
    )
    controller.components.watch.fresh_at = (
        controller.components.context.now - controller.components.context.timing.response_window_s
    )
    cluster.step()
    assert answers == [503] and host in shard.machines


# -- users in a hurry ------------------------------------------------------------------------


def test_all_nodes_asked_at_once_after_each_change_answer_nothing_older() -> None:
    cluster = ready_cluster()
    for number in range(1, 9):
        uid = f"job-{number:06d}"
        found = [
            cluster.send_request(label, "POST", "/work", job_spec(number))
            for label in CONTROLLER_LABELS
        ]
        cluster.run_until(lambda asked=found: any(asked), 5.0)
        assert job_states(cluster, uid) <= {"pending", "running"}
        cluster.run_until(lambda asked=found: all(asked), 5.0)
        assert sorted(answer[0] for answer in found) == [200, 200, 201]
        if number % 2:
            cancel_job(cluster, CONTROLLER_LABELS[number % 3], uid)
            assert job_states(cluster, uid) == {"withdrawn"}
        else:
            cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 30.0)
            assert job_states(cluster, uid) == {"done"}
        again = [
            cluster.send_request(label, "POST", "/work", job_spec(number))
            for label in CONTROLLER_LABELS
        ]
        cluster.run_until(lambda asked=again: all(asked), 5.0)
        assert {answer[1]["stage"] for answer in again} <= {"withdrawn", "done"}


def test_a_repeat_of_an_accepted_job_never_gets_400_or_422() -> None:
    """Neither from the node that knows it, nor from one that has not heard of it yet."""
    cluster = ready_cluster()
    spec = job_spec(1)
    bad = [
        json.dumps({k: v for k, v in spec.items() if k != "kit"}).encode(),
        json.dumps(spec | {"cpus": 900.0}).encode(),
        json.dumps(spec | {"crew": "nobody"}).encode(),
    ]
    first = cluster.send_request("node-0", "POST", "/work", spec)
    cluster.run_until(lambda: bool(first), 5.0)
    for body in bad:
        asked = [cluster.send_request(label, "POST", "/work", body) for label in CONTROLLER_LABELS]
        cluster.run_until(lambda found=asked: all(found), 5.0)
        assert [found[0] for found in asked] == [200, 200, 200]
    cancel_job(cluster, "node-1", "job-000001")
    for body in bad:
        assert cluster.request("node-2", "POST", "/work", body)[1]["stage"] == "withdrawn"


def test_a_repeat_with_other_fields_out_of_the_state_services_reach_claims_nothing_old() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    lone = other_controllers(cluster.owner())[0]
    cluster.run(1.0)
    cluster.partitions.add((lone, "state"))
    cancel_job(cluster, other_controllers(lone)[0], uid)
    body = json.dumps(job_spec(1) | {"cpus": 900.0}).encode()
    status, answer, _ = cluster.request(lone, "POST", "/work", body)
    assert status == 503, answer


def test_bad_input_gets_the_same_answer_at_every_node_and_changes_nothing() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 30.0)
    before = cluster.state.revision
    for label in CONTROLLER_LABELS:
        assert cluster.request(label, "POST", f"/work/{uid}/abort")[1]["stage"] == "done"
        assert cluster.request(label, "POST", "/work/job-000777/abort")[0] == 404
        assert cluster.request(label, "GET", "/work/job-000777")[0] == 404
        assert cluster.request(label, "POST", "/work", job_spec(5, cpus=900.0))[0] == 422
        lacking = {k: v for k, v in job_spec(6).items() if k != "pieces"}
        assert cluster.request(label, "POST", "/work", lacking)[0] == 400
    changed = [e for e in cluster.state.log if e["stamp"] > before and "/job/" in e.get("set", "")]
    assert not changed


# -- transactions late, or carried out without an answer -------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 2.5, 9.0])
def test_writes_without_answers_are_recognised_and_late_ones_change_nothing(late_s: float) -> None:
    cluster = ready_cluster(3)
    cluster.capacity = 3
    node = cluster.owner()
    cluster.unanswered_transactions[node] = late_s
    uids = [f"job-{n:06d}" for n in range(1, 5)]
    for n, uid in enumerate(uids, 1):
        assert cluster.request(node, "POST", "/work", job_spec(n, pieces=2))[0] == 503
        other = other_controllers(node)[n % 2]
        status, body, _ = cluster.request(other, "POST", "/work", job_spec(n, pieces=2))
        assert (status, body["stage"]) in ((200, "pending"), (200, "running"), (201, "pending"))
        if n % 2:
            assert cluster.request(node, "POST", f"/work/{uid}/abort")[0] in (200, 503)
            cancel_job(cluster, other, uid)
            assert job_states(cluster, uid) == {"withdrawn"}
    cluster.run(12.0)
    cluster.unanswered_transactions.clear()
    for n, uid in enumerate(uids, 1):
        wished = "withdrawn" if n % 2 else "done"
        cluster.run_until(lambda uid=uid, wished=wished: cluster.job_state(uid) == wished, 60.0)
        assert job_states(cluster, uid) == {wished}


def test_no_run_goes_out_before_the_mark_that_a_machine_may_hold_tasks_is_durable() -> None:
    """The mark was to be taken back from a silent machine, without an answer; the machine came
    back, and the write that marked it again met a conflict: the first had got through. Taken for
    settled on the older copy of the record, the mark counted, and a successor would have held the
    machine for empty."""
    cluster = ready_cluster(1)
    cluster.capacity = 1
    (host,) = cluster.workers
    cluster.run_until(lambda: is_marked_occupied(cluster, host), 5.0)
    node = cluster.owner()
    controller = cluster.controllers[node]
    writer, (label,) = controller.components.writer, controller.components.owned_shards.shards
    record, _ = controller.components.registry.shards[label]
    assert record.machines[host].occupied
    writer.set_occupied(label, host, False)
    cluster.unanswered_transactions[node] = (
        0.0  # carried out, unanswered, and not seen here for a while
    )
    controller.components.watch.subscribe(lambda key, value, mod_revision: None)
    cluster.run_until(lambda: not is_marked_occupied(cluster, host), 5.0)
    cluster.run(2.0)
    cluster.unanswered_transactions.clear()
    writer.set_occupied(label, host, True)
    for _ in range(120):
        cluster.step()
        assert is_marked_occupied(cluster, host) or not writer.is_occupied(label, host)


def test_a_machine_up_at_once_gets_work_only_with_a_durable_mark_and_the_leader_ends() -> None:
    cluster = ready_cluster(1)
    cluster.capacity = 5
    uid = submit_job(cluster, 1, pieces=10)
    cluster.task_durations_s[uid] = 8.0
    cluster.unanswered_transactions[cluster.owner()] = 1.0
    first = cluster.owner()
    for at in range(400):
        cluster.step()
        for worker in cluster.workers.values():
            if worker.tasks:
                assert is_marked_occupied(cluster, worker.host)
        if at == 200:
            cluster.crash(first)
            cluster.unanswered_transactions.clear()
    cluster.start_controller(first)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_one_task_jobs_four_a_second_a_quarter_cancelled() -> None:
    cluster = SimulatedCluster(
        6, state={"rps": 60.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16}
    )
    cluster.run_until(lambda: bool(cluster.shards()), 5.0)
    cluster.run(3.0)
    asked = []
    for n in range(1, 121):
        asked.append(
            cluster.send_request(
                CONTROLLER_LABELS[n % 3], "POST", "/work", job_spec(n, pieces=1, cpus=1.0)
            )
        )
        if n % 4 == 0 and n > 8:
            cluster.send_request(CONTROLLER_LABELS[n % 3], "POST", f"/work/job-{n - 4:06d}/abort")
        cluster.run(0.25)
    assert all(found and found[0] == 201 for found in asked)
    cluster.run_until(
        lambda: all(cluster.job_state(f"job-{n:06d}") != "open" for n in range(1, 121)), 30.0
    )
    # A burst beyond all budgets: answered in time, and the service has nothing to refuse.
    cluster.state.write_rps, cluster.state._write_tokens, cluster.state._refilled_at = (
        25.0,
        25.0,
        cluster.now,
    )
    burst = [
        cluster.send_request(
            CONTROLLER_LABELS[n % 3], "POST", "/work", job_spec(n, pieces=1, cpus=1.0)
        )
        for n in range(200, 380)
    ]
    cluster.run_until(lambda: all(burst), 5.0)
    assert {found[0] for found in burst} == {
        201,
        503,
    } and cluster.state.rate_limited_transactions == 0
    cluster.run(15.0)
    for controller in cluster.controllers.values():
        assert all(not shard.jobs for shard in controller.components.owned_shards.shards.values())
        assert all(known.record is None for known in controller.components.jobs.entries.values())


# -- limits, cancels and a change of leader --------------------------------------------------


@pytest.mark.parametrize("trouble", ["cut", "hang", "none"])
def test_a_team_at_its_limit_keeps_it_when_leader_changes_and_its_job_is_cancelled(
    trouble: str,
) -> None:
    """A successor knew nothing of a cancelled job but its end: what a machine still ran of it did
    not count, and the team's next job started beside it."""
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, crew="small", pieces=2)
    cluster.task_durations_s[uid] = 300.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 2, 20.0)
    after = submit_job(cluster, 2, crew="small", pieces=2)
    old = cluster.owner()
    hosts = [host for host, worker in cluster.workers.items() if worker.running_tasks()]
    if trouble == "cut":
        cluster.partitions.update(
            (host, other) for host in hosts for other in other_controllers(old)
        )
    elif trouble == "hang":
        for host in hosts:
            cluster.workers[host].hung = True
    cluster.crash(old)
    cancel_job(cluster, other_controllers(old)[0], uid)
    cluster.run_until(lambda: cluster.owner() != old, 15.0)
    cluster.run(9.0)
    cluster.partitions.clear()
    for host in hosts:
        if host in cluster.workers:
            cluster.workers[host].hung = False
    cluster.run_until(lambda: cluster.job_state(after) == "done", 90.0)


def test_a_cancelled_tasks_room_in_its_teams_limit_is_free_only_once_it_is_gone() -> None:
    """The machine took the new leader's token, reported, and was then cut off with its tasks."""
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, crew="small", pieces=2)
    cluster.task_durations_s[uid] = 300.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 2, 20.0)
    old = cluster.owner()
    (host,) = [host for host, worker in cluster.workers.items() if worker.running_tasks()]
    after = submit_job(cluster, 2, crew="small", pieces=2)
    fencing_token = cluster.workers[host].fencing_token
    cluster.crash(old)
    cancel_job(cluster, other_controllers(old)[0], uid)
    cluster.run_until(lambda: cluster.workers[host].fencing_token > fencing_token, 20.0)
    # It is heard, but from then on nothing reaches it: it holds the limit for a lease.
    cluster.response_loss_hosts.add(host)
    cluster.command_loss_hosts.add(host)
    cluster.run(2.0)
    assert cluster.running_tasks(uid)
    cluster.run(9.0)
    cluster.response_loss_hosts.clear()
    cluster.command_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(after) == "done", 120.0)


@pytest.mark.parametrize("seed", range(4))
def test_jobs_cancelled_in_the_seconds_in_which_work_changes_hands(seed: int) -> None:
    rng = random.Random(seed)
    cluster = ready_cluster(4)
    cluster.capacity = 4
    uids = [submit_job(cluster, n, pieces=2) for n in range(6)]
    for uid in uids:
        cluster.task_durations_s[uid] = 100.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 8, 30.0)
    old = cluster.owner()
    cluster.partitions.update((old, other) for other in [*other_controllers(old), "state"])
    for uid in uids:
        cluster.run(rng.uniform(0.0, 1.0))
        cancel_job(cluster, rng.choice(other_controllers(old)), uid)
    cluster.run(45.0)
    assert not cluster.running_tasks()


def test_a_leader_cut_from_all_but_workers_and_users_while_the_new_one_confirms_cancels() -> None:
    cluster, uid = busy_cluster(4, 300.0)
    old = cluster.owner()
    cluster.partitions.update((old, other) for other in [*other_controllers(old), "state"])
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cancel_job(cluster, cluster.owner(), uid)
    status, body, _ = cluster.request(old, "GET", f"/work/{uid}")
    assert status == 503, body  # never an older answer
    cluster.run(32.0)
    assert not cluster.running_tasks(uid)


def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage() -> None:
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uids = [submit_job(cluster, n, pieces=3) for n in range(4)]
    for uid in uids:
        cluster.task_durations_s[uid] = 25.0
    for change in range(10):
        cluster.run(6.0)
        owner = cluster.owner()
        cluster.state.down = change in (4, 5)
        cluster.crash(owner)
        cluster.run(5.0 if change % 2 else 0.3)
        cluster.start_controller(owner)
    cluster.state.down = False
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in uids), 200.0)


def test_all_controllers_away_for_longer_than_a_lease() -> None:
    cluster, uid = busy_cluster(6, 15.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(9.0)
    assert not cluster.running_tasks(uid)  # their leases are over
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_hand_over_and_back_then_all_end_and_one_returns_within_a_second() -> None:
    cluster, uid = busy_cluster(6, 15.0)
    first = cluster.owner()
    leadership = cluster.controllers[first].components.leadership
    (label,) = cluster.controllers[first].components.owned_shards.shards
    leadership.hand_off(label, other_controllers(first)[0])
    cluster.run_until(lambda: cluster.owner() != first, 5.0)
    second = cluster.owner()
    cluster.run(0.5)
    cluster.controllers[second].components.leadership.hand_off(label, first)
    cluster.run_until(lambda: cluster.owner() == first, 5.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(0.5)
    cluster.start_controller(second)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    task_ids = [task_id for _, task_id, _ in cluster.task_starts if task_id.startswith(uid)]
    assert len(task_ids) == len(set(task_ids))


# -- machines that hear or say nothing, old reports ------------------------------------------


def test_a_machine_known_by_direct_commands_alone_and_then_dead_holds_no_task_for_ever() -> None:
    """Fenced after a takeover, its tasks were adopted from its answer; it never checked in, so
    its lease was never looked at, and its tasks never started elsewhere."""
    cluster, uid = busy_cluster(4, 12.0)
    dead = next(host for host, worker in cluster.workers.items() if worker.running_tasks())
    cluster.heartbeat_loss_hosts.add(dead)
    cluster.cloud_down = True
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run(0.5)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    cluster.run_until(lambda: bool(shard.machines[dead].runs), 5.0)
    assert not shard.machines[dead].heartbeat.online
    cluster.workers[dead].hung = True
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_mute_machines_lose_their_tasks_and_get_them_again_once_they_speak() -> None:
    cluster, uid = busy_cluster(4, 20.0)
    cluster.heartbeat_loss_hosts.update(cluster.workers)
    cluster.run(25.0)
    assert not cluster.running_tasks(uid)
    cluster.heartbeat_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_an_old_report_reaches_every_controller_just_as_a_new_leader_begins() -> None:
    """From before the tasks started, of machines that nobody reaches now: it must neither prove
    them empty nor hide a task. A third machine has room for all of them."""
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, pieces=4)
    cluster.run(0.2)
    old_reports = {host: cluster.sent_heartbeats[host][-1] for host in cluster.workers}
    cluster.task_durations_s[uid] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    away = {host for host, worker in cluster.workers.items() if worker.running_tasks()}
    cluster.task_durations_s[submit_job(cluster, 2, pieces=1, cpus=1.0)] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 5, 20.0)
    cluster.heartbeat_loss_hosts |= away
    cluster.command_loss_hosts |= away
    cluster.cloud_down = True
    old = cluster.owner()
    cluster.crash(old)
    for _ in range(140):
        for host in away:
            for label in list(cluster.controllers):
                asked = Request(
                    lambda status, answer, retry: None, "POST", "/checkin", old_reports[host]
                )
                cluster.commands[label].append(asked)
        cluster.step()
    assert cluster.owner() != old
    cluster.heartbeat_loss_hosts.clear()
    cluster.command_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_a_report_held_back_until_a_new_leader_has_acted() -> None:
    cluster, uid = busy_cluster(4, 30.0)
    host = next(iter(cluster.workers))
    body = cluster.sent_heartbeats[host][-1]
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run(4.0)
    agent = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.agents.values()))
    shard = agent.shard
    before = (shard.machines[host].heartbeat.agent_epoch, shard.machines[host].heartbeat.sequence)
    assert replay_heartbeat(cluster, cluster.owner(), body) == [503]
    # As an answer of `/do` that was held up it is no news either.
    agent.direct_commands.on_response(shard.machines[host], Response(200, body, cluster.now))
    assert (
        shard.machines[host].heartbeat.agent_epoch,
        shard.machines[host].heartbeat.sequence,
    ) >= before
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    assert len(cluster.task_starts) == 4


def test_reports_of_earlier_sessions_and_attempts_arrive_after_newer_ones() -> None:
    cluster, uid = busy_cluster(6, 8.0)
    host = next(iter(cluster.workers))
    kept = list(cluster.sent_heartbeats[host])
    cluster.heartbeat_loss_hosts.add(host)
    cluster.run(9.5)  # a new session
    cluster.heartbeat_loss_hosts.clear()
    cluster.run(3.0)
    kept += cluster.sent_heartbeats[host][:-1]
    for body in kept:
        replay_heartbeat(cluster, cluster.owner(), body)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_a_command_held_up_for_seconds_reaches_its_machine_later() -> None:
    """Stops that reach the machine after it has got the task again change nothing."""
    cluster, uid = busy_cluster(4, 6.0)
    host = next(iter(cluster.workers))
    worker = cluster.workers[host]
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    run = next(iter(shard.machines[host].runs.values()))
    late = {
        "baton": shard.machines[host].fencing.token,
        "shift": worker.agent_epoch,
        "orders": [{"verb": "stop", "piece": run.task_id, "try": run.attempt, "windup_s": 0}],
    }
    worker.hung = True
    cluster.run(4.0)
    worker.handle_direct_command(late)
    worker.hung = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    worker.handle_direct_command(late)
    assert cluster.job_state(uid) == "done"


def test_a_check_in_overtaken_by_an_answer_of_do_still_gets_its_stops() -> None:
    """Its reply renews the lease; without the stops, a cancelled task could go on with it."""
    cluster, uid = busy_cluster(4, 300.0)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    for host, machine in shard.machines.items():
        machine.heartbeat.sequence += (
            60  # as if newer answers of `/do` had come before all its reports
        )
        cluster.command_loss_hosts.add(host)
    cancel_job(cluster, "node-1", uid)
    cluster.run_until(lambda: not cluster.running_tasks(uid), 2.0)


# -- other meetings --------------------------------------------------------------------------


def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() -> None:
    cluster = ready_cluster(4)
    cluster.capacity = 4
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 8, 20.0)
    inside = cluster.owner()
    zone = [host for host, worker in cluster.workers.items() if worker.zone == "a"]
    cluster.partitions.update((inside, other) for other in [*other_controllers(inside), "state"])
    cluster.partitions.update((host, other) for host in zone for other in other_controllers(inside))
    cluster.run(20.0)
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 150.0)


@pytest.mark.parametrize("moment_s", [0.0, 0.05, 0.1, 0.3])
def test_a_cancel_a_question_and_a_repeat_meet_the_end_of_the_last_task(moment_s: float) -> None:
    cluster, uid = busy_cluster(4, 5.0)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) < 4, 20.0)
    cluster.run(moment_s)
    asked = cluster.send_request("node-0", "POST", f"/work/{uid}/abort")
    looked = cluster.send_request("node-1", "GET", f"/work/{uid}")
    again = cluster.send_request("node-2", "POST", "/work", job_spec(1, pieces=4))
    cluster.run_until(lambda: bool(asked and looked and again), 5.0)
    reported_state = asked[1]["stage"]
    assert reported_state in ("done", "withdrawn") and looked[0] == again[0] == 200
    assert job_states(cluster, uid) == {reported_state}
    cluster.run(10.0)
    assert job_states(cluster, uid) == {reported_state} == {cluster.job_state(uid)}


def test_jobs_of_few_tasks_that_end_far_apart_across_a_change_of_leader() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=3)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 3, 20.0)
    for at, worker in enumerate(cluster.workers.values()):
        for number, task in enumerate(worker.tasks.values()):
            task["ends_at"] = cluster.now + 2.0 + 15.0 * at + 30.0 * number
    cluster.run(4.0)
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    assert len(cluster.task_starts) == 3


@pytest.mark.parametrize(
    "overrides",
    [
        {"one_zone": True, "cpus": 8.0, "pieces": 6},
        {"apart": True, "cpus": 8.0, "pieces": 3},
        {"hall": "a"},
    ],
)
def test_jobs_bound_to_zones_lose_machines_and_first_tasks_keep_the_bond(
    overrides: dict[str, object],
) -> None:
    """When its first tasks went before all others, one plan booked the job in two parts, each
    bound to a zone of its own."""
    cluster = ready_cluster(4)
    cluster.capacity = 4
    blocker = submit_job(cluster, 1, pieces=8, rank="high")
    cluster.task_durations_s[blocker] = 95.0
    cluster.run_until(lambda: len(cluster.running_tasks(blocker)) == 8, 20.0)
    uid = submit_job(cluster, 2, **({"pieces": 40, "cpus": 1.0} | overrides))
    cluster.task_durations_s[uid] = 6.0
    cluster.run_until(lambda: task_start_count(cluster, uid) > 0, 130.0)
    lost = next(host for host, w in cluster.workers.items() if w.running_tasks())
    cluster.workers[lost].hung = True
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 200.0)


def test_more_work_than_room_urgent_and_not_over_slow_links() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    cluster.state_delay_s = 0.4
    uids = [
        submit_job(cluster, n, pieces=3, rank="high" if n % 2 else "standard", cpus=2.0)
        for n in range(1, 9)
    ]
    cancel_job(cluster, "node-1", uids[3])
    cluster.run_until(
        lambda: all(cluster.job_state(uid) == "done" for uid in uids if uid != uids[3]), 120.0
    )
    assert job_states(cluster, uids[3]) == {"withdrawn"}


def test_a_slow_state_service_then_the_leader_refused_alone_then_everybody() -> None:
    cluster, uid = busy_cluster(8, 100.0)
    other = submit_job(cluster, 2, pieces=2)
    cluster.state_delay_s = 0.6
    cluster.run(5.0)
    old = cluster.owner()
    cluster.refused_controllers.add(old)
    cancel_job(cluster, other_controllers(old)[0], uid)
    cluster.run(1.0)
    cluster.state.down = True
    for _ in range(12):
        cluster.run(3.0)
        for label in CONTROLLER_LABELS:
            status, body, _ = cluster.request(label, "GET", f"/work/{uid}")
            assert status == 503 or body["stage"] == "withdrawn"
    assert not cluster.running_tasks(uid)
    cluster.state.down = False
    cluster.refused_controllers.clear()
    cluster.state_delay_s = 0.0
    cluster.run_until(lambda: cluster.job_state(other) == "done", 60.0)


def test_a_job_that_failed_once_on_every_machine_is_tried_again() -> None:
    """Machines on which it failed were closed to it for ever: with all of them so, it waited
    while they stood idle."""
    cluster = ready_cluster(2)
    cluster.capacity = 2
    cluster.exit_reasons = dict.fromkeys(cluster.workers, "error")
    uid = submit_job(cluster, 1, pieces=4)
    cluster.run_until(lambda: len({host for _, _, host in cluster.task_starts}) == 2, 40.0)
    cluster.run(6.0)
    cluster.exit_reasons.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_a_machine_whose_move_was_called_off_is_used_again() -> None:
    cluster = ready_cluster(2)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    machine = next(iter(shard.machines.values()))
    machine.departure.leaving_shard = True
    cluster.run(1.0)
    assert machine.usable


# -- drawn at random, with the seed -----------------------------------------------------------


@pytest.mark.parametrize("seed", range(8))
def test_drawn_troubles_break_no_rule_and_everything_ends(seed: int) -> None:
    rng = random.Random(1000 + seed)
    cluster = ready_cluster(4)
    cluster.capacity = 5
    reported_states: dict[str, str] = {}
    open_jobs: list[str] = []
    number = 0
    kept: list[bytes] = []
    for _ in range(60):
        draw = rng.random()
        label = rng.choice(CONTROLLER_LABELS)
        host = rng.choice(sorted(cluster.workers)) if cluster.workers else ""
        if draw < 0.25:
            number += 1
            team = "small" if rng.random() < 0.4 else "crew"
            spec = job_spec(number, pieces=rng.randint(1, 5), crew=team)
            cluster.task_durations_s[spec["uid"]] = rng.uniform(1.0, 40.0)
            found = cluster.send_request(label, "POST", "/work", spec)
            cluster.run(0.1)
            if found and found[0] in (200, 201):
                open_jobs.append(spec["uid"])
        elif draw < 0.35 and open_jobs:
            uid = rng.choice(open_jobs)
            found = cluster.send_request(label, "POST", f"/work/{uid}/abort")
            cluster.run(0.1)
            if found and found[0] == 200:
                reported_states[uid] = found[1]["stage"]
        elif draw < 0.45 and label in cluster.controllers and len(cluster.controllers) > 1:
            cluster.crash(label)
            at = cluster.now + rng.choice([0.1, 1.0, 6.0])
            cluster.scheduled.append((at, lambda label=label: cluster.start_controller(label)))
        elif draw < 0.55:
            wholly = rng.random() < 0.5
            ends = {(label, "state")} | {(label, o) for o in other_controllers(label) if wholly}
            cluster.partitions |= ends
            at = cluster.now + rng.uniform(1.0, 25.0)
            cluster.scheduled.append(
                (at, lambda ends=ends: cluster.partitions.difference_update(ends))
            )
        elif draw < 0.62:
            cluster.unanswered_transactions[label] = rng.choice([0.0, 3.0, 10.0])
            at = cluster.now + rng.uniform(1.0, 6.0)
            cluster.scheduled.append(
                (at, lambda label=label: cluster.unanswered_transactions.pop(label, None))
            )
        elif draw < 0.8 and host:
            hosts = rng.choice(
                [
                    cluster.response_loss_hosts,
                    cluster.heartbeat_loss_hosts,
                    cluster.command_loss_hosts,
                ]
            )
            hosts.add(host)
            at = cluster.now + rng.uniform(1.0, 20.0)
            cluster.scheduled.append((at, lambda hosts=hosts, host=host: hosts.discard(host)))
        elif draw < 0.86 and host:
            worker = cluster.workers[host]
            worker.hung = True
            at = cluster.now + rng.uniform(1.0, 12.0)
            cluster.scheduled.append((at, lambda worker=worker: setattr(worker, "hung", False)))
        elif draw < 0.9:
            cluster.state.down = True
            at = cluster.now + rng.uniform(1.0, 12.0)
            cluster.scheduled.append((at, lambda: setattr(cluster.state, "down", False)))
        elif host and cluster.sent_heartbeats.get(host):
            kept.append(rng.choice(cluster.sent_heartbeats[host]))
            for other in cluster.controllers:
                replay_heartbeat(cluster, other, rng.choice(kept))
        cluster.run(rng.uniform(0.1, 2.5))
    cluster.run(26.0)
    cluster.partitions.clear()
    cluster.unanswered_transactions.clear()
    for hosts in (
        cluster.response_loss_hosts,
        cluster.heartbeat_loss_hosts,
        cluster.command_loss_hosts,
    ):
        hosts.clear()
    cluster.task_durations_s.clear()
    cluster.run_until(lambda: len(cluster.controllers) == 3, 10.0)

    def all_jobs_ended() -> bool:
        return all(cluster.job_state(uid) in ("done", "withdrawn") for uid in open_jobs)

    cluster.run_until(all_jobs_ended, 120.0)
    for uid, stage in reported_states.items():
        assert job_states(cluster, uid) == {stage}
