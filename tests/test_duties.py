"""Duties: no action of a replaced owner ever takes effect on a machine in use."""

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
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, job_spec
from tests.test_jobs_and_takeovers import submit_job
from tests.test_standby import ROOT

DUTIES_ENABLED: dict[str, Any] = {"duties": {"enabled": True}, "idle_boots": 2.0}


def cluster_with_duties(machines: int = 0, capacity: int = 6, **operators: Any) -> SimulatedCluster:
    """Return a cluster in which every duty has an owner, unless duties are disabled."""
    cluster = SimulatedCluster(machines, operators=DUTIES_ENABLED | operators)
    cluster.capacity = capacity
    enabled = cluster.operators["duties"]["enabled"] if cluster.operators else False
    cluster.run_until(lambda: bool(cluster.shards()), 8.0)
    if enabled:
        cluster.run_until(lambda: len(open_duties(cluster)) == len(Duty), 5.0)
    cluster.run_until(lambda: "live/catalog" in cluster.state.entries, 5.0)
    cluster.run(1.0)
    return cluster


def open_duties(cluster: SimulatedCluster) -> list[str]:
    return [key for key in cluster.state.entries if key.startswith(DUTY_PREFIX)]


def open_intents(cluster: SimulatedCluster) -> list[str]:
    return [key for key in cluster.state.entries if key.startswith(INTENT_PREFIX)]


def leader(cluster: SimulatedCluster) -> str:
    return str(cluster.state.entries["live/leader"][0]["label"])


def check_cloud_actions(cluster: SimulatedCluster) -> None:
    """Check the cloud's actions by the histories of the cloud and the state service alone.

    Every action was recorded before it was sent, under the token that its duty had then, and none
    affected a machine in use.
    """
    recorded = check_records(cluster)
    assert cluster.cloud_actions
    for action in cluster.cloud_actions:
        assert not action.hosts_in_use, action
        before = [intent.action for stamp, intent in recorded if stamp <= action.state_revision]
        if action.rental_id:
            assert any(
                isinstance(a, ScaleOut) and a.request.request_id == action.rental_id for a in before
            )
        else:
            assert any(isinstance(a, Release) and a.machine_ids == action.hosts for a in before), (
                action
            )


def check_records(cluster: SimulatedCluster) -> list[tuple[int, Intent]]:
    """Return every intent with the revision at which it was recorded, oldest first.

    Each must have been recorded under the token that its duty had then.
    """
    tokens: dict[str, int] = {}
    recorded: list[tuple[int, Intent]] = []
    for event in cluster.state.log:
        key = event.get("set", event.get("drop", ""))
        if key.startswith(DUTY_PREFIX) and "set" in event:
            tokens[key] = event["stamp"]
        elif key.startswith(INTENT_PREFIX) and "set" in event:
            intent = msgspec.convert(event["v"], Intent)
            assert intent.token == tokens[duty_key(intent.duty)], "recorded under an old token"
            recorded.append((event["stamp"], intent))
    return recorded


def all_machines_recorded(cluster: SimulatedCluster) -> bool:
    """Return whether each existing machine is in the record of a shard."""
    registry = cluster.controllers[leader(cluster)].components.registry
    return all(host in registry.shard_of_machine for host in cluster.workers)


def test_every_action_is_recorded_before_it_is_sent_and_resolved_afterwards() -> None:
    cluster = cluster_with_duties()
    uids = [submit_job(cluster, number, pieces=6) for number in range(3)]
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in uids), 90.0)
    cluster.run_until(lambda: not cluster.workers, 60.0)
    cluster.run_until(lambda: not open_intents(cluster), 5.0)
    check_cloud_actions(cluster)
    owners = {cluster.state.entries[duty_key(name)][0]["holder"] for name in Duty}
    assert owners == {leader(cluster)}


