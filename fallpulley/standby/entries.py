"""The entries of a block's replication log: one for each decision of its holder."""

from __future__ import annotations

import msgspec


class Started(msgspec.Struct, tag="started", array_like=True, frozen=True):
    """An attempt was ordered on a machine, or adopted there."""

    host: str
    piece: str
    attempt: int


class Stopped(msgspec.Struct, tag="stopped", array_like=True, frozen=True):
    """An attempt was told to stop."""

    host: str
    piece: str
    attempt: int


class Left(msgspec.Struct, tag="left", array_like=True, frozen=True):
    """An attempt has ended, or is proved gone."""

    host: str
    piece: str
    attempt: int
    cause: str


class JobLearned(msgspec.Struct, tag="job", array_like=True, frozen=True):
    """A job's completed tasks and their summed run times."""

    job: str
    observed: int
    observed_s: float


class ClassLearned(msgspec.Struct, tag="class", array_like=True, frozen=True):
    """A class's correction of its owners' estimates."""

    jobclass: str
    factor: float


class Granted(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """The block has a new machine."""

    host: str


class Marked(msgspec.Struct, tag="marked", array_like=True, frozen=True):
    """Whether a machine may hold tasks."""

    host: str
    used: bool


class Released(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """A machine has left the block."""

    host: str


class Reachable(msgspec.Struct, tag="reachable", array_like=True, frozen=True):
    """A machine began to report, or fell silent."""

    host: str
    reachable: bool


class Cached(msgspec.Struct, tag="cached", array_like=True, frozen=True):
    """A machine has an image."""

    host: str
    image: str
    size_gb: float


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
