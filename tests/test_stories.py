"""Stories of whole days in small: controllers, workers and the state service in memory."""

from __future__ import annotations

import json
from typing import Any

import pytest

from fallpulley.shared_records.shard_record import decode_shard
from tests.world import LABELS, World, job


def ready(machines: int = 2, **facts: object) -> World:
    world = World(machines, **facts)
    world.until(lambda: any(k.startswith("live/block/") for k in world.state.data), 5.0)
    world.run(3.0)
    return world


def submit(world: World, uid: int, label: str = "node-0", **over: object) -> str:
    spec = job(uid, **over)
    status, _, _ = world.get(label, "POST", "/work", spec)
    assert status == 201
    return str(spec["uid"])


def machines_of(record: dict[str, Any]) -> list[str]:
    return list(decode_shard(json.dumps(record).encode()).machines)


def busy(pieces: int, seconds: float, expect_s: float = 4.0) -> tuple[World, str]:
    """Two machines, all there are, full with tasks of one job that take so long."""
    world = ready(2)
    world.capacity = 2
    uid = submit(world, 1, pieces=pieces, expect_s=expect_s)
    world.times[uid] = seconds
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    return world, uid


def others(label: str) -> list[str]:
    return [other for other in LABELS if other != label]


def test_a_job_runs_and_every_node_says_so() -> None:
    world = ready()
    uid = submit(world, 1)
    world.until(lambda: world.stage(uid) == "done", 40.0)
    for label in LABELS:
        status, body, _ = world.get(label, "GET", f"/work/{uid}")
        assert (status, body["stage"], body["done"]) == (200, "done", 4)
    # A retry long after the end gets the current state, a stranger's id is unknown.
    assert world.get("node-2", "POST", "/work", job(1))[:2][0] == 200
    assert world.get("node-1", "GET", "/work/job-999999")[0] == 404
    assert world.get("node-1", "GET", "/work/nonsense")[0] == 404


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b'"\xff"', 400),
        (json.dumps(job(1) | {"pieces": 0}).encode(), 400),
        (json.dumps(job(1) | {"pieces": 2.5}).encode(), 400),
        (json.dumps(job(1) | {"cpus": 1e999}).encode(), 400),
        (json.dumps(job(1) | {"cpus": "4"}).encode(), 400),
        (json.dumps(job(1) | {"uid": "task-1"}).encode(), 400),
        (json.dumps({k: v for k, v in job(1).items() if k != "kit"}).encode(), 400),
        (json.dumps(job(1) | {"crew": "nobody"}).encode(), 422),
        (json.dumps(job(1) | {"cpus": 9.0}).encode(), 422),
        (json.dumps(job(1) | {"builds": ["ship"]}).encode(), 422),
        (json.dumps(job(1) | {"hall": "z"}).encode(), 422),
    ],
)
def test_bad_submissions_are_told_apart(body: bytes, status: int) -> None:
    world = ready()
    assert world.get("node-1", "POST", "/work", body)[0] == status


def test_a_team_needing_more_than_its_limit_is_refused_and_the_limit_holds() -> None:
    world = ready(4)
    assert world.get("node-0", "POST", "/work", job(1, crew="small", cpus=8.5))[0] == 422
    submit(world, 2, crew="small", pieces=6)
    submit(world, 3, "node-1", crew="small", pieces=6)
    most = 0
    for _ in range(400):
        world.step()
        most = max(most, len(world.running("job-")))
    assert most == 2  # two tasks of 4 processors use all of the team's 8


def test_nothing_is_accepted_while_the_state_service_is_out_and_up_stays_200() -> None:
    world = ready()
    uid = submit(world, 1)
    world.state.down = True
    world.run(5.0)
    status, _, retry = world.get("node-0", "POST", "/work", job(2))
    assert (status, retry) == (503, 1.0)
    assert world.get("node-1", "GET", f"/work/{uid}")[0] == 503
    assert all(world.get(label, "GET", "/up")[0] == 200 for label in LABELS)
    world.state.down = False
    world.until(lambda: world.stage(uid) == "done", 40.0)


def test_a_node_cut_from_the_state_service_alone_is_not_up_and_claims_nothing() -> None:
    world = ready()
    uid = submit(world, 1)
    lone = others(world.holder())[0]
    world.cut.add((lone, "state"))
    world.run(6.0)
    assert world.get(lone, "GET", "/up")[0] == 503
    assert world.get(others(lone)[0], "GET", "/up")[0] == 200
    assert world.get(lone, "POST", "/work", job(2))[0] == 503
    assert world.get(lone, "GET", f"/work/{uid}")[0] in (200, 503)


