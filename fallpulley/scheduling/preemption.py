"""Preemption for urgent tasks that would start too late (exception 4)."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.placement.plan import Plan
from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.placement.victims import Preemption, Victim, choose_victims
from fallpulley.resources import Resources
from fallpulley.scheduling.age_bound import first_task_count
from fallpulley.scheduling.snapshot_builder import TASK_EXIT_SECONDS
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import TaskRun
from fallpulley.workers.messages import TaskState

# Read for every task: looking up an enum member takes ten times as long as a module constant.
_SAVING = TaskState.SAVING

# Estimated delay until a stop reaches its machine, as a share of a heartbeat interval. The urgent
# task in its place starts once the stopped task has exited.
STOP_HEARTBEAT_INTERVALS = 0.5
# How long urgent tasks may wait for resources, as a share of the `wait` objective of their class:
# the rest is for the stop, the next heartbeat and the image fetch.
MAX_ROOM_WAIT_SHARE = 0.25
# The expected time since a task's last checkpoint, as a share of its checkpoint interval.
CHECKPOINT_LOSS_SHARE = 0.5
# Lower bounds of a task's lost seconds and of its processors: with zero lost seconds, a stop would
# count as free of cost; with zero processors, a division would fail.
MIN_LOST_SECONDS, MIN_CPUS = 0.1, 0.1


class _LateJob(NamedTuple):
    """An urgent job, and the number of its tasks that would start too late."""

    job: PendingJob
    task_count: int


class _Restrictions(NamedTuple):
    """The machines on which a job's tasks may be placed."""

    eligible: EligibleMachines
    avoided_machines: frozenset[str] | None


def preemptions_for(
    shard: Shard,
    context: ControllerContext,
    plan: Plan,
    pending: list[PendingJob],
    snapshots: list[MachineSnapshot],
) -> list[Preemption]:
    """Select the stops for urgent tasks that start too late for the objective of their class."""
    max_waits = _max_room_waits(context)
    if not max_waits:
        return []
    late = _late_jobs(shard, context, plan, pending, max_waits)
    if not late:
        return []
    free = _free_after_starts(shard, plan, snapshots)
    # Consider only machines on which a late job may run and which have room or a victim: an urgent
    # class may be excluded from most of a fleet, and its own tasks may fill the rest.
    least_demanding = _least_demanding([entry.job for entry in late])
    priority_level = max(entry.job.priority_level for entry in late)
    victims: dict[str, list[Victim]] = {}
    candidates: list[MachineSnapshot] = []
    for snapshot in snapshots:
        if not any(is_eligible(job, snapshot) for job in least_demanding):
            continue
        machine_id = snapshot.machine_id
        machine_victims = _victims(shard, context, machine_id, priority_level)
        if machine_victims or any(
            job.resources.fits_in(free[machine_id]) for job in least_demanding
        ):
            victims[machine_id] = machine_victims
            candidates.append(snapshot)
    preemptions: list[Preemption] = []
    for job, task_count in late:
        if not candidates:
            break
        preemptions += choose_victims(job, task_count, candidates, free, victims, context.now)
    return preemptions


def _max_room_waits(context: ControllerContext) -> dict[str, float]:
    """Return how many seconds tasks may wait for resources, by class with a `wait` objective."""
    max_waits: dict[str, float] = {}
    for objective in context.settings.facts.objectives:
        if objective.kind == "wait" and objective.within_s:
            wait_s = MAX_ROOM_WAIT_SHARE * objective.within_s
            max_waits[objective.job_class] = min(max_waits.get(objective.job_class, wait_s), wait_s)
    return max_waits


