"""Pending jobs and the order of their queue (T 3-1, Fig. 3-3)."""

from __future__ import annotations

import msgspec

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import TOLERANCE, Resources

# Jobs of this priority level and above are urgent: they are served before all others.
URGENT_PRIORITY_LEVEL = 2

QueueKey = tuple[float, float, float, float, float, float]


class PendingJob(msgspec.Struct):
    """A job with tasks to place."""

    job_id: str
    resources: Resources  # of each task
    estimated_run_s: float
    task_count: int  # how many may be placed
    image: str
    image_gb: float
    remaining_s: float  # estimated remaining time of the job: its place in the queue
    overdue: bool  # waited past the age bound
    submitted_at: float  # seconds since the epoch; of a pipeline's job, when it became ready
    allow_spot: bool
    priority_level: int = 1  # the job's priority class
    machine_types: list[str] | None = None
    zone: str | None = None
    zone_limits: dict[str, int] | None = None  # for jobs spread over zones: tasks yet to come
    one_zone: bool = False
    avoided_machines: set[str] | None = None  # machines where it failed
    all_at_once: bool = False  # all tasks start at one time, or none
    starved: bool = False  # the first tasks of a job that has waited too long for any

    @property
    def urgent(self) -> bool:
        """It is in the queue that goes before the rest (exception 2)."""
        return self.priority_level >= URGENT_PRIORITY_LEVEL


def queue_order(job: PendingJob) -> QueueKey:
    """Shortest estimated remaining time first (T 3-1); overdue jobs before the others.

    Tasks of a job have equal upward rank (none has children), so their order is free.
    Exception 2: urgent jobs form a queue of their own before the rest, or those with long tasks
    would wait behind every short one of lower priority. Exception 5: the age bound does not cross
    the two: room made by stopping an old job's tasks would go back to that same job.
    Exception 6: the first tasks of a job that none of has run for too long go before all, or in
    a lasting burst of urgent or of short work the largest jobs would never begin.
    """
    if job.starved:
        return (0, 0, 0, job.submitted_at, 0.0, 0.0)
    if job.overdue:
        return (1, not job.urgent, 0, job.submitted_at, 0.0, 0.0)
    return (1, not job.urgent, 1, job.remaining_s, -job.estimated_run_s, job.submitted_at)


def is_eligible(job: PendingJob, snapshot: MachineSnapshot) -> bool:
    """Whether the job's tasks may run on the machine, were it empty."""
    return (
        (job.allow_spot or not snapshot.spot)
        and (job.machine_types is None or snapshot.machine_type in job.machine_types)
        and (job.zone is None or snapshot.zone == job.zone)
        and (job.avoided_machines is None or snapshot.machine_id not in job.avoided_machines)
        # Resources.fits_in without its call: this is asked for most pairs of job and machine.
        and job.resources.cpus <= snapshot.capacity.cpus + TOLERANCE
        and job.resources.gpus <= snapshot.capacity.gpus + TOLERANCE
        and job.resources.memory_gb <= snapshot.capacity.memory_gb + TOLERANCE
    )
