"""Tests of combined failures: one for each combination that users name.

docs/combined-failures.md lists the combinations. The cluster of `tests/simulated_cluster.py` checks
the rules at every step and fails the test for a task on two machines, an exceeded limit, a task
that starts in a wrong place, or a task of a cancelled job that goes on running.
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
    """Return the states that all controllers report for the job when asked at the same time."""
    responses = [
        cluster.send_request(label, "GET", f"/work/{uid}") for label in cluster.controllers
    ]
    cluster.run_until(lambda: all(responses), 5.0)
    assert all(response[0] == 200 for response in responses), responses
    return {response[1]["stage"] for response in responses}


def is_flagged_occupied(cluster: SimulatedCluster, host: str) -> bool:
    """Return whether the machine's durable occupancy flag says that it may hold tasks."""
    for record in cluster.shards().values():
        entry = decode_shard(json.dumps(record).encode()).machines.get(host)
        if entry is not None:
            return entry.occupied
    return False


# -- the state service refuses the leader, then fails for all ---------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_cancelled_tasks_end_when_leader_is_refused_and_an_outage_follows(seed: int) -> None:
    """The state service refuses the leader alone while other controllers confirm cancellations.

    Then no controller reaches the state service for longer than `cancel_s`, and the workers go on
    sending heartbeats to the old leader. One worker hangs for less than its lease.
    """
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
    # The simulated cluster fails the test if a cancelled task runs for longer than `cancel_s`.
    cluster.run(40.0)
    cluster.state.down = False
    cluster.refused_controllers.clear()
    cluster.task_durations_s.clear()
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in uids[2:]), 60.0)


def test_refused_leader_applies_announced_cancellations_and_starts_no_task() -> None:
    """Announcements by peers only speed up cancellations: the response window guarantees them.

    If the refused leader added the job again from its old copy of the job's record, the job would
    run on until the window ends.
    """
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


def test_waiting_heartbeat_gets_503_when_response_window_has_ended() -> None:
    """A heartbeat that waited for the next plan was answered without checking the time again."""
    cluster, _ = busy_cluster(8, 60.0)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    (host, machine) = next(iter(shard.machines.items()))
    statuses: list[int] = []

    def record_status(status: int, body: bytes, retry_after: float | None) -> None:
        statuses.append(status)

    controller.components.heartbeats.deferred.waiting.append(
        DeferredHeartbeat(
            record_status,
            controller.components.owned_shards.agents[shard.shard_id],
            machine,
            True,
            0.0,
        )
    )
    controller.components.watch.fresh_at = (
        controller.components.context.now - controller.components.context.timing.response_window_s
    )
    cluster.step()
    assert statuses == [503] and host in shard.machines


# -- concurrent and repeated requests of users -------------------------------------------------


def test_concurrent_requests_to_all_controllers_get_the_current_state() -> None:
    cluster = ready_cluster()
    for number in range(1, 9):
        uid = f"job-{number:06d}"
        responses = [
            cluster.send_request(label, "POST", "/work", job_spec(number))
            for label in CONTROLLER_LABELS
        ]
        cluster.run_until(lambda awaited=responses: any(awaited), 5.0)
        assert job_states(cluster, uid) <= {"pending", "running"}
        cluster.run_until(lambda awaited=responses: all(awaited), 5.0)
        assert sorted(answer[0] for answer in responses) == [200, 200, 201]
        if number % 2:
            cancel_job(cluster, CONTROLLER_LABELS[number % 3], uid)
            assert job_states(cluster, uid) == {"withdrawn"}
        else:
            cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 30.0)
            assert job_states(cluster, uid) == {"done"}
        repeated = [
            cluster.send_request(label, "POST", "/work", job_spec(number))
            for label in CONTROLLER_LABELS
        ]
        cluster.run_until(lambda awaited=repeated: all(awaited), 5.0)
        assert {answer[1]["stage"] for answer in repeated} <= {"withdrawn", "done"}


