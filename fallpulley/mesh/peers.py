"""Messages to and from the other controllers, and what their heartbeats say about them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import ignore_response
from fallpulley.mesh.messages import (
    PEER_MESSAGES_PATH,
    Cancellations,
    MachineRequest,
    PeerHeartbeat,
    PeerMessageBody,
    TaskCount,
    decode,
)

HEARTBEAT_SECONDS = 1.0
# A peer whose last heartbeat is older than this says nothing about the present.
RECENT_HEARTBEATS = 3.5
RECENT_SECONDS = RECENT_HEARTBEATS * HEARTBEAT_SECONDS
# Our watch cache is stale when it was not refreshed for so many heartbeats while a peer's was.
STALE_HEARTBEATS = 3.0
STALE_SECONDS = STALE_HEARTBEATS * HEARTBEAT_SECONDS
# What a controller that never read the records sends as its staleness.
MAX_STALENESS_SECONDS = 1e6
# Jobs in one message about cancellations.
MAX_CANCELLATIONS = 1000


class ReceivedHeartbeat(NamedTuple):
    """A peer's last heartbeat and when it arrived, by this controller's monotonic clock."""

    heartbeat: PeerHeartbeat
    received_at: float


class Peers:
    """The other controllers, as this one hears from them."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.last_heartbeats: dict[str, ReceivedHeartbeat] = {}  # by controller_id
        self._next_heartbeat_at = float("-inf")

    # -- sending ---------------------------------------------------------------------------

    def is_heartbeat_due(self) -> bool:
        """It is time for this controller's next heartbeat."""
        return self.context.now >= self._next_heartbeat_at

    def send_heartbeat(
        self,
        staleness_s: float,
        task_counts: list[TaskCount],
        machine_requests: list[MachineRequest],
        target_sizes: dict[str, int],
    ) -> None:
        """Send this controller's heartbeat to all peers."""
        self._next_heartbeat_at = self.context.now + HEARTBEAT_SECONDS
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

    def send_cancellations(self, controller_id: str, job_ids: list[str]) -> None:
        """Notify a shard's owner of cancelled jobs; losing the message does no harm."""
        for start in range(0, len(job_ids), MAX_CANCELLATIONS):
            message = Cancellations(job_ids[start : start + MAX_CANCELLATIONS])
            self.send(controller_id, msgspec.json.encode(message))

    def send(self, controller_id: str, body: bytes) -> None:
        """Send an encoded message to one peer; whether it arrives is not known."""
        for peer in self.context.settings.peers:
            if peer.controller_id == controller_id:
                self._post(peer.address, body)

    def _post(self, address: str, body: bytes) -> None:
        self.context.call(
            address, "POST", PEER_MESSAGES_PATH, body, HEARTBEAT_SECONDS, ignore_response
        )

    # -- receiving -------------------------------------------------------------------------

    def receive(self, body: bytes) -> PeerMessageBody | None:
        """Decode a message and record a heartbeat.

        None for a malformed message, and for a heartbeat that is a late copy or older than the
        last: a controller that is cut off must not seem live because an old one arrives.
        """
        message = decode(body)
        if not isinstance(message, PeerHeartbeat):
            return message
        if self._is_late(message):
            return None
        last = self.last_heartbeats.get(message.controller_id)
        if last is not None and message.sent_at <= last.heartbeat.sent_at:
            return None
        self.last_heartbeats[message.controller_id] = ReceivedHeartbeat(message, self.context.now)
        return message

    def _is_late(self, heartbeat: PeerHeartbeat) -> bool:
        """Sent too long ago, even if both controllers' clocks are wrong by the allowed skew."""
        skew_s = 2 * self.context.settings.facts.skew_ms / 1000
        return self.context.wall_time - heartbeat.sent_at > RECENT_SECONDS + skew_s

    # -- liveness --------------------------------------------------------------------------

    def is_recent(self, controller_id: str) -> bool:
        """The peer's last heartbeat is recent: it is live and can be reached."""
        last = self.last_heartbeats.get(controller_id)
        return last is not None and self.context.now - last.received_at < RECENT_SECONDS

    def has_no_live_peer(self) -> bool:
        """No peer's last heartbeat is recent."""
        return not any(self.is_recent(controller_id) for controller_id in self.last_heartbeats)

    def is_stale(self, fresh_at: float) -> bool:
        """A peer reached the state service clearly after this controller last did, at `fresh_at`.

        A heartbeat's age counts: in an outage of the service everybody's last watch is as old as
        ours, whatever a heartbeat of some seconds ago said.
        """
        stale_before = fresh_at + STALE_SECONDS
        return any(
            self.is_recent(controller_id)
            and last.received_at - last.heartbeat.staleness_s > stale_before
            for controller_id, last in self.last_heartbeats.items()
        )
