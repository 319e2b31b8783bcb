"""Planning of one shard: from its state to the tasks to start and to stop."""

from __future__ import annotations

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.placement.plan import Booking, Plan, make_plan
from fallpulley.placement.victims import Preemption
from fallpulley.scheduling.pending_jobs import pending_jobs
from fallpulley.scheduling.preemption import preemptions_for
from fallpulley.scheduling.snapshot_builder import machine_snapshots
from fallpulley.settings import Team
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry


class PlacementDecision(msgspec.Struct):
    """The result of a plan: the tasks to start, and the tasks to stop for urgent ones."""

    starts: dict[str, list[Booking]]  # by machine id
    preemptions: list[Preemption]


def plan_shard(
    shard: Shard,
    context: ControllerContext,
    registry: Registry,
    teams: dict[str, Team],
    certainly_owned_at: float,
) -> PlacementDecision:
    """Plan the shard's pending jobs on its machines in their present state.

    `certainly_owned_at` is the latest time at which this controller certainly owned the shard.
    """
    snapshots = machine_snapshots(shard, registry.machine_types, context.now, certainly_owned_at)
    pending = pending_jobs(shard, context, registry.machine_types, teams, snapshots)
    plan = make_plan(pending, snapshots, context.now)
    return PlacementDecision(
        _starts_by_machine(shard, plan),
        preemptions_for(shard, context, plan, pending, snapshots),
    )


def _starts_by_machine(shard: Shard, plan: Plan) -> dict[str, list[Booking]]:
    """Group the plan's bookings by machine id, and assign each a pending task of its job."""
    by_machine: dict[str, list[Booking]] = {}
    by_job: dict[str, list[Booking]] = {}
    for booking in plan.starts:
        by_job.setdefault(booking.job_id, []).append(booking)
        by_machine.setdefault(booking.machine_id, []).append(booking)
    for job_id, bookings in by_job.items():
        task_indexes = shard.jobs[job_id].next_pending_tasks(len(bookings))
        for booking, task_index in zip(bookings, task_indexes, strict=True):
            booking.task_index = task_index
    return by_machine
