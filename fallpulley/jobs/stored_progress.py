"""Progress values as the state service holds and returns them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.jobs.messages import Progress

PROGRESS_PREFIX = "prog/"


class ProgressItem(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """One progress value with its key."""

    key: str
    value: Progress
    mod_revision: int


class ProgressPage(msgspec.Struct, rename={"items": "pairs"}):
    """A page of all progress values, in the order of their keys."""

    items: list[ProgressItem]
    has_next: bool = False


class ChunkKey(NamedTuple):
    """What a progress value's key names."""

    job_id: str
    chunk_name: str


def progress_key(job_id: str, chunk_name: str) -> str:
    """The key of a chunk of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}/{chunk_name}"


def parse_progress_key(key: str) -> ChunkKey:
    """Job id and name of the chunk that a key names; empty where it names none."""
    job_id, _, chunk_name = key[len(PROGRESS_PREFIX) :].rpartition("/")
    return ChunkKey(job_id, chunk_name)
