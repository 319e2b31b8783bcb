"""The holder's side: the log of its decisions, and what each follower gets of it.

A follower is sent one message at a time and the next one when it has acknowledged: a slow one
costs the holder nothing, and falls back to a snapshot once the log has dropped what it needs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from fallpulley.shards.shard import Shard
from fallpulley.standby.entries import (
    Cached,
    ClassLearned,
    Entry,
    Granted,
    JobLearned,
    Left,
    Marked,
    Reachable,
    Released,
    Started,
    Stopped,
)
from fallpulley.standby.messages import (
    FORMAT,
    Acknowledgement,
    LogBatch,
    SnapshotPart,
    checksum_of,
    pack,
)
from fallpulley.standby.replica import JobCopy, MachineCopy, Snapshot
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.workers.machine import Machine, TaskRun

# Entries in a message, and machines or jobs in a part of a snapshot: packed, some 10 KiB.
BATCH_ENTRIES = 500
PART_ITEMS = 150
# A message that is not acknowledged is sent again after so many batch intervals.
RESEND_BATCHES = 4.0
# With nothing new to tell, a message goes so much more rarely: it shows that there is nothing.
IDLE_BATCHES = 4.0
# A follower that never answered, an older version perhaps, is asked so much more rarely.
UNRESPONSIVE_BATCHES = 20.0


class Limits(msgspec.Struct, frozen=True):
    """Bounds of a stream, derived from the settings."""

    batch_s: float
    log_entries: int
    bytes_per_s: float


class Position(msgspec.Struct):
    """Where a follower stands, as far as the holder knows."""

    last: int = -1  # the last entry acknowledged; -1: it has no replica
    answered: bool = False
    sent_at: float = float("-inf")
    waiting: bool = False  # a message is under way
    parts: list[Snapshot] = []  # of a snapshot that is being sent
    parts_last: int = 0  # the entry that the snapshot stands for
    next_part: int = 0


class DecisionLog:
    """Takes a holder's decisions as entries, the newest `most` of them kept."""

    def __init__(self, most: int) -> None:
        self.entries: deque[Entry] = deque(maxlen=most)
        self.last = 0  # number of the newest entry; the first one is 1

    @property
    def first(self) -> int:
        """Number of the oldest entry still kept."""
        return self.last - len(self.entries) + 1

    def since(self, number: int, most: int) -> list[Entry]:
        """Up to `most` entries from `number` on."""
        begin = number - self.first
        return [self.entries[at] for at in range(begin, min(len(self.entries), begin + most))]

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        self.last += 1

    def task_started(self, run: TaskRun) -> None:
        self._append(Started(run.machine_id, run.task_id, run.attempt))

    def task_stopped(self, run: TaskRun) -> None:
        self._append(Stopped(run.machine_id, run.task_id, run.attempt))

    def task_gone(self, run: TaskRun, cause: str) -> None:
        self._append(Left(run.machine_id, run.task_id, run.attempt, cause))

    def run_time_learned(self, job: str, observed: int, observed_s: float) -> None:
        self._append(JobLearned(job, observed, round(observed_s, 2)))

    def class_correction_learned(self, job_class: str, factor: float) -> None:
        self._append(ClassLearned(job_class, round(factor, 4)))

    def machine_granted(self, machine_id: str) -> None:
        self._append(Granted(machine_id))

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None:
        self._append(Marked(machine_id, used))

    def machine_released(self, machine_id: str) -> None:
        self._append(Released(machine_id))

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        self._append(Reachable(machine_id, reachable))

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        self._append(Cached(machine_id, image, size_gb))


