"""Recording of run times of completed tasks: for their machine, their job and its class."""

from __future__ import annotations

from fallpulley.jobs.messages import JobKind
from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine, TaskRun

# Bound to a module name because it is read for every task or job: looking up a member of an
# enum takes ten times as long.
_SERVICE = JobKind.SERVICE

# Lower bound of a recorded run time, so that estimates and ratios stay above zero.
MIN_RUN_SECONDS = 0.1


def record_run_time(shard: Shard, machine: Machine, job: OpenJob, run: TaskRun | None) -> None:
    """Record that a task of the job was completed on the machine, and how long it ran.

    `run` is the attempt that completed the task; None if this owner does not know that attempt.
    """
    machine.reliability.completed_tasks += 1
    if run is None or run.running_since is None or job.spec.kind is _SERVICE:
        return
    run_s = max(MIN_RUN_SECONDS, shard.context.now - run.running_since)
    # Read before the run time is recorded, because that changes the estimate.
    estimated_s = shard.estimate_run_s(job)
    machine.speed.record(run_s / estimated_s)
    job.run_times.record(run_s)
    job_class = job.spec.job_class
    shard.corrections.record_run_time(job_class, job.spec.estimated_run_s, run_s)
    shard.decisions.run_time_observed(
        job.job_id, job.run_times.observed_tasks, job.run_times.observed_run_s
    )
    shard.decisions.correction_changed(job_class, shard.corrections.factor(job_class))
