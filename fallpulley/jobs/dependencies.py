"""Applies changes of job records to the jobs that depend on them."""

from __future__ import annotations

import logging
import math

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.job_index import JobEntry, JobIndex
from fallpulley.jobs.messages import PRIORITY_LEVELS, JobState, Submission
from fallpulley.jobs.pipelines import DependencyNode, PipelineChanges, Pipelines
from fallpulley.shared_records.registry import Registry

log = logging.getLogger(__name__)


class DependencyTracker:
    """Keeps the dependency graph up to date, and cancels the jobs that depend on cancelled jobs."""

    def __init__(self, context: ControllerContext, registry: Registry, index: JobIndex) -> None:
        self.context = context
        self.registry = registry
        self.index = index
        self.pipelines = Pipelines(index.finished_at_ms, index.is_cancelled)
        # The jobs that are cancelled because a dependency is, but whose stored records do not say
        # so yet: shard id -> job id -> entry.
        self.cancelled_dependents: dict[str, dict[str, JobEntry]] = {}
        self._affected_jobs: set[str] = set()

    def drain_affected_jobs(self) -> set[str]:
        """Return the jobs that records of other jobs have affected since the last call.

        These became ready, were cancelled, or changed in urgency.
        """
        affected, self._affected_jobs = self._affected_jobs, set()
        return affected

    def on_entry(self, job_id: str, entry: JobEntry) -> None:
        """Apply a job's new entry to the jobs that it depends on and to those that depend on it."""
        if entry.state is not JobState.OPEN:
            self.cancelled_dependents.get(entry.shard_id, {}).pop(job_id, None)
        changes = self._update_pipelines(job_id, entry)
        if changes is None:
            return
        for ready_job_id in changes.ready:
            log.info("job ready, all dependencies done job=%s dependency=%s", ready_job_id, job_id)
        for cancelled_job_id in changes.cancelled:
            self._cancel_dependent(cancelled_job_id, job_id)
        self._affected_jobs.update(changes.ready, changes.cancelled, changes.urgency_changed)

    def _update_pipelines(self, job_id: str, entry: JobEntry) -> PipelineChanges | None:
        if entry.spec is not None:
            return self._add_to_pipelines(job_id, entry, entry.spec)
        if entry.state is JobState.DONE:
            return self.pipelines.complete_job(
                job_id, entry.finished_at_ms or round(self.context.wall_time * 1000)
            )
        if entry.state is JobState.CANCELLED:
            return self.pipelines.cancel_job(job_id)
        return None

    def _add_to_pipelines(
        self, job_id: str, entry: JobEntry, spec: Submission
    ) -> PipelineChanges | None:
        depends_on = spec.depends_on or []
        if not depends_on and job_id not in self.pipelines.dependents:
            return None
        for dependency_id in depends_on:
            self._add_dependency_node(dependency_id)
        log.info("job waits for dependencies job=%s dependencies=%s", job_id, ",".join(depends_on))
        return self.pipelines.add_job(job_id, depends_on, self._standalone_node(entry, spec))

    def _add_dependency_node(self, job_id: str) -> None:
        """Give an open job that another job depends on a node, even if it depends on no job."""
        entry = self.index.entries.get(job_id)
        if entry is not None and entry.spec is not None:
            self.pipelines.ensure_node(job_id, self._standalone_node(entry, entry.spec))

    def _standalone_node(self, entry: JobEntry, spec: Submission) -> DependencyNode:
        """Return a job's node without the effects of the jobs that depend on it."""
        priority_level = PRIORITY_LEVELS[spec.priority]
        deadline_at = (
            entry.submitted_at_ms / 1000 + spec.deadline_s
            if spec.deadline_s is not None
            else math.inf
        )
        return DependencyNode(
            entry.submitted_at_ms,
            priority_level,
            self._estimated_task_s(spec),
            own_deadline_at=deadline_at,
            priority_level=priority_level,
            deadline_at=deadline_at,
        )

    def _estimated_task_s(self, spec: Submission) -> float:
        """Return the estimated seconds to fetch the image and run one task.

        These are the transfer cost and the mean run time of T 3-1.
        """
        fetch_rates = [
            machine_type.fetch_gb_per_s for machine_type in self.registry.machine_types.values()
        ]
        mean_rate = sum(fetch_rates) / len(fetch_rates) if fetch_rates else 0.0
        return spec.estimated_run_s + (spec.image_gb / mean_rate if mean_rate > 0 else 0.0)

    def _cancel_dependent(self, job_id: str, dependency_id: str) -> None:
        entry = self.index.entries.get(job_id)
        if entry is None or entry.state is not JobState.OPEN:
            return
        log.info(
            "job cancelled because a dependency was cancelled job=%s dependency=%s",
            job_id,
            dependency_id,
        )
        self.index.mark_cancelled(job_id, entry)
        self.cancelled_dependents.setdefault(entry.shard_id, {})[job_id] = entry