def test_repeated_submission_of_accepted_job_never_gets_400_or_422() -> None:
    """Neither from the controller that accepted it, nor from one that has not seen it yet."""
    cluster = ready_cluster()
    spec = job_spec(1)
    invalid_bodies = [
        json.dumps({k: v for k, v in spec.items() if k != "kit"}).encode(),
        json.dumps(spec | {"cpus": 900.0}).encode(),
        json.dumps(spec | {"crew": "nobody"}).encode(),
    ]
    first = cluster.send_request("node-0", "POST", "/work", spec)
    cluster.run_until(lambda: bool(first), 5.0)
    for body in invalid_bodies:
        responses = [
            cluster.send_request(label, "POST", "/work", body) for label in CONTROLLER_LABELS
        ]
        cluster.run_until(lambda found=responses: all(found), 5.0)
        assert [found[0] for found in responses] == [200, 200, 200]
    cancel_job(cluster, "node-1", "job-000001")
    for body in invalid_bodies:
        assert cluster.request("node-2", "POST", "/work", body)[1]["stage"] == "withdrawn"


def test_repeated_submission_gets_503_when_state_service_is_unreachable() -> None:
    """The job was cancelled elsewhere, and the repeated submission differs in a field."""
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cut_off = other_controllers(cluster.owner())[0]
    cluster.run(1.0)
    cluster.partitions.add((cut_off, "state"))
    cancel_job(cluster, other_controllers(cut_off)[0], uid)
    body = json.dumps(job_spec(1) | {"cpus": 900.0}).encode()
    status, answer, _ = cluster.request(cut_off, "POST", "/work", body)
    assert status == 503, answer


def test_invalid_input_gets_the_same_answer_everywhere_and_changes_nothing() -> None:
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


# -- late and unanswered transactions ----------------------------------------------------------


@pytest.mark.parametrize("late_s", [0.0, 2.5, 9.0])
def test_unanswered_writes_are_recognized_and_late_ones_change_nothing(late_s: float) -> None:
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
        expected = "withdrawn" if n % 2 else "done"
        cluster.run_until(
            lambda uid=uid, expected=expected: cluster.job_state(uid) == expected, 60.0
        )
        assert job_states(cluster, uid) == {expected}


def test_occupancy_flag_counts_only_once_durable_when_a_write_was_unanswered() -> None:
    """The owner cleared the occupancy flag of a silent machine, and the write got no answer.

    The machine came back, and the write that set the flag again conflicted, because the first one
    had been carried out. Judged by an older copy of the record, the flag was taken for set, so that
    run commands could be sent. The next owner would have taken the machine for empty.
    """
    cluster = ready_cluster(1)
    cluster.capacity = 1
    (host,) = cluster.workers
    cluster.run_until(lambda: is_flagged_occupied(cluster, host), 5.0)
    node = cluster.owner()
    controller = cluster.controllers[node]
    writer, (label,) = controller.components.writer, controller.components.owned_shards.shards
    record, _ = controller.components.registry.shards[label]
    assert record.machines[host].occupied
    writer.set_occupied(label, host, False)
    # Transactions are carried out at once, but unanswered, and the owner does not see their changes
    # for a while.
    cluster.unanswered_transactions[node] = 0.0
    controller.components.watch.subscribe(lambda key, value, mod_revision: None)
    cluster.run_until(lambda: not is_flagged_occupied(cluster, host), 5.0)
    cluster.run(2.0)
    cluster.unanswered_transactions.clear()
    writer.set_occupied(label, host, True)
    for _ in range(120):
        cluster.step()
        assert is_flagged_occupied(cluster, host) or not writer.is_occupied(label, host)


def test_new_machine_gets_tasks_only_with_durable_occupancy_flag() -> None:
    """The leader's writes are carried out late and get no answer; then the leader crashes."""
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
                assert is_flagged_occupied(cluster, worker.host)
        if at == 200:
            cluster.crash(first)
            cluster.unanswered_transactions.clear()
    cluster.start_controller(first)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_stream_of_one_task_jobs_keeps_within_the_state_service_limits() -> None:
    """Four jobs of one task are submitted a second; a quarter of them is cancelled."""
    cluster = SimulatedCluster(
        6, state={"rps": 60.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16}
    )
    cluster.run_until(lambda: bool(cluster.shards()), 5.0)
    cluster.run(3.0)
    responses = []
    for n in range(1, 121):
        responses.append(
            cluster.send_request(
                CONTROLLER_LABELS[n % 3], "POST", "/work", job_spec(n, pieces=1, cpus=1.0)
            )
        )
        if n % 4 == 0 and n > 8:
            cluster.send_request(CONTROLLER_LABELS[n % 3], "POST", f"/work/job-{n - 4:06d}/abort")
        cluster.run(0.25)
    assert all(found and found[0] == 201 for found in responses)
    cluster.run_until(
        lambda: all(cluster.job_state(f"job-{n:06d}") != "open" for n in range(1, 121)), 30.0
    )
    # A burst beyond all budgets: the requests are answered in time, and the controllers send the
    # state service no more transactions than its rate limit allows.
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


