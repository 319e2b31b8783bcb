"""The work of a block that its fleet is sized by."""

from __future__ import annotations

from fallpulley.blocks.held import HeldBlock
from fallpulley.fleet.messages import MachineType
from fallpulley.fleet.sizing import Group
from fallpulley.jobs.messages import JobKind
from fallpulley.jobs.open import OpenJob
from fallpulley.placement.estimate import left_of
from fallpulley.placement.plan import URGENT_RANK
from fallpulley.workers.machine import size_of


def groups_of(
    held: HeldBlock, types: dict[str, MachineType], now: float, drain_s: float
) -> list[Group]:
    """Queued and running work by the machines it may use."""
    groups: dict[tuple[object, ...], Group] = {}
    for job in held.jobs.values():
        if job.cancelled or job.finished or job.waits_for_dependencies:
            continue  # machines rented for what cannot start yet would stand idle
        spec = job.spec
        if job.processors_for_types is not types:
            job.processors_for_types, job.processors_per_task = types, _processors(job, types)
        processors = job.processors_per_task
        estimate = held.estimate(job)
        if spec.kind == JobKind.SERVICE:
            # Not work that drains: as much as occupies its own processors all the time.
            estimate = min(estimate, drain_s)
        work = job.waiting_count() * estimate * processors
        for run in job.runs.values():
            ran = now - run.running_at if run.running_at is not None else 0.0
            work += left_of(estimate, ran) * processors
        builds = tuple(sorted(spec.machine_types)) if spec.machine_types is not None else None
        urgent = job.priority_level >= URGENT_RANK
        key = (spec.allow_spot, builds, spec.zone, urgent)
        group = groups.setdefault(
            key, Group(spec.allow_spot, builds, spec.zone, 0.0, 0.0, urgent=urgent)
        )
        group.work += work
        group.widest = max(group.widest, processors)
        if spec.kind == JobKind.GANG:
            group.at_once = max(group.at_once, spec.task_count * processors)
    return list(groups.values())


def _processors(job: OpenJob, types: dict[str, MachineType]) -> float:
    """A task's share of the cheapest machine that fits it, in processors."""
    best: tuple[float, float] | None = None
    for kind in types.values():
        if job.spec.machine_types is not None and kind.label not in job.spec.machine_types:
            continue
        size = size_of(kind)
        if any(n > s for n, s in zip(job.resources, size, strict=True)):
            continue
        share = max(n / s for n, s in zip(job.resources, size, strict=True) if s > 0)
        entry = (kind.hourly * share, share * kind.cpus)
        if best is None or entry < best:
            best = entry
    return best[1] if best else job.resources[0]
