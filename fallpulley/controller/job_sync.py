"""Synchronization of the open jobs of owned shards with the job records."""

from __future__ import annotations

from collections.abc import Iterable

from fallpulley.jobs.job_index import JobEntry
from fallpulley.jobs.messages import JobState
from fallpulley.jobs.service import JobService
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shards.shard import Shard


class JobSync:
    """Adds, updates and ends the jobs of owned shards as the job records require.

    A cancellation announced as durable takes precedence over an older copy of the job's record.
    """

    def __init__(self, jobs: JobService, owned_shards: OwnedShards) -> None:
        self.jobs = jobs
        self.owned_shards = owned_shards
        # Jobs announced as cancelled before the records that end them have arrived.
        self._cancelled_before_record: set[str] = set()

    def on_record(self, job_id: str, value: bytes | None, mod_revision: int) -> None:
        """Handle a changed job record; synchronize the job and other jobs that it affects."""
        if self.jobs.on_record(job_id, value, mod_revision) is None:
            return
        for affected in {job_id} | self.jobs.drain_affected_jobs():
            self.sync(affected)

    def sync(self, job_id: str) -> None:
        """Bring a job in its shard up to date with its own record and its dependencies.

        Does nothing if this controller does not own the shard.
        """
        entry = self.jobs.entries[job_id]
        agent = self.owned_shards.agents.get(entry.shard_id)
        if agent is None:
            return
        open_job = agent.shard.jobs.get(job_id)
        if entry.record is None:
            self._cancelled_before_record.discard(job_id)
            if open_job is not None:
                agent.end_job(open_job, entry.state is JobState.CANCELLED)
        elif open_job is None:
            self._add_job(agent.shard, job_id, entry)
        else:
            open_job.dependency_node = self.jobs.pipelines.node(job_id)
            agent.shard.needs_replan = True

    def add_open_jobs(self, shard: Shard) -> None:
        """Add the open jobs of a shard that was just acquired."""
        for job_id in self.jobs.open_job_ids_by_shard.get(shard.shard_id, ()):
            self._add_job(shard, job_id, self.jobs.entries[job_id])

    def _add_job(self, shard: Shard, job_id: str, entry: JobEntry) -> None:
        if entry.record is not None and job_id not in self._cancelled_before_record:
            node = self.jobs.pipelines.node(job_id)
            shard.add_job(job_id, entry.record, entry.mod_revision, node)

    def stop_cancelled(self, job_ids: Iterable[str]) -> None:
        """End jobs whose cancellation is durable.

        They end whatever this controller's copy of their records still shows.
        """
        for job_id in job_ids:
            for agent in self.owned_shards.agents.values():
                self._stop_cancelled(agent, job_id)

    def _stop_cancelled(self, agent: ShardAgent, job_id: str) -> None:
        open_job = agent.shard.jobs.get(job_id)
        if open_job is not None and not open_job.ended:
            self._cancelled_before_record.add(job_id)
            agent.end_job(open_job, True)