def _late_jobs(
    shard: Shard,
    context: ControllerContext,
    plan: Plan,
    pending: list[PendingJob],
    max_waits: dict[str, float],
) -> list[_LateJob]:
    """Return the urgent jobs with tasks that would start too late, in queue order."""
    late: list[_LateJob] = []
    # A stop takes effect with its machine's next heartbeat, so it can't make a task start earlier
    # than this. Without the limit, every plan stopped further tasks for a task that was already
    # late, while the first stops were still in progress.
    min_start_delay_s = (
        STOP_HEARTBEAT_INTERVALS * context.timing.heartbeat_interval_s + TASK_EXIT_SECONDS
    )
    for job in pending:
        max_wait_s = max_waits.get(shard.jobs[job.job_id].spec.job_class)
        if max_wait_s is None or not job.urgent:
            continue
        waited_s = context.wall_time - job.submitted_at
        latest_start = context.now + max(min_start_delay_s, max_wait_s - waited_s)
        starts = plan.future_starts.get(job.job_id, ())
        task_count = sum(1 for start in starts if start > latest_start)
        if task_count:
            late.append(_LateJob(job, task_count))
    return late


def _free_after_starts(
    shard: Shard, plan: Plan, snapshots: list[MachineSnapshot]
) -> dict[str, Resources]:
    """Return the resources that the plan's starts leave free now, by machine id."""
    free: dict[str, Resources] = {}
    for snapshot in snapshots:
        profile = snapshot.profile
        if profile is not None:
            free[snapshot.machine_id] = Resources(
                profile.cpus[0], profile.gpus[0], profile.memory_gb[0]
            )
    for booking in plan.starts:
        resources = shard.jobs[booking.job_id].resources
        free[booking.machine_id] = free[booking.machine_id].minus(resources)
    return free


def _least_demanding(jobs: list[PendingJob]) -> list[PendingJob]:
    """Return the jobs with the smallest demands among those that may run on the same machines.

    A machine with room for any of the jobs has room for one of these. Hundreds of late jobs have
    few distinct demands, and comparing each job with each of thousands of machines took half of a
    shard owner's processor time.
    """
    least: dict[_Restrictions, list[PendingJob]] = {}
    for job in sorted(jobs, key=lambda job: job.resources):
        restrictions = _Restrictions(
            job.eligible,
            None if job.avoided_machines is None else frozenset(job.avoided_machines),
        )
        group = least.setdefault(restrictions, [])
        if not any(other.resources.fits_in(job.resources) for other in group):
            group.append(job)
    return [job for group in least.values() for job in group]


def _victims(
    shard: Shard, context: ControllerContext, machine_id: str, priority_level: int
) -> list[Victim]:
    """Return the machine's tasks below the priority level that may be stopped.

    They are sorted by the work that the stop loses for each processor freed, least first.
    """
    victims: list[Victim] = []
    for run in shard.machines[machine_id].runs.values():
        job = shard.jobs.get(run.job_id)
        if job is None or not _may_be_stopped(run) or job.priority_level >= priority_level:
            continue
        if len(job.runs) <= first_task_count(job, context):
            continue  # the job was starved: its first tasks are not stopped
        lost_work = _lost_work(run, job, context.now)
        victims.append(Victim(run.task_id, job.priority_level, run.resources, lost_work))
    victims.sort(key=lambda victim: victim.lost_work / max(victim.resources.cpus, MIN_CPUS))
    return victims


def _may_be_stopped(run: TaskRun) -> bool:
    """Return whether its machine has reported the task and it is neither stopping nor saving."""
    return run.stop_grace_s is None and run.reported and run.state is not _SAVING


def _lost_work(run: TaskRun, job: OpenJob, now: float) -> float:
    """Return the processor-seconds that a stop of the task would lose."""
    lost_s = now - run.running_since if run.running_since is not None else 0.0
    if job.spec.checkpoint_interval_s > 0:
        lost_s = min(lost_s, CHECKPOINT_LOSS_SHARE * job.spec.checkpoint_interval_s)
    return max(lost_s, MIN_LOST_SECONDS) * max(run.resources.cpus, MIN_CPUS)