class ShardStream:
    """Brings the log of one held block to its followers."""

    def __init__(
        self,
        shard: Shard,
        controller_id: str,
        incarnation: str,
        followers: Iterable[str],
        limits: Limits,
    ) -> None:
        self.shard = shard
        self.controller_id = controller_id
        self.incarnation = incarnation
        self.limits = limits
        self.log = DecisionLog(limits.log_entries)
        self.positions = {follower: Position() for follower in followers}
        self.snapshot: Callable[[Shard], list[Snapshot]] = snapshot_parts
        self.sent_bytes = 0  # of payloads, to all followers
        self._bucket = TokenBucket(limits.bytes_per_s)

    @property
    def token(self) -> int:
        """The stamp at which the block was taken: the same for the whole tenure."""
        return self.shard.acquired_revision

    def due(self, now: float) -> list[tuple[str, LogBatch | SnapshotPart]]:
        """What goes out now, by follower, within the bound on bytes a second."""
        self._bucket.refill(now)
        found = []
        for follower, position in self.positions.items():
            if self._bucket.tokens <= 0:
                break
            if now < position.sent_at + self._pause_s(position):
                continue
            message = self._next(position)
            self._bucket.tokens -= len(message.payload)
            self.sent_bytes += len(message.payload)
            position.sent_at = now
            position.waiting = True
            found.append((follower, message))
        return found

    def follower_began(self, follower: str) -> None:
        """A new process of a follower is there: it is asked at once where it stands."""
        if follower in self.positions:
            self.positions[follower] = Position()

    def lags(self) -> dict[str, int]:
        """Entries that each follower has not acknowledged; all, where it has no replica."""
        return {
            controller_id: self.log.last - max(0, p.last)
            for controller_id, p in self.positions.items()
        }

    def _pause_s(self, position: Position) -> float:
        if not position.waiting:
            if self._behind(position):
                return 0.0
            idle = not position.parts and position.last == self.log.last
            return (IDLE_BATCHES if idle else 1.0) * self.limits.batch_s
        batches = RESEND_BATCHES if position.answered else UNRESPONSIVE_BATCHES
        return batches * self.limits.batch_s

    def _behind(self, position: Position) -> bool:
        """More waits than a message holds: the next one follows as soon as the last has come,
        within the bound on bytes. At one message an interval, a fleet of thousands decided more
        than the stream carried, and its snapshots were out of date before their last part."""
        if position.parts:
            return position.next_part > 0
        return 0 <= position.last < self.log.last - BATCH_ENTRIES

    def _next(self, position: Position) -> LogBatch | SnapshotPart:
        if position.parts:
            return self._part(position)
        lost = position.last + 1 < self.log.first
        entries = [] if position.last < 0 or lost else self._entries_after(position.last)
        payload = pack(entries)
        return LogBatch(
            FORMAT,
            self.controller_id,
            self.incarnation,
            self.shard.shard_id,
            self.token,
            max(position.last, 0) + 1,
            self.log.last,
            {name: other.last for name, other in self.positions.items()},
            checksum_of(payload),
            payload,
        )

    def _entries_after(self, last: int) -> list[Entry]:
        return self.log.since(last + 1, BATCH_ENTRIES)

    def _part(self, position: Position) -> SnapshotPart:
        payload = pack(position.parts[position.next_part])
        return SnapshotPart(
            FORMAT,
            self.controller_id,
            self.incarnation,
            self.shard.shard_id,
            self.token,
            position.parts_last,
            position.next_part,
            len(position.parts),
            checksum_of(payload),
            payload,
        )

    def acknowledged(self, answer: Acknowledgement) -> None:
        """A follower says where it stands under our token."""
        position = self.positions.get(answer.controller_id)
        if position is None or answer.token != self.token:
            return
        if answer.snapshot_part < 0:
            self._log_acknowledged(position, answer.last)
        else:
            self._part_acknowledged(position, answer.snapshot_part)

    def _log_acknowledged(self, position: Position, last: int) -> None:
        if position.parts and last < position.parts_last and not position.next_part:
            return  # from before the snapshot that is under way
        position.answered, position.waiting = True, False
        # Also where parts of a snapshot have come: the follower has given them up, for they were of
        # another one. The same part was once sent again and again, and never wanted.
        position.parts = []
        position.last = max(position.last, last)
        if position.last + 1 < self.log.first:
            self._begin_snapshot(position)

    def _part_acknowledged(self, position: Position, next_part: int) -> None:
        """The follower needs part `next_part` of a snapshot; the first one: any snapshot."""
        position.answered, position.waiting = True, False
        position.last = -1
        restarted = next_part == 0 and position.next_part > 0
        if not position.parts or restarted or next_part >= len(position.parts):
            self._begin_snapshot(position)
        else:
            position.next_part = next_part

    def _begin_snapshot(self, position: Position) -> None:
        position.parts = self.snapshot(self.shard)
        position.parts_last = self.log.last
        position.next_part = 0


def snapshot_parts(shard: Shard) -> list[Snapshot]:
    """The state of a held block, in parts that fit a message."""
    machines = [(machine_id, _copy(machine)) for machine_id, machine in shard.machines.items()]
    jobs = [
        (name, JobCopy(job.observed_tasks, round(job.observed_run_s, 2)))
        for name, job in shard.jobs.items()
        if job.observed_tasks
    ]
    parts = [Snapshot({}, {}, dict(shard.corrections.factors()))]
    for at in range(0, len(machines), PART_ITEMS):
        parts.append(Snapshot(dict(machines[at : at + PART_ITEMS])))
    for at in range(0, len(jobs), PART_ITEMS):
        parts.append(Snapshot({}, dict(jobs[at : at + PART_ITEMS])))
    return parts


def _copy(machine: Machine) -> MachineCopy:
    attempts = {run.task_id: run.attempt for run in machine.runs.values()}
    return MachineCopy(
        machine.heartbeat.online, machine.entry.occupied, attempts, dict(machine.images.cached)
    )
