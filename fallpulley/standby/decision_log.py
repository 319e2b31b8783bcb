"""The replication log of one owned shard: the owner's latest decisions as numbered entries."""

from __future__ import annotations

from collections import deque

from fallpulley.shards.decisions import DecisionSink
from fallpulley.standby.entries import (
    CorrectionChanged,
    Entry,
    ImageCached,
    MachineGranted,
    MachineReleased,
    OccupancyChanged,
    ReachabilityChanged,
    RunTimeObserved,
    TaskEnded,
    TaskStarted,
    TaskStopped,
)
from fallpulley.workers.machine import TaskRun

# Decimal places kept in replicated run times (seconds) and in correction factors.
RUN_TIME_DIGITS = 2
CORRECTION_DIGITS = 4


class DecisionLog(DecisionSink):
    """Appends an entry for each decision and keeps the latest `max_entries` entries."""

    def __init__(self, max_entries: int) -> None:
        self.entries: deque[Entry] = deque(maxlen=max_entries)
        # Number of the latest entry; 0: there is none. The first entry has number 1.
        self.last_number = 0

    @property
    def first_number(self) -> int:
        """The number of the oldest entry that the log still keeps."""
        return self.last_number - len(self.entries) + 1

    def entries_from(self, number: int, max_count: int) -> list[Entry]:
        """Return up to `max_count` entries, starting with entry `number`.

        The log must still keep entry `number`.
        """
        start = number - self.first_number
        end = min(len(self.entries), start + max_count)
        return [self.entries[index] for index in range(start, end)]

    def append(self, entry: Entry) -> None:
        """Append an entry under the next number; the oldest one is dropped from a full log."""
        self.entries.append(entry)
        self.last_number += 1

    def task_started(self, run: TaskRun) -> None:
        """Record that an attempt was commanded to start, or one found running was adopted."""
        self.append(TaskStarted(run.machine_id, run.task_id, run.attempt))

    def task_stopped(self, run: TaskRun) -> None:
        """Record that an attempt was commanded to stop."""
        self.append(TaskStopped(run.machine_id, run.task_id, run.attempt))

    def task_ended(self, run: TaskRun, exit_reason: str) -> None:
        """Record that an attempt has exited or is confirmed gone.

        `exit_reason` is the reason that it reported, or `gone`.
        """
        self.append(TaskEnded(run.machine_id, run.task_id, run.attempt, exit_reason))

    def run_time_observed(self, job_id: str, observed_tasks: int, observed_s: float) -> None:
        """Record how many tasks of a job completed, and the sum of their run times in seconds."""
        self.append(RunTimeObserved(job_id, observed_tasks, round(observed_s, RUN_TIME_DIGITS)))

    def correction_changed(self, job_class: str, factor: float) -> None:
        """Record the new correction factor for run-time estimates of a job class."""
        self.append(CorrectionChanged(job_class, round(factor, CORRECTION_DIGITS)))

    def machine_granted(self, machine_id: str) -> None:
        """Record that a machine was granted to the shard."""
        self.append(MachineGranted(machine_id))

    def machine_occupancy_changed(self, machine_id: str, occupied: bool) -> None:
        """Record the new occupancy flag of a machine: whether it may hold tasks."""
        self.append(OccupancyChanged(machine_id, occupied))

    def machine_released(self, machine_id: str) -> None:
        """Record that a machine has left the shard."""
        self.append(MachineReleased(machine_id))

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        """Record that a machine started to send heartbeats, or that its lease has expired."""
        self.append(ReachabilityChanged(machine_id, reachable))

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        """Record that a machine has an image of `size_gb` GB, or is fetching it."""
        self.append(ImageCached(machine_id, image, size_gb))
