"""Commands that start, stop and forget tasks on the machines of a shard."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.messages import JobKind, parse_task_id
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.plan import Booking
from fallpulley.shards.direct_commands import DirectCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import (
    ExitReason,
    TaskCommand,
    TaskOperation,
    TaskState,
    TaskStatus,
)

log = logging.getLogger(__name__)

# Bound to module names because they are read for every task or job: looking up a member of an
# enum takes ten times as long.
_GANG = JobKind.GANG
_FORGET = TaskOperation.FORGET
_STOP = TaskOperation.STOP
_START = TaskOperation.START

# Bound to module names for the same speed-up: they are read for every task of a heartbeat.
_EXITED = TaskState.EXITED
_DONE = ExitReason.DONE


class MachineCommands:
    """Makes the commands for one shard's machines, sent in heartbeat responses or directly."""

    def __init__(
        self, context: ControllerContext, shard: Shard, direct_commands: DirectCommands
    ) -> None:
        self.context = context
        self.shard = shard
        self.direct_commands = direct_commands

    def start(
        self, machine: Machine, job: OpenJob, booking: Booking, estimated_run_s: float
    ) -> TaskCommand | None:
        """Record a new attempt of a booked task and return the command that starts it.

        Returns None if no attempt number is available now.
        """
        attempt = self._attempt_for(job)
        if attempt is None:
            return None
        run = TaskRun(
            job.job_id,
            booking.task_index,
            attempt,
            machine.machine_id,
            self.context.now,
            estimated_run_s,
            job.resources,
        )
        job.runs[booking.task_index] = run
        machine.runs[run.task_id] = run
        self.shard.decisions.task_started(run)
        machine.heartbeat.start_unacknowledged = True
        machine.placement_snapshot = None
        log.debug("task start commanded task=%s machine=%s", run.task_id, machine.machine_id)
        machine.departure.idle_since = None
        return TaskCommand(_START, run.task_id, run.attempt)

    def stop(self, run: TaskRun, grace_period_s: float) -> None:
        """Stop an attempt, giving its task `grace_period_s` seconds to save its work.

        The command is part of the next response to the machine's heartbeat. It is also sent
        directly now if the machine has reported the attempt and its address is known.
        """
        run.stop_grace_s = grace_period_s
        self.shard.decisions.task_stopped(run)
        machine = self.shard.machines.get(run.machine_id)
        if machine is None:
            return
        machine.placement_snapshot = None
        if run.reported and machine.entry.address:
            command = TaskCommand(_STOP, run.task_id, run.attempt, grace_period_s)
            self.direct_commands.send(machine, [command])

    def preempt(self, machine_id: str, task_ids: list[str]) -> None:
        """Stop tasks at once to make room; their work since the last checkpoint is lost."""
        machine = self.shard.machines[machine_id]
        machine.placement_snapshot = None
        commands = []
        for task_id in task_ids:
            run = machine.runs[task_id]
            run.stop_grace_s = 0.0
            self.shard.decisions.task_stopped(run)
            commands.append(TaskCommand(_STOP, run.task_id, run.attempt, 0.0))
            log.info("task preempted task=%s machine=%s", run.task_id, machine_id)
        if machine.entry.address:
            self.direct_commands.send(machine, commands)

    def pending_commands(self, machine: Machine) -> list[TaskCommand]:
        """Return the forget and stop commands for the response to a machine's heartbeat."""
        commands: list[TaskCommand] = []
        for task_id, status in machine.tasks.items():
            if status.state is _EXITED:
                if self._may_forget(status):
                    commands.append(TaskCommand(_FORGET, task_id, status.attempt))
                continue
            run = machine.runs.get(task_id)
            if run is None or run.attempt != status.attempt:
                commands.append(TaskCommand(_STOP, task_id, status.attempt, 0.0))
            elif run.stop_grace_s is not None:
                commands.append(TaskCommand(_STOP, task_id, status.attempt, run.stop_grace_s))
        return commands

    def _attempt_for(self, job: OpenJob) -> int | None:
        """Return the attempt number for the job's next start; None if none is available."""
        if job.spec.kind is _GANG and job.runs:
            # The tasks of a gang share one attempt number and find each other by it.
            return job.gang.attempt
        numbers = self.shard.attempt_numbers
        self.shard.needs_new_revision = self.shard.needs_new_revision or numbers.needs_new_revision
        attempt = numbers.next(self.shard.fencing_token)
        if attempt is not None:
            job.gang.attempt = attempt
        return attempt

    def _may_forget(self, status: TaskStatus) -> bool:
        """Return whether a machine may forget an exited task.

        It may once the task's completion is durable or no longer of use. The start of an attempt is
        never commanded twice, so a forgotten attempt cannot start again.
        """
        task = parse_task_id(status.task_id)
        job = self.shard.jobs.get(task.job_id) if task else None
        if task is None or job is None or job.ended or status.exit_reason is not _DONE:
            return True
        return task.task_index < job.spec.task_count and job.is_durable(task.task_index)
