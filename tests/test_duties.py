"""Duties: no action of a replaced holder ever takes effect on a machine in use."""

from __future__ import annotations

import random
import subprocess
import sys
from typing import Any

import msgspec
import pytest

from fallpulley.duties.messages import (
    DUTY_PREFIX,
    INTENT_PREFIX,
    Duty,
    Intent,
    Release,
    ScaleOut,
    duty_key,
    intent_key,
)
from fallpulley.duties.service import DutiesService
from tests.test_standby import ROOT
from tests.test_stories import submit
from tests.world import LABELS, World, job

ON: dict[str, Any] = {"duties": {"enabled": True}, "idle_boots": 2.0}


def world_with(machines: int = 0, capacity: int = 6, **operators: Any) -> World:
    """Three controllers that have their duties."""
    world = World(machines, operators=ON | operators)
    world.capacity = capacity
    enabled = world.operators["duties"]["enabled"] if world.operators else False
    world.until(lambda: bool(world.blocks()), 8.0)
    if enabled:
        world.until(lambda: len(open_duties(world)) == len(Duty), 5.0)
    world.until(lambda: "live/catalog" in world.state.data, 5.0)
    world.run(1.0)
    return world


def open_duties(world: World) -> list[str]:
    return [key for key in world.state.data if key.startswith(DUTY_PREFIX)]


def open_intents(world: World) -> list[str]:
    return [key for key in world.state.data if key.startswith(INTENT_PREFIX)]


def leader(world: World) -> str:
    return str(world.state.data["live/leader"][0]["label"])


def check_actions(world: World) -> None:
    """By the histories of the state service and of the machine provider alone: every action was
    recorded before, under the token that its duty had then, and none met a machine in use."""
    recorded = check_records(world)
    assert world.actions
    for action in world.actions:
        assert not action.in_use, action
        before = [intent.action for stamp, intent in recorded if stamp <= action.ledger]
        if action.name:
            assert any(
                isinstance(a, ScaleOut) and a.request.request_id == action.name for a in before
            )
        else:
            assert any(isinstance(a, Release) and a.machine_ids == action.hosts for a in before), (
                action
            )


def check_records(world: World) -> list[tuple[int, Intent]]:
    """Every intent and when it was recorded: each under the token that its duty had then."""
    tokens: dict[str, int] = {}
    recorded: list[tuple[int, Intent]] = []
    for event in world.state.log:
        key = event.get("set", event.get("drop", ""))
        if key.startswith(DUTY_PREFIX) and "set" in event:
            tokens[key] = event["stamp"]
        elif key.startswith(INTENT_PREFIX) and "set" in event:
            intent = msgspec.convert(event["v"], Intent)
            assert intent.token == tokens[duty_key(intent.duty)], "recorded under an old token"
            recorded.append((event["stamp"], intent))
    return recorded


def accounted(world: World) -> bool:
    """Every machine that there is stands in the record of a block."""
    registry = world.controllers[leader(world)].components.registry
    return all(host in registry.shard_of_machine for host in world.workers)


def test_every_action_is_recorded_before_it_goes_out_and_settled_after() -> None:
    world = world_with()
    uids = [submit(world, number, pieces=6) for number in range(3)]
    world.until(lambda: all(world.stage(uid) == "done" for uid in uids), 90.0)
    world.until(lambda: not world.workers, 60.0)
    world.until(lambda: not open_intents(world), 5.0)
    check_actions(world)
    holders = {world.state.data[duty_key(name)][0]["holder"] for name in Duty}
    assert holders == {leader(world)}


@pytest.mark.parametrize("enabled", [True, False])
def test_a_late_return_of_a_replaced_holder_meets_no_machine_in_use(enabled: bool) -> None:
    """Without duties the same story has a machine taken away from under its tasks."""
    world = world_with(6, 6, duties={"enabled": enabled}, idle_boots=50.0)
    long = submit(world, 1, pieces=8)
    world.times[long] = 10.0
    world.until(lambda: len(world.running(long)) == 8, 20.0)
    # Its machine cannot be reached when the holder ends; the next one has it returned as proof.
    quiet = next(host for host, worker in world.workers.items() if worker.on_machine())
    world.no_direct.add(quiet)
    world.mute.add(quiet)
    for label in LABELS:
        world.cloud_late[label] = 14.0
    first = world.holder()
    world.crash(first)
    world.until(lambda: world.holder() in world.controllers, 10.0)
    second = world.holder()
    world.until(lambda: is_returning(world, second, quiet), 20.0)
    world.run(0.3)
    # The second holder ends as well, its call still on its way, and the machine is back.
    world.crash(second)
    world.cloud_late.clear()
    world.no_direct.clear()
    world.mute.clear()
    world.boot(first)
    for number in range(10, 16):
        uid = submit_somewhere(world, number, pieces=4, expect_s=10.0)
        world.times[uid] = 10.0
    world.run(30.0)
    late = [a for a in world.actions if quiet in a.hosts and not a.name]
    assert late
    if enabled:
        assert not any(action.in_use for action in late)
        check_actions(world)
    else:
        assert any(action.in_use for action in late)