def test_a_burst_of_short_tasks_after_a_lull_is_spread_over_machines() -> None:
    """A picture of an idle machine that was older than the tasks are long took any number of them:
    what was booked from its old beginning on lay in the past. The world watches for it."""
    world = ready(4, operators={"idle_boots": 50.0})
    world.capacity = 4
    world.run(20.0)
    uid = submit(world, 1, pieces=40, expect_s=3.0)
    world.until(lambda: len(world.running(uid)) == 8, 10.0)
    world.until(lambda: world.stage(uid) == "done", 60.0)


def test_a_new_holder_adopts_what_runs_and_starts_nothing_twice() -> None:
    world = ready()
    uid = submit(world, 1, pieces=8)
    world.times[uid] = 12.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    world.crash(world.holder())
    world.until(lambda: world.stage(uid) == "done", 120.0)
    # The rules are watched by the world; and no task ran again that had run to its end.
    pieces = [piece for _, piece, _ in world.starts_seen]
    assert len(pieces) == len(set(pieces))


def test_a_machine_heard_by_the_new_holder_in_the_same_batch_is_not_silent() -> None:
    """Its tasks, just adopted, were once taken for gone before the reply went out."""
    world = ready()
    uid = submit(world, 1, pieces=4)
    world.times[uid] = 30.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    started = len(world.starts_seen)
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.run(15.0)
    assert len(world.starts_seen) == started


def test_tasks_of_a_hung_machine_wait_until_its_lease_is_over_even_across_a_takeover() -> None:
    world, uid = busy(4, 30.0)
    hung = next(iter(world.workers.values()))
    hung.hung = True
    world.crash(world.holder())
    world.run(12.0)
    hung.hung = False  # within what the new holder can prove: the world watches for doubles
    world.until(lambda: world.stage(uid) == "done", 200.0)


def test_a_holder_cut_off_from_the_state_service_is_fenced() -> None:
    world = ready()
    uid = submit(world, 1, pieces=8)
    world.times[uid] = 10.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    old = world.holder()
    world.cut.add((old, "state"))
    world.until(lambda: world.holder() != old, 10.0)
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_a_cut_off_holder_does_not_take_a_machine_that_left_it_for_silent() -> None:
    """Its tasks ran on under the new holder, and the old one started them on a machine that
    still heard it alone."""
    world = ready(2)
    world.capacity = 2
    uid = submit(world, 1, pieces=3)
    world.times[uid] = 60.0
    world.until(lambda: len(world.running(uid)) == 3, 20.0)
    old = world.holder()
    lone = min(world.workers.values(), key=lambda worker: len(worker.on_machine()))
    assert len(lone.on_machine()) == 1
    world.cut.add((old, "state"))
    for other in others(old):
        world.cut.add((lone.host, other))
    world.cloud_down = True
    world.run(30.0)
    assert len(world.starts_seen) == 3
    world.cut.clear()
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_a_holder_cut_off_with_a_machine_counts_until_its_window_ends_whoever_came_since() -> None:
    """Its successor ended, and that end was taken for its own: the tasks on the machine, which it
    still answered, were started a second time."""
    world = ready(3)
    world.capacity = 3
    uid = submit(world, 1, pieces=5)
    world.times[uid] = 90.0
    world.until(lambda: len(world.running(uid)) == 5, 20.0)
    first = world.holder()
    lone = max(world.workers.values(), key=lambda worker: len(worker.on_machine()))
    world.cut.update((first, other) for other in [*others(first), "state"])
    world.cut.update((lone.host, other) for other in others(first))
    world.cloud_down = True
    world.until(lambda: world.holder() != first, 10.0)
    second = world.holder()
    world.run(3.0)
    world.crash(second)
    world.until(lambda: world.holder() not in (first, second), 10.0)
    world.boot(second)
    world.run(40.0)
    world.cut.clear()
    world.until(lambda: world.stage(uid) == "done", 200.0)


def test_machines_that_cannot_hold_tasks_do_not_hold_back_a_taken_over_job() -> None:
    world, _ = busy(8, 10.0)
    never = world.machine("a", spot=False)  # in the record, but it does not come up
    world.workers[never].hung = True
    world.run(3.0)
    world.cloud_down = True
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    # Waiting for the third machine would take the answer window and a lease, 27 s.
    world.until(lambda: len(world.starts_seen) == 8, 15.0)


