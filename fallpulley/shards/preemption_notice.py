"""Stops tasks on a spot machine that the cloud is about to preempt, in time to save their work."""

from __future__ import annotations

from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine

# A task is not stopped if it is expected to end at least this long before the cloud preempts the
# machine.
FINISH_MARGIN_SECONDS = 1.0
# Time for a stop command to reach the machine, in heartbeat intervals. It is added to the time that
# saving a checkpoint takes.
STOP_INTERVALS = 2


def stop_tasks_for_preemption(shard: Shard, commands: MachineCommands, machine: Machine) -> None:
    """Stop the tasks that cannot finish in time, as late as saving their checkpoints allows.

    This is called with each newer state of the machine, so it checks again the tasks that it has
    not stopped yet.
    """
    context = shard.context
    remaining_s = (machine.departure.preempted_at or 0.0) - context.now
    for run in machine.runs.values():
        job = shard.jobs.get(run.job_id)
        if job is None or run.stop_grace_s is not None:
            continue
        elapsed_s = context.now - (run.running_since or context.now)
        if (
            run.running_since is not None
            and run.estimated_run_s - elapsed_s < remaining_s - FINISH_MARGIN_SECONDS
        ):
            continue
        saves_checkpoints = job.spec.checkpoint_interval_s > 0
        stop_lead_s = (
            job.spec.checkpoint_save_s + STOP_INTERVALS * context.timing.heartbeat_interval_s
        )
        if saves_checkpoints and remaining_s > stop_lead_s:
            continue  # there is time for more work before the checkpoint
        commands.stop(run, remaining_s if saves_checkpoints else 0.0)
