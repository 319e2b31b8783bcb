"""What workers and controllers say to each other. Wire names end here."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]  # counts, tokens and attempts lie below 2^64


# The epoch of a worker's agent, and the sequence number of a message within it.
HeartbeatVersion = tuple[int, int]


class TaskState(StrEnum):
    """Where a task on a machine stands. Values as in the protocol's field `stage`."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "ended"
    UNKNOWN = ""  # any value that the protocol does not name

    @classmethod
    def _missing_(cls, value: object) -> TaskState:
        return cls.UNKNOWN


class ExitReason(StrEnum):
    """Why a task exited. Values as in the protocol's field `cause`."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    NO_ROOM = "full"
    ALREADY_THERE = "in_use"
    UNKNOWN_TASK = "unknown"
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
    task_id: str
    attempt: Count = msgspec.field(name="try")
    state: TaskState = TaskState.RUNNING
    exit_reason: ExitReason | None = None
    saved: bool = False


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
    """`POST /checkin`, and the answers of `/do` and `/inspect`."""

    machine_id: Annotated[str, Meta(min_length=1, max_length=200)]
    agent_epoch: Count
    sequence: Count
    address: str = ""
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    fencing_token: Count = 0
    preemption_notice_s: float | None = None
    tasks: list[TaskStatus] = []

    @property
    def version(self) -> HeartbeatVersion:
        """The message with the larger one is the newer."""
        return self.agent_epoch, self.sequence


class TaskCommand(
    msgspec.Struct,
    omit_defaults=True,
    rename={"operation": "verb", "task_id": "piece", "grace_period_s": "windup_s"},
):
    operation: Operation
    task_id: str
    attempt: int = msgspec.field(name="try")
    grace_period_s: float | None = None


class HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    """The answer to a check-in."""

    fencing_token: int
    commands: list[TaskCommand]


class DirectCommand(
    msgspec.Struct,
    rename={"fencing_token": "baton", "agent_epoch": "shift", "commands": "orders"},
):
    """`POST /do`."""

    fencing_token: int
    agent_epoch: int
    commands: list[TaskCommand]


class Redirect(msgspec.Struct, rename={"redirect_to": "foreman"}):
    redirect_to: str


def parse_heartbeat(body: bytes) -> Heartbeat | None:
    try:
        return msgspec.json.decode(body, type=Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
