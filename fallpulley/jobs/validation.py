"""Whether a well-formed submission can run on this platform at all."""

from __future__ import annotations

from collections.abc import Iterable

from fallpulley.cloud.messages import MachineType
from fallpulley.jobs.messages import JobKind, Submission
from fallpulley.settings import Team


def why_never_runs(
    spec: Submission, team: Team | None, machine_types: Iterable[MachineType]
) -> str | None:
    """Why a job can never run, as its user is told; None if it can."""
    if team is None:
        return "unknown team"
    if not any(_fits(spec, machine_type) for machine_type in machine_types):
        return "a task fits no allowed machine type"
    if _exceeds_limit(spec, team):
        return "the job needs more than the team's limit"
    return None


def _fits(spec: Submission, machine_type: MachineType) -> bool:
    """Whether the job allows machines of this type, and a task fits on one."""
    return (
        (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )


def _exceeds_limit(spec: Submission, team: Team) -> bool:
    """Whether tasks that have to run at the same time need more than the team may use at once."""
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.task_count
    return (team.cpus_max > 0 and concurrent_tasks * spec.cpus > team.cpus_max) or (
        team.gpus_max > 0 and concurrent_tasks * spec.gpus > team.gpus_max
    )