def test_a_machine_dead_since_the_takeover_is_proved_gone_by_its_release() -> None:
    world = ready(2)
    world.capacity = 2
    uid = submit(world, 1, pieces=8)
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    dead = next(iter(world.workers.values()))
    dead.hung = True
    old = world.holder()
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.until(lambda: dead.host in world.released, 5.0)
    world.until(lambda: world.stage(uid) == "done", 60.0)


def test_a_cancel_reaches_tasks_whose_holder_is_cut_off_with_its_machine() -> None:
    world, uid = busy(4, 500.0)
    old = world.holder()
    world.cut.add((old, "state"))
    # One machine hears its old holder only, and the cloud takes it from nobody: it must be
    # empty because the holder stops answering when its window ends.
    world.cloud_down = True
    lone = next(iter(world.workers.values()))
    for other in others(old):
        world.cut.add((lone.host, other))
    world.run(1.0)
    status, body, _ = world.get(others(old)[0], "POST", f"/work/{uid}/abort")
    assert (status, body["stage"]) == (200, "withdrawn")
    world.run(40.0)  # the world ends the test if a task outlives cancel_s
    assert not world.running(uid)


def test_a_cancel_meets_a_start_in_flight() -> None:
    world = ready()
    uid = submit(world, 1)
    found = world.ask("node-1", "POST", f"/work/{uid}/abort")
    world.run(12.0)
    assert found[0] == 200
    assert not world.running(uid)
    assert world.get("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"
    # Asked again, at any node, the answer stays.
    assert world.get("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"


def test_no_older_answer_after_a_change_seen_elsewhere() -> None:
    world = ready()
    uid = submit(world, 1, "node-0")
    # Right after the acceptance, before any watch has brought it, the others know the job.
    assert world.get("node-2", "GET", f"/work/{uid}")[0] == 200
    world.get("node-1", "POST", f"/work/{uid}/abort")
    assert world.get("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_an_accepted_job_survives_the_loss_of_all_controllers() -> None:
    world = ready()
    uid = submit(world, 1, pieces=8)
    world.run(2.0)
    world.crash(*LABELS)
    world.run(5.0)
    for label in LABELS:
        world.boot(label)
    world.until(lambda: world.stage(uid) == "done", 120.0)
    assert world.get("node-1", "GET", f"/work/{uid}")[1]["stage"] == "done"


def test_controllers_restarted_one_after_the_other_lose_nothing() -> None:
    world = ready()
    uids = [submit(world, n, pieces=6) for n in range(4)]
    for label in LABELS:
        world.crash(label)
        world.run(0.2)  # back before its old session has ended
        world.boot(label)
        world.run(6.0)
    for uid in uids:
        world.until(lambda uid=uid: world.stage(uid) == "done", 120.0)


def test_a_late_write_of_an_old_holder_changes_nothing() -> None:
    world = ready()
    uid = submit(world, 1)
    key = f"live/job/{uid}"
    record, stamp, _ = world.state.data[key]
    world.get("node-1", "POST", f"/work/{uid}/abort")
    late = {"if": [{"k": key, "stamp": stamp}], "then": [{"set": key, "v": record}]}
    assert world.state.txn(late)[0] == 409
    assert world.get("node-2", "GET", f"/work/{uid}")[1]["stage"] == "withdrawn"


def test_request_names_are_never_used_for_two_rentals() -> None:
    world = ready(1)
    world.capacity = 3
    for n in range(6):
        submit(world, n, pieces=8, expect_s=20.0)
    world.run(4.0)
    first = set(world.hires)
    assert first
    for _ in range(3):
        world.crash(*LABELS)
        world.run(1.0)
        for label in LABELS:
            world.boot(label)
        world.capacity += 1
        world.run(12.0)
    names = list(world.hires)
    assert len(names) > len(first)
    hosts = [host for hired in world.hires.values() for host in hired]
    assert len(hosts) == len(set(hosts))


def test_idle_machines_go_back_and_machines_nobody_knows_are_adopted() -> None:
    world = ready(2)
    stray = world.machine("a", spot=True)
    world.run(4.0)
    blocks = [v for k, (v, _, _) in world.state.data.items() if k.startswith("live/block/")]
    assert stray in machines_of(blocks[0]) or stray in world.released
    world.run(20.0)
    assert stray in world.released


def test_a_job_that_fails_everywhere_pauses_and_a_machine_that_fails_many_goes_back() -> None:
    world = ready(2)
    world.capacity = 2
    bad = next(iter(world.workers))
    world.errors[bad] = "error"
    uids = [submit(world, n, pieces=4) for n in range(4)]
    for uid in uids:
        world.until(lambda uid=uid: world.stage(uid) == "done", 150.0)
    assert bad in world.released


def test_budgets_are_kept_under_many_readers() -> None:
    world = ready()
    uid = submit(world, 1, pieces=2)
    world.run(20.0)
    open_job = submit(world, 2, pieces=1)
    world.times[open_job] = 60.0
    before, began = world.state.requests, world.now
    for _ in range(100):
        for label in LABELS:
            world.ask(label, "GET", f"/work/{open_job}")
            world.ask(label, "GET", f"/work/{uid}")
        world.run(0.1)
    assert (world.state.requests - before) / (world.now - began) <= 200.0
    assert world.stage(uid) == "done"


def test_broken_messages_harm_nothing() -> None:
    world = ready()
    for body in (b"", b"{", b"[]", b'{"host":1}', b"\xff\xfe", b"[" * 5000):
        assert world.get("node-0", "POST", "/checkin", body)[0] in (400, 503)
        assert world.get("node-0", "POST", "/work", body)[0] == 400
    assert world.get("node-0", "GET", "/checkin")[0] == 405
    assert world.get("node-0", "DELETE", "/work")[0] == 405
    assert world.get("node-0", "GET", "/elsewhere")[0] == 404
    submit(world, 1)


def test_a_large_fleet_is_split_into_blocks_and_idle_machines_move_between_them() -> None:
    # So small a share of a core that one holder serves two machines only.
    world = ready(5, machine_limits={"core_share": 0.0015})
    world.capacity = 5
    uids = [submit(world, n, LABELS[n % 3], pieces=6) for n in range(9)]
    world.until(lambda: len(world.blocks()) >= 2, 10.0)
    moved = set(uids)
    for uid in uids:
        world.until(lambda uid=uid: world.stage(uid) == "done", 200.0)
    homes = {world.state.data[f"live/job/{uid}"][0]["block"] for uid in moved}
    assert len(homes) >= 1
    more = [submit(world, 20 + n, LABELS[n % 3], pieces=6) for n in range(12)]
    world.run(3.0)
    world.crash(next(iter(world.blocks().values()))["holder"])
    for uid in more:
        world.until(lambda uid=uid: world.stage(uid) == "done", 300.0)
    homes = {world.state.data[f"live/job/{uid}"][0]["block"] for uid in more}
    assert len(homes) >= 2  # each job stayed in the block that it was accepted into
    # No machine stands in two records.
    hosts = [host for record in world.blocks().values() for host in machines_of(record)]
    assert len(hosts) == len(set(hosts))


def test_an_ensemble_starts_together_and_anew_after_losing_a_task() -> None:
    world = ready(2)
    world.capacity = 2
    filler = submit(world, 1, pieces=3)
    world.times[filler] = 12.0
    world.until(lambda: len(world.running(filler)) == 3, 20.0)
    uid = submit(world, 2, pieces=3, shape="ensemble")
    world.times[uid] = 20.0
    world.run(5.0)
    assert not world.running(uid)  # there is room for one of its tasks only
    world.until(lambda: len(world.running(uid)) == 3, 30.0)
    begun = [at for at, piece, _ in world.starts_seen if piece.startswith(uid)]
    assert max(begun) - min(begun) < 2.0
    victim = next(w for w in world.workers.values() if w.on_machine())
    victim.hung = True
    world.run(20.0)
    victim.hung = False
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_a_service_runs_until_it_is_cancelled() -> None:
    world = ready(2)
    uid = submit(world, 1, pieces=2, shape="service", expect_s=0.0)
    world.times[uid] = 1e6
    world.run(60.0)
    assert len(world.running(uid)) == 2
    assert world.get("node-1", "GET", f"/work/{uid}")[1]["stage"] == "running"
    assert world.get("node-0", "POST", f"/work/{uid}/abort")[1]["stage"] == "withdrawn"
    world.run(5.0)
    assert not world.running(uid)


def test_a_holder_that_no_machine_reaches_gives_its_block_away_in_time() -> None:
    world = ready()
    uid = submit(world, 1, pieces=4)
    world.times[uid] = 30.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    old = world.holder()
    for host in world.workers:
        world.cut.add((host, old))
    world.until(lambda: world.holder() != old, 6.0)
    world.until(lambda: world.stage(uid) == "done", 60.0)
    assert len(world.starts_seen) == 4  # their leases were renewed before they ran out
