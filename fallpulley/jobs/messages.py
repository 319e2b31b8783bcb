"""Messages between users and controllers, and the stored records of jobs, with their wire names."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Annotated, Final, NamedTuple

import msgspec
from msgspec import Meta

# An amount of a resource, or seconds.
Amount = Annotated[float, Meta(ge=0, le=1e9)]
# A name: of a team, an image, a machine type, ...
Text = Annotated[str, Meta(min_length=1, max_length=200)]


class JobKind(StrEnum):
    """How a job's tasks belong together. Values as in the protocol's field `shape`.

    An array's tasks are independent, a gang's run all at the same time or not at all, a service's
    run until it is cancelled.
    """

    ARRAY = "sweep"
    GANG = "ensemble"
    SERVICE = "service"


class JobState(StrEnum):
    """The state of a job. Values as in the protocol's field `stage`; `OPEN` in records alone."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"
    OPEN = "open"


class Priority(StrEnum):
    """A job's priority class. Values as in the protocol's field `rank`."""

    BEST_EFFORT = "best_effort"
    STANDARD = "standard"
    HIGH = "high"
    PRODUCTION = "production"


JOB_ID = re.compile(r"job-[0-9]{1,40}")
JobId = Annotated[str, Meta(pattern=r"^job-[0-9]{1,40}\Z")]

FINAL_STATES: Final = (JobState.DONE, JobState.CANCELLED)

# From the least urgent up.
PRIORITY_LEVELS: Final = {priority: level for level, priority in enumerate(Priority)}


class Submission(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "job_id": "uid",
        "job_class": "jobclass",
        "team": "crew",
        "kind": "shape",
        "priority": "rank",
        "task_count": "pieces",
        "gpus": "cards",
        "memory_gb": "mem_gb",
        "image": "kit",
        "image_gb": "size_gb",
        "spread": "apart",
        "allow_spot": "loaners",
        "estimated_run_s": "expect_s",
        "checkpoint_interval_s": "bookmark_s",
        "checkpoint_save_s": "stow_s",
        "machine_types": "builds",
        "zone": "hall",
        "deadline_s": "due_s",
        "depends_on": "awaits",
    },
):
    """`POST /work`. Fields that may be null may be left out."""

    job_id: Text
    job_class: Text
    team: Text
    kind: JobKind
    priority: Priority
    task_count: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Text
    image_gb: Amount
    one_zone: bool
    spread: bool
    allow_spot: bool
    estimated_run_s: Amount
    checkpoint_interval_s: Amount
    checkpoint_save_s: Amount
    machine_types: Annotated[list[Text], Meta(max_length=64)] | None = None
    zone: Text | None = None
    deadline_s: Amount | None = None
    # Jobs that have to be done before any task of this one starts.
    depends_on: list[JobId] | None = None


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "shard_id": "block",
        "submitted_at_ms": "at_ms",
        "task_count": "pieces",
        "state": "stage",
        "finished_at_ms": "end_ms",
    },
):
    """`live/job/<id>`: written at acceptance, once more when the job ends, never dropped.

    The specification goes when the job is over: nothing needs it any more.
    """

    shard_id: str
    submitted_at_ms: int
    task_count: int
    state: JobState = JobState.OPEN
    spec: Submission | None = None
    # When it ended: jobs that depend on it count their times from then. 0: its writer didn't say.
    finished_at_ms: int = 0


class Progress(msgspec.Struct):
    """`prog/<id>/<chunk>`: a chunk of the bitmap of completed tasks, in base64."""

    bits: str


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"job_id": "uid", "state": "stage"}):
    """The response about a job. `done` and `running` count tasks."""

    job_id: str
    state: JobState
    done: int | None = None
    running: int | None = None


class SubmissionError(ValueError):
    """A submission is malformed; its text says what, as the user is told."""


def parse_submission(body: bytes) -> Submission:
    """Decode a submission. Raises SubmissionError if it is malformed."""
    try:
        spec = msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SubmissionError(str(error) or "malformed") from error
    if not JOB_ID.fullmatch(spec.job_id):
        raise SubmissionError("Not a job id - at `$.uid`")
    if spec.machine_types is not None and not spec.machine_types:
        raise SubmissionError("No machine type allowed - at `$.builds`")
    if spec.estimated_run_s <= 0 and spec.kind is not JobKind.SERVICE:
        raise SubmissionError("Expected `float` > 0 - at `$.expect_s`")
    return spec


class _NamedJob(msgspec.Struct, rename={"job_id": "uid"}):
    """The one field of a submission that says which job it is."""

    job_id: Text


def job_id_of(body: bytes) -> str | None:
    """The job that a malformed submission names, None if it names none.

    It may be a repeat of one that was accepted.
    """
    try:
        job_id = msgspec.json.decode(body, type=_NamedJob).job_id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return job_id if JOB_ID.fullmatch(job_id) else None


def task_id(job_id: str, index: int) -> str:
    """A task's name in the protocol."""
    return f"{job_id}/{index}"


class TaskId(NamedTuple):
    """A task's job and its index in it."""

    job_id: str
    task_index: int


def parse_task_id(text: str) -> TaskId | None:
    """Job and index of a task by its name; None for anything else."""
    job_id, slash, index = text.rpartition("/")
    if not slash or not index.isdigit() or not JOB_ID.fullmatch(job_id):
        return None
    return TaskId(job_id, int(index))
