"""Updates of a shard's jobs when tasks on its machines have started, exited or vanished."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.messages import parse_task_id
from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards.adoption import adopt_task
from fallpulley.shards.run_times import record_run_time
from fallpulley.shards.shard import Shard
from fallpulley.workers.heartbeat_changes import ExitedTask, HeartbeatChanges
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import START_REFUSALS, ExitReason

log = logging.getLogger(__name__)

# Bound to module names because they are read for every task or job: looking up a member of an
# enum takes ten times as long.
_DONE = ExitReason.DONE
_ERROR = ExitReason.ERROR


class TaskChanges:
    """Applies the changes of tasks on one shard's machines to its jobs."""

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.context = context
        self.shard = shard

    def apply(self, machine: Machine, changes: HeartbeatChanges) -> None:
        """Requeue, complete or adopt the changed tasks.

        The state of the machine itself has to be up to date already.
        """
        for run in changes.vanished:
            self._on_vanished(run)
        for exited in changes.exited:
            self._on_exited(machine, exited)
        for run in changes.image_fetch_completed:
            self._on_started(machine, run)
        for status in changes.unknown_tasks:
            adopt_task(self.shard, machine, status)
        if changes.vanished or changes.exited:
            self.shard.needs_replan = True
        if not machine.empty:
            machine.departure.idle_since = None
        elif machine.departure.idle_since is None:
            machine.departure.idle_since = self.context.now

    def _on_vanished(self, run: TaskRun) -> None:
        self.shard.drop_run(run)
        if run.reported:
            log.info(
                "task vanished from its machine task=%s machine=%s", run.task_id, run.machine_id
            )

    def _on_started(self, machine: Machine, run: TaskRun) -> None:
        job = self.shard.jobs.get(run.job_id)
        if job is not None:
            machine.images.fetching.pop(job.spec.image, None)
        log.debug("task started task=%s machine=%s", run.task_id, run.machine_id)

    def _on_exited(self, machine: Machine, exited: ExitedTask) -> None:
        run, status = exited
        task = parse_task_id(status.task_id)
        job = self.shard.jobs.get(task.job_id) if task else None
        if task is None or job is None:
            return
        if run is not None:
            job.runs.pop(run.task_index, None)
            self.shard.decisions.task_ended(run, status.exit_reason or "")
        if status.exit_reason is _DONE:
            if job.progress.record_completion(task.task_index, self.context.now):
                log.debug("task completed task=%s machine=%s", status.task_id, machine.machine_id)
                record_run_time(self.shard, machine, job, run)
        elif run is not None:
            self._on_failed(machine, job, run, status.exit_reason)
        if job.ended and not job.runs:
            self.shard.jobs.pop(job.job_id, None)

    def _on_failed(
        self, machine: Machine, job: OpenJob, run: TaskRun, exit_reason: ExitReason | None
    ) -> None:
        """Requeue the task of an attempt that has exited without completing it."""
        log.info(
            "task exited task=%s machine=%s reason=%s", run.task_id, machine.machine_id, exit_reason
        )
        job.requeue(run.task_index)
        now, timing = self.context.now, self.context.timing
        if exit_reason is _ERROR:
            newly_avoided = machine.machine_id not in job.retry.machine_failures
            job.retry.record_failure(machine.machine_id, run.commanded_at, now, timing.lease_s)
            machine.reliability.failed_jobs.add(job.job_id)
            if newly_avoided:
                log.info(
                    "job avoids machine after failure job=%s machine=%s avoided=%d backoff=%.1f",
                    job.job_id,
                    machine.machine_id,
                    len(job.retry.machine_failures),
                    max(0.0, job.retry.not_before - now),
                )
        elif exit_reason in START_REFUSALS:
            machine.reliability.refuses_tasks_until = now + timing.heartbeat_interval_s
