"""Simulations with 4,500 machines, more than former fixed limits allowed."""

from __future__ import annotations

from typing import Any

import pytest

from fallpulley.effects import RESPONSE_TOO_LONG, Response
from fallpulley.mesh.task_counts import TaskCountRotation
from fallpulley.shard_sizes import machines_per_shard
from fallpulley.shards.attempt_numbers import AttemptNumbers
from fallpulley.shards.fencing_prober import FencingProber
from fallpulley.shards.lease_watch import LeaseWatch
from fallpulley.shared_records.release_records import release_changes, select_releasable
from fallpulley.wire.server import ServerLimits
from tests.simulated_cluster import (
    CONTROLLER_LABELS,
    STATE_ADDRESS,
    SimulatedCluster,
    controller_settings,
    job_spec,
)

MACHINES = 4500
REPORT_S = 10.0
STEP_S = 0.1
TASK_S = 60.0
FACTS: dict[str, Any] = {
    "workers": {"report_s": REPORT_S, "lease_s": 40.0, "cancel_s": 150.0},
    "teams": [{"name": "crew"}],
    "machine_limits": {"core_share": 1.0, "memory_mb": 400.0, "sockets": 6000},
}
SMALLEST_LIMITS = {"value_kb": 2.0, "txn_ops": 4}
STATE_FACTS: dict[str, Any] = {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16}


def large_cluster(
    state: dict[str, Any] | None = None, older: str = "", **overrides: Any
) -> SimulatedCluster:
    """Return a cluster without machines whose cloud offers 4,500."""
    cluster = SimulatedCluster(
        0, start=False, state=STATE_FACTS | (state or {}), **FACTS | overrides
    )
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label, older=label == older)
    cluster.step_s = STEP_S
    cluster.capacity = MACHINES
    cluster.run(2.0)
    return cluster


def submit_work(cluster: SimulatedCluster, task_count: int, jobs: int = 9) -> list[str]:
    """Submit jobs, by default with two tasks for each machine, and return their ids."""
    uids = []
    for number in range(jobs):
        spec = job_spec(number, pieces=task_count, expect_s=TASK_S, size_gb=0.1)
        cluster.task_durations_s[spec["uid"]] = TASK_S
        cluster.send_request(CONTROLLER_LABELS[number % 3], "POST", "/work", spec)
        uids.append(spec["uid"])
    return uids


def machine_page_keys(cluster: SimulatedCluster) -> list[str]:
    return [key for key in cluster.state.entries if key.startswith("live/machines/")]


def all_machines_reconciled(cluster: SimulatedCluster) -> bool:
    """Return whether each machine of each shard has shown its owner's token or is proven empty."""
    shards = [
        shard
        for controller in cluster.controllers.values()
        for shard in controller.components.owned_shards.shards.values()
    ]
    return bool(shards) and all(
        not shard.unreconciled and shard.progress_loaded for shard in shards
    )


@pytest.mark.parametrize("limits", [{}, SMALLEST_LIMITS])
def test_no_task_starts_twice_when_a_shard_with_a_full_fleet_is_taken_over(
    limits: dict[str, Any],
) -> None:
    """Also holds under the smallest values and transactions of any site."""
    cluster = large_cluster(limits)
    cluster.state.value_bytes = 2048 if limits else 16 * 1024
    cluster.state.txn_ops = 4 if limits else 16
    submit_work(cluster, task_count=1000)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 2 * MACHINES, 60.0)
    assert (
        len(cluster.workers) == MACHINES
        and len(cluster.shards()) == 1
        and machine_page_keys(cluster)
    )
    assert cluster.state.oversized_transactions == 0
    # The takeover writes only the shard's record once, however many machines the shard has.
    revision, owner = cluster.state.revision, cluster.owner()
    cluster.crash(owner)
    cluster.run_until(lambda: cluster.owner() != owner, 20.0)
    (key,) = cluster.shards()
    changed = [e["set"] for e in cluster.state.log if e["stamp"] > revision and "set" in e]
    assert changed.count(key) == 1 and not any("live/machines/" in name for name in changed)
    cluster.run_until(lambda: all_machines_reconciled(cluster), 2.5 * REPORT_S)
    assert len(cluster.running_tasks()) == len(cluster.task_starts) == 2 * MACHINES
    (shard,) = cluster.controllers[cluster.owner()].components.owned_shards.shards.values()
    assert sum(1 for _ in shard.runs()) == 2 * MACHINES


