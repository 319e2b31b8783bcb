"""Checks whether a well-formed job could ever run on this platform."""

from __future__ import annotations

from collections.abc import Collection

from fallpulley.cloud.messages import MachineType
from fallpulley.jobs.messages import JobKind, Submission
from fallpulley.settings import Team


def rejection_reason(
    spec: Submission, team: Team | None, machine_types: Collection[MachineType]
) -> str | None:
    """Return why a job can never run, as a text for its user; None if it can run.

    `team` is None if the settings do not list the job's team.
    """
    if team is None:
        return "unknown team"
    if not _can_run_on_any(spec, machine_types):
        return "a task fits no allowed machine type"
    if _exceeds_team_limit(spec, team):
        return "the job needs more than the team's limit"
    return None


def _can_run_on_any(spec: Submission, machine_types: Collection[MachineType]) -> bool:
    """Return whether a machine that can take a task of the job is offered in some zone."""
    eligible = spec.eligible_machines(machine_types)
    return any(
        eligible.include(machine_type.name, zone, spot=False)
        for machine_type in machine_types
        for zone in machine_type.zones
    )


def _exceeds_team_limit(spec: Submission, team: Team) -> bool:
    """Return whether the tasks that must run at the same time exceed the team's limits."""
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.task_count
    return (team.cpus_max > 0 and concurrent_tasks * spec.cpus > team.cpus_max) or (
        team.gpus_max > 0 and concurrent_tasks * spec.gpus > team.gpus_max
    )
