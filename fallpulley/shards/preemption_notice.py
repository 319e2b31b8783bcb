"""Stops tasks on a spot machine that the cloud is about to take, while they can save their work."""

from __future__ import annotations

from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# A task that is to finish on its own has to do so this long before the cloud takes the machine.
FINISH_MARGIN_SECONDS = 1.0
# A task is stopped in time for its checkpoint and for so many heartbeat intervals, within which the
# command reaches the machine.
STOP_INTERVALS = 2


def stop_tasks_for_preemption(shard: Shard, commands: MachineCommands, machine: Machine) -> None:
    """Stop what cannot finish in time, as late as its checkpoint allows.

    Called with each newer state of the machine, so tasks that are not stopped yet come up again.
    """
    context = shard.context
    remaining_s = (machine.scale_in.preempted_at or 0.0) - context.now
    for run in machine.runs.values():
        job = shard.jobs.get(run.job_id)
        if job is None or run.stop_grace_s is not None:
            continue
        ran_s = context.now - (run.started_at or context.now)
        if (
            run.started_at is not None
            and run.estimated_run_s - ran_s < remaining_s - FINISH_MARGIN_SECONDS
        ):
            continue
        saves = job.spec.checkpoint_interval_s > 0
        stop_s = job.spec.checkpoint_save_s + STOP_INTERVALS * context.timing.heartbeat_interval_s
        if saves and remaining_s > stop_s:
            continue  # there is time for more work before saving
        commands.stop(run, remaining_s if saves else 0.0)
