"""Stories of what is checked at a day's end: jobs stay known, everything is served in part, and
machines that hear nothing, late copies, controllers cut off or back at once do no harm."""

from __future__ import annotations

import json
import random

import pytest

from fallpulley.effects import PeerMessage, Request
from fallpulley.shared_records.shard_record import MachineEntry, ShardRecord, decode_shard
from tests.test_stories import busy, machines_of, others, ready, submit
from tests.world import LABELS, World


def replay(world: World, label: str, body: bytes) -> list[int]:
    """A late copy of a check-in reaches a controller; nobody waits for its answer."""
    found: list[int] = []
    take = lambda status, answer, retry: found.append(status)  # noqa: E731
    world.commands[label].append(Request(take, "POST", "/checkin", body))
    world.step()
    world.step()
    return found


def started(world: World, uid: str) -> int:
    return sum(1 for _, piece, _ in world.starts_seen if piece.startswith(uid + "/"))


# -- known for ever --------------------------------------------------------------------------


def test_every_job_is_answered_soon_after_all_troubles_have_ended() -> None:
    """All controllers end, the state service is out, and every machine of the block is gone."""
    world = ready(2)
    world.capacity = 2
    uids = [submit(world, n, pieces=6) for n in range(6)]
    world.run(4.0)
    world.crash(*LABELS)
    world.state.down = True
    world.workers.clear()
    world.capacity = 4
    world.run(6.0)
    for label in LABELS:
        world.boot(label)
    world.run(6.0)
    world.state.down = False
    world.run(10.0)
    for uid in uids:
        for label in LABELS:
            status, body, _ = world.get(label, "GET", f"/work/{uid}")
            assert status == 200 and body["stage"] in ("pending", "running", "done")
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids), 150.0)


def test_a_record_that_cannot_be_taken_in_hides_no_other() -> None:
    world = ready()
    uid = submit(world, 1)
    holder = world.controllers[world.holder()]
    real = holder.components.jobs.on_record

    def failing(job: str, value: bytes | None, stamp: int) -> object:
        if job == "job-000002":
            raise RuntimeError("made to fail")
        return real(job, value, stamp)

    holder.components.jobs.on_record = failing  # type: ignore[method-assign,assignment]
    submit(world, 2, others(world.holder())[0])
    third = submit(world, 3, others(world.holder())[0])
    world.until(lambda: world.stage(uid) == world.stage(third) == "done", 60.0)


# -- half of everything is served, the largest begin in time ---------------------------------


def test_the_largest_job_begins_in_time_in_a_burst_of_short_and_urgent_work() -> None:
    """Shortest first puts it last, and the urgent queue goes before it for as long as it lasts."""
    world = ready(2)
    world.capacity = 2
    large = ""
    submitted = 0.0
    for number in range(1, 190):
        # Twice what the machines can do, for as long as it takes.
        rank = "high" if number % 2 else "standard"
        submit(world, number, pieces=2, jobclass="burst", rank=rank)
        if number == 20:
            large = submit(world, 1000, pieces=40, expect_s=20.0, rank="best_effort")
            world.times[large] = 20.0
            submitted = world.now
        world.run(0.9)
        if large and started(world, large):
            break
    assert started(world, large) and 60.0 < world.now - submitted < 130.0
    world.run(3.0)
    # It has not taken all the room: the burst goes on beside it.
    assert 0 < len(world.running(large)) <= 2


def test_a_long_job_starts_within_its_aim_although_shorter_ones_keep_coming() -> None:
    """Shortest-first left the long jobs of a class with an aim on starting to the end of every
    backlog: their tasks began after 70 to 390 s."""
    aim = {"kind": "wait", "class": "work", "within_s": 30.0, "share": 0.99}
    world = ready(1, objectives=[aim])
    world.capacity = 1
    for n in range(15):
        world.times[submit(world, 2 + n, pieces=8, cpus=1.0, expect_s=10.0, jobclass="other")] = 10
    long = submit(world, 1, pieces=2, cpus=1.0, expect_s=14.0)
    world.until(lambda: started(world, long) == 2, 30.0)


@pytest.mark.parametrize("over", [{"jobclass": "other"}, {"crew": "small"}])
def test_no_class_and_no_team_waits_for_ever(over: dict[str, object]) -> None:
    world = ready(2)
    world.capacity = 2
    poor = submit(world, 1, pieces=4, expect_s=30.0, cpus=4.0, **over)
    number = 1
    for _ in range(140):
        number += 1
        submit(world, number, pieces=2, rank="high")
        world.run(0.9)
        if started(world, poor):
            break
    assert started(world, poor)