def test_full_fleet_keeps_its_tasks_when_all_controllers_restart_within_a_second() -> None:
    cluster = large_cluster()
    uids = submit_work(cluster, task_count=1000)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 2 * MACHINES, 60.0)
    cluster.crash(*CONTROLLER_LABELS)
    cluster.run(0.8)
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: all_machines_reconciled(cluster), 4 * REPORT_S)
    assert len(cluster.task_starts) == 2 * MACHINES
    cluster.run_until(
        lambda: all(cluster.job_state(uid) == "done" for uid in uids), TASK_S + 6 * REPORT_S
    )
    assert len(cluster.task_starts) == 2 * MACHINES


def test_zone_is_reconciled_after_a_partition_beyond_a_lease_and_an_owner_crash() -> None:
    """Unreachable machines, first in the order of probes, kept the others from being probed."""
    cluster = large_cluster()
    submit_work(cluster, task_count=1000)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 2 * MACHINES, 60.0)
    lost = [worker.host for worker in cluster.workers.values() if worker.zone == "a"]
    assert len(lost) == MACHINES // 2
    cluster.partitions |= {(host, label) for host in lost for label in CONTROLLER_LABELS}
    cluster.crash(cluster.owner())
    probed: set[str] = set()
    all_probed = False
    until = cluster.now + 45.0
    while cluster.now < until:
        cluster.step()
        for controller in cluster.controllers.values():
            for shard in controller.components.owned_shards.shards.values():
                probed |= {h for h, m in shard.machines.items() if m.fencing.next_probe_at > 0}
                all_probed = all_probed or set(lost) <= probed
    assert all_probed
    cluster.partitions.clear()
    cluster.run_until(lambda: all_machines_reconciled(cluster), 200.0)


def test_announced_limits_refuse_no_write_with_large_records_and_an_older_version() -> None:
    """Nothing is written that the older version misreads; the new limits refuse no write."""
    announced = {"next": {"value_kb": 2.0, "txn_ops": 4}}
    cluster = large_cluster(announced, older="node-2")
    cluster.capacity = 2400
    submit_work(cluster, task_count=800, jobs=6)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 4800, 60.0)
    assert not machine_page_keys(cluster) and "live/format" not in cluster.state.entries
    cluster.crash("node-2")
    cluster.start_controller("node-2")
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 20.0)
    cluster.run_until(
        lambda: all(c.components.context.record_format.paged for c in cluster.controllers.values()),
        5.0,
    )
    cluster.run(10.0)
    cluster.state.value_bytes, cluster.state.txn_ops = 2048, 4
    refused = cluster.state.oversized_transactions
    cluster.capacity = MACHINES
    submit_work(cluster, task_count=1000)
    cluster.run(30.0)
    cluster.crash(cluster.controllers and next(iter(cluster.controllers)))
    cluster.run_until(lambda: all_machines_reconciled(cluster), 4 * REPORT_S)
    assert len(cluster.workers) == MACHINES and machine_page_keys(cluster)
    assert cluster.state.oversized_transactions == refused


def test_machine_list_of_many_pages_is_read_to_its_end() -> None:
    """A list of ten pages once needed more calls than the budget allowed, and never ended."""
    cluster = large_cluster(cloud={"rps": 1.0, "list_lag_s": 1.0})
    for _ in range(MACHINES):  # rented by no known controller: only the list names them
        cluster.add_machine("a", spot=True)
    for worker in cluster.workers.values():
        worker.hung = True
    leader = next(
        c for c in cluster.controllers.values() if c.components.leadership.term is not None
    )
    cluster.run_until(lambda: len(leader.components.provider.listed_machines) == MACHINES, 90.0)
    assert cluster.machine_list_requests >= MACHINES // 500
    cluster.run_until(lambda: len(leader.components.registry.shard_of_machine) == MACHINES, 30.0)


# -- single components --------------------------------------------------------------------------


def test_attempt_numbers_continue_from_a_newer_revision_when_the_counter_is_used_up() -> None:
    """With 4,000 machines, four million attempts are made in a few hours.

    The counter then overflowed into numbers that a later owner may use.
    """
    numbers = AttemptNumbers(100, counter_bits=3)
    found = [numbers.next(100) for _ in range(7)]
    assert found == [(100 << 3) + n for n in range(1, 8)]
    assert numbers.needs_new_revision and numbers.next(100) is None
    again = [numbers.next(revision) for revision in (130, 131, 132)]
    assert again == [(130 << 3) + n for n in range(1, 4)]
    assert numbers.first == 100 << 3


