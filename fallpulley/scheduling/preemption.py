"""Stops for urgent tasks that would wait for too long (exception 4)."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.context import ControllerContext
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.plan import Plan
from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.placement.victims import Preemption, Victim, choose_victims
from fallpulley.resources import Resources
from fallpulley.scheduling.age_bound import first_tasks
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import TaskRun
from fallpulley.workers.messages import TaskState

# Read for every task or job: a member of an enum takes ten times as long to look up.
_SAVING = TaskState.SAVING

# From a stop to the start in its place: a part of a heartbeat interval, and the seconds that a
# stopped task is taken to need.
STOP_INTERVALS, STOP_SECONDS = 0.5, 1.0
# Of the time within which a class's tasks should start, the share they may wait for room;
# the rest is for the stop, the next heartbeat and the image.
MAX_ROOM_WAIT_SHARE = 0.25
# Of the work since the last checkpoint, a task has on average half an interval to lose.
CHECKPOINT_LOSS_SHARE = 0.5
# Amounts so small that they would make a loss nothing, or a division fail, count as these.
MIN_LOST_SECONDS, MIN_CPUS = 0.1, 0.1


class _LateJob(NamedTuple):
    """An urgent job, and how many of its tasks would start too late."""

    job: PendingJob
    task_count: int


class _Restrictions(NamedTuple):
    """What decides, but for its size, on which machines a job may run."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None
    zone: str | None
    avoided_machines: frozenset[str] | None


def preemptions_for(
    shard: Shard,
    context: ControllerContext,
    plan: Plan,
    pending: list[PendingJob],
    snapshots: list[MachineSnapshot],
) -> list[Preemption]:
    """Stops for the urgent tasks that the plan starts later than their class's objective allows."""
    max_waits = _max_room_waits(context)
    if not max_waits:
        return []
    late = _late_jobs(shard, context, plan, pending, max_waits)
    if not late:
        return []
    free = _free_after_starts(shard, plan, snapshots)
    # Only where one of the late jobs may run and something can make room for it: most of a fleet
    # may be closed to an urgent class, and the rest of it full of that class's own tasks.
    smallest = _least_demanding([entry.job for entry in late])
    priority_level = max(entry.job.priority_level for entry in late)
    victims: dict[str, list[Victim]] = {}
    offering: list[MachineSnapshot] = []
    for snapshot in snapshots:
        if not any(is_eligible(job, snapshot) for job in smallest):
            continue
        machine_id = snapshot.machine_id
        found = _victims(shard, context, machine_id, priority_level)
        if found or any(job.resources.fits_in(free[machine_id]) for job in smallest):
            victims[machine_id] = found
            offering.append(snapshot)
    preemptions: list[Preemption] = []
    for job, task_count in late:
        if not offering:
            break
        preemptions += choose_victims(job, task_count, offering, free, victims, context.now)
    return preemptions


def _max_room_waits(context: ControllerContext) -> dict[str, float]:
    """By class with an objective on starting, the seconds that its tasks may wait for room."""
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
    """The urgent jobs with tasks that the plan starts too late, in queue order."""
    late: list[_LateJob] = []
    # A stop takes effect with its machine's next heartbeat. Room that comes by then cannot be
    # had sooner: without this, a task that was late already had others stopped for it in
    # plan after plan while the first stops were still under way.
    soonest_s = STOP_INTERVALS * context.timing.heartbeat_interval_s + STOP_SECONDS
    for job in pending:
        max_wait_s = max_waits.get(shard.jobs[job.job_id].spec.job_class)
        if max_wait_s is None or not job.urgent:
            continue
        waited_s = context.wall_time - job.submitted_at
        latest_start = context.now + max(soonest_s, max_wait_s - waited_s)
        starts = plan.later_starts.get(job.job_id, ())
        task_count = sum(1 for start in starts if start > latest_start)
        if task_count:
            late.append(_LateJob(job, task_count))
    return late


def _free_after_starts(
    shard: Shard, plan: Plan, snapshots: list[MachineSnapshot]
) -> dict[str, Resources]:
    """By machine, the room that is left now beside the plan's starts."""
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
    """Of jobs that may run on the same machines, those than which no other needs less: a machine
    with room for any has room for one of them. Hundreds of late jobs have few distinct demands;
    each of them compared with each of thousands of machines was half of an owner's time."""
    least: dict[_Restrictions, list[PendingJob]] = {}
    for job in sorted(jobs, key=lambda job: job.resources):
        restrictions = _Restrictions(
            job.allow_spot,
            None if job.machine_types is None else tuple(job.machine_types),
            job.zone,
            None if job.avoided_machines is None else frozenset(job.avoided_machines),
        )
        alike = least.setdefault(restrictions, [])
        if not any(other.resources.fits_in(job.resources) for other in alike):
            alike.append(job)
    return [job for alike in least.values() for job in alike]


def _victims(
    shard: Shard, context: ControllerContext, machine_id: str, priority_level: int
) -> list[Victim]:
    """The machine's tasks below the priority level that may be stopped, those whose stop loses
    least for their room first."""
    victims: list[Victim] = []
    for run in shard.machines[machine_id].runs.values():
        job = shard.jobs.get(run.job_id)
        if job is None or not _may_be_stopped(run) or job.priority_level >= priority_level:
            continue
        if len(job.runs) <= first_tasks(job, context):
            continue  # it has waited for long enough
        lost_work = _lost_work(run, job, context.now)
        victims.append(Victim(run.task_id, job.priority_level, run.resources, lost_work))
    victims.sort(key=lambda victim: victim.lost_work / max(victim.resources.cpus, MIN_CPUS))
    return victims


def _may_be_stopped(run: TaskRun) -> bool:
    """The task is known to be on its machine, and neither being stopped nor saving."""
    return run.stop_grace_s is None and run.reported and run.state is not _SAVING


def _lost_work(run: TaskRun, job: OpenJob, now: float) -> float:
    """The processor-seconds that a stop of the task would lose."""
    lost_s = now - run.started_at if run.started_at is not None else 0.0
    if job.spec.checkpoint_interval_s > 0:
        lost_s = min(lost_s, CHECKPOINT_LOSS_SHARE * job.spec.checkpoint_interval_s)
    return max(lost_s, MIN_LOST_SECONDS) * max(run.resources.cpus, MIN_CPUS)