# -- a machine that hears nothing ------------------------------------------------------------


def test_a_deaf_machine_gets_no_task_after_the_first_it_missed_and_goes_back() -> None:
    world = ready(2)
    world.capacity = 2
    deaf, good = sorted(world.workers)
    # Heard and answered so far; from now on nothing reaches it.
    world.answers_lost.add(deaf)
    uids = [submit(world, n, pieces=4) for n in range(3)]
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids), 90.0)
    assert {host for _, _, host in world.starts_seen} == {good}
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    missed = held.attempt_numbers.issued - len(world.starts_seen)
    assert missed <= 2  # one reply's worth of orders, never another
    for n in range(10, 30):
        submit(world, n, pieces=2)
        world.run(1.5)
    assert deaf in world.released


def test_tasks_of_a_machine_gone_deaf_start_elsewhere_once_proved_gone_and_cancels_hold() -> None:
    world = ready(2)
    world.capacity = 2
    uid, other = submit(world, 1, pieces=4), submit(world, 2, pieces=4)
    world.times[uid] = world.times[other] = 25.0
    world.until(lambda: len(world.running()) == 4, 20.0)
    world.answers_lost.add(next(host for host, w in world.workers.items() if w.on_machine()))
    for label in LABELS:
        status, body, _ = world.get(label, "POST", f"/work/{other}/abort")
        assert (status, body["stage"]) == (200, "withdrawn")
    # The world itself watches for tasks on two machines and for `cancel_s`.
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_a_deaf_machine_holds_back_a_taken_over_block_no_longer_than_a_lease_allows() -> None:
    """Every answer might renew its lease; answered again and again, it was never proved empty.
    The cloud cannot be asked here, so time alone has to prove it."""
    world, uid = busy(8, 12.0)
    old, deaf = world.holder(), next(iter(world.workers))
    world.answers_lost.add(deaf)
    world.cloud_down = True
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.run(0.5)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    assert deaf in held.unreconciled
    # It comes back to the holder every few seconds, much sooner than its lease is over.
    worker = world.workers[deaf]
    for _ in range(60):
        worker.node = LABELS.index(world.holder())
        worker.waiting, worker.next_at = None, world.now
        world.run(1.0)
        if deaf not in held.unreconciled:
            break
    assert deaf not in held.unreconciled
    world.until(lambda: world.stage(uid) == "done", 60.0)


def test_a_machine_that_hears_again_is_used_again() -> None:
    world = ready(1)
    world.capacity = 1
    (host,) = world.workers
    world.answers_lost.add(host)
    uid = submit(world, 1, pieces=2)
    world.run(7.0)
    assert not started(world, uid)
    world.answers_lost.clear()
    world.until(lambda: world.stage(uid) == "done", 30.0)


# -- late copies -----------------------------------------------------------------------------


def test_a_late_copy_of_a_report_renews_nothing_and_revives_nothing() -> None:
    world, uid = busy(4, 15.0)
    dead = next(iter(world.workers))
    running = world.sent[dead][-1]
    world.workers[dead].hung = True
    for _ in range(12):
        world.run(1.0)
        assert replay(world, world.holder(), running) == [503]
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    # Its lease was over in spite of the copies, and its tasks have room elsewhere.
    assert dead not in held.machines or not held.machines[dead].heartbeat.online
    world.until(lambda: world.stage(uid) == "done", 90.0)


def test_a_copy_from_before_a_takeover_fences_no_machine_and_proves_nothing() -> None:
    world = ready(2)
    world.capacity = 2
    uid = submit(world, 1, pieces=4)
    world.run(0.2)
    copies = {host: world.sent[host][-1] for host in world.workers}  # without any task
    world.times[uid] = 25.0
    world.until(lambda: len(world.running(uid)) == 4, 20.0)
    old = world.holder()
    for worker in world.workers.values():
        for label in LABELS:
            world.cut.add((worker.host, label))
    world.crash(old)
    world.until(lambda: world.holder() != old, 10.0)
    world.run(0.5)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    for host, body in copies.items():
        replay(world, world.holder(), body)
        machine = held.machines[host]
        assert (
            not machine.fencing.token_confirmed
            and not machine.heartbeat.online
            and host in held.unreconciled
        )
    world.cut.clear()
    world.until(lambda: world.stage(uid) == "done", 120.0)
    assert held.machines


