"""What a holder sends to the machines of its block."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.jobs.messages import JobKind, parse_task_id
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.plan import Booking
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import (
    DirectCommand,
    ExitReason,
    Heartbeat,
    Operation,
    TaskCommand,
    TaskState,
    TaskStatus,
)

log = logging.getLogger(__name__)

# A worker counts a higher token as a change once in half a lease.
PROMPT_INTERVAL_LEASES = 0.5


class MachineCommands:
    """Starts, stops and clears tasks, with check-ins' replies or directly."""

    def __init__(
        self,
        context: ControllerContext,
        shard: Shard,
        on_status: Callable[[Machine, Heartbeat], None],
    ) -> None:
        """`on_status` takes the machine's state from a response to a direct command."""
        self.context = context
        self.shard = shard
        self._on_status = on_status

    def start(
        self, machine: Machine, job: OpenJob, booking: Booking, estimate_s: float
    ) -> TaskCommand | None:
        """The order that starts a booked task; None where no attempt may be made now."""
        if job.spec.kind != JobKind.GANG or not job.runs:
            self.shard.needs_new_revision = (
                self.shard.needs_new_revision or self.shard.attempt_numbers.needs_new_revision
            )
            attempt = self.shard.attempt_numbers.next(self.shard.fencing_token)
            if attempt is None:
                return None
            job.gang.attempt = attempt
        # The tasks of an ensemble find each other by their common attempt.
        run = TaskRun(
            job.job_id,
            booking.task_index,
            job.gang.attempt,
            machine.machine_id,
            self.context.now,
            estimate_s,
            job.resources,
        )
        job.runs[booking.task_index] = run
        machine.runs[run.task_id] = run
        self.shard.decisions.task_started(run)
        machine.heartbeat.start_unacknowledged = True
        machine.snapshot = None
        log.debug("task ordered task=%s machine=%s", run.task_id, machine.machine_id)
        machine.scale_in.idle_since = None
        return TaskCommand(Operation.START, run.task_id, run.attempt)

    def stop(self, run: TaskRun, grace_period_s: float) -> None:
        """Stop with the next orders, and directly now if the machine can be reached."""
        run.stop_grace_s = grace_period_s
        self.shard.decisions.task_stopped(run)
        machine = self.shard.machines.get(run.machine_id)
        if machine is not None:
            machine.snapshot = None
        if machine is not None and run.reported and machine.entry.address:
            self.send_direct(
                machine, [TaskCommand(Operation.STOP, run.task_id, run.attempt, grace_period_s)]
            )

    def preempt(self, machine_id: str, task_ids: list[str]) -> None:
        """Stop tasks at once to make room: what they did since their last save is lost."""
        machine = self.shard.machines[machine_id]
        machine.snapshot = None
        commands = []
        for name in task_ids:
            run = machine.runs[name]
            run.stop_grace_s = 0.0
            self.shard.decisions.task_stopped(run)
            commands.append(TaskCommand(Operation.STOP, run.task_id, run.attempt, 0.0))
            log.info("task preempted task=%s machine=%s", run.task_id, machine_id)
        if machine.entry.address:
            self.send_direct(machine, commands)

    def prompt_heartbeat(self, machine: Machine) -> None:
        """Make a machine with a booked task report now: a higher token counts as a change, but
        only once in half a lease."""
        now = self.context.now
        if (
            now < machine.fencing.prompted_at + PROMPT_INTERVAL_LEASES * self.context.timing.lease_s
            or not machine.entry.address
        ):
            return
        if machine.fencing.advance_token(self.shard.fencing_token):
            machine.fencing.prompted_at = now
            self.send_direct(machine, [])

    def send_direct(
        self,
        machine: Machine,
        commands: list[TaskCommand],
        answered: Callable[[int | None], None] | None = None,
    ) -> None:
        """Command a machine at its address; `answered` is told the outcome first."""

        def done(response: Response) -> None:
            if answered is not None:
                answered(response.status)
            self._on_direct_response(machine, response.status, response.body)

        message = msgspec.json.encode(
            DirectCommand(machine.fencing.token, machine.heartbeat.agent_epoch or 1, commands)
        )
        self.context.call(machine.entry.address, "POST", "/do", message, 1.5, done)

    def _on_direct_response(self, machine: Machine, status: int | None, body: bytes) -> None:
        if status not in (200, 409) or self.shard.machines.get(machine.machine_id) is not machine:
            return
        try:
            heartbeat = msgspec.json.decode(body, type=Heartbeat)
        except msgspec.MsgspecError:
            return
        if heartbeat.machine_id != machine.machine_id:
            return
        if status == 200:
            self._on_status(machine, heartbeat)
        elif not machine.fencing.fenced and heartbeat.agent_epoch > machine.heartbeat.agent_epoch:
            machine.heartbeat.agent_epoch = heartbeat.agent_epoch
            machine.fencing.next_probe_at = float("-inf")

    def pending_commands(self, machine: Machine) -> list[TaskCommand]:
        """Clears and stops for a check-in's reply."""
        commands: list[TaskCommand] = []
        for name, status in machine.tasks.items():
            if status.state == TaskState.EXITED:
                named = parse_task_id(name)
                job = self.shard.jobs.get(named[0]) if named else None
                if self._may_forget(job, named, status):
                    commands.append(TaskCommand(Operation.FORGET, name, status.attempt))
                continue
            run = machine.runs.get(name)
            if run is None or run.attempt != status.attempt:
                commands.append(TaskCommand(Operation.STOP, name, status.attempt, 0.0))
            elif run.stop_grace_s is not None:
                commands.append(TaskCommand(Operation.STOP, name, status.attempt, run.stop_grace_s))
        return commands

    def _may_forget(
        self, job: OpenJob | None, named: tuple[str, int] | None, status: TaskStatus
    ) -> bool:
        """The end is durable, or of no use; and we never repeat an attempt's `run`."""
        if job is None or named is None or status.exit_reason != ExitReason.DONE or job.cancelled:
            return True
        return named[1] < job.spec.task_count and job.is_durable(named[1])