# -- team limits, cancellations and changes of leader ------------------------------------------


@pytest.mark.parametrize("trouble", ["cut", "hang", "none"])
def test_team_limit_holds_when_job_is_cancelled_during_leader_change(
    trouble: str,
) -> None:
    """The new leader knew of a cancelled job only that it had ended.

    Tasks of it that a machine still ran did not count towards the team's limit, and the team's next
    job started beside them.
    """
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, crew="small", pieces=2)
    cluster.task_durations_s[uid] = 300.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 2, 20.0)
    next_uid = submit_job(cluster, 2, crew="small", pieces=2)
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
    cluster.run_until(lambda: cluster.job_state(next_uid) == "done", 90.0)


def test_cancelled_task_counts_towards_team_limit_until_it_is_gone() -> None:
    """The machine adopts the new leader's token, sends a heartbeat and is then cut off."""
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, crew="small", pieces=2)
    cluster.task_durations_s[uid] = 300.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 2, 20.0)
    old = cluster.owner()
    (host,) = [host for host, worker in cluster.workers.items() if worker.running_tasks()]
    next_uid = submit_job(cluster, 2, crew="small", pieces=2)
    fencing_token = cluster.workers[host].fencing_token
    cluster.crash(old)
    cancel_job(cluster, other_controllers(old)[0], uid)
    cluster.run_until(lambda: cluster.workers[host].fencing_token > fencing_token, 20.0)
    # Its heartbeats arrive, but from now on nothing reaches it: its tasks count towards the limit
    # until its lease has expired.
    cluster.response_loss_hosts.add(host)
    cluster.command_loss_hosts.add(host)
    cluster.run(2.0)
    assert cluster.running_tasks(uid)
    cluster.run(9.0)
    cluster.response_loss_hosts.clear()
    cluster.command_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(next_uid) == "done", 120.0)


@pytest.mark.parametrize("seed", range(4))
def test_jobs_cancelled_during_a_takeover_stop_running(seed: int) -> None:
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


def test_cancelled_tasks_end_and_old_leader_answers_503_when_it_is_isolated() -> None:
    """The old leader reaches workers and users, but neither its peers nor the state service.

    The new leader confirms the cancellation meanwhile.
    """
    cluster, uid = busy_cluster(4, 300.0)
    old = cluster.owner()
    cluster.partitions.update((old, other) for other in [*other_controllers(old), "state"])
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cancel_job(cluster, cluster.owner(), uid)
    status, body, _ = cluster.request(old, "GET", f"/work/{uid}")
    assert status == 503, body  # never an outdated state
    cluster.run(32.0)
    assert not cluster.running_tasks(uid)


def test_jobs_complete_when_leader_crashes_ten_times_also_in_an_outage() -> None:
    """The leader crashes ten times in two minutes, twice during a state service outage."""
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


