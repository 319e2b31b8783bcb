"""Checks whether a well-formed job could ever run on this platform."""

from __future__ import annotations

from collections.abc import Iterable

from fallpulley.cloud.messages import MachineType
from fallpulley.jobs.messages import JobKind, Submission
from fallpulley.settings import Team


def rejection_reason(
    spec: Submission, team: Team | None, machine_types: Iterable[MachineType]
) -> str | None:
    """Return why a job can never run, as a text for its user; None if it can run.

    `team` is None if the settings do not list the job's team.
    """
    if team is None:
        return "unknown team"
    if not any(_can_run_on(spec, machine_type) for machine_type in machine_types):
        return "a task fits no allowed machine type"
    if _exceeds_team_limit(spec, team):
        return "the job needs more than the team's limit"
    return None


def _can_run_on(spec: Submission, machine_type: MachineType) -> bool:
    """Return whether the job allows this machine type and a machine of it can hold a task."""
    return (
        (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def _exceeds_team_limit(spec: Submission, team: Team) -> bool:
    """Return whether the tasks that must run at the same time exceed the team's limits."""
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.task_count
    return (team.cpus_max > 0 and concurrent_tasks * spec.cpus > team.cpus_max) or (
        team.gpus_max > 0 and concurrent_tasks * spec.gpus > team.gpus_max
    )
