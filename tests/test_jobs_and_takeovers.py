"""Tests of jobs and takeovers in a simulated cluster that runs in memory.

It consists of controllers, workers, the cloud and the state service.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from fallpulley.shared_records.shard_record import decode_shard
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, job_spec


def ready_cluster(machines: int = 2, **facts: object) -> SimulatedCluster:
    cluster = SimulatedCluster(machines, **facts)
    cluster.run_until(lambda: any(k.startswith("live/block/") for k in cluster.state.entries), 5.0)
    cluster.run(3.0)
    return cluster


def submit_job(
    cluster: SimulatedCluster, uid: int, label: str = "node-0", **overrides: object
) -> str:
    spec = job_spec(uid, **overrides)
    status, _, _ = cluster.request(label, "POST", "/work", spec)
    assert status == 201
    return str(spec["uid"])


def machines_in_record(record: dict[str, Any]) -> list[str]:
    return list(decode_shard(json.dumps(record).encode()).machines)


def busy_cluster(
    task_count: int, seconds: float, expect_s: float = 4.0
) -> tuple[SimulatedCluster, str]:
    """Return a cluster of two machines that are full with tasks of one job, and the job's id.

    The cloud has no further machines. Each task runs for `seconds`.
    """
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=task_count, expect_s=expect_s)
    cluster.task_durations_s[uid] = seconds
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    return cluster, uid


def other_controllers(label: str) -> list[str]:
    return [other for other in CONTROLLER_LABELS if other != label]


def test_job_runs_and_all_controllers_report_it_done() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)
    for label in CONTROLLER_LABELS:
        status, body, _ = cluster.request(label, "GET", f"/work/{uid}")
        assert (status, body["stage"], body["done"]) == (200, "done", 4)
    # A retry long after the end gets the current state; unknown and malformed ids get 404.
    assert cluster.request("node-2", "POST", "/work", job_spec(1))[:2][0] == 200
    assert cluster.request("node-1", "GET", "/work/job-999999")[0] == 404
    assert cluster.request("node-1", "GET", "/work/nonsense")[0] == 404


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b'"\xff"', 400),
        (json.dumps(job_spec(1) | {"pieces": 0}).encode(), 400),
        (json.dumps(job_spec(1) | {"pieces": 2.5}).encode(), 400),
        (json.dumps(job_spec(1) | {"cpus": 1e999}).encode(), 400),
        (json.dumps(job_spec(1) | {"cpus": "4"}).encode(), 400),
        (json.dumps(job_spec(1) | {"uid": "task-1"}).encode(), 400),
        (json.dumps({k: v for k, v in job_spec(1).items() if k != "kit"}).encode(), 400),
        (json.dumps(job_spec(1) | {"crew": "nobody"}).encode(), 422),
        (json.dumps(job_spec(1) | {"cpus": 9.0}).encode(), 422),
        (json.dumps(job_spec(1) | {"builds": ["ship"]}).encode(), 422),
        (json.dumps(job_spec(1) | {"hall": "z"}).encode(), 422),
    ],
)
def test_invalid_submissions_get_400_or_422(body: bytes, status: int) -> None:
    cluster = ready_cluster()
    assert cluster.request("node-1", "POST", "/work", body)[0] == status


def test_job_needing_more_than_team_limit_is_refused_and_the_limit_holds() -> None:
    cluster = ready_cluster(4)
    assert cluster.request("node-0", "POST", "/work", job_spec(1, crew="small", cpus=8.5))[0] == 422
    submit_job(cluster, 2, crew="small", pieces=6)
    submit_job(cluster, 3, "node-1", crew="small", pieces=6)
    max_running = 0
    for _ in range(400):
        cluster.step()
        max_running = max(max_running, len(cluster.running_tasks("job-")))
    assert max_running == 2  # two tasks of 4 processors use all of the team's 8


def test_requests_get_503_but_up_gets_200_during_state_service_outage() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cluster.state.down = True
    cluster.run(5.0)
    status, _, retry = cluster.request("node-0", "POST", "/work", job_spec(2))
    assert (status, retry) == (503, 1.0)
    assert cluster.request("node-1", "GET", f"/work/{uid}")[0] == 503
    assert all(cluster.request(label, "GET", "/up")[0] == 200 for label in CONTROLLER_LABELS)
    cluster.state.down = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)


def test_controller_alone_without_state_service_is_not_up_and_accepts_no_job() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cut_off = other_controllers(cluster.owner())[0]
    cluster.partitions.add((cut_off, "state"))
    cluster.run(6.0)
    assert cluster.request(cut_off, "GET", "/up")[0] == 503
    assert cluster.request(other_controllers(cut_off)[0], "GET", "/up")[0] == 200
    assert cluster.request(cut_off, "POST", "/work", job_spec(2))[0] == 503
    assert cluster.request(cut_off, "GET", f"/work/{uid}")[0] in (200, 503)


def test_burst_of_short_tasks_after_idle_time_is_spread_over_machines() -> None:
    """An idle machine could be given any number of tasks shorter than the age of its snapshot.

    They were planned from the snapshot's time on, so that their planned ends lay in the past. The
    simulated cluster checks that no machine is given more than it holds.
    """
    cluster = ready_cluster(4, operators={"idle_boots": 50.0})
    cluster.capacity = 4
    cluster.run(20.0)
    uid = submit_job(cluster, 1, pieces=40, expect_s=3.0)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 8, 10.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_new_owner_adopts_running_tasks_and_starts_none_twice() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 12.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    cluster.crash(cluster.owner())
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    # The simulated cluster checks the rules; besides, no completed task ran again.
    task_ids = [task_id for _, task_id, _ in cluster.task_starts]
    assert len(task_ids) == len(set(task_ids))


def test_machine_heard_by_new_owner_in_the_same_batch_keeps_its_tasks() -> None:
    """Its tasks, just adopted, were taken for gone before its heartbeat was answered."""
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=4)
    cluster.task_durations_s[uid] = 30.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    started = len(cluster.task_starts)
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run(15.0)
    assert len(cluster.task_starts) == started


def test_tasks_of_hung_machine_wait_for_its_lease_to_expire_across_a_takeover() -> None:
    cluster, uid = busy_cluster(4, 30.0)
    hung = next(iter(cluster.workers.values()))
    hung.hung = True
    cluster.crash(cluster.owner())
    cluster.run(12.0)
    # The new owner cannot have proved the tasks gone yet. The simulated cluster checks that no task
    # runs on two machines.
    hung.hung = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 200.0)


def test_owner_cut_off_from_state_service_is_fenced() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 10.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    old = cluster.owner()
    cluster.partitions.add((old, "state"))
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_cut_off_owner_does_not_restart_tasks_of_machine_with_a_new_owner() -> None:
    """The machine's tasks ran on under the new owner.

    The old owner took the machine for silent and started the tasks again on a machine that still
    received messages from the old owner alone.
    """
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=3)
    cluster.task_durations_s[uid] = 60.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 3, 20.0)
    old = cluster.owner()
    cut_off = min(cluster.workers.values(), key=lambda worker: len(worker.running_tasks()))
    assert len(cut_off.running_tasks()) == 1
    cluster.partitions.add((old, "state"))
    for other in other_controllers(old):
        cluster.partitions.add((cut_off.host, other))
    cluster.cloud_down = True
    cluster.run(30.0)
    assert len(cluster.task_starts) == 3
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_response_window_of_cut_off_owner_is_awaited_when_its_successor_ends() -> None:
    """The end of the first owner's successor was taken for the end of the first owner.

    The tasks on the machine, to which the first owner still responded, were started a second time.
    """
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, pieces=5)
    cluster.task_durations_s[uid] = 90.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 5, 20.0)
    first = cluster.owner()
    cut_off = max(cluster.workers.values(), key=lambda worker: len(worker.running_tasks()))
    cluster.partitions.update((first, other) for other in [*other_controllers(first), "state"])
    cluster.partitions.update((cut_off.host, other) for other in other_controllers(first))
    cluster.cloud_down = True
    cluster.run_until(lambda: cluster.owner() != first, 10.0)
    second = cluster.owner()
    cluster.run(3.0)
    cluster.crash(second)
    cluster.run_until(lambda: cluster.owner() not in (first, second), 10.0)
    cluster.start_controller(second)
    cluster.run(40.0)
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 200.0)


def test_takeover_does_not_wait_for_machines_that_cannot_hold_tasks() -> None:
    cluster, _ = busy_cluster(8, 10.0)
    never_online = cluster.add_machine("a", spot=False)  # recorded, but never online
    cluster.workers[never_online].hung = True
    cluster.run(3.0)
    cluster.cloud_down = True
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    # Waiting for the third machine would take the response window and a lease, 27 s.
    cluster.run_until(lambda: len(cluster.task_starts) == 8, 15.0)


def test_machine_that_died_before_takeover_is_proved_gone_by_its_release() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=8)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    dead = next(iter(cluster.workers.values()))
    dead.hung = True
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run_until(lambda: dead.host in cluster.released_hosts, 5.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_cancelled_tasks_end_when_their_owner_is_cut_off_with_the_machine() -> None:
    cluster, uid = busy_cluster(4, 500.0)
    old = cluster.owner()
    cluster.partitions.add((old, "state"))
    # One machine reaches only its old owner, and the cloud releases no machines: its tasks must end
    # because the owner stops responding when its response window ends.
    cluster.cloud_down = True
    cut_off = next(iter(cluster.workers.values()))
    for other in other_controllers(old):
        cluster.partitions.add((cut_off.host, other))
    cluster.run(1.0)
    status, body, _ = cluster.request(other_controllers(old)[0], "POST", f"/work/{uid}/abort")
    assert (status, body["stage"]) == (200, "withdrawn")
    # The simulated cluster fails the test if a cancelled task runs for longer than `cancel_s`.
    cluster.run(40.0)
    assert not cluster.running_tasks(uid)


def test_job_cancelled_while_its_tasks_start_is_stopped() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    found = cluster.send_request("node-1", "POST", f"/work/{uid}/abort")
    cluster.run(12.0)
    assert found[0] == 200
    assert not cluster.running_tasks(uid)
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"
    # A repeated cancellation at another controller gets the same answer.
    assert cluster.request("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"


def test_changes_made_at_one_controller_show_at_once_at_the_others() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, "node-0")
    # Other controllers know the job right after its acceptance, before a watch has delivered its
    # record.
    assert cluster.request("node-2", "GET", f"/work/{uid}")[0] == 200
    cluster.request("node-1", "POST", f"/work/{uid}/abort")
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_accepted_job_survives_the_loss_of_all_controllers() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.run(2.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(5.0)
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    assert cluster.request("node-1", "GET", f"/work/{uid}")[1]["stage"] == "done"


def test_controllers_restarted_one_after_the_other_lose_no_job() -> None:
    cluster = ready_cluster()
    uids = [submit_job(cluster, n, pieces=6) for n in range(4)]
    for label in CONTROLLER_LABELS:
        cluster.crash(label)
        cluster.run(0.2)  # it is back before its previous session has expired
        cluster.start_controller(label)
        cluster.run(6.0)
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 120.0)


def test_late_write_of_previous_owner_changes_nothing() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    key = f"live/job/{uid}"
    record, stamp, _ = cluster.state.entries[key]
    cluster.request("node-1", "POST", f"/work/{uid}/abort")
    late = {"if": [{"k": key, "stamp": stamp}], "then": [{"set": key, "v": record}]}
    assert cluster.state.commit(late)[0] == 409
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_rental_request_ids_are_not_reused_after_restarts() -> None:
    cluster = ready_cluster(1)
    cluster.capacity = 3
    for n in range(6):
        submit_job(cluster, n, pieces=8, expect_s=20.0)
    cluster.run(4.0)
    first = set(cluster.rentals)
    assert first
    for _ in range(3):
        cluster.crash(*CONTROLLER_LABELS)
        cluster.run(1.0)
        for label in CONTROLLER_LABELS:
            cluster.start_controller(label)
        cluster.capacity += 1
        cluster.run(12.0)
    request_ids = list(cluster.rentals)
    assert len(request_ids) > len(first)
    hosts = [host for rented in cluster.rentals.values() for host in rented]
    assert len(hosts) == len(set(hosts))


def test_idle_machines_are_released_and_unknown_ones_adopted() -> None:
    cluster = ready_cluster(2)
    unknown = cluster.add_machine("a", spot=True)
    cluster.run(4.0)
    shards = [v for k, (v, _, _) in cluster.state.entries.items() if k.startswith("live/block/")]
    assert unknown in machines_in_record(shards[0]) or unknown in cluster.released_hosts
    cluster.run(20.0)
    assert unknown in cluster.released_hosts


def test_machine_on_which_several_jobs_fail_is_released_and_the_jobs_complete() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    faulty = next(iter(cluster.workers))
    cluster.exit_reasons[faulty] = "error"
    uids = [submit_job(cluster, n, pieces=4) for n in range(4)]
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 150.0)
    assert faulty in cluster.released_hosts


def test_state_service_rate_limit_holds_under_many_job_queries() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=2)
    cluster.run(20.0)
    open_job = submit_job(cluster, 2, pieces=1)
    cluster.task_durations_s[open_job] = 60.0
    before, began = cluster.state.requests, cluster.now
    for _ in range(100):
        for label in CONTROLLER_LABELS:
            cluster.send_request(label, "GET", f"/work/{open_job}")
            cluster.send_request(label, "GET", f"/work/{uid}")
        cluster.run(0.1)
    assert (cluster.state.requests - before) / (cluster.now - began) <= 200.0
    assert cluster.job_state(uid) == "done"


def test_malformed_requests_are_refused() -> None:
    cluster = ready_cluster()
    for body in (b"", b"{", b"[]", b'{"host":1}', b"\xff\xfe", b"[" * 5000):
        assert cluster.request("node-0", "POST", "/checkin", body)[0] in (400, 503)
        assert cluster.request("node-0", "POST", "/work", body)[0] == 400
    assert cluster.request("node-0", "GET", "/checkin")[0] == 405
    assert cluster.request("node-0", "DELETE", "/work")[0] == 405
    assert cluster.request("node-0", "GET", "/elsewhere")[0] == 404
    submit_job(cluster, 1)


def test_large_fleet_is_split_into_shards_and_its_jobs_complete() -> None:
    # The share of a core is so small that one owner can serve only two machines.
    cluster = ready_cluster(5, machine_limits={"core_share": 0.0015})
    cluster.capacity = 5
    uids = [submit_job(cluster, n, CONTROLLER_LABELS[n % 3], pieces=6) for n in range(9)]
    cluster.run_until(lambda: len(cluster.shards()) >= 2, 10.0)
    first_uids = set(uids)
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 200.0)
    shards_of_jobs = {cluster.state.entries[f"live/job/{uid}"][0]["block"] for uid in first_uids}
    assert len(shards_of_jobs) >= 1
    more = [submit_job(cluster, 20 + n, CONTROLLER_LABELS[n % 3], pieces=6) for n in range(12)]
    cluster.run(3.0)
    cluster.crash(next(iter(cluster.shards().values()))["holder"])
    for uid in more:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 300.0)
    shards_of_jobs = {cluster.state.entries[f"live/job/{uid}"][0]["block"] for uid in more}
    assert len(shards_of_jobs) >= 2  # each job stayed in the shard that it was accepted into
    # Idle machines move between the shards, but none is in two records.
    hosts = [host for record in cluster.shards().values() for host in machines_in_record(record)]
    assert len(hosts) == len(set(hosts))


def test_ensemble_starts_together_and_restarts_after_losing_a_task() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    filler = submit_job(cluster, 1, pieces=3)
    cluster.task_durations_s[filler] = 12.0
    cluster.run_until(lambda: len(cluster.running_tasks(filler)) == 3, 20.0)
    uid = submit_job(cluster, 2, pieces=3, shape="ensemble")
    cluster.task_durations_s[uid] = 20.0
    cluster.run(5.0)
    assert not cluster.running_tasks(uid)  # only one of its tasks fits
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 3, 30.0)
    begun = [at for at, task_id, _ in cluster.task_starts if task_id.startswith(uid)]
    assert max(begun) - min(begun) < 2.0
    lost = next(w for w in cluster.workers.values() if w.running_tasks())
    lost.hung = True
    cluster.run(20.0)
    lost.hung = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_service_runs_until_it_is_cancelled() -> None:
    cluster = ready_cluster(2)
    uid = submit_job(cluster, 1, pieces=2, shape="service", expect_s=0.0)
    cluster.task_durations_s[uid] = 1e6
    cluster.run(60.0)
    assert len(cluster.running_tasks(uid)) == 2
    assert cluster.request("node-1", "GET", f"/work/{uid}")[1]["stage"] == "running"
    assert cluster.request("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"
    cluster.run(5.0)
    assert not cluster.running_tasks(uid)


def test_owner_that_no_machine_reaches_hands_off_its_shard_in_time() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=4)
    cluster.task_durations_s[uid] = 30.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    old = cluster.owner()
    for host in cluster.workers:
        cluster.partitions.add((host, old))
    cluster.run_until(lambda: cluster.owner() != old, 6.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    assert len(cluster.task_starts) == 4  # the machines' leases were renewed before they expired
