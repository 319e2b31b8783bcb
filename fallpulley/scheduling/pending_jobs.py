"""The queue of a plan: the jobs of a shard that have tasks to place."""

from __future__ import annotations

import math

import msgspec

from fallpulley.cloud.messages import MachineType
from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.messages import JobKind
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.placement.queue import PendingJob, is_eligible, queue_order
from fallpulley.placement.remaining_time import MachineShapes, count_shapes, remaining_time
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.scheduling.age_bound import (
    first_task_count,
    promote_late_jobs,
    waited_past_age_bound,
)
from fallpulley.scheduling.team_limits import TeamLimits
from fallpulley.settings import Team
from fallpulley.shards.shard import Shard

# Read for every job: looking up an enum member takes ten times as long as a module constant.
_GANG = JobKind.GANG


def pending_jobs(
    shard: Shard,
    context: ControllerContext,
    machine_types: dict[str, MachineType],
    teams: dict[str, Team],
    snapshots: list[MachineSnapshot],
) -> list[PendingJob]:
    """Return the jobs with tasks to place, in queue order, within the limits of their teams."""
    pending: list[PendingJob] = []
    shapes = count_shapes(snapshots)
    limits = TeamLimits(shard, teams)
    for job in shard.jobs.values():
        if not _may_be_placed(job, shard, context.now) or limits.must_wait(job):
            continue
        task_count = job.pending_task_count()
        if not task_count or job.gang.restarting:
            continue
        entry = _pending_job(shard, context, machine_types, job, task_count, shapes)
        entry.avoided_machines = _avoided_machines(job, entry, snapshots, context.now)
        pending += _split_first_tasks(entry, job, context)
    fleet_cpus = sum(snapshot.capacity.cpus for snapshot in snapshots)
    promote_late_jobs(pending, shard, context, fleet_cpus)
    pending.sort(key=queue_order)
    limits.apply(pending)
    return [job for job in pending if job.task_count]


def _may_be_placed(job: OpenJob, shard: Shard, now: float) -> bool:
    """Return whether the job is open, ready and not in back-off, with all running tasks known."""
    return not (
        job.ended
        or job.all_tasks_completed
        or now < job.retry.not_before
        or shard.is_unreconciled(job)
        or job.waits_for_dependencies
    )


def _split_first_tasks(
    entry: PendingJob, job: OpenJob, context: ControllerContext
) -> list[PendingJob]:
    """Return the entry, preceded by one for the first tasks if the job is starved (exception 6)."""
    first_count = first_task_count(job, context) - len(job.runs)
    if first_count <= 0:
        return [entry]
    # Without an entry that comes first, a steady flow of shorter or urgent jobs would starve the
    # job.
    first_count = entry.task_count if entry.all_at_once else min(first_count, entry.task_count)
    first = msgspec.structs.replace(entry, task_count=first_count, starved=True)
    if job.spec.one_zone or job.spec.spread:
        # One plan places the first tasks only: two entries would be assigned zones independently of
        # each other, so that the job as a whole could break its zone restriction.
        return [first]
    entry.task_count -= first_count
    return [first, entry]


def _pending_job(
    shard: Shard,
    context: ControllerContext,
    machine_types: dict[str, MachineType],
    job: OpenJob,
    task_count: int,
    shapes: MachineShapes,
) -> PendingJob:
    spec = job.spec
    estimate_s = shard.estimate_run_s(job)
    _update_remaining_time(job, estimate_s, shapes)
    job.update_deadline_risk(context.wall_time)
    return PendingJob(
        job_id=job.job_id,
        resources=job.resources,
        estimated_run_s=estimate_s,
        task_count=task_count,
        image=spec.image,
        image_gb=spec.image_gb,
        remaining_s=job.remaining_time.remaining_s + job.critical_path_s,
        overdue=job.remaining_time.deadline_at_risk
        or waited_past_age_bound(job, context, estimate_s),
        submitted_at=job.ready_since_ms / 1000,
        eligible=_eligible_machines(shard, job, machine_types),
        priority_level=job.priority_level,
        zone_limits=_zone_limits(job, shard) if spec.spread else None,
        one_zone=spec.one_zone,
        all_at_once=spec.kind is _GANG and not job.runs,
    )


def _update_remaining_time(job: OpenJob, estimate_s: float, shapes: MachineShapes) -> None:
    """Estimate the job's remaining time (T 3-1) again if any input of the estimate changed."""
    unfinished = job.unfinished_task_count()
    inputs = (unfinished, shapes, round(estimate_s, 1))
    if inputs != job.remaining_time.estimate_inputs:
        job.remaining_time.estimate_inputs = inputs
        job.remaining_time.remaining_s = remaining_time(
            job.resources, estimate_s, unfinished, shapes
        )


def _eligible_machines(
    shard: Shard, job: OpenJob, machine_types: dict[str, MachineType]
) -> EligibleMachines:
    """Return the machines that can take the job's tasks now.

    A job that needs one zone for all of its tasks is bound to that of its running ones.
    """
    eligible = job.eligible_machines(machine_types)
    if job.spec.one_zone and job.runs:
        run = next(iter(job.runs.values()))
        eligible = eligible._replace(zone=shard.machines[run.machine_id].entry.zone)
    return eligible


def _zone_limits(job: OpenJob, shard: Shard) -> dict[str, int]:
    """Return how many more tasks of the spread job each zone may get.

    A zone may run half of the job's tasks, rounded up.
    """
    limit = math.ceil(job.spec.task_count / 2)
    limits = dict.fromkeys((machine.entry.zone for machine in shard.machines.values()), limit)
    for run in job.runs.values():
        zone = shard.machines[run.machine_id].entry.zone
        limits[zone] = limits.get(zone, limit) - 1
    return limits


def _avoided_machines(
    job: OpenJob, entry: PendingJob, snapshots: list[MachineSnapshot], now: float
) -> set[str] | None:
    """Return the machines that get none of the job's tasks because one failed there, or None.

    If the job's tasks may run on no other machine, these are only the machines in back-off:
    otherwise the job would wait beside an idle machine that fits.
    """
    avoided = job.retry.avoided_machines(now)
    if not avoided:
        return None
    for snapshot in snapshots:
        if snapshot.machine_id not in avoided and is_eligible(entry, snapshot):
            return avoided
    return job.retry.machines_in_backoff(now) or None
