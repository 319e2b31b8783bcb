"""Stories of whole days in small: controllers, workers and the state service in memory."""

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
    """Two machines, all there are, full with tasks of one job that take so long."""
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=task_count, expect_s=expect_s)
    cluster.task_durations_s[uid] = seconds
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    return cluster, uid


def other_controllers(label: str) -> list[str]:
    return [other for other in CONTROLLER_LABELS if other != label]


def test_a_job_runs_and_every_node_says_so() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)
    for label in CONTROLLER_LABELS:
        status, body, _ = cluster.request(label, "GET", f"/work/{uid}")
        assert (status, body["stage"], body["done"]) == (200, "done", 4)
    # A retry long after the end gets the current state, a stranger's id is unknown.
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
def test_bad_submissions_are_told_apart(body: bytes, status: int) -> None:
    cluster = ready_cluster()
    assert cluster.request("node-1", "POST", "/work", body)[0] == status


def test_a_team_needing_more_than_its_limit_is_refused_and_the_limit_holds() -> None:
    cluster = ready_cluster(4)
    assert cluster.request("node-0", "POST", "/work", job_spec(1, crew="small", cpus=8.5))[0] == 422
    submit_job(cluster, 2, crew="small", pieces=6)
    submit_job(cluster, 3, "node-1", crew="small", pieces=6)
    max_running = 0
    for _ in range(400):
        cluster.step()
        max_running = max(max_running, len(cluster.running_tasks("job-")))
    assert max_running == 2  # two tasks of 4 processors use all of the team's 8


def test_nothing_is_accepted_while_the_state_service_is_out_and_up_stays_200() -> None:
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


def test_a_node_cut_from_the_state_service_alone_is_not_up_and_claims_nothing() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    lone = other_controllers(cluster.owner())[0]
    cluster.partitions.add((lone, "state"))
    cluster.run(6.0)
    assert cluster.request(lone, "GET", "/up")[0] == 503
    assert cluster.request(other_controllers(lone)[0], "GET", "/up")[0] == 200
    assert cluster.request(lone, "POST", "/work", job_spec(2))[0] == 503
    assert cluster.request(lone, "GET", f"/work/{uid}")[0] in (200, 503)


def test_a_burst_of_short_tasks_after_a_lull_is_spread_over_machines() -> None:
    """A picture of an idle machine that was older than the tasks are long took any number of them:
    what was booked from its old beginning on lay in the past. The world watches for it."""
    cluster = ready_cluster(4, operators={"idle_boots": 50.0})
    cluster.capacity = 4
    cluster.run(20.0)
    uid = submit_job(cluster, 1, pieces=40, expect_s=3.0)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 8, 10.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_a_new_holder_adopts_what_runs_and_starts_nothing_twice() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 12.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    cluster.crash(cluster.owner())
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    # The rules are watched by the world; and no task ran again that had run to its end.
    task_ids = [task_id for _, task_id, _ in cluster.task_starts]
    assert len(task_ids) == len(set(task_ids))


def test_a_machine_heard_by_the_new_holder_in_the_same_batch_is_not_silent() -> None:
    """Its tasks, just adopted, were once taken for gone before the reply went out."""
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


def test_tasks_of_a_hung_machine_wait_until_its_lease_is_over_even_across_a_takeover() -> None:
    cluster, uid = busy_cluster(4, 30.0)
    hung = next(iter(cluster.workers.values()))
    hung.hung = True
    cluster.crash(cluster.owner())
    cluster.run(12.0)
    hung.hung = False  # within what the new holder can prove: the world watches for doubles
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 200.0)


def test_a_holder_cut_off_from_the_state_service_is_fenced() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[uid] = 10.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    old = cluster.owner()
    cluster.partitions.add((old, "state"))
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_a_cut_off_holder_does_not_take_a_machine_that_left_it_for_silent() -> None:
    """Its tasks ran on under the new holder, and the old one started them on a machine that
    still heard it alone."""
    cluster = ready_cluster(2)
    cluster.capacity = 2
    uid = submit_job(cluster, 1, pieces=3)
    cluster.task_durations_s[uid] = 60.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 3, 20.0)
    old = cluster.owner()
    lone = min(cluster.workers.values(), key=lambda worker: len(worker.running_tasks()))
    assert len(lone.running_tasks()) == 1
    cluster.partitions.add((old, "state"))
    for other in other_controllers(old):
        cluster.partitions.add((lone.host, other))
    cluster.cloud_down = True
    cluster.run(30.0)
    assert len(cluster.task_starts) == 3
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_a_holder_cut_off_with_a_machine_counts_until_its_window_ends_whoever_came_since() -> None:
    """Its successor ended, and that end was taken for its own: the tasks on the machine, which it
    still answered, were started a second time."""
    cluster = ready_cluster(3)
    cluster.capacity = 3
    uid = submit_job(cluster, 1, pieces=5)
    cluster.task_durations_s[uid] = 90.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 5, 20.0)
    first = cluster.owner()
    lone = max(cluster.workers.values(), key=lambda worker: len(worker.running_tasks()))
    cluster.partitions.update((first, other) for other in [*other_controllers(first), "state"])
    cluster.partitions.update((lone.host, other) for other in other_controllers(first))
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


