"""The work of a block that its fleet is sized by."""

from __future__ import annotations

from fallpulley.fleet.messages import MachineType
from fallpulley.fleet.sizing import DemandGroup
from fallpulley.jobs.messages import JobKind
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.estimate import remaining_run_time
from fallpulley.placement.queue import URGENT_PRIORITY_LEVEL
from fallpulley.shards.shard import Shard


def demand_groups(
    shard: Shard, machine_types: dict[str, MachineType], now: float, drain_s: float
) -> list[DemandGroup]:
    """Queued and running work by the machines it may use."""
    groups: dict[tuple[object, ...], DemandGroup] = {}
    for job in shard.jobs.values():
        if job.cancelled or job.finished or job.waits_for_dependencies:
            continue  # machines rented for what cannot start yet would stand idle
        spec = job.spec
        if job.processors_for_types is not machine_types:
            job.processors_for_types, job.processors_per_task = (
                machine_types,
                _processors(job, machine_types),
            )
        processors = job.processors_per_task
        estimate = shard.estimate_run_s(job)
        if spec.kind == JobKind.SERVICE:
            # Not work that drains: as much as occupies its own processors all the time.
            estimate = min(estimate, drain_s)
        work = job.waiting_count() * estimate * processors
        for run in job.runs.values():
            ran = now - run.started_at if run.started_at is not None else 0.0
            work += remaining_run_time(estimate, ran) * processors
        type_names = tuple(sorted(spec.machine_types)) if spec.machine_types is not None else None
        urgent = job.priority_level >= URGENT_PRIORITY_LEVEL
        key = (spec.allow_spot, type_names, spec.zone, urgent)
        group = groups.setdefault(
            key, DemandGroup(spec.allow_spot, type_names, spec.zone, 0.0, 0.0, urgent=urgent)
        )
        group.work += work
        group.largest_task_cpus = max(group.largest_task_cpus, processors)
        if spec.kind == JobKind.GANG:
            group.largest_gang_cpus = max(group.largest_gang_cpus, spec.task_count * processors)
    return list(groups.values())


def _processors(job: OpenJob, machine_types: dict[str, MachineType]) -> float:
    """A task's share of the cheapest machine that fits it, in processors."""
    best: tuple[float, float] | None = None
    for machine_type in machine_types.values():
        if job.spec.machine_types is not None and machine_type.name not in job.spec.machine_types:
            continue
        size = machine_type.capacity
        if any(n > s for n, s in zip(job.resources, size, strict=True)):
            continue
        share = max(n / s for n, s in zip(job.resources, size, strict=True) if s > 0)
        entry = (machine_type.price_per_hour * share, share * machine_type.cpus)
        if best is None or entry < best:
            best = entry
    return best[1] if best else job.resources.cpus
