"""Which tasks of a job are completed: a bitmap, its chunks as stored, and what of it is durable."""

from __future__ import annotations

import base64
import binascii
from typing import NamedTuple

# Of a value's room, the share a chunk of completion bits may take after base64.
CHUNK_SHARE = 0.6
# A chunk of the current format holds at least so many tasks.
MIN_CHUNK_TASKS = 8


class ChunkName(NamedTuple):
    """Which chunk of a job's bitmap a progress value holds, and of how many tasks."""

    number: int
    tasks: int


def chunk_tasks(value_kb: float) -> int:
    """How many tasks' completion bits one progress value of `value_kb` holds."""
    return max(MIN_CHUNK_TASKS, int(value_kb * 1024 * CHUNK_SHARE * 6) // 8 * 8)


def chunk_name(number: int, tasks: int, current_format: bool) -> str:
    """The last part of a progress value's key.

    In the newer format with the chunk's size: a later limit of the state service would change it.
    """
    return f"{number}@{tasks}" if current_format else str(number)


def parse_chunk_name(name: str, first_format_tasks: int) -> ChunkName:
    """Number and size of the chunk that a progress value's key names."""
    number, at_sign, tasks = name.partition("@")
    return ChunkName(int(number), int(tasks) if at_sign else first_format_tasks)


def is_chunk_name(name: str) -> bool:
    """Whether the last part of a key names a chunk, in either format."""
    number, at_sign, tasks = name.partition("@")
    return number.isdigit() and (not at_sign or (tasks.isdigit() and int(tasks) >= MIN_CHUNK_TASKS))


class CompletionBitmap:
    """A bit for each task of a job, least significant first, and how many are set."""

    __slots__ = ("bits", "count")

    def __init__(self, task_count: int) -> None:
        self.bits = bytearray((task_count + 7) // 8)
        self.count = 0

    def contains(self, index: int) -> bool:
        """Whether the task's bit is set."""
        return bool(self.bits[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> None:
        """Set the bit of a task whose bit is not set yet."""
        self.bits[index >> 3] |= 1 << (index & 7)
        self.count += 1

    def chunk(self, number: int, tasks: int) -> bytes:
        """The bytes of a chunk of `tasks` tasks; fewer at the end."""
        size = tasks // 8
        return bytes(self.bits[number * size : (number + 1) * size])

    def replace_chunk(self, number: int, tasks: int, content: bytes) -> None:
        """Put a chunk's bytes in place of those that are here."""
        start = number * (tasks // 8)
        self.bits[start : start + len(content)] = content
        self._recount()

    def merge_chunk(self, number: int, tasks: int, content: bytes, task_count: int) -> None:
        """Set the bits that are set in `content`; what lies beyond the last task is ignored."""
        start = number * (tasks // 8)
        for offset, byte in enumerate(content[: max(0, len(self.bits) - start)]):
            self.bits[start + offset] |= byte
        spare_bits = len(self.bits) * 8 - task_count
        if spare_bits:
            self.bits[-1] &= 0xFF >> spare_bits
        self._recount()

    def _recount(self) -> None:
        self.count = sum(byte.bit_count() for byte in self.bits)


class JobProgress:
    """Completed tasks of a job, and which of them the state service's progress values hold."""

    def __init__(self, task_count: int) -> None:
        self.task_count = task_count
        self.completed = CompletionBitmap(task_count)
        self.durable = CompletionBitmap(task_count)
        self.unsaved_since: float | None = None  # since when a completion waits for its write
        self.write_pending = False  # a write or a read of a progress value is under way
        self.revisions: dict[str, int] = {}  # chunk name -> its value's revision

    def record_completion(self, index: int, now: float) -> bool:
        """Count a task as completed; False if it already is, or the job has no such task."""
        if not 0 <= index < self.task_count or self.completed.contains(index):
            return False
        self.completed.add(index)
        if self.unsaved_since is None:
            self.unsaved_since = now
        return True

    def unsaved_chunks(self, tasks: int) -> list[int]:
        """Numbers of the chunks, of `tasks` tasks each, with completions that are not durable."""
        size = tasks // 8
        completed, durable = self.completed.bits, self.durable.bits
        return [
            start // size
            for start in range(0, len(completed), size)
            if completed[start : start + size] != durable[start : start + size]
        ]

    def merge_stored_chunk(
        self, name: str, first_format_tasks: int, encoded: str, mod_revision: int
    ) -> None:
        """Merge a progress value found in the state service; one that is not base64 is ignored.

        Its name says which chunk it is and of how many tasks; the older format's went by the
        limits of its time.
        """
        number, tasks = parse_chunk_name(name, first_format_tasks)
        try:
            content = base64.b64decode(encoded, validate=True)
        except (binascii.Error, ValueError):
            return
        self.completed.merge_chunk(number, tasks, content, self.task_count)
        self.durable.merge_chunk(number, tasks, content, self.task_count)
        self.revisions[name] = mod_revision
