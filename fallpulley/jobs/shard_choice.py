"""Which shard a new job belongs to."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fallpulley.jobs.messages import Submission
from fallpulley.records.registry import Registry
from fallpulley.settings import Team


class ShardChooser:
    """Chooses the shard with the least work for the machines that a job may use."""

    def __init__(
        self,
        registry: Registry,
        teams: Mapping[str, Team],
        shard_of_team: Callable[[str], str | None],
        estimated_work: Callable[[str], float],
    ) -> None:
        """`shard_of_team`: the shard for a team's new jobs; None: whichever has the least work.

        `estimated_work`: of a shard's unfinished jobs, in processor-seconds.
        """
        self.registry = registry
        self.teams = teams
        self.shard_of_team = shard_of_team
        self.estimated_work = estimated_work

    def choose(self, spec: Submission) -> str | None:
        """The job's shard; a limited team has one of its own. None: there is no shard yet."""
        if self.teams[spec.team].limited and spec.team in self.registry.team_shards:
            return self.registry.team_shards[spec.team]
        assigned = self.shard_of_team(spec.team)
        if assigned is not None:
            return assigned
        shards = self.registry.shards
        if len(shards) < 2:
            return next(iter(shards), None)
        return min(shards, key=lambda shard_id: self._relative_load(spec, shard_id))

    def _relative_load(self, spec: Submission, shard_id: str) -> tuple[bool, float, str]:
        """Sort key: seconds of work for each processor that the job may use.

        A shard where it may use none comes last. A shard that had nothing but spot machines once
        got urgent jobs that may not run on them.
        """
        usable = sum(
            cpus
            for (type_name, zone, spot), cpus in self.registry.processors_by_shape(shard_id).items()
            if (spec.allow_spot or not spot)
            and (spec.machine_types is None or type_name in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
        )
        return usable == 0, self.estimated_work(shard_id) / max(usable, 1.0), shard_id
