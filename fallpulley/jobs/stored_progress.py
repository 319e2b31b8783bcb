"""The keys of progress values, and the responses in which the state service returns them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.jobs.messages import Progress

PROGRESS_PREFIX = "prog/"


class ProgressItem(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A progress value with its key and revision."""

    key: str
    value: Progress
    mod_revision: int


class ProgressPage(msgspec.Struct, rename={"items": "pairs"}):
    """One page of the list of all progress values, in the order of their keys."""

    items: list[ProgressItem]
    has_next: bool = False


class ChunkKey(NamedTuple):
    """The parts of the key of a progress value."""

    job_id: str
    chunk_name: str


def progress_key(job_id: str, chunk_name: str) -> str:
    """Return the key of the progress value that holds a chunk of a job's bitmap."""
    return f"{PROGRESS_PREFIX}{job_id}/{chunk_name}"


def parse_progress_key(key: str) -> ChunkKey:
    """Split the key of a progress value into job id and chunk name.

    The job id is empty if the key holds no "/" after the prefix.
    """
    job_id, _, chunk_name = key[len(PROGRESS_PREFIX) :].rpartition("/")
    return ChunkKey(job_id, chunk_name)
