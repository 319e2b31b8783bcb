"""Rules for jobs that have waited too long: the age bound, exception 6 and exception 9.

They place such jobs ahead of the shortest-first order of the queue. The exceptions are numbered as
in `fallpulley.placement`.
"""

from __future__ import annotations

import math

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.queue import PendingJob, queue_order
from fallpulley.shards.shard import Shard

# The share of a starved job's tasks that are placed before all other jobs: enough to start the job
# and to learn its run times, too few to delay the others.
FIRST_TASKS_SHARE = 0.05
# A job is late once it has waited for this share of the longest `wait` objective of its class. Only
# few tasks may miss that objective, and shortest-first leaves long jobs to the end of every
# backlog.
LATE_START_SHARE = 0.6
# The largest share of the fleet's processors that late jobs may need to be placed first. Where more
# jobs are late, placing them by age would make the short jobs miss the objective too.
MAX_LATE_WORK_SHARE = 0.25


def waited_past_age_bound(job: OpenJob, context: ControllerContext, estimate_s: float) -> bool:
    """Return whether the job has been ready for more than `age_bound` run times of its tasks."""
    waited_s = (context.wall_time * 1000 - job.ready_since_ms) / 1000
    return waited_s > context.settings.operators.age_bound * estimate_s


def first_task_count(job: OpenJob, context: ControllerContext) -> int:
    """Return how many tasks of the job are placed before all other jobs (exception 6).

    Zero unless the job is starved: none of its tasks has completed, and it has been ready for
    `begin_bound_s` seconds or longer.
    """
    waited_s = context.wall_time - job.ready_since_ms / 1000
    if job.progress.completed.count or waited_s < context.settings.operators.begin_bound_s:
        return 0
    return math.ceil(FIRST_TASKS_SHARE * job.spec.task_count)


def promote_late_jobs(
    jobs: list[PendingJob], shard: Shard, context: ControllerContext, fleet_cpus: float
) -> None:
    """Mark jobs as overdue that are about to miss their class's `wait` objective (exception 9).

    The jobs are marked in queue order, which puts the shortest first, until their tasks would need
    more than `MAX_LATE_WORK_SHARE` of the fleet's processors, `fleet_cpus`.
    """
    bounds = _start_bounds(context)
    if not bounds:
        return
    late = [job for job in jobs if _is_late(job, shard, context, bounds)]
    free_cpus = MAX_LATE_WORK_SHARE * fleet_cpus
    for job in sorted(late, key=queue_order):
        free_cpus -= job.task_count * job.resources.cpus
        if free_cpus < 0:
            return
        job.overdue = True


def _is_late(
    job: PendingJob, shard: Shard, context: ControllerContext, bounds: dict[str, float]
) -> bool:
    bound_s = bounds.get(shard.jobs[job.job_id].spec.job_class)
    if bound_s is None:
        return False
    return context.wall_time - job.submitted_at > bound_s and not job.urgent


def _start_bounds(context: ControllerContext) -> dict[str, float]:
    """Return after how many seconds of waiting jobs are late, by class with a `wait` objective.

    Classes that also have a deadline objective are left out: their deadlines follow from the
    estimates of the jobs, and shortest-first meets more of them.
    """
    bounds: dict[str, float] = {}
    objectives = context.settings.facts.objectives
    with_deadlines = {
        objective.job_class for objective in objectives if objective.kind == "deadline"
    }
    for objective in objectives:
        job_class = objective.job_class
        if objective.kind == "wait" and objective.within_s and job_class not in with_deadlines:
            bound_s = LATE_START_SHARE * objective.within_s
            bounds[job_class] = max(bounds.get(job_class, bound_s), bound_s)
    return bounds
