"""Jobs that have waited for too long: the age bound, and exceptions 6 and 9 to shortest-first."""

from __future__ import annotations

import math

from fallpulley.context import ControllerContext
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.queue import PendingJob, queue_order
from fallpulley.shards.shard import Shard

# Of a job that no task of has run for long, the share of tasks that go before all others: enough
# for it to begin and to learn its run times, too little to hold up the rest.
FIRST_TASKS_SHARE = 0.05
# Of the longest time within which a class's tasks should start, the share after which a job of it
# counts as past its age bound: few of its tasks may be later, and shortest-first leaves the long
# ones to the end of every backlog. Only for as much as so large a share of the fleet holds: where
# more is late, going by age gives up the short jobs as well.
LATE_START_SHARE = 0.6
MAX_LATE_WORK_SHARE = 0.25


def waited_past_age_bound(job: OpenJob, context: ControllerContext, estimate_s: float) -> bool:
    """The age bound: the job has been ready for longer than so many of its tasks' run times."""
    waited_s = (context.wall_time * 1000 - job.ready_since_ms) / 1000
    return waited_s > context.settings.operators.age_bound * estimate_s


def first_tasks(job: OpenJob, context: ControllerContext) -> int:
    """How many tasks of a job go before all others (exception 6): none, unless the job has
    waited for long and none of its tasks has completed."""
    waited_s = context.wall_time - job.ready_since_ms / 1000
    if job.progress.completed.count or waited_s < context.settings.operators.begin_bound_s:
        return 0
    return math.ceil(FIRST_TASKS_SHARE * job.spec.task_count)


def promote_late_jobs(
    jobs: list[PendingJob], shard: Shard, context: ControllerContext, fleet_cpus: float
) -> None:
    """Count jobs about to miss their class's objective on starting as past the age bound
    (exception 9), the shortest first, as far as they fit into their share of the fleet."""
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
    """By class with an objective on starting, the seconds after which a job counts as late. Where
    jobs have deadlines, made from their estimates, shortest-first serves more of them."""
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