@pytest.mark.parametrize("enabled", [True, False])
def test_late_release_of_a_replaced_owner_affects_no_machine_in_use(enabled: bool) -> None:
    """Without duties, the same sequence of events releases a machine that runs tasks."""
    cluster = cluster_with_duties(6, 6, duties={"enabled": enabled}, idle_boots=50.0)
    long = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[long] = 10.0
    cluster.run_until(lambda: len(cluster.running_tasks(long)) == 8, 20.0)
    # A machine is unreachable when the owner crashes. The next owner releases it, because the
    # cloud's confirmation proves that the machine's tasks have ended.
    unreachable = next(host for host, worker in cluster.workers.items() if worker.running_tasks())
    cluster.command_loss_hosts.add(unreachable)
    cluster.heartbeat_loss_hosts.add(unreachable)
    for label in CONTROLLER_LABELS:
        cluster.unanswered_cloud_actions[label] = 14.0
    first = cluster.owner()
    cluster.crash(first)
    cluster.run_until(lambda: cluster.owner() in cluster.controllers, 10.0)
    second = cluster.owner()
    cluster.run_until(lambda: is_releasing(cluster, second, unreachable), 20.0)
    cluster.run(0.3)
    # The second owner crashes too, with its call in flight, and the machine is reachable again.
    cluster.crash(second)
    cluster.unanswered_cloud_actions.clear()
    cluster.command_loss_hosts.clear()
    cluster.heartbeat_loss_hosts.clear()
    cluster.start_controller(first)
    for number in range(10, 16):
        uid = submit_to_any_controller(cluster, number, pieces=4, expect_s=10.0)
        cluster.task_durations_s[uid] = 10.0
    cluster.run(30.0)
    releases = [a for a in cluster.cloud_actions if unreachable in a.hosts and not a.rental_id]
    assert releases
    if enabled:
        assert not any(action.hosts_in_use for action in releases)
        check_cloud_actions(cluster)
    else:
        assert any(action.hosts_in_use for action in releases)


def is_releasing(cluster: SimulatedCluster, label: str, host: str) -> bool:
    """Return whether the controller has just asked the cloud to release the machine."""
    provider = cluster.controllers[label].components.provider
    asked = host in provider.release_requested and provider.releases.next_attempt_at > cluster.now
    if cluster.controllers[label].components.extensions.find(DutiesService) is not None:
        return asked and any("returning" in key for key in open_intents(cluster))
    return asked


def submit_to_any_controller(cluster: SimulatedCluster, number: int, **overrides: Any) -> str:
    """Submit a job to the running controllers in turn until one accepts it; return its id."""
    spec = job_spec(number, **overrides)
    for _ in range(40):
        for label in list(cluster.controllers):
            found = cluster.send_request(label, "POST", "/work", spec)
            cluster.run(0.5)
            if found and found[0] in (200, 201):
                return str(spec["uid"])
    raise AssertionError("no controller accepted the job")


@pytest.mark.parametrize("duty", [Duty.SCALE_OUT, Duty.RELEASE])
@pytest.mark.parametrize("back", [False, True])
def test_successor_resolves_an_open_intent_when_its_duty_moves(duty: str, back: bool) -> None:
    """The owner crashes when its intent has just become durable and its call is not sent yet."""
    cluster = cluster_with_duties(0 if duty == Duty.SCALE_OUT else 4, 6, idle_boots=1.0)
    if duty == Duty.SCALE_OUT:
        submit_job(cluster, 1, pieces=8)
    cluster.run_until(lambda: any(duty in key for key in open_intents(cluster)), 60.0)
    (key,) = [key for key in open_intents(cluster) if duty in key][:1]
    intent = msgspec.convert(cluster.state.entries[key][0], Intent)
    actions = len(cluster.cloud_actions)
    old = leader(cluster)
    cluster.crash(old)
    if back:
        cluster.start_controller(old)
    cluster.run_until(lambda: key not in cluster.state.entries, 30.0)
    done = cluster.cloud_actions[actions:]
    assert done and all(not action.sender.endswith(" boot-1") or old != "node-0" for action in done)
    if isinstance(intent.action, ScaleOut):
        assert [a.rental_id for a in cluster.cloud_actions].count(
            intent.action.request.request_id
        ) == 1
    else:
        assert not set(intent.action.machine_ids) & cluster.workers.keys()
    cluster.run_until(lambda: all_machines_recorded(cluster), 30.0)
    check_cloud_actions(cluster)


def test_owner_that_pauses_past_its_lease_sends_nothing_when_it_resumes() -> None:
    """The owner pauses between the write of its intent and the call to the cloud."""
    cluster = cluster_with_duties(0, 6)
    submit_job(cluster, 1, pieces=8)
    cluster.run_until(lambda: bool(open_intents(cluster)), 60.0)
    old = leader(cluster)
    boot = cluster.controllers[old].components.context.incarnation
    cluster.paused_controllers.add(old)
    cluster.run_until(
        lambda: leader(cluster) != old if "live/leader" in cluster.state.entries else False, 20.0
    )
    cluster.run(5.0)
    before = len(cluster.cloud_actions)
    cluster.paused_controllers.clear()
    cluster.run(20.0)
    assert not any(a.sender == f"{old} {boot}" for a in cluster.cloud_actions[before:])
    assert not open_intents(cluster) or all(
        msgspec.convert(cluster.state.entries[key][0], Intent).token
        == cluster.state.entries[duty_key(Duty.SCALE_OUT)][1]
        for key in open_intents(cluster)
        if Duty.SCALE_OUT in key
    )
    check_cloud_actions(cluster)


