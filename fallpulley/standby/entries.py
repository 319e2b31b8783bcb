"""The entries of a block's replication log: one for each decision of its holder."""

from __future__ import annotations

import msgspec


class Started(msgspec.Struct, tag="started", array_like=True, frozen=True):
    """An attempt was ordered on a machine, or adopted there."""

    machine_id: str
    task_id: str
    attempt: int


class Stopped(msgspec.Struct, tag="stopped", array_like=True, frozen=True):
    """An attempt was told to stop."""

    machine_id: str
    task_id: str
    attempt: int


class Left(msgspec.Struct, tag="left", array_like=True, frozen=True):
    """An attempt has ended, or is proved gone."""

    machine_id: str
    task_id: str
    attempt: int
    exit_reason: str


class JobLearned(msgspec.Struct, tag="job", array_like=True, frozen=True):
    """A job's completed tasks and their summed run times."""

    job_id: str
    observed_tasks: int
    observed_run_s: float


class ClassLearned(msgspec.Struct, tag="class", array_like=True, frozen=True):
    """A class's correction of its owners' estimates."""

    job_class: str
    correction: float


class Granted(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """The block has a new machine."""

    machine_id: str


class Marked(msgspec.Struct, tag="marked", array_like=True, frozen=True):
    """Whether a machine may hold tasks."""

    machine_id: str
    occupied: bool


class Released(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """A machine has left the block."""

    machine_id: str


class Reachable(msgspec.Struct, tag="reachable", array_like=True, frozen=True):
    """A machine began to report, or fell silent."""

    machine_id: str
    reachable: bool


class Cached(msgspec.Struct, tag="cached", array_like=True, frozen=True):
    """A machine has an image."""

    machine_id: str
    image: str
    image_gb: float


Entry = (
    Started
    | Stopped
    | Left
    | JobLearned
    | ClassLearned
    | Granted
    | Marked
    | Released
    | Reachable
    | Cached
)
