"""Demand of a shard: the queued and running work that its fleet is sized for."""

from __future__ import annotations

from fallpulley.cloud.messages import MachineType
from fallpulley.fleet.demand_group import DemandGroup, DemandKey
from fallpulley.jobs.messages import JobKind
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.placement.estimate import estimate_remaining_run_time
from fallpulley.placement.queue import URGENT_PRIORITY_LEVEL
from fallpulley.shards.shard import Shard

# Module constants, as looking up a member of an enum costs more and `demand_groups` compares the
# kind of every job.
SERVICE, GANG = JobKind.SERVICE, JobKind.GANG


def demand_groups(
    shard: Shard,
    catalog: dict[str, MachineType],
    priced_types: dict[str, MachineType],
    now: float,
    drain_s: float,
) -> list[DemandGroup]:
    """Group the shard's queued and running work by the machines that can take its tasks.

    Args:
        shard: The shard.
        catalog: The machine types that plans of the shard use, by name.
        priced_types: The machine types with the prices to compare, by name.
        now: The current time, in seconds of the monotonic clock.
        drain_s: The time in seconds in which all work should be completed. A task of a service,
            which has no end, counts with at most this run time.
    """
    groups: dict[DemandKey, DemandGroup] = {}
    for job in shard.jobs.values():
        if job.ended or job.all_tasks_completed or job.waits_for_dependencies:
            continue  # machines rented for jobs that cannot start yet would be idle
        spec = job.spec
        eligible = job.eligible_machines(catalog)
        cpus_per_task = _cached_cpus_per_task(job, eligible, priced_types)
        key = DemandKey(eligible, job.priority_level >= URGENT_PRIORITY_LEVEL)
        group = groups.get(key)
        if group is None:
            group = groups[key] = DemandGroup.from_key(key)
        group.work += _remaining_work(shard, job, cpus_per_task, now, drain_s)
        group.task_count += job.unfinished_task_count()
        group.largest_task_cpus = max(group.largest_task_cpus, cpus_per_task)
        if job.retry.machine_failures and job.pending_task_count():
            failed = job.retry.machines_to_replace()
            if failed:
                group.failed_machines.append(failed)
        if spec.kind is GANG:
            group.largest_gang_cpus = max(group.largest_gang_cpus, spec.task_count * cpus_per_task)
    return list(groups.values())


def _remaining_work(
    shard: Shard, job: OpenJob, cpus_per_task: float, now: float, drain_s: float
) -> float:
    """Return the remaining work of the job's waiting and running tasks, in processor-seconds."""
    estimate_s = shard.estimate_run_s(job)
    if job.spec.kind is SERVICE:
        # A service runs until it is cancelled, so its work can't be completed in time. With at most
        # `drain_s` of work for each task, it needs about the processors that its tasks occupy.
        estimate_s = min(estimate_s, drain_s)
    work = job.pending_task_count() * estimate_s * cpus_per_task
    for run in job.runs.values():
        ran_s = now - run.running_since if run.running_since is not None else 0.0
        work += estimate_remaining_run_time(estimate_s, ran_s) * cpus_per_task
    return work


def _cached_cpus_per_task(
    job: OpenJob, eligible: EligibleMachines, machine_types: dict[str, MachineType]
) -> float:
    """Return the processors per task, computed once for each job and catalog."""
    if job.processors.machine_types is not machine_types:
        job.processors.machine_types = machine_types
        job.processors.per_task = _cpus_per_task(job, eligible, machine_types)
    return job.processors.per_task


def _cpus_per_task(
    job: OpenJob, eligible: EligibleMachines, machine_types: dict[str, MachineType]
) -> float:
    """Return how many processors a task takes up on the type on which it costs the least.

    This is the task's largest share of any of the machine's resources, times its processors: a task
    that needs half of the memory takes up half of the processors.
    """
    cheapest: tuple[float, float] | None = None  # (price per hour, processors) of a task
    for machine_type in machine_types.values():
        if eligible.machine_types is not None and machine_type.name not in eligible.machine_types:
            continue
        capacity = machine_type.capacity
        share = max(
            needed / available
            for needed, available in zip(job.resources, capacity, strict=True)
            if available > 0
        )
        candidate = (machine_type.price_per_hour * share, share * machine_type.cpus)
        if cheapest is None or candidate < cheapest:
            cheapest = candidate
    return cheapest[1] if cheapest else job.resources.cpus
