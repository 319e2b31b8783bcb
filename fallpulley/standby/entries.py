"""The entries of a shard's replication log: one for each decision of its owner.

They are sent as arrays: the order of fields and the tags must not change.
"""

from __future__ import annotations

import msgspec


class TaskStarted(msgspec.Struct, tag="started", array_like=True, frozen=True):
    """A machine was sent the command to start an attempt, or one found there was adopted."""

    machine_id: str
    task_id: str
    attempt: int


class TaskStopped(msgspec.Struct, tag="stopped", array_like=True, frozen=True):
    """A machine was sent the command to stop an attempt."""

    machine_id: str
    task_id: str
    attempt: int


class TaskEnded(msgspec.Struct, tag="left", array_like=True, frozen=True):
    """An attempt has ended, or is confirmed gone from its machine."""

    machine_id: str
    task_id: str
    attempt: int
    exit_reason: str


class RunTimeObserved(msgspec.Struct, tag="job", array_like=True, frozen=True):
    """A job's completed tasks and the sum of their run times in seconds."""

    job_id: str
    observed_tasks: int
    observed_run_s: float


class CorrectionChanged(msgspec.Struct, tag="class", array_like=True, frozen=True):
    """The factor by which the estimates of a job class are corrected."""

    job_class: str
    correction: float


class MachineGranted(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """The shard has a new machine."""

    machine_id: str


class OccupancyChanged(msgspec.Struct, tag="marked", array_like=True, frozen=True):
    """Whether a machine may hold tasks."""

    machine_id: str
    occupied: bool


class MachineReleased(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """A machine has left the shard."""

    machine_id: str


class ReachabilityChanged(msgspec.Struct, tag="reachable", array_like=True, frozen=True):
    """A machine's heartbeats began, or its lease has expired."""

    machine_id: str
    reachable: bool


class ImageCached(msgspec.Struct, tag="cached", array_like=True, frozen=True):
    """A machine has an image."""

    machine_id: str
    image: str
    image_gb: float


TaskEntry = TaskStarted | TaskStopped | TaskEnded
Entry = (
    TaskStarted
    | TaskStopped
    | TaskEnded
    | RunTimeObserved
    | CorrectionChanged
    | MachineGranted
    | OccupancyChanged
    | MachineReleased
    | ReachabilityChanged
    | ImageCached
)
