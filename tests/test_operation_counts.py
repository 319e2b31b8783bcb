"""Operations that were once too frequent, counted instead of timed."""

from __future__ import annotations

import pytest

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.scheduling.snapshot_builder import machine_snapshots
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.workers.machine import Machine
from tests.test_jobs_and_takeovers import busy_cluster


def test_occupancy_flags_are_compared_after_changes_not_at_every_tick(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster, uid = busy_cluster(task_count=4, seconds=60.0, expect_s=60.0)
    cluster.run(5.0)
    updates = ticks = 0
    update_all, hand_off = OccupancyFlags.update_all, ShardBalancer.hand_off_if_unreachable

    def counted_update_all(self: OccupancyFlags, shard: object) -> None:
        nonlocal updates
        updates += 1
        update_all(self, shard)  # type: ignore[arg-type]

    def counted_hand_off(self: ShardBalancer, shard: object) -> None:
        nonlocal ticks
        ticks += 1
        hand_off(self, shard)  # type: ignore[arg-type]

    monkeypatch.setattr(OccupancyFlags, "update_all", counted_update_all)
    monkeypatch.setattr(ShardBalancer, "hand_off_if_unreachable", counted_hand_off)
    cluster.run(10.0)
    assert len(cluster.running_tasks(uid)) == 4
    assert ticks > 30 and updates <= ticks / 5


def test_plan_estimates_a_job_once_not_once_for_each_running_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster, uid = busy_cluster(task_count=4, seconds=60.0, expect_s=60.0)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    estimated: list[str] = []
    estimate = shard.estimate_run_s
    monkeypatch.setattr(
        Shard, "estimate_run_s", lambda self, job: estimated.append(job.job_id) or estimate(job)
    )
    for machine in shard.machines.values():
        machine.placement_snapshot = None
    snapshots = machine_snapshots(
        shard, controller.components.registry.machine_types, cluster.now, cluster.now
    )
    assert sum(len(snapshot.running) for snapshot in snapshots) == 4
    assert estimated == [uid]


def test_slowness_of_machines_takes_few_distinct_values() -> None:
    values = set()
    for number in range(40):
        machine = Machine(f"m{number}", MachineEntry("", "box", "a", False), 1, 0.0)
        for _ in range(12):
            machine.speed.record(2.0 + number / 400)
        values.add(machine.speed.slowness)
    assert len(values) <= 2
