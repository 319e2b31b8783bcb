"""A follower's copy of what a block's holder has decided: a pure state machine.

It is a hint about what to ask and what to expect after a takeover. It proves nothing: what runs
is what machines report under the new token.
"""

from __future__ import annotations

import msgspec

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


class MachineCopy(msgspec.Struct, array_like=True, frozen=True):
    """A machine as its holder last knew it."""

    reachable: bool = False
    occupied: bool = False
    attempts: dict[str, int] = {}  # task -> attempt that is on it
    images: dict[str, float] = {}  # image -> GB, least recently used first


class JobCopy(msgspec.Struct, array_like=True, frozen=True):
    """What completed tasks of a job took."""

    observed_tasks: int
    observed_run_s: float


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A part of a block's state, or all of it."""

    machines: dict[str, MachineCopy] = {}
    jobs: dict[str, JobCopy] = {}
    factors: dict[str, float] = {}


class Replica(msgspec.Struct, frozen=True):
    """The state of a block as of its holder's entry `last`, under the token of its tenure."""

    shard_id: str
    token: int
    last: int
    state: Snapshot


class GapError(Exception):
    """Entries are missing between the replica and what came."""


def apply(replica: Replica, first: int, entries: list[Entry]) -> Replica:
    """The replica after the entries from number `first` on. Those that it has are passed over;
    raises `GapError` when some before them are missing."""
    if first > replica.last + 1:
        raise GapError(f"entry {replica.last + 1} is missing, {first} came")
    fresh = entries[replica.last + 1 - first :]
    if not fresh:
        return replica
    state = replica.state
    after = Snapshot(dict(state.machines), dict(state.jobs), dict(state.factors))
    for entry in fresh:
        _apply_one(after, entry)
    return Replica(replica.shard_id, replica.token, replica.last + len(fresh), after)


def _apply_one(state: Snapshot, entry: Entry) -> None:
    """Change a state that nobody else has yet."""
    if isinstance(entry, JobLearned):
        state.jobs[entry.job_id] = JobCopy(entry.observed_tasks, entry.observed_run_s)
    elif isinstance(entry, ClassLearned):
        state.factors[entry.job_class] = entry.correction
    elif isinstance(entry, Released):
        state.machines.pop(entry.machine_id, None)
    else:
        machine = state.machines.get(entry.machine_id, MachineCopy())
        state.machines[entry.machine_id] = _machine_after(machine, entry)


def _machine_after(
    machine: MachineCopy,
    entry: Started | Stopped | Left | Granted | Marked | Reachable | Cached,
) -> MachineCopy:
    replace = msgspec.structs.replace
    if isinstance(entry, Started):
        return replace(machine, attempts=machine.attempts | {entry.task_id: entry.attempt})
    if isinstance(entry, Left):
        rest = {
            task_id: attempt
            for task_id, attempt in machine.attempts.items()
            if (task_id, attempt) != (entry.task_id, entry.attempt)
        }
        return replace(machine, attempts=rest)
    if isinstance(entry, Marked):
        return replace(machine, occupied=entry.occupied)
    if isinstance(entry, Reachable):
        images = machine.images if entry.reachable else {}
        return replace(machine, reachable=entry.reachable, images=images)
    if isinstance(entry, Cached):
        older = {name: size for name, size in machine.images.items() if name != entry.image}
        return replace(machine, images=older | {entry.image: entry.image_gb})
    return machine  # granted, or stopped: it is there until it has left


def join(parts: list[Snapshot]) -> Snapshot:
    """A state from all its parts."""
    joined = Snapshot({}, {}, {})
    for part in parts:
        joined.machines.update(part.machines)
        joined.jobs.update(part.jobs)
        joined.factors.update(part.factors)
    return joined
