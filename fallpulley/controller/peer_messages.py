"""Handling of messages from other controllers."""

from __future__ import annotations

from fallpulley.controller.job_sync import JobSync
from fallpulley.extensions import Extensions
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.messages import JobState
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.mesh.messages import Cancellations, PeerHeartbeat, RentalRefusals
from fallpulley.mesh.peers import Peers
from fallpulley.shared_records.registry import Registry


class PeerMessageHandler:
    """Handles messages from other controllers.

    Safety depends on none of them: any message may be lost, late or repeated.
    """

    def __init__(
        self,
        registry: Registry,
        jobs: JobService,
        leadership: Leadership,
        provider: MachineProvider,
        peers: Peers,
        job_sync: JobSync,
        extensions: Extensions,
    ) -> None:
        self.registry = registry
        self.jobs = jobs
        self.leadership = leadership
        self.provider = provider
        self.peers = peers
        self.job_sync = job_sync
        self.extensions = extensions

    def handle(self, body: bytes) -> None:
        """Handle an encoded message; one that is malformed or out of date is dropped."""
        extension = self.extensions.for_peer_message(body)
        if extension is not None:
            extension.on_peer_message(body)
            return
        message = self.peers.receive(body)
        if isinstance(message, Cancellations):
            self.job_sync.stop_cancelled(message.job_ids)
        elif isinstance(message, RentalRefusals):
            self._on_rental_refusals(message)
        elif message is not None:
            self._on_heartbeat(message)

    def _on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        for job_id, completed, running in heartbeat.task_counts:
            entry = self.jobs.entries.get(job_id)
            if entry is not None and entry.state is JobState.OPEN:
                self.jobs.task_counts[job_id] = (completed, running)
        if self._is_leader(heartbeat.incarnation):
            self.provider.target_sizes = heartbeat.target_sizes
        term = self.leadership.term
        if term is not None:
            # The message may arrive before the first tick of the term.
            self.provider.begin_term(term)
            self._scale_out(heartbeat)

    def _on_rental_refusals(self, message: RentalRefusals) -> None:
        if self._is_leader(message.incarnation) and self.leadership.term is None:
            self.provider.on_refusals_announced(message.offers)

    def _is_leader(self, incarnation: str) -> bool:
        """Return whether the records name this process as the leader."""
        return self.registry.leader_term(incarnation) is not None

    def _scale_out(self, heartbeat: PeerHeartbeat) -> None:
        """Rent the machines that a peer requests from this controller as the leader."""
        for request in heartbeat.machine_requests:
            if request.shard_id in self.registry.shards and request.count > 0:
                self.provider.scale_out(request.shard_id, request.offer, request.count)