def test_a_copy_of_a_returned_machine_brings_nothing_back() -> None:
    world = ready(2)
    world.until(lambda: bool(world.released), 60.0)
    gone = world.released[0]
    body = world.sent[gone][-1]
    leader = world.state.data["live/leader"][0]["label"]
    world.crash(leader)
    world.until(
        lambda: world.state.data.get("live/leader", ({"label": leader},))[0]["label"] != leader,
        15.0,
    )
    for label in world.controllers:
        assert replay(world, label, body)[0] in (421, 503)
    world.run(3.0)
    assert all(gone not in machines_of(record) for record in world.blocks().values())


def test_a_late_beat_makes_no_controller_think_that_it_was_left_behind() -> None:
    world = ready()
    mine, peer = LABELS[0], LABELS[1]
    taken = world.controllers[mine].components.peers
    body: list[bytes] = []
    real = taken.receive
    taken.receive = lambda data: (body.append(data), real(data))[1]  # type: ignore[method-assign]
    world.run(2.0)
    world.state.down = True
    world.run(12.0)
    old = next(data for data in body if peer.encode() in data)
    world.commands[mine].append(PeerMessage(old))
    world.step()
    assert world.get(mine, "GET", "/up")[0] == 200


def test_a_machine_back_with_lower_numbers_does_not_hold_its_old_tasks_for_ever() -> None:
    """Its reports look like copies, so nothing may lean on them; the lease settles it."""
    world, uid = busy(4, 12.0)
    worker = next(iter(world.workers.values()))
    worker.pieces.clear()
    worker.shift, worker.tick, worker.baton = 1, 0, 0
    world.until(lambda: world.stage(uid) == "done", 120.0)


# -- controllers alone, and back at once -----------------------------------------------------


def test_a_controller_alone_with_its_workers_sends_them_on_in_time() -> None:
    world, uid = busy(8, 40.0)
    alone = world.holder()
    world.cut.update((alone, other) for other in [*others(alone), "state"])
    world.run(8.0)
    assert world.get(alone, "GET", "/up")[0] == 503
    assert world.get(alone, "GET", f"/work/{uid}")[0] == 503
    assert world.get(alone, "POST", f"/work/{uid}/abort")[0] == 503
    world.until(lambda: world.holder() != alone, 10.0)
    world.until(lambda: world.stage(uid) == "done", 200.0)
    world.cut.clear()
    world.until(lambda: world.get(alone, "GET", "/up")[0] == 200, 10.0)
    assert world.get(alone, "GET", f"/work/{uid}")[1]["stage"] == "done"


def test_in_an_outage_seen_by_all_every_controller_stays_up() -> None:
    world = ready()
    world.state.down = True
    world.run(40.0)
    assert all(world.get(label, "GET", "/up")[0] == 200 for label in LABELS)


def test_controllers_back_at_once_never_take_the_old_process_for_themselves() -> None:
    """Twice in a row, and all of them in the middle of an election."""
    world = ready(2)
    world.capacity = 2
    uids = [submit(world, n, pieces=4) for n in range(3)]
    world.run(3.0)
    terms = [world.state.data["live/leader"][1]]
    holder = world.holder()
    for pause in (0.1, 0.3):
        world.crash(holder)
        world.run(pause)
        world.boot(holder)
        world.run(0.2)
    world.crash(*LABELS)
    for label in LABELS:
        world.boot(label)
    world.run(0.6)
    for label in LABELS:
        world.crash(label)
        world.run(0.05)
        world.boot(label)
    world.until(lambda: "live/leader" in world.state.data, 15.0)
    terms.append(world.state.data["live/leader"][1])
    assert terms[0] < terms[1]
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids), 120.0)


# -- size ------------------------------------------------------------------------------------

STATE = {"rps": 200.0, "write_rps": 90.0, "txn_ops": 16}


def test_a_fleet_of_two_thousand_machines_fits_one_record() -> None:
    """At 368 machines a value, a larger fleet fell into blocks, with room idle in one while tasks
    waited in another."""
    machines = {
        f"vm-{n:06d}": MachineEntry(f"10.1.{n // 250}.{n % 250}:90", "box", "ab"[n % 2], n % 3 > 0)
        for n in random.Random(1).sample(range(9000), 2000)
    }
    record = ShardRecord("pulleyhand-0", "b" * 30, machines)
    for newer in (False, True):
        assert len(record.encode(newer, 15_000)) < 0.95 * 16 * 1024
        assert decode_shard(record.encode(newer, 15_000)).machines == machines


