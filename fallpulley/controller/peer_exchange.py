"""What this controller sends to its peers at regular intervals, and what it decides with it."""

from __future__ import annotations

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.controller.health import Health
from fallpulley.controller.refusal_announcer import RefusalAnnouncer
from fallpulley.extensions import Extensions
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.service import JobService
from fallpulley.mesh.messages import MachineRequest, TaskCount
from fallpulley.mesh.peers import Peers
from fallpulley.mesh.task_counts import TaskCountRotation
from fallpulley.shards.owned_shards import OwnedShards


class PeerExchange:
    """Sends the heartbeats to the peers, and balances the shards each time."""

    def __init__(
        self,
        peers: Peers,
        health: Health,
        jobs: JobService,
        provider: MachineProvider,
        balancer: ShardBalancer,
        refusal_announcer: RefusalAnnouncer,
        owned_shards: OwnedShards,
        extensions: Extensions,
    ) -> None:
        self.peers = peers
        self.health = health
        self.jobs = jobs
        self.provider = provider
        self.balancer = balancer
        self.refusal_announcer = refusal_announcer
        self.owned_shards = owned_shards
        self.extensions = extensions
        # Requests for machines that the next heartbeat carries.
        self._machine_requests: list[MachineRequest] = []
        self._task_counts = TaskCountRotation()

    def add_machine_requests(self, requests: list[MachineRequest]) -> None:
        """Send the requests for machines with the next heartbeat."""
        self._machine_requests += requests

    def tick(self, leading: bool) -> None:
        """Send a heartbeat to all peers if one is due."""
        if not self.peers.is_heartbeat_due():
            return
        task_counts = self._current_task_counts()
        if leading:
            self.provider.target_sizes = self.balancer.target_sizes()
        if not self.extensions.balances_shards:
            self.balancer.rebalance(self.owned_shards.shards)
        self.peers.send_heartbeat(
            self.health.staleness_s(),
            task_counts,
            self._machine_requests,
            self.provider.target_sizes,
        )
        self._machine_requests = []
        if leading:
            self.refusal_announcer.announce()

    def _current_task_counts(self) -> list[TaskCount]:
        """Return the task counts that the next heartbeat carries, as many as fit.

        Also updates the job service's counts of all owned jobs.
        """
        task_counts = {}
        for shard in self.owned_shards.shards.values():
            for job in shard.jobs.values():
                if not job.ended:
                    task_counts[job.job_id] = (job.progress.completed.count, len(job.runs))
        self.jobs.task_counts.update(task_counts)
        return self._task_counts.next_entries(task_counts)