def test_machines_that_cannot_hold_tasks_do_not_hold_back_a_taken_over_job() -> None:
    cluster, _ = busy_cluster(8, 10.0)
    never = cluster.add_machine("a", spot=False)  # in the record, but it does not come up
    cluster.workers[never].hung = True
    cluster.run(3.0)
    cluster.cloud_down = True
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 10.0)
    # Waiting for the third machine would take the answer window and a lease, 27 s.
    cluster.run_until(lambda: len(cluster.task_starts) == 8, 15.0)


def test_a_machine_dead_since_the_takeover_is_proved_gone_by_its_release() -> None:
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


def test_a_cancel_reaches_tasks_whose_holder_is_cut_off_with_its_machine() -> None:
    cluster, uid = busy_cluster(4, 500.0)
    old = cluster.owner()
    cluster.partitions.add((old, "state"))
    # One machine hears its old holder only, and the cloud takes it from nobody: it must be
    # empty because the holder stops answering when its window ends.
    cluster.cloud_down = True
    lone = next(iter(cluster.workers.values()))
    for other in other_controllers(old):
        cluster.partitions.add((lone.host, other))
    cluster.run(1.0)
    status, body, _ = cluster.request(other_controllers(old)[0], "POST", f"/work/{uid}/abort")
    assert (status, body["stage"]) == (200, "withdrawn")
    cluster.run(40.0)  # the world ends the test if a task outlives cancel_s
    assert not cluster.running_tasks(uid)


def test_a_cancel_meets_a_start_in_flight() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    found = cluster.send_request("node-1", "POST", f"/work/{uid}/abort")
    cluster.run(12.0)
    assert found[0] == 200
    assert not cluster.running_tasks(uid)
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"
    # Asked again, at any node, the answer stays.
    assert cluster.request("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"


def test_no_older_answer_after_a_change_seen_elsewhere() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, "node-0")
    # Right after the acceptance, before any watch has brought it, the others know the job.
    assert cluster.request("node-2", "GET", f"/work/{uid}")[0] == 200
    cluster.request("node-1", "POST", f"/work/{uid}/abort")
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_an_accepted_job_survives_the_loss_of_all_controllers() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=8)
    cluster.run(2.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(5.0)
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    assert cluster.request("node-1", "GET", f"/work/{uid}")[1]["stage"] == "done"


def test_controllers_restarted_one_after_the_other_lose_nothing() -> None:
    cluster = ready_cluster()
    uids = [submit_job(cluster, n, pieces=6) for n in range(4)]
    for label in CONTROLLER_LABELS:
        cluster.crash(label)
        cluster.run(0.2)  # back before its old session has ended
        cluster.start_controller(label)
        cluster.run(6.0)
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 120.0)


def test_a_late_write_of_an_old_holder_changes_nothing() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1)
    key = f"live/job/{uid}"
    record, stamp, _ = cluster.state.entries[key]
    cluster.request("node-1", "POST", f"/work/{uid}/abort")
    late = {"if": [{"k": key, "stamp": stamp}], "then": [{"set": key, "v": record}]}
    assert cluster.state.commit(late)[0] == 409
    assert cluster.request("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_request_names_are_never_used_for_two_rentals() -> None:
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
    names = list(cluster.rentals)
    assert len(names) > len(first)
    hosts = [host for hired in cluster.rentals.values() for host in hired]
    assert len(hosts) == len(set(hosts))


def test_idle_machines_go_back_and_machines_nobody_knows_are_adopted() -> None:
    cluster = ready_cluster(2)
    stray = cluster.add_machine("a", spot=True)
    cluster.run(4.0)
    shards = [v for k, (v, _, _) in cluster.state.entries.items() if k.startswith("live/block/")]
    assert stray in machines_in_record(shards[0]) or stray in cluster.released_hosts
    cluster.run(20.0)
    assert stray in cluster.released_hosts


def test_a_job_that_fails_everywhere_pauses_and_a_machine_that_fails_many_goes_back() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    bad = next(iter(cluster.workers))
    cluster.exit_reasons[bad] = "error"
    uids = [submit_job(cluster, n, pieces=4) for n in range(4)]
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 150.0)
    assert bad in cluster.released_hosts


