"""Adoption of tasks that run on a machine but were not started by this owner of its shard."""

from __future__ import annotations

import logging

from fallpulley.jobs.messages import TaskId, parse_task_id
from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import TaskState, TaskStatus

log = logging.getLogger(__name__)


def adopt_task(shard: Shard, machine: Machine, status: TaskStatus) -> None:
    """Record a task found on a machine as a run of its job, if an open job still needs it.

    A task that is not adopted is stopped by the next commands to its machine.
    """
    task = parse_task_id(status.task_id)
    job = shard.jobs.get(task.job_id) if task else None
    if task is None or job is None:
        return
    if not _is_needed(job, task) or status.task_id in machine.runs:
        return
    now = shard.context.now
    run = TaskRun(
        job.job_id,
        task.task_index,
        status.attempt,
        machine.machine_id,
        now,
        shard.estimate_run_s(job),
        job.resources,
        reported=True,
        state=status.state,
        running_since=now if status.state == TaskState.RUNNING else None,
    )
    job.runs[run.task_index] = run
    machine.runs[run.task_id] = run
    shard.decisions.task_started(run)
    shard.needs_replan = True
    log.info("task adopted task=%s machine=%s", run.task_id, machine.machine_id)


def _is_needed(job: OpenJob, task: TaskId) -> bool:
    """Return whether the job still needs an attempt of the task.

    It does not if it has ended, has no task of this index, has completed the task, or already
    has an attempt of it.
    """
    return not (
        job.ended
        or task.task_index >= job.spec.task_count
        or job.is_completed(task.task_index)
        or task.task_index in job.runs
    )
