"""What a newer heartbeat changes in what is known of a machine."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus


class ExitedTask(NamedTuple):
    """A task that has exited, and our attempt of it, if it was ours."""

    run: TaskRun | None
    status: TaskStatus


class HeartbeatChanges(msgspec.Struct):
    """What a heartbeat tells about tasks, for the machine's shard to act on."""

    vanished: list[TaskRun] = []
    start_missed: bool = False  # a start of ours did not take effect
    exited: list[ExitedTask] = []
    started: list[TaskRun] = []
    unknown_tasks: list[TaskStatus] = []


def apply_heartbeat(
    machine: Machine, heartbeat: Heartbeat, now: float, is_heartbeat: bool
) -> HeartbeatChanges:
    """Bring the machine up to a newer state.

    `is_heartbeat` is false for the response to a direct command. Only a heartbeat that leaves a
    run out shows that the run is not there: the response to a direct command can overtake the
    response to a heartbeat that carries the start.
    """
    changes = HeartbeatChanges([], False, [], [], [])
    if heartbeat.agent_epoch != machine.heartbeat.agent_epoch:
        _begin_epoch(machine, changes)
    machine.heartbeat.advance(heartbeat)
    notice_s = heartbeat.preemption_notice_s
    machine.scale_in.preempted_at = None if notice_s is None else now + notice_s
    machine.tasks = {status.task_id: status for status in heartbeat.tasks}
    machine.heartbeat.reported_tasks = heartbeat.tasks
    if heartbeat.address and heartbeat.address != machine.entry.address:
        machine.entry = machine.entry.with_address(heartbeat.address)
    for status in heartbeat.tasks:
        _apply_status(machine, status, now, changes)
    if is_heartbeat:
        _drop_unreported_runs(machine, changes)
        machine.heartbeat.start_unacknowledged = False
    return changes


def _begin_epoch(machine: Machine, changes: HeartbeatChanges) -> None:
    """The worker has killed and forgotten everything that it had.

    One whose heartbeats never ceased has not had our responses, nor has one that never took the
    last start.
    """
    heard_of = machine.heartbeat.online or machine.heartbeat.start_unacknowledged
    changes.start_missed = heard_of and machine.fencing.fenced
    changes.vanished.extend(machine.runs.values())
    machine.runs.clear()
    machine.images.fetching.clear()


def _apply_status(
    machine: Machine, status: TaskStatus, now: float, changes: HeartbeatChanges
) -> None:
    run = machine.runs.get(status.task_id)
    if run is not None and run.attempt != status.attempt:
        run = None
    if status.state is TaskState.EXITED:
        if run is not None:
            del machine.runs[status.task_id]
        changes.exited.append(ExitedTask(run, status))
    elif run is None:
        changes.unknown_tasks.append(status)
    else:
        run.reported = True
        if status.state in (TaskState.RUNNING, TaskState.SAVING) and run.started_at is None:
            run.started_at = now
            changes.started.append(run)
        run.state = status.state


def _drop_unreported_runs(machine: Machine, changes: HeartbeatChanges) -> None:
    for task_id, run in list(machine.runs.items()):
        status = machine.tasks.get(task_id)
        if status is None or status.attempt != run.attempt:
            del machine.runs[task_id]
            changes.vanished.append(run)
            changes.start_missed = changes.start_missed or not run.reported
