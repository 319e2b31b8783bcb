"""Applies newer states of a shard's machines: from heartbeats and responses to direct commands."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.lease_expiry import LeaseExpiry
from fallpulley.shards.preemption_notice import stop_tasks_for_preemption
from fallpulley.shards.shard import Shard
from fallpulley.shards.task_changes import TaskChanges
from fallpulley.shards.token_check import TokenCheck
from fallpulley.workers.heartbeat_changes import (
    HeartbeatChanges,
    apply_direct_status,
    apply_heartbeat,
)
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat

log = logging.getLogger(__name__)


class HeartbeatIntake:
    """Brings a shard up to date with what its machines send."""

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
        self.token_check = TokenCheck(context, shard)
        self.task_changes = TaskChanges(context, shard)

    def handle_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; False when it is not newer than what is known."""
        if not machine.heartbeat.is_newer(heartbeat):
            return False
        if machine.is_unchanged(heartbeat):
            machine.heartbeat.sequence = heartbeat.sequence
            self._set_online(machine)
        else:
            machine.snapshot = None
            was_usable = machine.usable
            if self.token_check.apply_token(machine, heartbeat):
                changes = apply_heartbeat(machine, heartbeat, self.context.now)
                self._set_online(machine)
                self._apply_changes(machine, changes, was_usable)
        self.lease_expiry.watch(machine)
        return True

    def handle_direct_status(self, machine: Machine, status: Heartbeat) -> None:
        """Apply the response to a direct command, unless something newer is known.

        It shows what is on the machine, but not that the machine's own heartbeats reach us.
        """
        if not machine.heartbeat.is_newer(status):
            return
        if machine.is_unchanged(status):
            machine.heartbeat.sequence = status.sequence
        else:
            machine.snapshot = None
            was_usable = machine.usable
            if self.token_check.apply_token(machine, status):
                changes = apply_direct_status(machine, status, self.context.now)
                self._apply_changes(machine, changes, was_usable)
        self.lease_expiry.watch(machine)

    def _set_online(self, machine: Machine) -> None:
        if not machine.heartbeat.online:
            self.shard.needs_replan = True
            self.shard.occupancy_due[machine.machine_id] = None
            log.info(
                "machine online machine=%s epoch=%d",
                machine.machine_id,
                machine.heartbeat.agent_epoch,
            )
            self.shard.decisions.machine_reachability_changed(machine.machine_id, True)
        machine.heartbeat.online = machine.heartbeat.ever_online = True
        machine.heartbeat.received_at = self.shard.last_heartbeat_at = self.context.now

    def _apply_changes(self, machine: Machine, changes: HeartbeatChanges, was_usable: bool) -> None:
        """`was_usable`: whether the machine was usable before it sent this."""
        if changes.start_missed and machine.fencing.unacknowledged_since is None:
            self.token_check.require_new_token(machine)
        self.task_changes.apply(machine, changes)
        if self.shard.unreconciled and machine.machine_id in self.shard.unreconciled:
            self._set_reconciled(machine)
        if machine.usable != was_usable:
            self.shard.needs_replan = True
            self.shard.occupancy_due[machine.machine_id] = None
        if machine.scale_in.preempted_at is not None:
            stop_tasks_for_preemption(self.shard, self.commands, machine)

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
            if job.progress.record_completion(named[1], self.context.now):
                log.debug("task done task=%s machine=%s", status.task_id, machine.machine_id)
                self._record_run_time(machine, job, run)
        elif run is not None:
            log.info(
                "shard reconciled shard=%s token=%d", self.shard.shard_id, self.shard.fencing_token
            )
            job.requeue(run.task_index)
            if status.exit_reason == ExitReason.ERROR:
                job.retry.record_failure(
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
        job.run_times.record(took)
        job_class = job.spec.job_class
        self.shard.corrections.learn(job_class, job.spec.estimated_run_s, took)
        self.shard.decisions.run_time_learned(
            job.job_id, job.run_times.tasks, job.run_times.total_s
        )
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
