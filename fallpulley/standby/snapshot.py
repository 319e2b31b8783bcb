"""Snapshots of an owned shard, in parts that each fit into one message."""

from __future__ import annotations

from fallpulley.shards.shard import Shard
from fallpulley.standby.decision_log import RUN_TIME_DIGITS
from fallpulley.standby.replica import JobCopy, MachineCopy, Snapshot
from fallpulley.workers.machine import Machine

# Most machines or jobs in one part of a snapshot: about 10 KiB when compressed.
MAX_PART_ITEMS = 150


def snapshot_parts(shard: Shard) -> list[Snapshot]:
    """Return a snapshot of the shard in parts.

    The first part holds the corrections of run-time estimates; parts with machines follow, then
    parts with jobs.
    """
    machines = [
        (machine_id, _copy_machine(machine)) for machine_id, machine in shard.machines.items()
    ]
    jobs = [
        (
            job_id,
            JobCopy(
                job.run_times.observed_tasks, round(job.run_times.observed_run_s, RUN_TIME_DIGITS)
            ),
        )
        for job_id, job in shard.jobs.items()
        if job.run_times.observed_tasks
    ]
    parts = [Snapshot({}, {}, dict(shard.corrections.factors()))]
    parts += [
        Snapshot(dict(machines[begin : begin + MAX_PART_ITEMS]))
        for begin in range(0, len(machines), MAX_PART_ITEMS)
    ]
    parts += [
        Snapshot({}, dict(jobs[begin : begin + MAX_PART_ITEMS]))
        for begin in range(0, len(jobs), MAX_PART_ITEMS)
    ]
    return parts


def _copy_machine(machine: Machine) -> MachineCopy:
    attempts = {run.task_id: run.attempt for run in machine.runs.values()}
    return MachineCopy(
        machine.heartbeat.online, machine.entry.occupied, attempts, dict(machine.images.cached)
    )