def test_budgets_are_kept_under_many_readers() -> None:
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


def test_broken_messages_harm_nothing() -> None:
    cluster = ready_cluster()
    for body in (b"", b"{", b"[]", b'{"host":1}', b"\xff\xfe", b"[" * 5000):
        assert cluster.request("node-0", "POST", "/checkin", body)[0] in (400, 503)
        assert cluster.request("node-0", "POST", "/work", body)[0] == 400
    assert cluster.request("node-0", "GET", "/checkin")[0] == 405
    assert cluster.request("node-0", "DELETE", "/work")[0] == 405
    assert cluster.request("node-0", "GET", "/elsewhere")[0] == 404
    submit_job(cluster, 1)


def test_a_large_fleet_is_split_into_blocks_and_idle_machines_move_between_them() -> None:
    # So small a share of a core that one holder serves two machines only.
    cluster = ready_cluster(5, machine_limits={"core_share": 0.0015})
    cluster.capacity = 5
    uids = [submit_job(cluster, n, CONTROLLER_LABELS[n % 3], pieces=6) for n in range(9)]
    cluster.run_until(lambda: len(cluster.shards()) >= 2, 10.0)
    moved = set(uids)
    for uid in uids:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 200.0)
    homes = {cluster.state.entries[f"live/job/{uid}"][0]["block"] for uid in moved}
    assert len(homes) >= 1
    more = [submit_job(cluster, 20 + n, CONTROLLER_LABELS[n % 3], pieces=6) for n in range(12)]
    cluster.run(3.0)
    cluster.crash(next(iter(cluster.shards().values()))["holder"])
    for uid in more:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 300.0)
    homes = {cluster.state.entries[f"live/job/{uid}"][0]["block"] for uid in more}
    assert len(homes) >= 2  # each job stayed in the block that it was accepted into
    # No machine stands in two records.
    hosts = [host for record in cluster.shards().values() for host in machines_in_record(record)]
    assert len(hosts) == len(set(hosts))


def test_an_ensemble_starts_together_and_anew_after_losing_a_task() -> None:
    cluster = ready_cluster(2)
    cluster.capacity = 2
    filler = submit_job(cluster, 1, pieces=3)
    cluster.task_durations_s[filler] = 12.0
    cluster.run_until(lambda: len(cluster.running_tasks(filler)) == 3, 20.0)
    uid = submit_job(cluster, 2, pieces=3, shape="ensemble")
    cluster.task_durations_s[uid] = 20.0
    cluster.run(5.0)
    assert not cluster.running_tasks(uid)  # there is room for one of its tasks only
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 3, 30.0)
    begun = [at for at, task_id, _ in cluster.task_starts if task_id.startswith(uid)]
    assert max(begun) - min(begun) < 2.0
    victim = next(w for w in cluster.workers.values() if w.running_tasks())
    victim.hung = True
    cluster.run(20.0)
    victim.hung = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)


def test_a_service_runs_until_it_is_cancelled() -> None:
    cluster = ready_cluster(2)
    uid = submit_job(cluster, 1, pieces=2, shape="service", expect_s=0.0)
    cluster.task_durations_s[uid] = 1e6
    cluster.run(60.0)
    assert len(cluster.running_tasks(uid)) == 2
    assert cluster.request("node-1", "GET", f"/work/{uid}")[1]["stage"] == "running"
    assert cluster.request("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"
    cluster.run(5.0)
    assert not cluster.running_tasks(uid)


def test_a_holder_that_no_machine_reaches_gives_its_block_away_in_time() -> None:
    cluster = ready_cluster()
    uid = submit_job(cluster, 1, pieces=4)
    cluster.task_durations_s[uid] = 30.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    old = cluster.owner()
    for host in cluster.workers:
        cluster.partitions.add((host, old))
    cluster.run_until(lambda: cluster.owner() != old, 6.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    assert len(cluster.task_starts) == 4  # their leases were renewed before they ran out