def test_one_controller_alone_records_a_fleet_that_no_single_value_holds() -> None:
    """A record that outgrew its value could never be written again."""
    world = World(40, start=False, state=STATE | {"value_kb": 0.25})
    world.capacity = 40
    world.boot(LABELS[0])
    world.until(lambda: sum(bool(machines_of(r)) for r in world.blocks().values()) > 1, 10.0)
    assert {record["holder"] for record in world.blocks().values()} == {LABELS[0]}
    world.run(10.0)
    assert all(len(json.dumps(record)) <= 256 for record in world.blocks().values())


@pytest.mark.parametrize(
    ("took_s", "least_s", "most_s"), [(0.0, 0.0, 0.11), (0.006, 0.11, 0.2), (0.2, 0.79, 0.9)]
)
def test_plans_lie_further_apart_the_more_they_take(
    took_s: float, least_s: float, most_s: float
) -> None:
    """Too seldom, and room stands idle; too often, and a large fleet's plans take all the time."""
    world, _ = busy(8, 60.0)
    controller = world.controllers[world.holder()]
    ticks = iter(range(10**6))
    controller.components.context.clock = lambda: next(ticks) * took_s
    (held,) = controller.components.owned_shards.shards.values()
    planned = -1.0
    for _ in range(40):
        held.needs_replan = True
        before = controller.components.planner.next_plan_at
        world.step()
        if controller.components.planner.next_plan_at != before:
            planned = world.now
            break
    assert planned > 0
    assert least_s <= controller.components.planner.next_plan_at - planned <= most_s


def test_the_last_controller_takes_over_a_fleet_half_as_large_again() -> None:
    """940 machines on one record: none loses its lease, and no task starts a second time."""
    world = World(940)
    world.capacity = 940
    world.until(lambda: any(len(machines_of(r)) == 940 for r in world.blocks().values()), 10.0)
    for n in range(4):
        uid = submit(world, n, pieces=470, expect_s=60.0)
        world.times[uid] = 60.0
    world.until(lambda: len(world.starts_seen) == 1880, 15.0)
    world.crash(world.holder())
    world.crash(next(iter(world.controllers)))
    (last,) = world.controllers
    world.until(lambda: world.holder() == last, 10.0)
    world.run(10.0)
    held = world.controllers[last].components.owned_shards.shards.values()
    assert sum(len(list(block.runs())) for block in held) == 1880
    assert len(world.starts_seen) == 1880
    assert {worker.shift for worker in world.workers.values()} == {1}


def test_a_wave_of_recalls_at_a_takeover_holds_nothing_back_for_a_lease() -> None:
    """A third of a zone is no cut of the network: released, it is proved empty at once. Waiting
    for the leases stopped all old jobs for 25 s."""
    world = ready(9)
    world.capacity = 9
    uid = submit(world, 1, pieces=40)
    world.times[uid] = 9.0
    world.until(lambda: len(world.running(uid)) >= 16, 20.0)
    old = world.holder()
    dead = [host for host, worker in sorted(world.workers.items()) if worker.on_machine()][:3]
    for host in dead:
        world.workers[host].hung = True
    world.crash(old)
    begun = world.now
    world.until(lambda: world.holder() != old, 10.0)
    world.run(0.5)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    world.until(lambda: not held.unreconciled, 8.0)
    assert world.now - begun < 2.0 + 0.25 * 8.0 + 4.0
    assert set(dead) <= set(world.released)
    world.until(lambda: world.stage(uid) == "done", 120.0)


def test_a_report_that_tells_nothing_new_costs_no_plan_and_no_new_picture() -> None:
    """Hundreds of machines report every few seconds; work follows what changed."""
    world, uid = busy(4, 60.0, expect_s=60.0)
    world.run(3.0)
    held = next(iter(world.controllers[world.holder()].components.owned_shards.shards.values()))
    pictures = {host: machine.placement_snapshot for host, machine in held.machines.items()}
    ticks = {host: machine.heartbeat.sequence for host, machine in held.machines.items()}
    token = held.fencing_token
    world.run(3.0)
    assert len(world.running(uid)) == 4 and held.fencing_token == token
    for host, machine in held.machines.items():
        assert machine.heartbeat.sequence >= ticks[host] + 2  # it went on reporting
        assert machine.placement_snapshot is pictures[host] is not None
