"""A follower's copy of what a shard's owner has decided: a pure state machine.

It is a hint about which machines to ask first and what to expect after a failover. Nothing is
confirmed by it: what runs is what machines report under the new token.
"""

from __future__ import annotations

import msgspec

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


class MachineCopy(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its owner last knew it."""

    reachable: bool = False
    occupied: bool = False
    attempts: dict[str, int] = {}  # task_id -> attempt that is on it
    images: dict[str, float] = {}  # image -> GB, least recently used first


class JobCopy(msgspec.Struct, array_like=True, frozen=True):
    """A job's completed tasks and the sum of their run times in seconds."""

    observed_tasks: int
    observed_run_s: float


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A part of a shard's state, or all of it."""

    machines: dict[str, MachineCopy] = {}
    jobs: dict[str, JobCopy] = {}
    factors: dict[str, float] = {}  # job class -> correction of its estimates


class Replica(msgspec.Struct, frozen=True):
    """The state of a shard as of its owner's entry `last`, under the owner's token."""

    shard_id: str
    token: int
    last: int
    state: Snapshot


class GapError(Exception):
    """Entries are missing between the replica and those that came."""


def apply_entries(replica: Replica, first: int, entries: list[Entry]) -> Replica:
    """The replica after the entries from number `first` on. Those that it has are skipped;
    raises `GapError` when some before them are missing."""
    if first > replica.last + 1:
        raise GapError(f"entry {replica.last + 1} is missing, {first} came")
    new_entries = entries[replica.last + 1 - first :]
    if not new_entries:
        return replica
    old = replica.state
    state = Snapshot(dict(old.machines), dict(old.jobs), dict(old.factors))
    for entry in new_entries:
        _apply_entry(state, entry)
    return Replica(replica.shard_id, replica.token, replica.last + len(new_entries), state)


def _apply_entry(state: Snapshot, entry: Entry) -> None:
    """Change a state that nothing else refers to yet."""
    if isinstance(entry, RunTimeObserved):
        state.jobs[entry.job_id] = JobCopy(entry.observed_tasks, entry.observed_run_s)
    elif isinstance(entry, CorrectionChanged):
        state.factors[entry.job_class] = entry.correction
    elif isinstance(entry, MachineReleased):
        state.machines.pop(entry.machine_id, None)
    else:
        machine = state.machines.get(entry.machine_id, MachineCopy())
        state.machines[entry.machine_id] = _machine_after(machine, entry)


def _machine_after(
    machine: MachineCopy,
    entry: TaskStarted
    | TaskStopped
    | TaskEnded
    | MachineGranted
    | OccupancyChanged
    | ReachabilityChanged
    | ImageCached,
) -> MachineCopy:
    replace = msgspec.structs.replace
    if isinstance(entry, TaskStarted):
        return replace(machine, attempts=machine.attempts | {entry.task_id: entry.attempt})
    if isinstance(entry, TaskEnded):
        remaining = {
            task_id: attempt
            for task_id, attempt in machine.attempts.items()
            if (task_id, attempt) != (entry.task_id, entry.attempt)
        }
        return replace(machine, attempts=remaining)
    if isinstance(entry, OccupancyChanged):
        return replace(machine, occupied=entry.occupied)
    if isinstance(entry, ReachabilityChanged):
        images = machine.images if entry.reachable else {}
        return replace(machine, reachable=entry.reachable, images=images)
    if isinstance(entry, ImageCached):
        older = {name: size for name, size in machine.images.items() if name != entry.image}
        return replace(machine, images=older | {entry.image: entry.image_gb})
    return machine  # granted, or a task is to stop: it is there until it has ended


def join_parts(parts: list[Snapshot]) -> Snapshot:
    """A shard's state from all parts of its snapshot."""
    state = Snapshot({}, {}, {})
    for part in parts:
        state.machines.update(part.machines)
        state.jobs.update(part.jobs)
        state.factors.update(part.factors)
    return state
