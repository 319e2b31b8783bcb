"""The messages between workers and controllers, encoded as JSON.

The protocol's names of fields and values are mapped here, once; the rest of the code uses ours.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

# Counts, fencing tokens and attempt numbers: below 2^64, never negative.
Count = Annotated[int, Meta(ge=0)]

# The epoch of a worker's agent, and the sequence number of a message within it.
HeartbeatVersion = tuple[int, int]


class TaskState(StrEnum):
    """The state of a task on a machine. Values as in the protocol's field `stage`."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"  # writes a checkpoint before it stops
    EXITED = "ended"  # listed until the worker is commanded to forget it
    UNKNOWN = ""  # any value that the protocol does not name

    @classmethod
    def _missing_(cls, value: object) -> TaskState:
        return cls.UNKNOWN


class ExitReason(StrEnum):
    """Why a task exited. Values as in the protocol's field `cause`."""

    DONE = "done"  # completed
    STOPPED = "stopped"  # by a command
    ERROR = "error"  # failed by itself
    NO_ROOM = "full"  # the machine refused the start: too little room
    ALREADY_THERE = "in_use"  # the machine refused the start: it has another attempt of the task
    UNKNOWN_TASK = "unknown"  # the machine refused the start: the task is not known to it
    UNKNOWN = ""  # any value that the protocol does not name

    @classmethod
    def _missing_(cls, value: object) -> ExitReason:
        return cls.UNKNOWN


# The machine refused to start the task.
START_REFUSALS: Final = (ExitReason.NO_ROOM, ExitReason.ALREADY_THERE, ExitReason.UNKNOWN_TASK)


class Operation(StrEnum):
    """What a machine is to do with a task. Values as in the protocol's field `verb`."""

    START = "run"
    STOP = "stop"
    FORGET = "clear"


class TaskStatus(
    msgspec.Struct, rename={"task_id": "piece", "state": "stage", "exit_reason": "cause"}
):
    """A task on a machine, as its worker reports it."""

    task_id: str
    attempt: Count = msgspec.field(name="try")
    state: TaskState = TaskState.RUNNING
    exit_reason: ExitReason | None = None  # of an exited task
    saved: bool = False  # its work was saved before it stopped


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine_id": "host",
        "agent_epoch": "shift",
        "sequence": "tick",
        "address": "addr",
        "machine_type": "build",
        "zone": "hall",
        "spot": "loaners",
        "fencing_token": "baton",
        "preemption_notice_s": "recall_s",
        "tasks": "pieces",
    },
):
    """A machine's state: the body of a heartbeat (`POST /checkin`), and of the response to a
    direct command (`/do`) or a status probe (`/inspect`)."""

    machine_id: Annotated[str, Meta(min_length=1, max_length=200)]
    agent_epoch: Count  # grows whenever the agent has forgotten all of its tasks
    sequence: Count  # grows with each message within an epoch
    address: str = ""  # host:port for direct commands; empty: not said
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    fencing_token: Count = 0  # the highest that the machine has had
    preemption_notice_s: float | None = None  # until the cloud takes the machine; None: it does not
    tasks: list[TaskStatus] = []

    @property
    def version(self) -> HeartbeatVersion:
        """Of two messages of a machine, the one with the larger version is the newer."""
        return self.agent_epoch, self.sequence


class TaskCommand(
    msgspec.Struct,
    omit_defaults=True,
    rename={"operation": "verb", "task_id": "piece", "grace_period_s": "windup_s"},
):
    """What a machine is to do with one attempt of a task."""

    operation: Operation
    task_id: str
    attempt: int = msgspec.field(name="try")
    grace_period_s: float | None = None  # of a stop: how long the task may save its work


class HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    """The response to a heartbeat; it renews the machine's lease."""

    fencing_token: int
    commands: list[TaskCommand]


class DirectCommand(
    msgspec.Struct,
    rename={"fencing_token": "baton", "agent_epoch": "shift", "commands": "orders"},
):
    """A command at the machine's own address (`POST /do`); it renews no lease."""

    fencing_token: int
    agent_epoch: int  # the worker refuses a command for another epoch than its own
    commands: list[TaskCommand]


class Redirect(msgspec.Struct, rename={"redirect_to": "foreman"}):
    """The response to a heartbeat of a machine that belongs to somebody else."""

    redirect_to: str  # the owner's controller_id


def parse_heartbeat(body: bytes) -> Heartbeat | None:
    """Decode a heartbeat; None where it is malformed."""
    try:
        return msgspec.json.decode(body, type=Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