def is_returning(world: World, label: str, host: str) -> bool:
    """The controller has just asked the cloud to take the machine back."""
    provider = world.controllers[label].components.provider
    asked = host in provider.release_requested and provider.releases.next_attempt_at > world.now
    if world.controllers[label].components.extensions.find(DutiesService) is not None:
        return asked and any("returning" in key for key in open_intents(world))
    return asked


def submit_somewhere(world: World, number: int, **over: Any) -> str:
    """Submit at a controller that is there, until it is accepted."""
    spec = job(number, **over)
    for _ in range(40):
        for label in list(world.controllers):
            found = world.ask(label, "POST", "/work", spec)
            world.run(0.5)
            if found and found[0] in (200, 201):
                return str(spec["uid"])
    raise AssertionError("not accepted")


@pytest.mark.parametrize("duty", [Duty.SCALE_OUT, Duty.RELEASE])
@pytest.mark.parametrize("back", [False, True])
def test_a_duty_moves_while_an_intent_is_open_and_the_successor_settles_it(
    duty: str, back: bool
) -> None:
    """The holder ends when its intent has just become durable and its call has not gone out."""
    world = world_with(0 if duty == Duty.SCALE_OUT else 4, 6, idle_boots=1.0)
    if duty == Duty.SCALE_OUT:
        submit(world, 1, pieces=8)
    world.until(lambda: any(duty in key for key in open_intents(world)), 60.0)
    (key,) = [key for key in open_intents(world) if duty in key][:1]
    intent = msgspec.convert(world.state.data[key][0], Intent)
    actions = len(world.actions)
    old = leader(world)
    world.crash(old)
    if back:
        world.boot(old)
    world.until(lambda: key not in world.state.data, 30.0)
    done = world.actions[actions:]
    assert done and all(not action.sender.endswith(" boot-1") or old != "node-0" for action in done)
    if isinstance(intent.action, ScaleOut):
        assert [a.name for a in world.actions].count(intent.action.request.request_id) == 1
    else:
        assert not set(intent.action.machine_ids) & world.workers.keys()
    world.until(lambda: accounted(world), 30.0)
    check_actions(world)


def test_a_holder_that_pauses_past_its_lease_sends_nothing_when_it_resumes() -> None:
    """It stands still between the record of its intent and the call."""
    world = world_with(0, 6)
    submit(world, 1, pieces=8)
    world.until(lambda: bool(open_intents(world)), 60.0)
    old = leader(world)
    boot = world.controllers[old].components.context.incarnation
    world.paused.add(old)
    world.until(lambda: leader(world) != old if "live/leader" in world.state.data else False, 20.0)
    world.run(5.0)
    before = len(world.actions)
    world.paused.clear()
    world.run(20.0)
    assert not any(a.sender == f"{old} {boot}" for a in world.actions[before:])
    assert not open_intents(world) or all(
        msgspec.convert(world.state.data[key][0], Intent).token
        == world.state.data[duty_key(Duty.SCALE_OUT)][1]
        for key in open_intents(world)
        if Duty.SCALE_OUT in key
    )
    check_actions(world)


def test_a_return_left_open_is_settled_though_nothing_else_is_to_be_returned() -> None:
    world = world_with(3, 3, idle_boots=50.0)
    host = sorted(world.workers)[0]
    label = leader(world)
    token = world.state.data[duty_key(Duty.RELEASE)][1]
    intent = Intent(Duty.RELEASE, token, Release([host]))
    write = {"set": intent_key(Duty.RELEASE, token, 99), "v": msgspec.to_builtins(intent)}
    assert world.state.txn({"if": [], "then": [write]})[0] == 200
    world.until(lambda: host not in world.workers and not open_intents(world), 10.0)
    assert leader(world) == label
    check_actions(world)


def test_a_replaced_holders_record_that_is_carried_out_late_is_refused() -> None:
    world = world_with(0, 6)
    old = leader(world)
    world.unanswered[old] = 9.0
    submit_without_answer(world, old)
    world.until(lambda: service(world, old).intents.has_writes_in_flight, 20.0)
    world.run(0.3)
    world.crash(old)
    world.until(lambda: "live/leader" in world.state.data and leader(world) != old, 20.0)
    world.until(lambda: len(open_duties(world)) == len(Duty), 10.0)
    world.run(15.0)
    check_records(world)


