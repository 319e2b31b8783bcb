"""The replication log of one owned shard: the owner's newest decisions as numbered entries."""

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

# Digits kept of what is estimated from: seconds, and factors.
RUN_TIME_DIGITS = 2
CORRECTION_DIGITS = 4


class DecisionLog(DecisionSink):
    """Appends an entry for each decision and keeps the newest `max_entries`."""

    def __init__(self, max_entries: int) -> None:
        self.entries: deque[Entry] = deque(maxlen=max_entries)
        self.last = 0  # number of the newest entry; the first one is 1

    @property
    def first(self) -> int:
        """Number of the oldest entry still kept."""
        return self.last - len(self.entries) + 1

    def entries_from(self, number: int, max_count: int) -> list[Entry]:
        """Up to `max_count` entries, beginning with the one of this number, which must be kept."""
        begin = number - self.first
        end = min(len(self.entries), begin + max_count)
        return [self.entries[index] for index in range(begin, end)]

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        self.entries.append(entry)
        self.last += 1

    def task_started(self, run: TaskRun) -> None:
        """An attempt was commanded to start, or adopted."""
        self.append(TaskStarted(run.machine_id, run.task_id, run.attempt))

    def task_stopped(self, run: TaskRun) -> None:
        """An attempt was commanded to stop."""
        self.append(TaskStopped(run.machine_id, run.task_id, run.attempt))

    def task_gone(self, run: TaskRun, cause: str) -> None:
        """An attempt has ended; `cause` is its exit reason, or that it is gone."""
        self.append(TaskEnded(run.machine_id, run.task_id, run.attempt, cause))

    def run_time_learned(self, job_id: str, observed: int, observed_s: float) -> None:
        """A job's completed tasks and the sum of their run times in seconds."""
        self.append(RunTimeObserved(job_id, observed, round(observed_s, RUN_TIME_DIGITS)))

    def class_correction_learned(self, job_class: str, factor: float) -> None:
        """The factor on the estimates of a job class has changed."""
        self.append(CorrectionChanged(job_class, round(factor, CORRECTION_DIGITS)))

    def machine_granted(self, machine_id: str) -> None:
        """The shard has a new machine."""
        self.append(MachineGranted(machine_id))

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None:
        """Whether the machine may hold tasks."""
        self.append(OccupancyChanged(machine_id, used))

    def machine_released(self, machine_id: str) -> None:
        """The machine has left the shard."""
        self.append(MachineReleased(machine_id))

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        """The machine's heartbeats began, or its lease has expired."""
        self.append(ReachabilityChanged(machine_id, reachable))

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        """The machine has an image of `size_gb`."""
        self.append(ImageCached(machine_id, image, size_gb))