def test_open_release_is_resolved_when_no_other_machine_is_to_be_released() -> None:
    cluster = cluster_with_duties(3, 3, idle_boots=50.0)
    host = sorted(cluster.workers)[0]
    label = leader(cluster)
    token = cluster.state.entries[duty_key(Duty.RELEASE)][1]
    intent = Intent(Duty.RELEASE, token, Release([host]))
    write = {"set": intent_key(Duty.RELEASE, token, 99), "v": msgspec.to_builtins(intent)}
    assert cluster.state.commit({"if": [], "then": [write]})[0] == 200
    cluster.run_until(lambda: host not in cluster.workers and not open_intents(cluster), 10.0)
    assert leader(cluster) == label
    check_cloud_actions(cluster)


def test_late_write_of_a_replaced_owners_intent_is_refused() -> None:
    cluster = cluster_with_duties(0, 6)
    old = leader(cluster)
    cluster.unanswered_transactions[old] = 9.0
    submit_without_waiting(cluster, old)
    cluster.run_until(lambda: duties_service(cluster, old).intents.has_writes_in_flight, 20.0)
    cluster.run(0.3)
    cluster.crash(old)
    cluster.run_until(
        lambda: "live/leader" in cluster.state.entries and leader(cluster) != old, 20.0
    )
    cluster.run_until(lambda: len(open_duties(cluster)) == len(Duty), 10.0)
    cluster.run(15.0)
    check_records(cluster)


def test_release_of_an_unreconciled_machine_is_refused_after_its_shard_moves() -> None:
    """The duty keeps its owner while the shard moves to another controller.

    That controller uses the machine by the time the write of the intent takes effect.
    """
    cluster = cluster_with_duties(6, 6, idle_boots=50.0)
    long = submit_job(cluster, 1, pieces=8)
    cluster.task_durations_s[long] = 10.0
    cluster.run_until(lambda: len(cluster.running_tasks(long)) == 8, 20.0)
    unreachable = next(host for host, worker in cluster.workers.items() if worker.running_tasks())
    cluster.command_loss_hosts.add(unreachable)
    cluster.heartbeat_loss_hosts.add(unreachable)
    cluster.crash(cluster.owner())
    cluster.run_until(lambda: cluster.owner() in cluster.controllers, 10.0)
    owner = cluster.owner()
    cluster.run_until(
        lambda: unreachable in cluster.controllers[owner].components.provider.release_requested,
        20.0,
    )
    cluster.unanswered_transactions[owner] = 8.0
    cluster.run_until(lambda: duties_service(cluster, owner).intents.has_writes_in_flight, 5.0)
    cluster.step()
    cluster.unanswered_transactions.clear()
    (shard_id,) = cluster.controllers[owner].components.owned_shards.shards
    other = next(label for label in cluster.controllers if label != owner)
    cluster.controllers[owner].components.leadership.hand_off(shard_id, other)
    cluster.run_until(lambda: cluster.owner() == other, 10.0)
    cluster.command_loss_hosts.clear()
    cluster.heartbeat_loss_hosts.clear()
    for number in range(10, 14):
        uid = submit_to_any_controller(cluster, number, pieces=6, expect_s=10.0)
        cluster.task_durations_s[uid] = 10.0
    cluster.run(20.0)
    assert not any(
        unreachable in action.hosts and action.hosts_in_use for action in cluster.cloud_actions
    )


def submit_without_waiting(cluster: SimulatedCluster, excluded: str) -> None:
    """Submit a job to a controller other than `excluded`, without waiting for the response."""
    label = next(label for label in CONTROLLER_LABELS if label != excluded)
    cluster.send_request(label, "POST", "/work", job_spec(1, pieces=8))


def duties_service(cluster: SimulatedCluster, label: str) -> DutiesService:
    found = cluster.controllers[label].components.extensions.find(DutiesService)
    assert found is not None
    return found


