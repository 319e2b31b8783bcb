"""Announcement of cancelled jobs to their owners, ahead of the job records."""

from __future__ import annotations

from fallpulley.controller.job_sync import JobSync
from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.service import JobService
from fallpulley.mesh.peers import Peers
from fallpulley.shared_records.registry import Registry


class CancellationAnnouncer:
    """Announces jobs that were cancelled through this controller to the owners of their shards.

    Safety does not depend on it: an owner that gets no announcement sees the changed job record or,
    if it is cut off from the state service, stops responding to its machines when its response
    window ends.
    """

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        jobs: JobService,
        job_sync: JobSync,
        peers: Peers,
    ) -> None:
        self.context = context
        self.registry = registry
        self.jobs = jobs
        self.job_sync = job_sync
        self.peers = peers

    def announce(self) -> None:
        """Announce the jobs whose cancellation has become durable since the last call."""
        by_owner: dict[str, list[str]] = {}
        for job_id in self.jobs.drain_newly_cancelled():
            owner = self._owner_of(job_id)
            if owner == self.context.controller_id:
                self.job_sync.stop_cancelled([job_id])
            elif owner is not None:
                by_owner.setdefault(owner, []).append(job_id)
        for owner, job_ids in by_owner.items():
            self.peers.send_cancellations(owner, job_ids)

    def _owner_of(self, job_id: str) -> str | None:
        entry = self.jobs.entries.get(job_id)
        return self.registry.owner_of(entry.shard_id) if entry is not None else None
