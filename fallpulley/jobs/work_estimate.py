"""Estimates how much work the open jobs of a shard still require."""

from __future__ import annotations

from fallpulley.jobs.job_index import JobIndex
from fallpulley.jobs.messages import PRIORITY_LEVELS, Priority
from fallpulley.jobs.pipelines import Pipelines

# The least number of processors that a task counts for in the estimate: a task that asks for none
# or almost none is still work.
MIN_TASK_PROCESSORS = 0.1


def estimated_work_by_priority(
    index: JobIndex, pipelines: Pipelines, shard_id: str
) -> dict[Priority, float]:
    """Return the estimated work left in a shard's open jobs, in processor-seconds by priority.

    Each job counts under its own priority, not under that of the jobs that depend on it. Jobs
    whose dependencies are not all done do not count.
    """
    work = dict.fromkeys(PRIORITY_LEVELS, 0.0)
    for job_id in index.open_job_ids_by_shard.get(shard_id, ()):
        spec = index.entries[job_id].spec
        node = pipelines.node(job_id)
        if node is not None and node.unfinished_dependencies:
            continue
        if spec is not None:
            completed, _ = index.task_counts.get(job_id, (0, 0))
            unfinished_tasks = spec.task_count - completed
            work[spec.priority] += (
                unfinished_tasks * max(spec.cpus, MIN_TASK_PROCESSORS) * spec.estimated_run_s
            )
    return work
