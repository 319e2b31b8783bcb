"""Job messages between users and controllers, and stored job records, with their wire names."""

from __future__ import annotations

import re
from collections.abc import Collection
from enum import StrEnum
from typing import Annotated, Final, NamedTuple

import msgspec
from msgspec import Meta

from fallpulley.cloud.messages import MachineType
from fallpulley.placement.eligibility import EligibleMachines, eligible_machines
from fallpulley.resources import Resources

# An amount of a resource (processors, GPUs, GB) or a duration in seconds.
Amount = Annotated[float, Meta(ge=0, le=1e9)]
# The name of a team, an image, a machine type and the like.
Text = Annotated[str, Meta(min_length=1, max_length=200)]


class JobKind(StrEnum):
    """How the tasks of a job relate to each other; the values are those of the wire field `shape`.

    The tasks of an array are independent. The tasks of a gang run all at the same time or not at
    all. The tasks of a service run until the service is cancelled.
    """

    ARRAY = "sweep"
    GANG = "ensemble"
    SERVICE = "service"


class JobState(StrEnum):
    """The state of a job; the values are those of the wire field `stage`.

    `OPEN` occurs only in stored records, where it stands for both `PENDING` and `RUNNING`.
    """

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"
    OPEN = "open"


class Priority(StrEnum):
    """The priority class of a job, lowest first; the values are those of the wire field `rank`."""

    BEST_EFFORT = "best_effort"
    STANDARD = "standard"
    HIGH = "high"
    PRODUCTION = "production"


JOB_ID_PATTERN = re.compile(r"job-[0-9]{1,40}")
JobId = Annotated[str, Meta(pattern=r"^job-[0-9]{1,40}\Z")]

FINAL_STATES: Final = (JobState.DONE, JobState.CANCELLED)

# The numeric level of each priority class; 0 is the lowest.
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
    """The body of `POST /work`: the specification of a job.

    Fields that may be null may also be left out.
    """

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
    # Ids of the jobs that must be done before any task of this job starts.
    depends_on: list[JobId] | None = None

    @property
    def resources(self) -> Resources:
        """What each task takes of its machine."""
        return Resources(self.cpus, self.gpus, self.memory_gb)

    def eligible_machines(self, catalog: Collection[MachineType]) -> EligibleMachines:
        """Return the machines that can take the job's tasks, given the cloud's machine types."""
        return eligible_machines(
            self.resources, self.allow_spot, self.machine_types, self.zone, catalog
        )


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
    """The record of a job under `live/job/<id>`.

    It is written when the job is accepted and again when the job ends, and it is never deleted.
    The record of an ended job holds no specification, since nothing needs it any more.
    """

    shard_id: str
    submitted_at_ms: int
    task_count: int
    state: JobState = JobState.OPEN
    spec: Submission | None = None
    # When the job was done. The waiting times of the jobs that depend on it count from then. 0 if
    # the writer of the record did not set it.
    finished_at_ms: int = 0


class Progress(msgspec.Struct):
    """The value of `prog/<id>/<chunk>`: one chunk of the bitmap of a job's completed tasks."""

    bits: str  # one bit per task of the chunk, set if it is completed; in base64


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"job_id": "uid", "state": "stage"}):
    """The response to a request about a job; `done` and `running` are numbers of tasks."""

    job_id: str
    state: JobState
    done: int | None = None
    running: int | None = None


class SubmissionError(ValueError):
    """Raised for a malformed submission; its text says what is wrong and is sent to the user."""


def parse_submission(body: bytes) -> Submission:
    """Decode and validate the body of a submission.

    Raises:
        SubmissionError: The submission is malformed.
    """
    try:
        spec = msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SubmissionError(str(error) or "malformed") from error
    if not JOB_ID_PATTERN.fullmatch(spec.job_id):
        raise SubmissionError("Not a job id - at `$.uid`")
    if spec.machine_types is not None and not spec.machine_types:
        raise SubmissionError("No machine type allowed - at `$.builds`")
    if spec.estimated_run_s <= 0 and spec.kind is not JobKind.SERVICE:
        raise SubmissionError("Expected `float` > 0 - at `$.expect_s`")
    return spec


class _NamedJob(msgspec.Struct, rename={"job_id": "uid"}):
    """The part of a submission that identifies its job; all other fields are ignored."""

    job_id: Text


def decode_job_id(body: bytes) -> str | None:
    """Return the job id in the body of a malformed submission; None if it holds no valid one.

    The submission may repeat one that was accepted before, so the job may exist.
    """
    try:
        job_id = msgspec.json.decode(body, type=_NamedJob).job_id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return job_id if JOB_ID_PATTERN.fullmatch(job_id) else None


def task_id(job_id: str, index: int) -> str:
    """Return the id of a task in messages: the job's id and the task's index in the job."""
    return f"{job_id}/{index}"


class TaskId(NamedTuple):
    """The parts of a task's id: the job's id and the task's index in the job."""

    job_id: str
    task_index: int


def parse_task_id(text: str) -> TaskId | None:
    """Split a task's id into job id and index; return None if the text is not a task's id."""
    job_id, slash, index = text.rpartition("/")
    if not slash or not index.isdigit() or not JOB_ID_PATTERN.fullmatch(job_id):
        return None
    return TaskId(job_id, int(index))
