"""Costs that must not come back, counted in steps rather than by the clock."""

from __future__ import annotations

import pytest

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.scheduling.snapshot_builder import machine_snapshots
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.workers.machine import Machine
from tests.test_stories import busy


def test_marks_are_compared_when_something_changed_not_at_every_tick(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world, uid = busy(pieces=4, seconds=60.0, expect_s=60.0)
    world.run(5.0)
    looks = ticks = 0
    mark, tick = OccupancyFlags.update_all, ShardBalancer.hand_off_if_unreachable

    def counted_mark(self: OccupancyFlags, held: object) -> None:
        nonlocal looks
        looks += 1
        mark(self, held)  # type: ignore[arg-type]

    def counted_tick(self: ShardBalancer, held: object) -> None:
        nonlocal ticks
        ticks += 1
        tick(self, held)  # type: ignore[arg-type]

    monkeypatch.setattr(OccupancyFlags, "update_all", counted_mark)
    monkeypatch.setattr(ShardBalancer, "hand_off_if_unreachable", counted_tick)
    world.run(10.0)
    assert len(world.running(uid)) == 4
    assert ticks > 30 and looks <= ticks / 5


def test_a_plan_estimates_a_job_once_not_once_for_each_running_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world, uid = busy(pieces=4, seconds=60.0, expect_s=60.0)
    controller = world.controllers[world.holder()]
    (held,) = controller.components.owned_shards.shards.values()
    asked: list[str] = []
    estimate = held.estimate_run_s
    monkeypatch.setattr(
        Shard, "estimate_run_s", lambda self, job: asked.append(job.job_id) or estimate(job)
    )
    for machine in held.machines.values():
        machine.placement_snapshot = None
    slots = machine_snapshots(held, controller.components.registry.machine_types, world.now)
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
