"""Chooses the shard that a new job belongs to."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fallpulley.jobs.messages import Submission
from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.settings import Team
from fallpulley.shared_records.registry import Registry


class JobShardChooser:
    """Chooses the shard with the least work per processor that a new job may use."""

    def __init__(
        self,
        registry: Registry,
        teams: Mapping[str, Team],
        shard_of_team: Callable[[str], str | None],
        estimated_work: Callable[[str], float],
    ) -> None:
        """Create a chooser.

        Args:
            registry: The shards, their machines, and the shards assigned to limited teams.
            teams: All teams of the settings by name.
            shard_of_team: Returns the id of the shard for a team's new jobs; None if any shard may
                take them.
            estimated_work: Returns the estimated work of a shard's open jobs, in
                processor-seconds.
        """
        self.registry = registry
        self.teams = teams
        self.shard_of_team = shard_of_team
        self.estimated_work = estimated_work

    def choose(self, spec: Submission) -> str | None:
        """Return the id of the shard for a new job; None if there is no shard yet.

        All jobs of a team with a limit go to the same shard.
        """
        if self.teams[spec.team].limited and spec.team in self.registry.team_shards:
            return self.registry.team_shards[spec.team]
        assigned = self.shard_of_team(spec.team)
        if assigned is not None:
            return assigned
        shards = self.registry.shards
        if len(shards) < 2:
            return next(iter(shards), None)
        eligible = spec.eligible_machines(self.registry.machine_types.values())
        return min(shards, key=lambda shard_id: self._relative_load(eligible, shard_id))

    def _relative_load(self, eligible: EligibleMachines, shard_id: str) -> tuple[bool, float, str]:
        """Return the sort key of a shard: its work per processor that the job may use, in seconds.

        A shard without such processors sorts last: otherwise a shard that has only spot machines
        is given urgent jobs that may not run on spot machines.
        """
        usable_processors = sum(
            cpus
            for shape, cpus in self.registry.processors_by_shape(shard_id).items()
            if eligible.include(*shape)
        )
        return (
            usable_processors == 0,
            self.estimated_work(shard_id) / max(usable_processors, 1.0),
            shard_id,
        )
