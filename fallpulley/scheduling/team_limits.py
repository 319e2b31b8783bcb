"""The teams' limits on processors and accelerators, as a plan keeps them."""

from __future__ import annotations

import math
from functools import cached_property

import msgspec

from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.queue import PendingJob
from fallpulley.settings import Team
from fallpulley.shards.shard import Shard


class _Quota(msgspec.Struct):
    """What a team may still use."""

    cpus: float
    gpus: float


class TeamLimits:
    """The limits of the teams, and what the tasks of one shard use of them."""

    def __init__(self, shard: Shard, teams: dict[str, Team]) -> None:
        self._shard = shard
        self._limited_teams = {name: team for name, team in teams.items() if team.limited}

    def forbid(self, job: OpenJob) -> bool:
        """Whether the job has to wait because its team has a limit and may have used it up."""
        return job.spec.team in self._limited_teams and not self._usage_known

    def apply(self, jobs: list[PendingJob]) -> None:
        """Reduce the task counts of limited teams' jobs to their limits, first jobs first."""
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
        """False: tasks that we cannot see, or cannot ascribe to a team, may use up a limit."""
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
    """How many of the job's tasks its team's quota allows; of a gang all or none."""
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
