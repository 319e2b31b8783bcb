"""What a holder learns from the reports of its block's machines."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.jobs.messages import JobKind, parse_task_id
from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.lease_expiry import LeaseExpiry
from fallpulley.shards.shard import Shard
from fallpulley.workers.heartbeat_changes import HeartbeatChanges, apply_heartbeat
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import START_REFUSALS, ExitReason, Heartbeat, TaskState, TaskStatus

log = logging.getLogger(__name__)


class HeartbeatIntake:
    """Takes reports in, from check-ins and from answers to direct commands."""

    def __init__(
        self,
        context: ControllerContext,
        shard: Shard,
        commands: MachineCommands,
        lease_expiry: LeaseExpiry,
    ) -> None:
        self.context = context
        self.shard = shard
        self.commands = commands
        self.lease_expiry = lease_expiry

    def handle(self, machine: Machine, heartbeat: Heartbeat, is_heartbeat: bool) -> bool:
        """Take in a report; False when it is not newer than what we know."""
        newer = self._apply(machine, heartbeat, is_heartbeat)
        if newer:
            self.lease_expiry.watch(machine)
        return newer

    def _apply(self, machine: Machine, heartbeat: Heartbeat, is_heartbeat: bool) -> bool:
        now = self.context.now
        if not machine.heartbeat.is_newer(heartbeat):
            return False
        if machine.is_unchanged(heartbeat):
            machine.heartbeat.sequence = heartbeat.sequence
            self._mark_online(machine, is_heartbeat)
            return True
        machine.snapshot = None
        was_usable = machine.usable
        self._check_token(machine, heartbeat)
        if not machine.fencing.fenced:
            # Perhaps a late copy from before we had it: this renews nothing and proves nothing.
            machine.heartbeat.agent_epoch, machine.heartbeat.sequence = (
                heartbeat.agent_epoch,
                heartbeat.sequence,
            )
            machine.fencing.unfenced_heartbeat_at = now
            self.shard.occupancy_due[machine.machine_id] = None
            return True
        outcome = apply_heartbeat(machine, heartbeat, now, is_heartbeat)
        if is_heartbeat:
            self._mark_online(machine, is_heartbeat)
        if outcome.start_missed and machine.fencing.unacknowledged_since is None:
            self._mark_unacknowledged(machine)
        self._apply_outcome(machine, outcome)
        if self.shard.unreconciled and machine.machine_id in self.shard.unreconciled:
            self.shard.unreconciled.discard(machine.machine_id)
            if not self.shard.unreconciled:
                log.info(
                    "block confirmed block=%s term=%d",
                    self.shard.shard_id,
                    self.shard.fencing_token,
                )
            self.shard.needs_replan = True
        if machine.usable != was_usable:
            self.shard.needs_replan = True
            self.shard.occupancy_due[machine.machine_id] = None
        if machine.scale_in.preempted_at is not None:
            self._drain_for_preemption(machine)
        return True

    def _check_token(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Its highest token shows whether it has heard us since we last raised it."""
        if heartbeat.fencing_token >= machine.fencing.token:
            if not machine.fencing.fenced:
                machine.fencing.fenced = True
                self.shard.needs_replan = True
            if machine.fencing.unacknowledged_since is not None:
                machine.fencing.unacknowledged_since = None
                self.shard.unacknowledged.discard(machine.machine_id)
                self.shard.needs_replan = True
        elif not machine.fencing.fenced and machine.fencing.unacknowledged_since is None:
            machine.fencing.unacknowledged_since = self.context.now
            self.shard.unacknowledged.add(machine.machine_id)

    def _mark_unacknowledged(self, machine: Machine) -> None:
        """Its reports come, but an order of ours did not take. Reports alone prove neither that
        it hears us nor that its lease goes on: it gets no task until it reports with a token
        that it can have from us alone."""
        log.info("machine hears nothing machine=%s", machine.machine_id)
        machine.fencing.unacknowledged_since = self.context.now
        self.shard.unacknowledged.add(machine.machine_id)
        self.shard.needs_replan = True
        if not machine.fencing.advance_token(self.shard.fencing_token):
            self.shard.needs_new_revision = True

    def _mark_online(self, machine: Machine, is_heartbeat: bool) -> None:
        if is_heartbeat:
            if not machine.heartbeat.online:
                self.shard.needs_replan = True
                self.shard.occupancy_due[machine.machine_id] = None
                log.info(
                    "machine up machine=%s shift=%d",
                    machine.machine_id,
                    machine.heartbeat.agent_epoch,
                )
                self.shard.decisions.machine_reachability_changed(machine.machine_id, True)
            machine.heartbeat.online = machine.heartbeat.ever_online = True
            machine.heartbeat.received_at = self.shard.last_heartbeat_at = self.context.now

    def _apply_outcome(self, machine: Machine, outcome: HeartbeatChanges) -> None:
        now = self.context.now
        for run in outcome.vanished:
            self.shard.drop_run(run)
            if run.reported:
                log.info("task vanished task=%s machine=%s", run.task_id, run.machine_id)
        for ended, status in outcome.exited:
            self._on_exited(machine, ended, status)
        for run in outcome.started:
            job = self.shard.jobs.get(run.job_id)
            if job is not None:
                machine.images.fetching.pop(job.spec.image, None)
            log.debug("task began task=%s machine=%s", run.task_id, run.machine_id)
        for status in outcome.unknown_tasks:
            self._on_unknown_task(machine, status)
        if outcome.vanished or outcome.exited:
            self.shard.needs_replan = True
        if machine.empty:
            if machine.scale_in.idle_since is None:
                machine.scale_in.idle_since = now
        else:
            machine.scale_in.idle_since = None

    def _on_exited(self, machine: Machine, run: TaskRun | None, status: TaskStatus) -> None:
        named = parse_task_id(status.task_id)
        job = self.shard.jobs.get(named[0]) if named else None
        if named is None or job is None:
            return
        if run is not None:
            job.runs.pop(run.task_index, None)
            self.shard.decisions.task_gone(run, status.exit_reason or "")
        if status.exit_reason == ExitReason.DONE:
            if job.mark_completed(named[1], self.context.now):
                log.debug("task done task=%s machine=%s", status.task_id, machine.machine_id)
                self._record_run_time(machine, job, run)
        elif run is not None:
            log.info(
                "task ended task=%s machine=%s cause=%s",
                status.task_id,
                machine.machine_id,
                status.exit_reason,
            )
            job.requeue(run.task_index)
            if status.exit_reason == ExitReason.ERROR:
                job.record_failure(
                    machine.machine_id, self.context.now, self.context.timing.lease_s
                )
                machine.reliability.failed_jobs.add(job.job_id)
            elif status.exit_reason in START_REFUSALS:
                machine.reliability.refuses_tasks_until = (
                    self.context.now + self.context.timing.report_s
                )
        if job.cancelled and not job.runs:
            self.shard.jobs.pop(job.job_id, None)

    def _record_run_time(self, machine: Machine, job: OpenJob, run: TaskRun | None) -> None:
        machine.reliability.completed_tasks += 1
        if run is None or run.started_at is None or job.spec.kind == JobKind.SERVICE:
            return
        took = max(0.1, self.context.now - run.started_at)
        expected = self.shard.estimate_run_s(job)
        machine.speed.record(took / expected)
        job.observed_tasks += 1
        job.observed_run_s += took
        job_class = job.spec.job_class
        self.shard.corrections.record_run_time(job_class, job.spec.estimated_run_s, took)
        self.shard.decisions.run_time_learned(job.job_id, job.observed_tasks, job.observed_run_s)
        self.shard.decisions.class_correction_learned(
            job_class, self.shard.corrections.factor(job_class)
        )

    def _on_unknown_task(self, machine: Machine, status: TaskStatus) -> None:
        """A task on the machine that we did not start in this life: keep it or stop it."""
        named = parse_task_id(status.task_id)
        job = self.shard.jobs.get(named[0]) if named else None
        if (
            named is None
            or job is None
            or job.cancelled
            or named[1] >= job.spec.task_count
            or job.is_completed(named[1])
            or named[1] in job.runs
            or status.task_id in machine.runs
        ):
            return  # stopped with the next orders
        run = TaskRun(
            job.job_id,
            named[1],
            status.attempt,
            machine.machine_id,
            self.context.now,
            self.shard.estimate_run_s(job),
            job.resources,
            reported=True,
            state=status.state,
            started_at=self.context.now if status.state == TaskState.RUNNING else None,
        )
        job.runs[run.task_index] = run
        machine.runs[run.task_id] = run
        self.shard.decisions.task_started(run)
        self.shard.needs_replan = True
        log.info("task adopted task=%s machine=%s", run.task_id, machine.machine_id)

    def _drain_for_preemption(self, machine: Machine) -> None:
        """The cloud takes the machine: tasks that cannot finish leave it while they can save."""
        left = (machine.scale_in.preempted_at or 0.0) - self.context.now
        for run in machine.runs.values():
            job = self.shard.jobs.get(run.job_id)
            if job is None or run.stop_grace_s is not None:
                continue
            spent = self.context.now - (run.started_at or self.context.now)
            if run.started_at is not None and run.estimated_run_s - spent < left - 1.0:
                continue
            saves = job.spec.checkpoint_interval_s > 0
            if saves and left > job.spec.checkpoint_save_s + 2 * self.context.timing.report_s:
                continue  # there is time for more work before saving
            self.commands.stop(run, left if saves else 0.0)
