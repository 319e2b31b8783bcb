"""Limits of teams on processors and GPUs, applied to the pending jobs of a plan."""

from __future__ import annotations

import math
from functools import cached_property

import msgspec

from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.queue import PendingJob
from fallpulley.settings import Team
from fallpulley.shards.shard import Shard


class _Quota(msgspec.Struct):
    """The processors and GPUs that a team may still use; infinity without a limit."""

    cpus: float
    gpus: float


class TeamLimits:
    """Applies the limits of teams, given what their tasks in one shard already use."""

    def __init__(self, shard: Shard, teams: dict[str, Team]) -> None:
        self._shard = shard
        self._limited_teams = {name: team for name, team in teams.items() if team.limited}

    def must_wait(self, job: OpenJob) -> bool:
        """Return whether the job must wait until the usage of its team is known.

        It must if the team has a limit: tasks that are not known yet may have used it up.
        """
        return job.spec.team in self._limited_teams and not self._usage_known

    def apply(self, jobs: list[PendingJob]) -> None:
        """Reduce the task counts of jobs to the limits of their teams, in the order given."""
        if not self._limited_teams:
            return
        quotas: dict[str, _Quota] = {}
        for job in jobs:
            team = self._limited_teams.get(self._shard.jobs[job.job_id].spec.team)
            if team is None:
                continue
            if team.name not in quotas:
                quotas[team.name] = self._quota(team)
            quota = quotas[team.name]
            job.task_count = _allowed_tasks(job, quota)
            quota.cpus -= job.task_count * job.resources.cpus
            quota.gpus -= job.task_count * job.resources.gpus

    @cached_property
    def _usage_known(self) -> bool:
        """Whether all tasks that may be running, and their teams, are known to the owner."""
        shard = self._shard
        return not (
            bool(shard.unreconciled) or not shard.progress_loaded or shard.has_unknown_tasks()
        )

    def _quota(self, team: Team) -> _Quota:
        cpus, gpus = self._shard.team_usage(team.name)
        return _Quota(
            team.cpus_max - cpus if team.cpus_max > 0 else math.inf,
            team.gpus_max - gpus if team.gpus_max > 0 else math.inf,
        )


def _allowed_tasks(job: PendingJob, quota: _Quota) -> int:
    """Return how many of the job's tasks the quota allows; of a gang all or none."""
    count = min(
        job.task_count,
        _tasks_within(quota.cpus, job.resources.cpus, job.task_count),
        _tasks_within(quota.gpus, job.resources.gpus, job.task_count),
    )
    return 0 if job.all_at_once and count < job.task_count else count


def _tasks_within(available: float, needed: float, task_count: int) -> int:
    if needed <= 0 or available == math.inf:
        return task_count
    return max(0, int((available + 1e-6) / needed))
