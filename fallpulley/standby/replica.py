"""A follower's replica of a shard: the state that results from the owner's decisions.

A replica is never changed: `apply_entries` returns a new one. After a failover the replica is a
hint about which machines to probe first and which tasks to expect. It confirms nothing: only what
machines report under the new owner's fencing token counts as running.
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
    """A machine as the shard's owner last knew it."""

    reachable: bool = False
    occupied: bool = False
    attempts: dict[str, int] = {}  # task_id -> attempt that is on the machine
    images: dict[str, float] = {}  # image -> size in GB, least recently used first


class JobCopy(msgspec.Struct, array_like=True, frozen=True):
    """The number of completed tasks of a job and the sum of their run times in seconds."""

    observed_tasks: int
    observed_run_s: float


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The replicated state of a shard, or one part of it."""

    machines: dict[str, MachineCopy] = {}
    jobs: dict[str, JobCopy] = {}
    corrections: dict[str, float] = {}  # job class -> factor on its run-time estimates


class Replica(msgspec.Struct, frozen=True):
    """The state of a shard up to one entry of its owner's log."""

    shard_id: str
    token: int  # the owner's fencing token: the revision at which it acquired the shard
    last_number: int  # number of the last entry that is applied
    state: Snapshot


class GapError(Exception):
    """Entries are missing between a replica and the entries received for it."""


def apply_entries(replica: Replica, first_number: int, entries: list[Entry]) -> Replica:
    """Return the replica with entries applied of which the first one has number `first_number`.

    Entries that the replica already includes are skipped.

    Raises:
        GapError: Entries between the replica and entry `first_number` are missing.
    """
    if first_number > replica.last_number + 1:
        raise GapError(f"expected entry {replica.last_number + 1}, received entry {first_number}")
    new_entries = entries[replica.last_number + 1 - first_number :]
    if not new_entries:
        return replica
    old = replica.state
    state = Snapshot(dict(old.machines), dict(old.jobs), dict(old.corrections))
    for entry in new_entries:
        _apply_entry(state, entry)
    return Replica(replica.shard_id, replica.token, replica.last_number + len(new_entries), state)


def _apply_entry(state: Snapshot, entry: Entry) -> None:
    """Apply an entry to `state` in place; nothing else may refer to `state` yet."""
    if isinstance(entry, RunTimeObserved):
        state.jobs[entry.job_id] = JobCopy(entry.observed_tasks, entry.observed_run_s)
    elif isinstance(entry, CorrectionChanged):
        state.corrections[entry.job_class] = entry.correction
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
    # A grant changes nothing here. A stopped attempt stays on its machine until it has ended.
    return machine


def join_parts(parts: list[Snapshot]) -> Snapshot:
    """Return a shard's state from all parts of its snapshot."""
    state = Snapshot({}, {}, {})
    for part in parts:
        state.machines.update(part.machines)
        state.jobs.update(part.jobs)
        state.corrections.update(part.corrections)
    return state
