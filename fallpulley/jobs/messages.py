"""What users send and get, and the durable records of jobs. Wire names end here."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]

SWEEP, ENSEMBLE, SERVICE = "sweep", "ensemble", "service"

JOB_ID = re.compile(r"job-[0-9]{1,40}")
JobId = Annotated[str, Meta(pattern=r"^job-[0-9]{1,40}\Z")]

PENDING, RUNNING, DONE, WITHDRAWN = "pending", "running", "done", "withdrawn"
OPEN = "open"
FINAL = (DONE, WITHDRAWN)

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """`POST /work`. Fields that may be null may be left out."""

    uid: Text
    jobclass: Text
    crew: Text
    shape: Literal["sweep", "ensemble", "service"]
    rank: Literal["production", "high", "standard", "best_effort"]
    pieces: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    cards: Amount
    mem_gb: Amount
    kit: Text
    size_gb: Amount
    one_zone: bool
    apart: bool
    loaners: bool
    expect_s: Amount
    bookmark_s: Amount
    stow_s: Amount
    builds: Annotated[list[Text], Meta(max_length=64)] | None = None
    hall: Text | None = None
    due_s: Amount | None = None
    # Jobs that have to be done before any task of this one starts.
    awaits: list[JobId] | None = None


class JobRecord(msgspec.Struct, omit_defaults=True):
    """`live/job/<id>`: written at acceptance, once more when the job ends, never dropped.

    The specification goes when the job is over: nothing needs it any more.
    """

    block: str
    at_ms: int
    pieces: int
    stage: str = OPEN
    spec: Submission | None = None
    # When it ended: what awaits it counts its times from then. 0: the record's writer did not say.
    end_ms: int = 0


class Progress(msgspec.Struct):
    """`prog/<id>/<chunk>`: a bitmap of completed tasks, in base64."""

    bits: str


class Stage(msgspec.Struct, omit_defaults=True):
    """The answer about a job."""

    uid: str
    stage: str
    done: int | None = None
    running: int | None = None


def parse_submission(body: bytes) -> Submission | str:
    """The submission, or what is malformed about it."""
    try:
        found = msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return str(error) or "malformed"
    if not JOB_ID.fullmatch(found.uid):
        return "Not a job id - at `$.uid`"
    if found.builds is not None and not found.builds:
        return "No machine type allowed - at `$.builds`"
    if found.expect_s <= 0 and found.shape != SERVICE:
        return "Expected `float` > 0 - at `$.expect_s`"
    return found


class _Named(msgspec.Struct):
    uid: Text


def named_job(body: bytes) -> str | None:
    """The job that a malformed submission names: it may be a repeat of one that was accepted."""
    try:
        uid = msgspec.json.decode(body, type=_Named).uid
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return uid if JOB_ID.fullmatch(uid) else None


def piece_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_piece(piece: str) -> tuple[str, int] | None:
    job, slash, index = piece.rpartition("/")
    if not slash or not index.isdigit() or not JOB_ID.fullmatch(job):
        return None
    return job, int(index)