def test_lease_watch_checks_each_machine_once_per_lease_not_at_every_tick() -> None:
    watch = LeaseWatch()
    for number in range(MACHINES):
        watch.watch(f"m{number}", 10.0 + number / MACHINES)
    checks = 0
    for tick in range(150):
        now = tick / 10
        for host in watch.pop_due(now):
            checks += 1
            watch.watch(host, now + 10.0)
    assert checks == MACHINES
    assert watch.pop_due(10.0) == []


def test_task_counts_of_any_number_of_jobs_fit_into_the_bodies_of_heartbeats() -> None:
    """A heartbeat that named 3,000 jobs exceeded the maximum length of a body.

    It was refused, and its sender counted as gone.
    """
    counts = {f"job-{n:06d}": (n, n) for n in range(3000)}
    rotation = TaskCountRotation()
    reported_jobs: set[str] = set()
    for round_number in range(4):
        counts["job-002999"] = (round_number, 1)
        entries = rotation.next_entries(counts)
        assert sum(len(str(tuple(entry))) for entry in entries) < ServerLimits().max_body_bytes
        reported_jobs |= {job for job, _, _ in entries}
    assert len(reported_jobs) == 3000
    counts["job-002999"] = (9, 9)
    assert ("job-002999", 9, 9) in rotation.next_entries(counts)


def test_watch_reloads_by_pages_when_a_response_is_too_long() -> None:
    cluster = SimulatedCluster(2)
    cluster.run(3.0)
    controller = cluster.controllers["node-1"]
    assert controller.components.watch.ready
    (call,) = [c for c in pending_watches(cluster, "node-1")][:1]
    call.on_response(Response(RESPONSE_TOO_LONG, b"", cluster.now))
    assert not controller.components.watch.loaded
    cluster.run_until(lambda: controller.components.watch.ready, 5.0)
    assert controller.components.watch.revision == cluster.state.revision


def pending_watches(cluster: SimulatedCluster, label: str) -> list[Any]:
    """Return the request for changes that this controller is about to send."""
    controller = cluster.controllers[label]
    controller.components.watch._watching = False
    controller.components.watch._start_watch(cluster.now)
    controller.components.context.state_client.send_queued(cluster.now)
    effects, controller.components.context.outbox[:] = (
        list(controller.components.context.outbox),
        [],
    )
    return [e for e in effects if getattr(e, "address", "") == STATE_ADDRESS]


def test_shard_size_is_at_most_the_number_of_sockets() -> None:
    limits = {"core_share": 1.0, "memory_mb": 400.0, "sockets": 1500}
    assert machines_per_shard(controller_settings("node-0", machine_limits=limits).facts) == 1500


def test_fencing_probes_in_flight_are_limited_to_their_share_of_the_sockets() -> None:
    cluster = large_cluster()
    cluster.run_until(
        lambda: bool(cluster.controllers[cluster.owner()].components.owned_shards.shards), 5.0
    )
    (agent,) = cluster.controllers[cluster.owner()].components.owned_shards.agents.values()
    assert (
        isinstance(agent.fencing_prober, FencingProber)
        and agent.fencing_prober.max_in_flight == 240
    )


def test_shards_are_balanced_by_many_machines_at_a_time() -> None:
    """At one machine a second, moving thousands would have taken most of an hour."""
    limits = {"core_share": 1.0, "memory_mb": 400.0, "sockets": 200}
    cluster = SimulatedCluster(400, operators={"idle_boots": 50.0}, machine_limits=limits)
    cluster.capacity = 400

    def sizes() -> list[int]:
        registry = next(iter(cluster.controllers.values())).components.registry
        return sorted(len(record.machines) for record, _ in registry.shards.values())

    cluster.run_until(lambda: len(sizes()) == 2 and sum(sizes()) == 400, 20.0)
    cluster.run_until(lambda: sizes()[0] >= 190, 40.0)
    assert sum(sizes()) == 400 and len(cluster.workers) == 400


def test_release_records_of_the_longest_machine_ids_fit_the_smallest_values() -> None:
    cluster = SimulatedCluster(2, state=STATE_FACTS | {"next": SMALLEST_LIMITS})
    cluster.run(5.0)
    record_format = cluster.controllers[cluster.owner()].components.context.record_format
    hosts = {f"{number:0190}" for number in range(100)}
    releasable = select_releasable(hosts, record_format)
    (change,) = release_changes(releasable, record_format)
    assert releasable and set(releasable) < hosts and len(change.value or b"") < 0.5 * 2048
