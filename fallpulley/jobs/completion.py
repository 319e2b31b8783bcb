"""The completed tasks of a job: a bitmap, the chunks in which it is stored, and what is durable.

A chunk is the part of the bitmap that one progress value in the state service holds. In the first
record format (see `fallpulley.record_format`), a chunk's name is its number, and its size follows
from the state service's limit on values. In newer formats, the name also holds the size:
`<number>@<tasks>`.
"""

from __future__ import annotations

import base64
import binascii
from typing import NamedTuple

# The share of a value's permitted size that a chunk may fill once it is encoded in base64.
MAX_CHUNK_VALUE_SHARE = 0.6
# The least number of tasks in a chunk: one byte of the bitmap.
MIN_TASKS_PER_CHUNK = 8


class ChunkName(NamedTuple):
    """The number of a chunk in a job's bitmap, from 0, and how many tasks each chunk covers."""

    number: int
    tasks_per_chunk: int


def chunk_capacity(value_kb: float) -> int:
    """Return how many tasks a chunk covers if values may be `value_kb` KiB long.

    Each base64 character holds the bits of 6 tasks. The result is a multiple of 8, so that a chunk
    is a whole number of bytes.
    """
    return max(MIN_TASKS_PER_CHUNK, int(value_kb * 1024 * MAX_CHUNK_VALUE_SHARE * 6) // 8 * 8)


def chunk_name(number: int, tasks_per_chunk: int, compact: bool) -> str:
    """Return the name of a chunk: the last part of the key of its progress value.

    `compact`: whether to name it as the compact and later formats do, with the chunk's size. The
    size must be stored because it depends on the state service's limits, which may change.
    """
    return f"{number}@{tasks_per_chunk}" if compact else str(number)


def parse_chunk_name(name: str, first_format_tasks_per_chunk: int) -> ChunkName:
    """Return the number and the size of the chunk that a valid chunk name stands for.

    A name in the first format holds no size; the chunk then has `first_format_tasks_per_chunk`
    tasks.
    """
    number, at_sign, tasks_per_chunk = name.partition("@")
    return ChunkName(int(number), int(tasks_per_chunk) if at_sign else first_format_tasks_per_chunk)


def is_chunk_name(name: str) -> bool:
    """Return whether the last part of a key is a chunk name, in any format."""
    number, at_sign, tasks_per_chunk = name.partition("@")
    return number.isdigit() and (
        not at_sign or (tasks_per_chunk.isdigit() and int(tasks_per_chunk) >= MIN_TASKS_PER_CHUNK)
    )


class CompletionBitmap:
    """One bit for each task of a job, and the number of bits that are set.

    The bit of the first task is the least significant bit of the first byte.
    """

    __slots__ = ("bits", "count")

    def __init__(self, task_count: int) -> None:
        self.bits = bytearray((task_count + 7) // 8)
        self.count = 0

    def contains(self, index: int) -> bool:
        """Return whether the task's bit is set."""
        return bool(self.bits[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> None:
        """Set the bit of a task; it must not be set yet."""
        self.bits[index >> 3] |= 1 << (index & 7)
        self.count += 1

    def chunk(self, number: int, tasks_per_chunk: int) -> bytes:
        """Return the bytes of a chunk; the last chunk of a job may be shorter than the others."""
        chunk_bytes = tasks_per_chunk // 8
        return bytes(self.bits[number * chunk_bytes : (number + 1) * chunk_bytes])

    def replace_chunk(self, number: int, tasks_per_chunk: int, content: bytes) -> None:
        """Overwrite the bytes of a chunk with `content`."""
        start = number * (tasks_per_chunk // 8)
        self.bits[start : start + len(content)] = content
        self._recount()

    def merge_chunk(
        self, number: int, tasks_per_chunk: int, content: bytes, task_count: int
    ) -> None:
        """Set the bits that are set in `content`, except those beyond the job's last task."""
        start = number * (tasks_per_chunk // 8)
        for offset, byte in enumerate(content[: max(0, len(self.bits) - start)]):
            self.bits[start + offset] |= byte
        spare_bits = len(self.bits) * 8 - task_count
        if spare_bits:
            self.bits[-1] &= 0xFF >> spare_bits
        self._recount()

    def _recount(self) -> None:
        self.count = sum(byte.bit_count() for byte in self.bits)


class JobProgress:
    """The completed tasks of a job, and which of them are stored in the state service."""

    def __init__(self, task_count: int) -> None:
        self.task_count = task_count
        self.completed = CompletionBitmap(task_count)
        self.durable = CompletionBitmap(task_count)
        # Since when (monotonic clock, seconds) a completion has been waiting to be written; None if
        # none is.
        self.unsaved_since: float | None = None
        self.requests_in_flight = 0  # writes and reads of progress values without a response yet
        self.mod_revisions: dict[str, int] = {}  # chunk name -> revision of its progress value

    def record_completion(self, index: int, now: float) -> bool:
        """Mark a task as completed; return False if it already is or the job has no such task."""
        if not 0 <= index < self.task_count or self.completed.contains(index):
            return False
        self.completed.add(index)
        if self.unsaved_since is None:
            self.unsaved_since = now
        return True

    def unsaved_chunks(self, tasks_per_chunk: int) -> list[int]:
        """Return the numbers of the chunks in which some completion is not durable yet."""
        chunk_bytes = tasks_per_chunk // 8
        completed, durable = self.completed.bits, self.durable.bits
        return [
            start // chunk_bytes
            for start in range(0, len(completed), chunk_bytes)
            if completed[start : start + chunk_bytes] != durable[start : start + chunk_bytes]
        ]

    def merge_stored_chunk(
        self, name: str, first_format_tasks_per_chunk: int, encoded: str, mod_revision: int
    ) -> None:
        """Merge a progress value that was read from the state service.

        Args:
            name: The name of the chunk; `is_chunk_name` must hold for it.
            first_format_tasks_per_chunk: The size of the chunk if its name is in the first format.
            encoded: The bits in base64. The value is ignored if this is not valid base64.
            mod_revision: The revision of the value.
        """
        number, tasks_per_chunk = parse_chunk_name(name, first_format_tasks_per_chunk)
        try:
            content = base64.b64decode(encoded, validate=True)
        except (binascii.Error, ValueError):
            return
        self.completed.merge_chunk(number, tasks_per_chunk, content, self.task_count)
        self.durable.merge_chunk(number, tasks_per_chunk, content, self.task_count)
        self.mod_revisions[name] = mod_revision