def test_a_return_as_proof_is_refused_once_the_block_is_somebody_elses() -> None:
    """The duty stays where it is, the block goes to another controller, and that one uses the
    machine when the record is carried out."""
    world = world_with(6, 6, idle_boots=50.0)
    long = submit(world, 1, pieces=8)
    world.times[long] = 10.0
    world.until(lambda: len(world.running(long)) == 8, 20.0)
    quiet = next(host for host, worker in world.workers.items() if worker.on_machine())
    world.no_direct.add(quiet)
    world.mute.add(quiet)
    world.crash(world.holder())
    world.until(lambda: world.holder() in world.controllers, 10.0)
    holder = world.holder()
    world.until(
        lambda: quiet in world.controllers[holder].components.provider.release_requested, 20.0
    )
    world.unanswered[holder] = 8.0
    world.until(lambda: service(world, holder).intents.has_writes_in_flight, 5.0)
    world.step()
    world.unanswered.clear()
    (block,) = world.controllers[holder].components.owned_shards.shards
    other = next(label for label in world.controllers if label != holder)
    world.controllers[holder].components.leadership.hand_off(block, other)
    world.until(lambda: world.holder() == other, 10.0)
    world.no_direct.clear()
    world.mute.clear()
    for number in range(10, 14):
        uid = submit_somewhere(world, number, pieces=6, expect_s=10.0)
        world.times[uid] = 10.0
    world.run(20.0)
    assert not any(quiet in action.hosts and action.in_use for action in world.actions)


def submit_without_answer(world: World, but: str) -> None:
    """Accepted by a controller whose writes are answered."""
    label = next(label for label in LABELS if label != but)
    world.ask(label, "POST", "/work", job(1, pieces=8))


def service(world: World, label: str) -> DutiesService:
    found = world.controllers[label].components.extensions.find(DutiesService)
    assert found is not None
    return found


@pytest.mark.parametrize("ahead", ["time of day", "steady clock"])
def test_a_holders_clock_that_is_ahead_lets_no_action_through_that_is_not_recorded(
    ahead: str,
) -> None:
    world = world_with(0, 6)
    uid = submit(world, 1, pieces=8)
    world.until(lambda: bool(world.workers), 30.0)
    old = leader(world)
    if ahead == "time of day":
        world.wall_ahead[old] = 3600.0
    else:
        world.clock_rate[old] = 1.0005
    world.run(10.0)
    world.cut |= {(old, "state")}
    world.until(lambda: world.state.data.get("live/leader", [{}])[0].get("label") != old, 20.0)
    world.run(10.0)
    world.cut.clear()
    world.wall_ahead.clear()
    world.until(lambda: world.stage(uid) == "done", 90.0)
    check_actions(world)


def test_a_rental_that_takes_effect_late_is_neither_repeated_nor_lost() -> None:
    world = world_with(0, 6)
    old = leader(world)
    world.cloud_late[old] = 12.0
    uid = submit(world, 1, pieces=8)
    world.until(lambda: bool(open_intents(world)), 30.0)
    world.run(0.5)
    world.crash(old)
    world.until(lambda: world.stage(uid) == "done", 120.0)
    names = [action.name for action in world.actions if action.name]
    assert len(names) == len(set(names))
    world.until(lambda: accounted(world) and not open_intents(world), 60.0)
    check_actions(world)


@pytest.mark.parametrize("number", range(10))
def test_drawn_troubles_let_no_replaced_holders_action_through(number: int) -> None:
    """Controllers end, stand still and are cut off, the cloud carries out late, writes get no
    answer, machines fall silent for a while."""
    chance = random.Random(number)
    world = world_with(3, 8, idle_boots=1.0)
    uids = []
    for step in range(12):
        trouble = chance.randrange(6)
        label = chance.choice(LABELS)
        if trouble == 0 and len(world.controllers) > 1 and label in world.controllers:
            world.crash(label)
        elif trouble == 1:
            world.paused = {label}
        elif trouble == 2:
            world.cloud_late = {label: chance.uniform(1.0, 9.0)}
        elif trouble == 3:
            world.unanswered = {label: chance.uniform(0.0, 4.0)}
        elif trouble == 4:
            world.cut = {(label, chance.choice(["state", "cloud"]))}
        elif world.workers:
            host = chance.choice(sorted(world.workers))
            world.mute, world.no_direct = {host}, {host}
        if step % 2 == 0:
            up = [name for name in world.controllers if name not in world.paused]
            spec_uid = f"job-{100 + step:06d}"
            if up:
                world.ask(up[0], "POST", "/work", job(100 + step, pieces=chance.randint(8, 16)))
                uids.append(spec_uid)
        world.run(chance.uniform(1.0, 7.0))
        if chance.random() < 0.6:
            heal(world)
    heal(world)
    accepted = [uid for uid in uids if world.stage(uid) is not None]
    world.until(lambda: all(world.stage(uid) == "done" for uid in accepted), 200.0)
    world.until(lambda: accounted(world) and not open_intents(world), 60.0)
    check_actions(world)


def heal(world: World) -> None:
    world.paused.clear()
    world.cut.clear()
    world.cloud_late.clear()
    world.unanswered.clear()
    world.mute.clear()
    world.no_direct.clear()
    for label in LABELS:
        if label not in world.controllers:
            world.boot(label)


def test_nothing_of_it_is_imported_unless_it_is_turned_on() -> None:
    program = (
        "import sys, fallpulley.serve; from fallpulley.controller import Controller; "
        "from tests.world import settings; Controller(settings('node-0'), 'boot', lambda: 0.0); "
        "sys.exit(any('fallpulley.duties' in m for m in sys.modules))"
    )
    done = subprocess.run([sys.executable, "-c", program], check=False, cwd=ROOT)
    assert done.returncode == 0
