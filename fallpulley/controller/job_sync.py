"""Keeps the open jobs of owned shards equal to the job records."""

from __future__ import annotations

from collections.abc import Iterable

from fallpulley.jobs.job_index import JobEntry
from fallpulley.jobs.messages import JobState
from fallpulley.jobs.service import JobService
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned import OwnedShards
from fallpulley.shards.shard import Shard


class JobSync:
    """Adds, updates and ends the jobs of shards; a durable cancellation comes before any record."""

    def __init__(self, jobs: JobService, owned: OwnedShards) -> None:
        self.jobs = jobs
        self.owned = owned
        # Cancelled by word of a peer, while our copy of their records is from before.
        self._cancelled: set[str] = set()

    def on_record(self, job_id: str, value: bytes | None, mod_revision: int) -> None:
        """A job's record has changed, and with it perhaps what holds for jobs that need it."""
        if self.jobs.on_record(job_id, value, mod_revision) is None:
            return
        for affected in {job_id} | self.jobs.drain_affected_jobs():
            self.sync(affected)

    def sync(self, job_id: str) -> None:
        """Bring what the job's shard has of it up to its record, and to others' records."""
        entry = self.jobs.entries[job_id]
        agent = self.owned.agents.get(entry.shard_id)
        if agent is None:
            return
        open_job = agent.shard.jobs.get(job_id)
        if entry.record is None:
            self._cancelled.discard(job_id)
            if open_job is not None:
                agent.end_job(open_job, entry.state is JobState.CANCELLED)
        elif open_job is None:
            self._add_job(agent.shard, job_id, entry)
        else:
            open_job.dependency_node = self.jobs.pipelines.node(job_id)
            agent.shard.needs_replan = True

    def add_open_jobs(self, shard: Shard) -> None:
        """The shard was acquired: its open jobs are ours to run."""
        for job_id in self.jobs.open_by_shard.get(shard.shard_id, ()):
            self._add_job(shard, job_id, self.jobs.entries[job_id])

    def _add_job(self, shard: Shard, job_id: str, entry: JobEntry) -> None:
        if entry.record is not None and job_id not in self._cancelled:
            node = self.jobs.pipelines.node(job_id)
            shard.add_job(job_id, entry.record, entry.mod_revision, node)

    def stop_cancelled(self, job_ids: Iterable[str]) -> None:
        """The cancellations are durable, so they hold whatever our own copy still shows."""
        for job_id in job_ids:
            for agent in self.owned.agents.values():
                self._stop_cancelled(agent, job_id)

    def _stop_cancelled(self, agent: ShardAgent, job_id: str) -> None:
        open_job = agent.shard.jobs.get(job_id)
        if open_job is not None and not open_job.cancelled:
            self._cancelled.add(job_id)
            agent.end_job(open_job, True)
