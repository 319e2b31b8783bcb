"""What a new holder does with a replica: asks machines in a better order, and estimates as its
predecessor did. Nothing is placed or counted as proved by it."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.shards.shard import Shard
from fallpulley.standby.replica import MachineCopy, Replica
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)


class Expected(msgspec.Struct):
    """What a replica lets one expect to find in a block that was taken over."""

    attempts: dict[str, int]  # task -> attempt
    compared: bool = False  # compared with what the machines reported


def seed(shard: Shard, replica: Replica) -> Expected:
    """Bring a replica's hints into a block that was just taken over."""
    state = replica.state
    shard.corrections.restore(state.factors)
    for name, copy in state.jobs.items():
        job = shard.jobs.get(name)
        if job is not None and copy.observed_tasks >= 0 and copy.observed_run_s >= 0.0:
            job.run_times.tasks, job.run_times.total_s = copy.observed_tasks, copy.observed_run_s
    expected = Expected({})
    for machine_id, machine in state.machines.items():
        ours = shard.machines.get(machine_id)
        if ours is None:
            continue  # it has left the block since, by the record
        ours.images.cached.update(machine.images)
        expected.attempts.update(machine.attempts)
    shard.machines = _in_asking_order(shard, state.machines)
    log.info(
        "takeover with replica block=%s entry=%d machines=%d tasks=%d",
        shard.shard_id,
        replica.last,
        len(state.machines),
        len(expected.attempts),
    )
    return expected


def _in_asking_order(shard: Shard, copies: dict[str, MachineCopy]) -> dict[str, Machine]:
    """Machines that reported and hold tasks are asked first, silent ones last: each of those takes
    one of the few places for requests under way until it times out."""

    def rank(machine_id: str) -> tuple[bool, bool]:
        copy = copies.get(machine_id)
        return (copy is None or not copy.reachable, copy is None or not copy.attempts)

    return {
        machine_id: shard.machines[machine_id] for machine_id in sorted(shard.machines, key=rank)
    }


def compare(shard: Shard, expected: Expected) -> None:
    """Once every machine has reported: how far the replica was from what they run."""
    expected.compared = True
    found = {run.task_id: run.attempt for run in shard.runs() if run.attempt < shard.first_attempt}
    alike = sum(expected.attempts.get(task_id) == attempt for task_id, attempt in found.items())
    log.info(
        "replica compared block=%s expected=%d found=%d alike=%d",
        shard.shard_id,
        len(expected.attempts),
        len(found),
        alike,
    )
