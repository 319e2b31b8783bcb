"""The state of an owned shard, in parts that each fit a message."""

from __future__ import annotations

from fallpulley.shards.shard import Shard
from fallpulley.standby.decision_log import RUN_TIME_DIGITS
from fallpulley.standby.replica import JobCopy, MachineCopy, Snapshot
from fallpulley.workers.machine import Machine

# Machines or jobs in a part: packed, some 10 KiB.
MAX_PART_ITEMS = 150


def snapshot_parts(shard: Shard) -> list[Snapshot]:
    """The corrections of estimates in the first part, then machines, then jobs."""
    machines = [(machine_id, _copy(machine)) for machine_id, machine in shard.machines.items()]
    jobs = [
        (job_id, JobCopy(job.run_times.tasks, round(job.run_times.total_s, RUN_TIME_DIGITS)))
        for job_id, job in shard.jobs.items()
        if job.run_times.tasks
    ]
    parts = [Snapshot({}, {}, dict(shard.corrections.factors()))]
    for begin in range(0, len(machines), MAX_PART_ITEMS):
        parts.append(Snapshot(dict(machines[begin : begin + MAX_PART_ITEMS])))
    for begin in range(0, len(jobs), MAX_PART_ITEMS):
        parts.append(Snapshot({}, dict(jobs[begin : begin + MAX_PART_ITEMS])))
    return parts


def _copy(machine: Machine) -> MachineCopy:
    attempts = {run.task_id: run.attempt for run in machine.runs.values()}
    return MachineCopy(
        machine.heartbeat.online, machine.entry.occupied, attempts, dict(machine.images.cached)
    )