@pytest.mark.parametrize("ahead", ["time of day", "steady clock"])
def test_no_unrecorded_action_takes_effect_when_the_owners_clock_is_ahead(
    ahead: str,
) -> None:
    cluster = cluster_with_duties(0, 6)
    uid = submit_job(cluster, 1, pieces=8)
    cluster.run_until(lambda: bool(cluster.workers), 30.0)
    old = leader(cluster)
    if ahead == "time of day":
        cluster.wall_clock_offsets_s[old] = 3600.0
    else:
        cluster.clock_rates[old] = 1.0005
    cluster.run(10.0)
    cluster.partitions |= {(old, "state")}
    cluster.run_until(
        lambda: cluster.state.entries.get("live/leader", [{}])[0].get("label") != old, 20.0
    )
    cluster.run(10.0)
    cluster.partitions.clear()
    cluster.wall_clock_offsets_s.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)
    check_cloud_actions(cluster)


def test_rental_that_takes_effect_late_is_neither_repeated_nor_lost() -> None:
    cluster = cluster_with_duties(0, 6)
    old = leader(cluster)
    cluster.unanswered_cloud_actions[old] = 12.0
    uid = submit_job(cluster, 1, pieces=8)
    cluster.run_until(lambda: bool(open_intents(cluster)), 30.0)
    cluster.run(0.5)
    cluster.crash(old)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    rental_ids = [action.rental_id for action in cluster.cloud_actions if action.rental_id]
    assert len(rental_ids) == len(set(rental_ids))
    cluster.run_until(lambda: all_machines_recorded(cluster) and not open_intents(cluster), 60.0)
    check_cloud_actions(cluster)


@pytest.mark.parametrize("number", range(10))
def test_no_action_of_a_replaced_owner_takes_effect_under_random_failures(number: int) -> None:
    """Controllers crash, pause and are cut off; machines are unreachable for a while.

    The cloud acts late, and transactions get no response.
    """
    rng = random.Random(number)
    cluster = cluster_with_duties(3, 8, idle_boots=1.0)
    uids = []
    for step in range(12):
        failure = rng.randrange(6)
        label = rng.choice(CONTROLLER_LABELS)
        if failure == 0 and len(cluster.controllers) > 1 and label in cluster.controllers:
            cluster.crash(label)
        elif failure == 1:
            cluster.paused_controllers = {label}
        elif failure == 2:
            cluster.unanswered_cloud_actions = {label: rng.uniform(1.0, 9.0)}
        elif failure == 3:
            cluster.unanswered_transactions = {label: rng.uniform(0.0, 4.0)}
        elif failure == 4:
            cluster.partitions = {(label, rng.choice(["state", "cloud"]))}
        elif cluster.workers:
            host = rng.choice(sorted(cluster.workers))
            cluster.heartbeat_loss_hosts, cluster.command_loss_hosts = {host}, {host}
        if step % 2 == 0:
            running = [
                name for name in cluster.controllers if name not in cluster.paused_controllers
            ]
            spec_uid = f"job-{100 + step:06d}"
            if running:
                cluster.send_request(
                    running[0], "POST", "/work", job_spec(100 + step, pieces=rng.randint(8, 16))
                )
                uids.append(spec_uid)
        cluster.run(rng.uniform(1.0, 7.0))
        if rng.random() < 0.6:
            end_failures(cluster)
    end_failures(cluster)
    accepted = [uid for uid in uids if cluster.job_state(uid) is not None]
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in accepted), 200.0)
    cluster.run_until(lambda: all_machines_recorded(cluster) and not open_intents(cluster), 60.0)
    check_cloud_actions(cluster)


def end_failures(cluster: SimulatedCluster) -> None:
    """End all failures, and start the controllers that have crashed."""
    cluster.paused_controllers.clear()
    cluster.partitions.clear()
    cluster.unanswered_cloud_actions.clear()
    cluster.unanswered_transactions.clear()
    cluster.heartbeat_loss_hosts.clear()
    cluster.command_loss_hosts.clear()
    for label in CONTROLLER_LABELS:
        if label not in cluster.controllers:
            cluster.start_controller(label)


def test_duties_package_is_not_imported_unless_enabled() -> None:
    program = (
        "import sys, fallpulley.serve; from fallpulley.controller import Controller; "
        "from tests.simulated_cluster import controller_settings;"
        " Controller(controller_settings('node-0'), 'boot', lambda: 0.0); "
        "sys.exit(any('fallpulley.duties' in m for m in sys.modules))"
    )
    done = subprocess.run([sys.executable, "-c", program], check=False, cwd=ROOT)
    assert done.returncode == 0
