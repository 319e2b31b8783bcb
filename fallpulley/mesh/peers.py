"""Exchange of messages with the other controllers, and liveness derived from their heartbeats."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import ignore_response
from fallpulley.mesh.messages import (
    PEER_MESSAGES_PATH,
    Cancellations,
    MachineRequest,
    PeerHeartbeat,
    PeerMessageBody,
    RefusedOffer,
    RentalRefusals,
    TaskCount,
    decode_peer_message,
)

# Interval between two heartbeats to the peers, and timeout of a message.
PEER_HEARTBEAT_INTERVAL_SECONDS = 1.0
# Maximum age of a peer's last heartbeat for the peer to count as live, in heartbeat intervals.
RECENT_HEARTBEAT_INTERVALS = 3.5
RECENT_SECONDS = RECENT_HEARTBEAT_INTERVALS * PEER_HEARTBEAT_INTERVAL_SECONDS
# This controller's watch cache is stale if a peer's was refreshed later by more than this, in
# heartbeat intervals.
STALE_HEARTBEAT_INTERVALS = 3.0
STALE_SECONDS = STALE_HEARTBEAT_INTERVALS * PEER_HEARTBEAT_INTERVAL_SECONDS
# Upper limit of the staleness in a heartbeat, in seconds; a controller that has never read the
# records sends it.
MAX_STALENESS_SECONDS = 1e6
# Maximum number of jobs in one message about cancellations.
MAX_CANCELLATIONS = 1000


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat and its time of arrival by this controller's monotonic clock, in seconds."""

    heartbeat: PeerHeartbeat
    received_at: float


class Peers:
    """Sends messages to the other controllers and keeps the last heartbeat of each."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.last_heartbeats: dict[str, ReceivedHeartbeat] = {}  # controller -> heartbeat
        self._next_heartbeat_at = float("-inf")

    # -- sending ---------------------------------------------------------------------------

    def is_heartbeat_due(self) -> bool:
        """Return whether it is time for this controller's next heartbeat."""
        return self.context.now >= self._next_heartbeat_at

    def send_heartbeat(
        self,
        staleness_s: float,
        task_counts: list[TaskCount],
        machine_requests: list[MachineRequest],
        target_sizes: dict[str, int],
    ) -> None:
        """Send this controller's heartbeat to all peers."""
        self._next_heartbeat_at = self.context.now + PEER_HEARTBEAT_INTERVAL_SECONDS
        heartbeat = PeerHeartbeat(
            self.context.controller_id,
            self.context.incarnation,
            self.context.wall_time,
            min(staleness_s, MAX_STALENESS_SECONDS),
            task_counts,
            machine_requests,
            target_sizes,
        )
        body = msgspec.json.encode(heartbeat)
        for peer in self.context.settings.peers:
            self._post(peer.address, body)

    def send_rental_refusals(self, controller_id: str, offers: list[RefusedOffer]) -> None:
        """As the leader, notify a shard's owner of the offers that the cloud refuses."""
        message = RentalRefusals(self.context.incarnation, self.context.wall_time, offers)
        self.send(controller_id, msgspec.json.encode(message))

    def send_cancellations(self, controller_id: str, job_ids: list[str]) -> None:
        """Notify a shard's owner of cancelled jobs; a lost message does no harm."""
        for start in range(0, len(job_ids), MAX_CANCELLATIONS):
            message = Cancellations(job_ids[start : start + MAX_CANCELLATIONS])
            self.send(controller_id, msgspec.json.encode(message))

    def send(self, controller_id: str, body: bytes) -> None:
        """Send an encoded message to one peer, without waiting for a response."""
        for peer in self.context.settings.peers:
            if peer.controller_id == controller_id:
                self._post(peer.address, body)

    def _post(self, address: str, body: bytes) -> None:
        self.context.call(
            address,
            "POST",
            PEER_MESSAGES_PATH,
            body,
            PEER_HEARTBEAT_INTERVAL_SECONDS,
            ignore_response,
        )

    # -- receiving -------------------------------------------------------------------------

    def receive(self, body: bytes) -> PeerMessageBody | None:
        """Decode a message, and store it if it is a heartbeat.

        Returns None if the message is malformed or arrives too late, or if it is a heartbeat that
        is not newer than the last one of its sender: a controller that is cut off must not seem
        live because an old heartbeat arrives.
        """
        message = decode_peer_message(body)
        if message is None or isinstance(message, Cancellations):
            return message  # a cancellation is final, so it is never too late for one
        if self._is_too_old(message.sent_at):
            return None
        if isinstance(message, PeerHeartbeat) and not self._store_if_newer(message):
            return None
        return message

    def _store_if_newer(self, heartbeat: PeerHeartbeat) -> bool:
        """Store a heartbeat; return False if it is not newer than the last one of its sender."""
        last = self.last_heartbeats.get(heartbeat.controller_id)
        if last is not None and heartbeat.sent_at <= last.heartbeat.sent_at:
            return False
        received = ReceivedHeartbeat(heartbeat, self.context.now)
        self.last_heartbeats[heartbeat.controller_id] = received
        return True

    def _is_too_old(self, sent_at: float) -> bool:
        """Return whether a message was sent too long ago.

        Both controllers' clocks may be wrong by the allowed skew, in opposite directions.
        """
        skew_s = 2 * self.context.settings.facts.skew_ms / 1000
        return self.context.wall_time - sent_at > RECENT_SECONDS + skew_s

    # -- liveness --------------------------------------------------------------------------

    def is_recent(self, controller_id: str) -> bool:
        """Return whether the peer's last heartbeat is recent, so it is live and reachable."""
        last = self.last_heartbeats.get(controller_id)
        return last is not None and self.context.now - last.received_at < RECENT_SECONDS

    def has_no_live_peer(self) -> bool:
        """Return whether no peer counts as live."""
        return not any(self.is_recent(controller_id) for controller_id in self.last_heartbeats)

    def is_watch_cache_stale(self, fresh_at: float) -> bool:
        """Return whether this controller's watch cache is stale compared to that of a live peer.

        `fresh_at` is when this controller last reached the state service, in seconds of the
        monotonic clock. The cache is stale if a live peer reached it more than `STALE_SECONDS`
        later: at the arrival of the peer's last heartbeat, minus the staleness stated in it.
        Comparing the two stalenesses would be wrong: in an outage of the service all caches become
        stale together, but the peers' last heartbeats state the staleness of some seconds ago.
        """
        stale_before = fresh_at + STALE_SECONDS
        return any(
            self.is_recent(controller_id)
            and last.received_at - last.heartbeat.staleness_s > stale_before
            for controller_id, last in self.last_heartbeats.items()
        )
