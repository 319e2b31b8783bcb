"""An unfinished job as its block's holder knows it."""

from __future__ import annotations

import base64
import binascii
from collections import deque

from fallpulley.jobs.messages import ENSEMBLE, RANKS, JobRecord, Submission
from fallpulley.jobs.pipelines import Node
from fallpulley.workers.machine import Run

# Of a value's room, the share a chunk of completion bits may take after base64.
CHUNK_SHARE = 0.6
# A job that fails on several machines waits longer each time, up to so many lease lengths.
PAUSE_MOST = 6.0
# A pipeline's deadline presses once so many times the rest of its path is all the time left.
PRESSED_PATHS = 1.25


def chunk_tasks(value_kb: float) -> int:
    """How many tasks' completion bits one progress value holds."""
    return max(8, int(value_kb * 1024 * CHUNK_SHARE * 6) // 8 * 8)


def chunk_name(number: int, tasks: int, newer: bool) -> str:
    """The last part of a progress value's key; in the newer format with its size, which a limit
    to come would change."""
    return f"{number}@{tasks}" if newer else str(number)


def chunk_of(name: str, older_tasks: int) -> tuple[int, int]:
    """Number and size of the chunk that a progress value's key names."""
    number, at, tasks = name.partition("@")
    return int(number), int(tasks) if at else older_tasks


def is_chunk(name: str) -> bool:
    number, at, tasks = name.partition("@")
    return number.isdigit() and (not at or (tasks.isdigit() and int(tasks) >= 8))


class OpenJob:
    def __init__(
        self, job: str, record: JobRecord, spec: Submission, stamp: int, node: Node | None = None
    ) -> None:
        self.job = job
        self.record = record
        self.spec = spec
        self.stamp = stamp
        self.need = (spec.cpus, spec.cards, spec.mem_gb)
        self.bits = bytearray((spec.pieces + 7) // 8)
        self.done = 0
        self.durable = bytearray(len(self.bits))
        self.durable_done = 0
        self.runs: dict[int, Run] = {}
        self.queue: deque[int] = deque(range(spec.pieces))
        self.queued = bytearray(b"\1") * spec.pieces  # which indices stand in the queue
        self.withdrawn = False
        # An ensemble runs together or not at all: once a task has to start again, the others
        # are stopped, and all start anew when none is left.
        self.broken = False
        self.attempt = 0  # the latest attempt's number
        self.ending = False  # the final record is being written
        self.observed = 0
        self.observed_s = 0.0
        self.failed_on: set[str] = set()
        self.fails = 0
        self.retry_at = float("-inf")
        self.saved_at = float("-inf")  # when progress was last written
        self.saving = False
        self.unsaved_since: float | None = None
        self.ledger: dict[str, int] = {}  # progress value -> stamp
        self.node = node  # its place in a pipeline, if it has one
        self.pressed = False  # its pipeline's deadline leaves little time
        self.remaining_s = float("inf")
        self.remaining_key: tuple[object, ...] = ()
        # Processors that a task takes of the machine that suits it best, and the types they were
        # reckoned with.
        self.processors = spec.cpus
        self.sized_by: object = None

    @property
    def awaiting(self) -> bool:
        """A job that it needs is not known to be done: nothing of it may start."""
        return self.node is not None and bool(self.node.missing)

    @property
    def since_ms(self) -> int:
        """Its times count from here: its submission, or the end of the last that it awaited."""
        return self.record.at_ms if self.node is None else self.node.since_ms

    @property
    def rank(self) -> int:
        """The highest priority of its own and of all jobs that need it."""
        return RANKS[self.spec.rank] if self.node is None else self.node.rank

    def press(self, wall: float) -> None:
        """See whether the deadline of a pipeline leaves too little time for the rest of the path.
        For good: one that changed sides from plan to plan would be stopped and started again."""
        if self.node is None or self.pressed:
            return
        left_s = self.node.due_at + self.node.path_s - wall
        self.pressed = left_s < PRESSED_PATHS * (self.remaining_s + self.node.path_s)

    @property
    def path_s(self) -> float:
        """The longest path of estimated fetches and run times after it."""
        return 0.0 if self.node is None else self.node.path_s

    def is_done(self, index: int) -> bool:
        return bool(self.bits[index >> 3] & (1 << (index & 7)))

    def is_durable(self, index: int) -> bool:
        return bool(self.durable[index >> 3] & (1 << (index & 7)))

    def mark_done(self, index: int, now: float) -> bool:
        if not 0 <= index < self.spec.pieces or self.is_done(index):
            return False
        self.bits[index >> 3] |= 1 << (index & 7)
        self.done += 1
        if self.unsaved_since is None:
            self.unsaved_since = now
        return True

    @property
    def finished(self) -> bool:
        return self.done >= self.spec.pieces

    def waiting(self, most: int) -> list[int]:
        """The first tasks that are neither done nor on a machine, each once."""
        queue = self.queue
        while queue and (queue[0] in self.runs or self.is_done(queue[0])):
            self.queued[queue.popleft()] = 0
        found: list[int] = []
        for index in queue:
            if index not in self.runs and not self.is_done(index):
                found.append(index)
                if len(found) >= most:
                    break
        return found

    def waiting_count(self) -> int:
        return max(0, self.spec.pieces - self.done - len(self.runs))

    def put_back(self, index: int) -> None:
        if not self.is_done(index):
            # A started task leaves the queue lazily; twice in it, it would be booked twice.
            if not self.queued[index]:
                self.queue.appendleft(index)
                self.queued[index] = 1
            self.broken = self.spec.shape == ENSEMBLE and bool(self.runs)

    def failed(self, host: str, now: float, lease_s: float) -> None:
        """Another machine next; when it fails everywhere, growing pauses."""
        self.fails += 1
        self.failed_on.add(host)
        if len(self.failed_on) > 1:
            self.retry_at = now + min(PAUSE_MOST * lease_s, 0.25 * lease_s * 2 ** (self.fails - 2))

    # -- progress values -------------------------------------------------------------------

    def dirty_chunks(self, tasks: int) -> list[int]:
        size = tasks // 8
        return [
            at // size
            for at in range(0, len(self.bits), size)
            if self.bits[at : at + size] != self.durable[at : at + size]
        ]

    def chunk(self, number: int, tasks: int) -> bytes:
        size = tasks // 8
        return bytes(self.bits[number * size : (number + 1) * size])

    def saved(self, number: int, tasks: int, content: bytes) -> None:
        size = tasks // 8
        self.durable[number * size : number * size + len(content)] = content
        self.durable_done = sum(byte.bit_count() for byte in self.durable)

    def restore(self, name: str, older_tasks: int, encoded: str, stamp: int) -> None:
        """Merge a progress value found in the state service. Its name says which chunk it is and
        of how many tasks; the older format's went by the limits of its time."""
        number, tasks = chunk_of(name, older_tasks)
        try:
            content = base64.b64decode(encoded, validate=True)
        except (binascii.Error, ValueError):
            return
        at = number * (tasks // 8)
        for offset, byte in enumerate(content[: max(0, len(self.bits) - at)]):
            self.bits[at + offset] |= byte
            self.durable[at + offset] |= byte
        spare = len(self.bits) * 8 - self.spec.pieces
        if spare:
            self.bits[-1] &= 0xFF >> spare
            self.durable[-1] &= 0xFF >> spare
        self.done = sum(byte.bit_count() for byte in self.bits)
        self.durable_done = sum(byte.bit_count() for byte in self.durable)
        self.ledger[name] = stamp
