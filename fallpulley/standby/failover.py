"""How the new owner of a shard uses its replica after a failover.

The replica decides the order in which machines are probed, and restores the previous owner's
run-time estimates. It is only a hint: no task is placed because of it, and no machine is regarded
as reconciled.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from fallpulley.shards.shard import Shard
from fallpulley.standby.replica import MachineCopy, Replica, Snapshot
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)


class ExpectedTasks(msgspec.Struct):
    """The tasks that an acquired shard should be running according to its replica."""

    attempts: dict[str, int]  # task_id -> attempt
    compared: bool = False  # whether they were compared with the tasks that machines reported


class ProbePriority(NamedTuple):
    """Sort key of a machine: the new owner probes machines in ascending order."""

    unreachable: bool
    idle: bool


def apply_replica(shard: Shard, replica: Replica) -> ExpectedTasks:
    """Apply the hints in a replica to a shard that was just acquired.

    Returns the tasks that the shard should be running according to the replica.
    """
    state = replica.state
    shard.corrections.restore(state.corrections)
    _restore_run_times(shard, state)
    expected = ExpectedTasks({})
    for machine_id, copy in state.machines.items():
        machine = shard.machines.get(machine_id)
        if machine is None:
            continue  # the record shows that the machine has left the shard since
        machine.images.cached.update(copy.images)
        expected.attempts.update(copy.attempts)
    shard.machines = _by_probe_priority(shard, state.machines)
    log.info(
        "failover with replica shard=%s entry=%d machines=%d tasks=%d",
        shard.shard_id,
        replica.last_number,
        len(state.machines),
        len(expected.attempts),
    )
    return expected


def _restore_run_times(shard: Shard, state: Snapshot) -> None:
    for job_id, copy in state.jobs.items():
        job = shard.jobs.get(job_id)
        if job is not None and copy.observed_tasks >= 0 and copy.observed_run_s >= 0.0:
            job.run_times.observed_tasks, job.run_times.observed_run_s = (
                copy.observed_tasks,
                copy.observed_run_s,
            )


def _by_probe_priority(shard: Shard, copies: dict[str, MachineCopy]) -> dict[str, Machine]:
    """Return the shard's machines in the order in which they are to be probed.

    Reachable machines that hold tasks come first and unreachable ones last: a probe of an
    unreachable machine occupies one of the few requests allowed in flight until it times out.
    """

    def priority(machine_id: str) -> ProbePriority:
        copy = copies.get(machine_id)
        return ProbePriority(copy is None or not copy.reachable, copy is None or not copy.attempts)

    machine_ids = sorted(shard.machines, key=priority)
    return {machine_id: shard.machines[machine_id] for machine_id in machine_ids}


def log_comparison(shard: Shard, expected: ExpectedTasks) -> None:
    """Log how well the replica matched the tasks that the machines reported.

    To be called once every machine of the shard is reconciled.
    """
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
