"""An unfinished job as its block's holder knows it."""

from __future__ import annotations

import base64
import binascii
from collections import deque

from fallpulley.jobs.messages import PRIORITY_LEVELS, JobKind, JobRecord, Submission
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.resources import Resources
from fallpulley.workers.machine import TaskRun

# Of a value's room, the share a chunk of completion bits may take after base64.
CHUNK_SHARE = 0.6
# A job that fails on several machines waits longer each time, up to so many lease lengths.
MAX_RETRY_PAUSE_LEASES = 6.0
# A pipeline's deadline presses once so many times the rest of its path is all the time left.
AT_RISK_CRITICAL_PATHS = 1.25


def chunk_tasks(value_kb: float) -> int:
    """How many tasks' completion bits one progress value holds."""
    return max(8, int(value_kb * 1024 * CHUNK_SHARE * 6) // 8 * 8)


def chunk_name(number: int, tasks: int, current_format: bool) -> str:
    """The last part of a progress value's key; in the newer format with its size, which a limit
    to come would change."""
    return f"{number}@{tasks}" if current_format else str(number)


def parse_chunk_name(name: str, first_format_tasks: int) -> tuple[int, int]:
    """Number and size of the chunk that a progress value's key names."""
    number, at, tasks = name.partition("@")
    return int(number), int(tasks) if at else first_format_tasks


def is_chunk_name(name: str) -> bool:
    number, at, tasks = name.partition("@")
    return number.isdigit() and (not at or (tasks.isdigit() and int(tasks) >= 8))


class OpenJob:
    def __init__(
        self,
        job_id: str,
        record: JobRecord,
        spec: Submission,
        mod_revision: int,
        dependency_node: DependencyNode | None = None,
    ) -> None:
        self.job_id = job_id
        self.record = record
        self.spec = spec
        self.mod_revision = mod_revision
        self.resources = Resources(spec.cpus, spec.gpus, spec.memory_gb)
        self.completed_bits = bytearray((spec.task_count + 7) // 8)
        self.completed_count = 0
        self.durable_bits = bytearray(len(self.completed_bits))
        self.durable_count = 0
        self.runs: dict[int, TaskRun] = {}
        self.task_queue: deque[int] = deque(range(spec.task_count))
        self.in_queue = bytearray(b"\1") * spec.task_count  # which indices stand in the queue
        self.cancelled = False
        # An ensemble runs together or not at all: once a task has to start again, the others
        # are stopped, and all start anew when none is left.
        self.gang_restarting = False
        self.gang_attempt = 0  # the latest attempt's number
        self.final_write_pending = False  # the final record is being written
        self.observed_tasks = 0
        self.observed_run_s = 0.0
        self.failed_machines: set[str] = set()
        self.failure_count = 0
        self.retry_at = float("-inf")
        self.progress_saved_at = float("-inf")  # when progress was last written
        self.progress_write_pending = False
        self.unsaved_since: float | None = None
        self.progress_revisions: dict[str, int] = {}  # progress value -> stamp
        self.dependency_node = dependency_node  # its place in a pipeline, if it has one
        self.deadline_at_risk = False  # its pipeline's deadline leaves little time
        self.remaining_s = float("inf")
        self.remaining_inputs: tuple[object, ...] = ()
        # Processors that a task takes of the machine that suits it best, and the types they were
        # reckoned with.
        self.processors_per_task = spec.cpus
        self.processors_for_types: object = None

    @property
    def waits_for_dependencies(self) -> bool:
        """A job that it needs is not known to be done: nothing of it may start."""
        return self.dependency_node is not None and bool(
            self.dependency_node.unfinished_dependencies
        )

    @property
    def ready_since_ms(self) -> int:
        """Its times count from here: its submission, or the end of the last that it awaited."""
        return (
            self.record.submitted_at_ms
            if self.dependency_node is None
            else self.dependency_node.ready_since_ms
        )

    @property
    def priority_level(self) -> int:
        """The highest priority of its own and of all jobs that need it."""
        return (
            PRIORITY_LEVELS[self.spec.priority]
            if self.dependency_node is None
            else self.dependency_node.priority_level
        )

    def update_deadline_risk(self, wall: float) -> None:
        """See whether the deadline of a pipeline leaves too little time for the rest of the path.
        For good: one that changed sides from plan to plan would be stopped and started again."""
        if self.dependency_node is None or self.deadline_at_risk:
            return
        left_s = self.dependency_node.deadline_at + self.dependency_node.critical_path_s - wall
        self.deadline_at_risk = left_s < AT_RISK_CRITICAL_PATHS * (
            self.remaining_s + self.dependency_node.critical_path_s
        )

    @property
    def critical_path_s(self) -> float:
        """The longest path of estimated fetches and run times after it."""
        return 0.0 if self.dependency_node is None else self.dependency_node.critical_path_s

    def is_completed(self, index: int) -> bool:
        return bool(self.completed_bits[index >> 3] & (1 << (index & 7)))

    def is_durable(self, index: int) -> bool:
        return bool(self.durable_bits[index >> 3] & (1 << (index & 7)))

    def mark_completed(self, index: int, now: float) -> bool:
        if not 0 <= index < self.spec.task_count or self.is_completed(index):
            return False
        self.completed_bits[index >> 3] |= 1 << (index & 7)
        self.completed_count += 1
        if self.unsaved_since is None:
            self.unsaved_since = now
        return True

    @property
    def finished(self) -> bool:
        return self.completed_count >= self.spec.task_count

    def next_tasks(self, limit: int) -> list[int]:
        """The first tasks that are neither done nor on a machine, each once."""
        queue = self.task_queue
        while queue and (queue[0] in self.runs or self.is_completed(queue[0])):
            self.in_queue[queue.popleft()] = 0
        found: list[int] = []
        for index in queue:
            if index not in self.runs and not self.is_completed(index):
                found.append(index)
                if len(found) >= limit:
                    break
        return found

    def waiting_count(self) -> int:
        return max(0, self.spec.task_count - self.completed_count - len(self.runs))

    def requeue(self, index: int) -> None:
        if not self.is_completed(index):
            # A started task leaves the queue lazily; twice in it, it would be booked twice.
            if not self.in_queue[index]:
                self.task_queue.appendleft(index)
                self.in_queue[index] = 1
            self.gang_restarting = self.spec.kind == JobKind.GANG and bool(self.runs)

    def record_failure(self, machine_id: str, now: float, lease_s: float) -> None:
        """Another machine next; when it fails everywhere, growing pauses."""
        self.failure_count += 1
        self.failed_machines.add(machine_id)
        if len(self.failed_machines) > 1:
            self.retry_at = now + min(
                MAX_RETRY_PAUSE_LEASES * lease_s, 0.25 * lease_s * 2 ** (self.failure_count - 2)
            )

    # -- progress values -------------------------------------------------------------------

    def unsaved_chunks(self, tasks: int) -> list[int]:
        size = tasks // 8
        return [
            at // size
            for at in range(0, len(self.completed_bits), size)
            if self.completed_bits[at : at + size] != self.durable_bits[at : at + size]
        ]

    def chunk_bytes(self, number: int, tasks: int) -> bytes:
        size = tasks // 8
        return bytes(self.completed_bits[number * size : (number + 1) * size])

    def mark_chunk_durable(self, number: int, tasks: int, content: bytes) -> None:
        size = tasks // 8
        self.durable_bits[number * size : number * size + len(content)] = content
        self.durable_count = sum(byte.bit_count() for byte in self.durable_bits)

    def merge_chunk(
        self, name: str, first_format_tasks: int, encoded: str, mod_revision: int
    ) -> None:
        """Merge a progress value found in the state service. Its name says which chunk it is and
        of how many tasks; the older format's went by the limits of its time."""
        number, tasks = parse_chunk_name(name, first_format_tasks)
        try:
            content = base64.b64decode(encoded, validate=True)
        except (binascii.Error, ValueError):
            return
        at = number * (tasks // 8)
        for offset, byte in enumerate(content[: max(0, len(self.completed_bits) - at)]):
            self.completed_bits[at + offset] |= byte
            self.durable_bits[at + offset] |= byte
        spare = len(self.completed_bits) * 8 - self.spec.task_count
        if spare:
            self.completed_bits[-1] &= 0xFF >> spare
            self.durable_bits[-1] &= 0xFF >> spare
        self.completed_count = sum(byte.bit_count() for byte in self.completed_bits)
        self.durable_count = sum(byte.bit_count() for byte in self.durable_bits)
        self.progress_revisions[name] = mod_revision
