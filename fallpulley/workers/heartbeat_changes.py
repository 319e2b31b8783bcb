"""Applies a newer reported state of a machine and collects the changes in its tasks."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus

# Bound to module names because they are read for every reported task: looking up an enum member
# takes ten times as long.
_EXITED = TaskState.EXITED
_RUNNING = TaskState.RUNNING
_SAVING = TaskState.SAVING

# States of a task whose image fetch has completed.
STARTED_STATES: Final = (_RUNNING, _SAVING)


class ExitedTask(NamedTuple):
    """A task that has exited, and the run it belongs to; None if this owner knows no such run."""

    run: TaskRun | None
    status: TaskStatus


class HeartbeatChanges(msgspec.Struct):
    """The changes in a machine's tasks that its shard has to act on."""

    vanished: list[TaskRun] = []  # runs that the machine no longer has, or never had
    start_missed: bool = False  # a start command of this owner did not take effect
    tasks_lost: bool = False  # the machine no longer has tasks that it had reported
    exited: list[ExitedTask] = []
    image_fetch_completed: list[TaskRun] = []  # runs whose image is fetched since the last state
    unknown_tasks: list[TaskStatus] = []  # tasks on the machine that match no known run


def apply_heartbeat(machine: Machine, heartbeat: Heartbeat, now: float) -> HeartbeatChanges:
    """Update the machine from a newer heartbeat and return the changes.

    Only a heartbeat can show that a run is missing from the machine. The response to a direct
    command cannot: it may overtake the heartbeat response that carries the run's start command.
    """
    changes = apply_direct_status(machine, heartbeat, now)
    _drop_unreported_runs(machine, changes)
    machine.heartbeat.start_unacknowledged = False
    return changes


def apply_direct_status(machine: Machine, status: Heartbeat, now: float) -> HeartbeatChanges:
    """Update the machine from the response to a direct command and return the changes."""
    changes = HeartbeatChanges([], False, False, [], [], [])
    if status.agent_epoch != machine.heartbeat.agent_epoch:
        _begin_epoch(machine, changes)
    machine.heartbeat.advance(status)
    notice_s = status.preemption_notice_s
    machine.departure.preempted_at = None if notice_s is None else now + notice_s
    machine.tasks = {task.task_id: task for task in status.tasks}
    machine.heartbeat.reported_tasks = status.tasks
    if status.address and status.address != machine.entry.address:
        machine.entry = machine.entry.with_address(status.address)
    for task in status.tasks:
        _apply_task_status(machine, task, now, changes)
    return changes


def _begin_epoch(machine: Machine, changes: HeartbeatChanges) -> None:
    """Drop all runs: a worker begins a new epoch after it has killed and forgotten its tasks.

    A worker does so when its lease expires. If its heartbeats have arrived all the time, or no
    heartbeat acknowledged the last start command, the lease expired because this owner's responses
    did not reach the worker. If the machine had confirmed this owner's token, that counts as a
    missed start.
    """
    responses_missed = machine.heartbeat.online or machine.heartbeat.start_unacknowledged
    changes.start_missed = responses_missed and machine.fencing.token_confirmed
    changes.tasks_lost = True
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
        if status.state in STARTED_STATES and run.running_since is None:
            run.running_since = now
            changes.image_fetch_completed.append(run)
        run.state = status.state


def _drop_unreported_runs(machine: Machine, changes: HeartbeatChanges) -> None:
    """Drop runs that the heartbeat does not list: they have ended unnoticed or never started."""
    for task_id, run in list(machine.runs.items()):
        status = machine.tasks.get(task_id)
        if status is None or status.attempt != run.attempt:
            del machine.runs[task_id]
            changes.vanished.append(run)
            changes.start_missed = changes.start_missed or not run.reported
            changes.tasks_lost = changes.tasks_lost or run.reported
