"""Stopping of all tasks of a job: of jobs that have ended, and of gangs that lost a task."""

from __future__ import annotations

import logging

from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.shard import Shard

log = logging.getLogger(__name__)


def end_job(shard: Shard, commands: MachineCommands, job: OpenJob, cancelled: bool) -> None:
    """Stop all tasks of a job whose record is final, and start no more of them."""
    job.ended = True
    shard.needs_replan = True
    for run in list(job.runs.values()):
        commands.stop(run, 0.0)
    if not job.runs:
        shard.jobs.pop(job.job_id, None)
    log.info(
        "job ended, stopping its attempts job=%s cancelled=%s count=%d",
        job.job_id,
        cancelled,
        len(job.runs),
    )


def stop_broken_gangs(shard: Shard, commands: MachineCommands) -> None:
    """Stop the remaining tasks of gangs that lost one, so that all of them restart together."""
    for job in shard.jobs.values():
        if not job.gang.restarting:
            continue
        if not job.runs:
            job.gang.restarting = False
            shard.needs_replan = True
        for run in job.runs.values():
            if run.stop_grace_s is None:
                commands.stop(run, job.spec.checkpoint_save_s)
