"""Applies a newer state of a machine, and says what has changed in its tasks."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus

# Read for every task or job: a member of an enum takes ten times as long to look up.
_EXITED = TaskState.EXITED
_RUNNING = TaskState.RUNNING
_SAVING = TaskState.SAVING

# States of a task that is past its image fetch.
STARTED: Final = (_RUNNING, _SAVING)


class ExitedTask(NamedTuple):
    """A task that has exited, and our attempt of it, if it was ours."""

    run: TaskRun | None
    status: TaskStatus


class HeartbeatChanges(msgspec.Struct):
    """What has changed in a machine's tasks, for its shard to act on."""

    vanished: list[TaskRun] = []  # runs that are not on the machine any more, or never were
    start_missed: bool = False  # a start of ours did not take effect
    exited: list[ExitedTask] = []
    started: list[TaskRun] = []  # runs that are past their image fetch now
    unknown_tasks: list[TaskStatus] = []  # on the machine, but not runs of ours


def apply_heartbeat(machine: Machine, heartbeat: Heartbeat, now: float) -> HeartbeatChanges:
    """Bring the machine up to a newer heartbeat.

    Only a heartbeat that leaves a run out shows that the run is not there: the response to a direct
    command can overtake the response to a heartbeat that carries the start.
    """
    changes = apply_direct_status(machine, heartbeat, now)
    _drop_unreported_runs(machine, changes)
    machine.heartbeat.start_unacknowledged = False
    return changes


def apply_direct_status(machine: Machine, status: Heartbeat, now: float) -> HeartbeatChanges:
    """Bring the machine up to a newer state from the response to a direct command."""
    changes = HeartbeatChanges([], False, [], [], [])
    if status.agent_epoch != machine.heartbeat.agent_epoch:
        _begin_epoch(machine, changes)
    machine.heartbeat.advance(status)
    notice_s = status.preemption_notice_s
    machine.scale_in.preempted_at = None if notice_s is None else now + notice_s
    machine.tasks = {task.task_id: task for task in status.tasks}
    machine.heartbeat.reported_tasks = status.tasks
    if status.address and status.address != machine.entry.address:
        machine.entry = machine.entry.with_address(status.address)
    for task in status.tasks:
        _apply_task_status(machine, task, now, changes)
    return changes


def _begin_epoch(machine: Machine, changes: HeartbeatChanges) -> None:
    """The worker has killed and forgotten all of its tasks.

    It does so when its lease expires. Where its heartbeats never ceased, or the last start was
    never acknowledged, our responses have not reached it.
    """
    expected = machine.heartbeat.online or machine.heartbeat.start_unacknowledged
    changes.start_missed = expected and machine.fencing.fenced
    changes.vanished.extend(machine.runs.values())
    machine.runs.clear()
    machine.images.fetching.clear()


def _apply_task_status(
    machine: Machine, status: TaskStatus, now: float, changes: HeartbeatChanges
) -> None:
    run = machine.runs.get(status.task_id)
    if run is not None and run.attempt != status.attempt:
        run = None
    if status.state is _EXITED:
        if run is not None:
            del machine.runs[status.task_id]
        changes.exited.append(ExitedTask(run, status))
    elif run is None:
        changes.unknown_tasks.append(status)
    else:
        run.reported = True
        if status.state in STARTED and run.started_at is None:
            run.started_at = now
            changes.started.append(run)
        run.state = status.state


def _drop_unreported_runs(machine: Machine, changes: HeartbeatChanges) -> None:
    """Runs that the heartbeat does not list have ended unseen, or have never begun."""
    for task_id, run in list(machine.runs.items()):
        status = machine.tasks.get(task_id)
        if status is None or status.attempt != run.attempt:
            del machine.runs[task_id]
            changes.vanished.append(run)
            changes.start_missed = changes.start_missed or not run.reported