def test_job_completes_when_all_controllers_are_down_for_longer_than_a_lease() -> None:
    cluster, uid = busy_cluster(6, 15.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(9.0)
    assert not cluster.running_tasks(uid)  # the machines' leases have expired
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_no_task_starts_twice_when_all_controllers_crash_after_handoffs() -> None:
    """The shard is handed off and back, all controllers crash, and one is back within a second."""
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


# -- lost messages and late heartbeats ---------------------------------------------------------


def test_tasks_restart_when_machine_known_only_by_direct_commands_dies() -> None:
    """After a takeover, the machine was fenced by a direct command and its tasks were adopted.

    They were adopted from its response; as it never sent a heartbeat, its lease was never checked,
    and its tasks never started elsewhere.
    """
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


def test_machines_lose_tasks_without_heartbeats_and_get_them_again_afterwards() -> None:
    cluster, uid = busy_cluster(4, 20.0)
    cluster.heartbeat_loss_hosts.update(cluster.workers)
    cluster.run(25.0)
    assert not cluster.running_tasks(uid)
    cluster.heartbeat_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_old_heartbeats_during_leader_change_prove_nothing_and_hide_no_task() -> None:
    """The heartbeats are from before the tasks started, and no controller reaches their machines.

    Every running controller gets them while a new leader takes over. They must neither prove the
    machines empty nor hide a task. A third machine has room for all of the tasks.
    """
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, pieces=4)
    cluster.run(0.2)
    old_heartbeats = {host: cluster.sent_heartbeats[host][-1] for host in cluster.workers}
    cluster.task_durations_s[uid] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    unreachable = {host for host, worker in cluster.workers.items() if worker.running_tasks()}
    cluster.task_durations_s[submit_job(cluster, 2, pieces=1, cpus=1.0)] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks()) == 5, 20.0)
    cluster.heartbeat_loss_hosts |= unreachable
    cluster.command_loss_hosts |= unreachable
    cluster.cloud_down = True
    old = cluster.owner()
    cluster.crash(old)
    for _ in range(140):
        for host in unreachable:
            for label in list(cluster.controllers):
                request = Request(
                    lambda status, answer, retry: None, "POST", "/checkin", old_heartbeats[host]
                )
                cluster.commands[label].append(request)
        cluster.step()
    assert cluster.owner() != old
    cluster.heartbeat_loss_hosts.clear()
    cluster.command_loss_hosts.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_heartbeat_delayed_until_after_leader_change_is_refused() -> None:
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
    # Delivered as a delayed response to `/do`, it does not count as newer either.
    agent.direct_commands.on_response(shard.machines[host], Response(200, body, cluster.now))
    assert (
        shard.machines[host].heartbeat.agent_epoch,
        shard.machines[host].heartbeat.sequence,
    ) >= before
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    assert len(cluster.task_starts) == 4


def test_job_completes_when_heartbeats_of_earlier_agent_epochs_arrive_late() -> None:
    """They report earlier attempts of the tasks, and arrive after newer heartbeats."""
    cluster, uid = busy_cluster(6, 8.0)
    host = next(iter(cluster.workers))
    earlier_heartbeats = list(cluster.sent_heartbeats[host])
    cluster.heartbeat_loss_hosts.add(host)
    cluster.run(9.5)  # longer than a lease: the worker begins a new agent epoch
    cluster.heartbeat_loss_hosts.clear()
    cluster.run(3.0)
    earlier_heartbeats += cluster.sent_heartbeats[host][:-1]
    for body in earlier_heartbeats:
        replay_heartbeat(cluster, cluster.owner(), body)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_stop_command_delayed_by_seconds_changes_nothing() -> None:
    """A stop that reaches the machine after it has got the task again must change nothing."""
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


def test_heartbeat_that_arrives_after_newer_response_to_do_gets_stop_commands() -> None:
    """The response renews the lease: without stops in it, a cancelled task could run on."""
    cluster, uid = busy_cluster(4, 300.0)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    for host, machine in shard.machines.items():
        # As if a response to `/do` had arrived that is newer than its next 60 heartbeats.
        machine.heartbeat.sequence += 60
        cluster.command_loss_hosts.add(host)
    cancel_job(cluster, "node-1", uid)
    cluster.run_until(lambda: not cluster.running_tasks(uid), 2.0)


# -- other combinations ------------------------------------------------------------------------


def test_job_completes_when_zone_of_owner_is_cut_off_for_longer_than_a_lease() -> None:
    cluster = ready_cluster(4)
    cluster.capacity = 4
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 40.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 8, 20.0)
    owner = cluster.owner()
    zone = [host for host, worker in cluster.workers.items() if worker.zone == "a"]
    cluster.partitions.update((owner, other) for other in [*other_controllers(owner), "state"])
    cluster.partitions.update((host, other) for host in zone for other in other_controllers(owner))
    cluster.run(20.0)
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 150.0)


