"""Costs that must not come back, counted in steps rather than by the clock."""

from __future__ import annotations

import pytest

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.scheduling.snapshot_builder import machine_snapshots
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.workers.machine import Machine
from tests.test_jobs_and_takeovers import busy_cluster


def test_marks_are_compared_when_something_changed_not_at_every_tick(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster, uid = busy_cluster(task_count=4, seconds=60.0, expect_s=60.0)
    cluster.run(5.0)
    looks = ticks = 0
    mark, tick = OccupancyFlags.update_all, ShardBalancer.hand_off_if_unreachable

    def counted_mark(self: OccupancyFlags, shard: object) -> None:
        nonlocal looks
        looks += 1
        mark(self, shard)  # type: ignore[arg-type]

    def counted_tick(self: ShardBalancer, shard: object) -> None:
        nonlocal ticks
        ticks += 1
        tick(self, shard)  # type: ignore[arg-type]

    monkeypatch.setattr(OccupancyFlags, "update_all", counted_mark)
    monkeypatch.setattr(ShardBalancer, "hand_off_if_unreachable", counted_tick)
    cluster.run(10.0)
    assert len(cluster.running_tasks(uid)) == 4
    assert ticks > 30 and looks <= ticks / 5


def test_a_plan_estimates_a_job_once_not_once_for_each_running_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster, uid = busy_cluster(task_count=4, seconds=60.0, expect_s=60.0)
    controller = cluster.controllers[cluster.owner()]
    (shard,) = controller.components.owned_shards.shards.values()
    asked: list[str] = []
    estimate = shard.estimate_run_s
    monkeypatch.setattr(
        Shard, "estimate_run_s", lambda self, job: asked.append(job.job_id) or estimate(job)
    )
    for machine in shard.machines.values():
        machine.placement_snapshot = None
    slots = machine_snapshots(shard, controller.components.registry.machine_types, cluster.now)
    assert sum(len(slot.running) for slot in slots) == 4
    assert asked == [uid]


def test_slow_machines_are_of_few_kinds() -> None:
    kinds = set()
    for number in range(40):
        machine = Machine(f"m{number}", MachineEntry("", "box", "a", False), 1, 0.0)
        for _ in range(12):
            machine.speed.record(2.0 + number / 400)
        kinds.add(machine.speed.slowness)
    assert len(kinds) <= 2
