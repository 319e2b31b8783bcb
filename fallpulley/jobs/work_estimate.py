"""How much work a shard's open jobs are estimated to be."""

from __future__ import annotations

from fallpulley.jobs.job_index import JobIndex
from fallpulley.jobs.messages import PRIORITY_LEVELS, Priority
from fallpulley.jobs.pipelines import Pipelines

# A task that asks for fewer processors counts as if it asked for so many.
MIN_TASK_PROCESSORS = 0.1


def estimated_work_by_priority(
    index: JobIndex, pipelines: Pipelines, shard_id: str
) -> dict[Priority, float]:
    """Processor-seconds of a shard's unfinished jobs by their own priorities.

    Jobs that wait for others are no work yet.
    """
    work = dict.fromkeys(PRIORITY_LEVELS, 0.0)
    for job_id in index.open_by_shard.get(shard_id, ()):
        spec = index.entries[job_id].spec
        node = pipelines.node(job_id)
        if node is not None and node.unfinished_dependencies:
            continue
        if spec is not None:
            completed, _ = index.task_counts.get(job_id, (0, 0))
            left = spec.task_count - completed
            work[spec.priority] += left * max(spec.cpus, MIN_TASK_PROCESSORS) * spec.estimated_run_s
    return work
