"""Pending jobs and their order in the queue (T 3-1, Fig. 3-3)."""

from __future__ import annotations

import msgspec

from fallpulley.placement.eligibility import EligibleMachines
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Jobs of this priority level and above are urgent: they are placed before the others.
URGENT_PRIORITY_LEVEL = 2

# The sort key of a job in the queue: the smallest key is placed first.
QueueKey = tuple[float, float, float, float, float, float]


class PendingJob(msgspec.Struct):
    """A job with tasks to place."""

    job_id: str
    resources: Resources  # of each task
    estimated_run_s: float  # of one task, in seconds, without the image fetch
    task_count: int  # how many tasks may be placed
    image: str
    image_gb: float
    remaining_s: float  # estimated remaining time of the job, in seconds
    overdue: bool  # has waited too long, or its deadline is at risk: placed before other jobs
    submitted_at: float  # seconds since the epoch; of a pipeline's job, when it became ready
    eligible: EligibleMachines
    priority_level: int = 1  # highest of the job and of those that depend on it; higher is urgent
    zone_limits: dict[str, int] | None = None  # how many more tasks each zone may get (spread jobs)
    one_zone: bool = False  # all tasks have to run in the same zone
    avoided_machines: set[str] | None = None  # machines on which the job failed
    all_at_once: bool = False  # a gang: all tasks start at the same time, or none
    starved: bool = False  # the first tasks of a job that has waited too long to begin

    @property
    def urgent(self) -> bool:
        """Whether the job is placed before those of lower priority (exception 2)."""
        return self.priority_level >= URGENT_PRIORITY_LEVEL


def queue_order(job: PendingJob) -> QueueKey:
    """Return the sort key: overdue jobs first, then the shortest remaining time (T 3-1).

    The tasks of a job have equal upward rank (none has children), so their order does not matter.

    Exception 2: urgent jobs come before all others. Otherwise urgent jobs with long tasks would
    wait behind every shorter job of lower priority.

    Exception 5: an overdue job of lower priority does not overtake urgent jobs. Otherwise the
    resources freed by stopping its tasks for an urgent job would go back to that same job.

    Exception 6: the first tasks of a starved job come before everything else. Otherwise the
    largest jobs would never begin while a burst of urgent or short work lasts.
    """
    if job.starved:
        return (0, 0, 0, job.submitted_at, 0.0, 0.0)
    if job.overdue:
        return (1, not job.urgent, 0, job.submitted_at, 0.0, 0.0)
    return (1, not job.urgent, 1, job.remaining_s, -job.estimated_run_s, job.submitted_at)


def is_eligible(job: PendingJob, snapshot: MachineSnapshot) -> bool:
    """Return whether the machine can take the job's tasks and is not avoided by the job."""
    return job.eligible.include(snapshot.machine_type, snapshot.zone, snapshot.spot) and (
        job.avoided_machines is None or snapshot.machine_id not in job.avoided_machines
    )
