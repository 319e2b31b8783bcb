"""The messages between workers and controllers, encoded as JSON.

The protocol's names of fields and values are mapped to this project's names here alone.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

# Type of counts, fencing tokens and attempt numbers: not negative, below 2^64.
Count = Annotated[int, Meta(ge=0)]

# The epoch of a worker's agent, and the sequence number of a message within it.
HeartbeatVersion = tuple[int, int]


class TaskState(StrEnum):
    """The state of a task on a machine; the values of the protocol's field `stage`."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"  # it writes a checkpoint before it stops
    EXITED = "ended"  # it stays listed until the worker is commanded to forget it
    UNKNOWN = ""  # any value that the protocol does not name

    @classmethod
    def _missing_(cls, value: object) -> TaskState:
        return cls.UNKNOWN


class ExitReason(StrEnum):
    """Why a task exited; the values of the protocol's field `cause`."""

    DONE = "done"  # it completed
    STOPPED = "stopped"  # it was stopped by a command
    ERROR = "error"  # it failed by itself
    NO_ROOM = "full"  # the machine refused the start: not enough free capacity
    ALREADY_THERE = "in_use"  # the machine refused the start: it has another attempt of the task
    UNKNOWN_TASK = "unknown"  # the machine refused the start: the task is not known to it
    UNKNOWN = ""  # any value that the protocol does not name

    @classmethod
    def _missing_(cls, value: object) -> ExitReason:
        return cls.UNKNOWN


# Exit reasons of a task that the machine refused to start.
START_REFUSALS: Final = (ExitReason.NO_ROOM, ExitReason.ALREADY_THERE, ExitReason.UNKNOWN_TASK)


class TaskOperation(StrEnum):
    """What a machine is to do with a task; the values of the protocol's field `verb`."""

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
    exit_reason: ExitReason | None = None  # None unless the task has exited
    saved: bool = False  # whether its work was saved before it stopped


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
    """A machine's state: the body of a heartbeat (`POST /checkin`).

    Also the body of the response to a direct command (`POST /do`).
    """

    machine_id: Annotated[str, Meta(min_length=1, max_length=200)]
    agent_epoch: Count  # grows whenever the agent has forgotten all of its tasks
    sequence: Count  # grows with each message within an epoch
    address: str = ""  # host:port for direct commands; empty if not reported
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    fencing_token: Count = 0  # the highest token that the machine has received
    # Seconds until the cloud preempts the machine; None without a preemption notice.
    preemption_notice_s: float | None = None
    tasks: list[TaskStatus] = []

    @property
    def version(self) -> HeartbeatVersion:
        """The order of a machine's messages: the larger version is the newer one."""
        return self.agent_epoch, self.sequence


class TaskCommand(
    msgspec.Struct,
    omit_defaults=True,
    rename={"operation": "verb", "task_id": "piece", "grace_period_s": "windup_s"},
):
    """What a machine is to do with one attempt of a task."""

    operation: TaskOperation
    task_id: str
    attempt: int = msgspec.field(name="try")
    grace_period_s: float | None = None  # for a stop: seconds the task has to save its work


class HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    """The response to a heartbeat; it renews the machine's lease."""

    fencing_token: int
    commands: list[TaskCommand]


class DirectCommand(
    msgspec.Struct,
    rename={"fencing_token": "baton", "agent_epoch": "shift", "commands": "orders"},
):
    """Commands sent to the machine's own address (`POST /do`); they renew no lease."""

    fencing_token: int
    agent_epoch: int  # the worker refuses a command for any epoch but its own
    commands: list[TaskCommand]


class Redirect(msgspec.Struct, rename={"redirect_to": "foreman"}):
    """The response to a heartbeat of a machine that another controller owns."""

    redirect_to: str  # controller_id of the owner


def parse_heartbeat(body: bytes) -> Heartbeat | None:
    """Decode a heartbeat; return None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
