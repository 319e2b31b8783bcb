"""What a new owner does with a replica: it asks machines in a better sequence, and estimates as its
predecessor did. Nothing is placed or counted as confirmed by it."""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from fallpulley.shards.shard import Shard
from fallpulley.standby.replica import MachineCopy, Replica, Snapshot
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)


class ExpectedTasks(msgspec.Struct):
    """The tasks that are expected in an acquired shard, by the replica of it."""

    attempts: dict[str, int]  # task_id -> attempt
    compared: bool = False  # with what the machines reported


class ProbePriority(NamedTuple):
    """How early a machine is asked what it runs; the lowest comes first."""

    unreachable: bool
    idle: bool


def apply_replica(shard: Shard, replica: Replica) -> ExpectedTasks:
    """Bring a replica's hints into a shard that was just acquired."""
    state = replica.state
    shard.corrections.restore(state.factors)
    _restore_run_times(shard, state)
    expected = ExpectedTasks({})
    for machine_id, copy in state.machines.items():
        machine = shard.machines.get(machine_id)
        if machine is None:
            continue  # it has left the shard since, by the record
        machine.images.cached.update(copy.images)
        expected.attempts.update(copy.attempts)
    shard.machines = _by_probe_priority(shard, state.machines)
    log.info(
        "failover with replica shard=%s entry=%d machines=%d tasks=%d",
        shard.shard_id,
        replica.last,
        len(state.machines),
        len(expected.attempts),
    )
    return expected


def _restore_run_times(shard: Shard, state: Snapshot) -> None:
    for job_id, copy in state.jobs.items():
        job = shard.jobs.get(job_id)
        if job is not None and copy.observed_tasks >= 0 and copy.observed_run_s >= 0.0:
            job.run_times.tasks, job.run_times.total_s = copy.observed_tasks, copy.observed_run_s


def _by_probe_priority(shard: Shard, copies: dict[str, MachineCopy]) -> dict[str, Machine]:
    """Reachable machines that hold tasks are asked first, unreachable ones last: each of those uses
    one of the few requests that may be in flight until it times out."""

    def priority(machine_id: str) -> ProbePriority:
        copy = copies.get(machine_id)
        return ProbePriority(copy is None or not copy.reachable, copy is None or not copy.attempts)

    machine_ids = sorted(shard.machines, key=priority)
    return {machine_id: shard.machines[machine_id] for machine_id in machine_ids}


def log_comparison(shard: Shard, expected: ExpectedTasks) -> None:
    """Once every machine is reconciled: how far the replica was from what they run."""
    expected.compared = True
    found = {run.task_id: run.attempt for run in shard.runs() if run.attempt < shard.first_attempt}
    matching = sum(expected.attempts.get(task_id) == attempt for task_id, attempt in found.items())
    log.info(
        "replica compared shard=%s expected=%d found=%d matching=%d",
        shard.shard_id,
        len(expected.attempts),
        len(found),
        matching,
    )
