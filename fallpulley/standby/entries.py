"""Entries of a shard's replication log: one for each decision of the shard's owner.

They are sent as arrays, so the order of fields and the tags must not change.
"""

from __future__ import annotations

import msgspec


class TaskStarted(msgspec.Struct, tag="started", array_like=True, frozen=True):
    """An attempt was commanded to start on a machine, or one found running there was adopted."""

    machine_id: str
    task_id: str
    attempt: int


class TaskStopped(msgspec.Struct, tag="stopped", array_like=True, frozen=True):
    """An attempt was commanded to stop on its machine."""

    machine_id: str
    task_id: str
    attempt: int


class TaskEnded(msgspec.Struct, tag="left", array_like=True, frozen=True):
    """An attempt has exited, or is confirmed gone from its machine."""

    machine_id: str
    task_id: str
    attempt: int
    exit_reason: str  # as the worker reported it, or `gone`


class RunTimeObserved(msgspec.Struct, tag="job", array_like=True, frozen=True):
    """The number of completed tasks of a job and the sum of their run times."""

    job_id: str
    observed_tasks: int
    observed_run_s: float  # sum of run times, in seconds


class CorrectionChanged(msgspec.Struct, tag="class", array_like=True, frozen=True):
    """The new factor by which run-time estimates of a job class are corrected."""

    job_class: str
    correction: float


class MachineGranted(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """A machine was granted to the shard."""

    machine_id: str


class OccupancyChanged(msgspec.Struct, tag="marked", array_like=True, frozen=True):
    """The occupancy flag of a machine has changed."""

    machine_id: str
    occupied: bool  # whether the machine may hold tasks


class MachineReleased(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """A machine has left the shard."""

    machine_id: str


class ReachabilityChanged(msgspec.Struct, tag="reachable", array_like=True, frozen=True):
    """A machine started to send heartbeats, or its lease has expired."""

    machine_id: str
    reachable: bool


class ImageCached(msgspec.Struct, tag="cached", array_like=True, frozen=True):
    """A machine has an image, or is fetching it."""

    machine_id: str
    image: str
    image_gb: float  # size of the image, in GB


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