@pytest.mark.parametrize("moment_s", [0.0, 0.05, 0.1, 0.3])
def test_cancellation_at_the_end_of_the_last_tasks_gives_one_final_state(moment_s: float) -> None:
    """A query and a repeated submission come at the same time, each at another controller."""
    cluster, uid = busy_cluster(4, 5.0)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) < 4, 20.0)
    cluster.run(moment_s)
    cancellation = cluster.send_request("node-0", "POST", f"/work/{uid}/abort")
    query = cluster.send_request("node-1", "GET", f"/work/{uid}")
    resubmission = cluster.send_request("node-2", "POST", "/work", job_spec(1, pieces=4))
    cluster.run_until(lambda: bool(cancellation and query and resubmission), 5.0)
    reported_state = cancellation[1]["stage"]
    assert reported_state in ("done", "withdrawn") and query[0] == resubmission[0] == 200
    assert job_states(cluster, uid) == {reported_state}
    cluster.run(10.0)
    assert job_states(cluster, uid) == {reported_state} == {cluster.job_state(uid)}


def test_few_tasks_that_end_far_apart_start_once_across_a_leader_change() -> None:
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
def test_zone_bound_job_stays_in_its_zones_when_a_machine_is_lost(
    overrides: dict[str, object],
) -> None:
    """A plan that put the first tasks of a starved job before all others contained the job twice.

    Each of its two parts was bound to a zone of its own.
    """
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


def test_overload_of_mixed_priorities_completes_when_state_service_is_slow() -> None:
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


def test_cancelled_job_never_looks_open_when_state_service_fails_in_steps() -> None:
    """The state service is slow, then refuses the leader alone, then fails for all controllers."""
    cluster, uid = busy_cluster(8, 100.0)
    other_uid = submit_job(cluster, 2, pieces=2)
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
    cluster.run_until(lambda: cluster.job_state(other_uid) == "done", 60.0)


def test_job_that_failed_on_every_machine_is_tried_again() -> None:
    """A machine on which the job had failed was never given its tasks again.

    Once it had failed on all machines, it waited while they were idle.
    """
    cluster = ready_cluster(2)
    cluster.capacity = 2
    cluster.exit_reasons = dict.fromkeys(cluster.workers, "error")
    uid = submit_job(cluster, 1, pieces=4)
    cluster.run_until(lambda: len({host for _, _, host in cluster.task_starts}) == 2, 40.0)
    cluster.run(6.0)
    cluster.exit_reasons.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_machine_is_usable_again_when_its_removal_was_cancelled() -> None:
    cluster = ready_cluster(2)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    machine = next(iter(shard.machines.values()))
    machine.departure.leaving_shard = True
    cluster.run(1.0)
    assert machine.usable


# -- random failures, by seed -------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(8))
def test_random_failures_break_no_rule_and_all_jobs_end(seed: int) -> None:
    rng = random.Random(1000 + seed)
    cluster = ready_cluster(4)
    cluster.capacity = 5
    reported_states: dict[str, str] = {}
    open_jobs: list[str] = []
    number = 0
    sent_earlier: list[bytes] = []
    for _ in range(60):
        draw = rng.random()
        label = rng.choice(CONTROLLER_LABELS)
        host = rng.choice(sorted(cluster.workers)) if cluster.workers else ""
        if draw < 0.25:
            number += 1
            team = "small" if rng.random() < 0.4 else "crew"
            spec = job_spec(number, pieces=rng.randint(1, 5), crew=team)
            cluster.task_durations_s[spec["uid"]] = rng.uniform(1.0, 40.0)
            response = cluster.send_request(label, "POST", "/work", spec)
            cluster.run(0.1)
            if response and response[0] in (200, 201):
                open_jobs.append(spec["uid"])
        elif draw < 0.35 and open_jobs:
            uid = rng.choice(open_jobs)
            response = cluster.send_request(label, "POST", f"/work/{uid}/abort")
            cluster.run(0.1)
            if response and response[0] == 200:
                reported_states[uid] = response[1]["stage"]
        elif draw < 0.45 and label in cluster.controllers and len(cluster.controllers) > 1:
            cluster.crash(label)
            at = cluster.now + rng.choice([0.1, 1.0, 6.0])
            cluster.scheduled.append((at, lambda label=label: cluster.start_controller(label)))
        elif draw < 0.55:
            peers_too = rng.random() < 0.5
            ends = {(label, "state")} | {(label, o) for o in other_controllers(label) if peers_too}
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
            sent_earlier.append(rng.choice(cluster.sent_heartbeats[host]))
            for other in cluster.controllers:
                replay_heartbeat(cluster, other, rng.choice(sent_earlier))
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
