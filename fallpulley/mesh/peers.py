"""Heartbeats between controllers: job counts, requests for machines, who sees what."""

from __future__ import annotations

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import ignore_response
from fallpulley.mesh.messages import (
    Cancellations,
    MachineRequest,
    PeerHeartbeat,
    PeerMessageBody,
    decode,
)

HEARTBEAT_SECONDS = 1.0
# A peer whose last heartbeat is older than this says nothing about the present.
RECENT_HEARTBEATS = 3.5
# Our copy is behind when it was not refreshed for so many heartbeats while a peer's was.
STALE_HEARTBEATS = 3.0

# Jobs in one message about cancellations.
MAX_CANCELLATIONS = 1000


class Peers:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.heartbeats: dict[str, tuple[PeerHeartbeat, float]] = {}
        self._next = float("-inf")

    def tick(
        self,
        staleness_s: float,
        task_counts: list[tuple[str, int, int]],
        machine_requests: list[MachineRequest],
        target_sizes: dict[str, int],
    ) -> None:
        now = self.context.now
        if now < self._next:
            return
        self._next = now + HEARTBEAT_SECONDS
        body = msgspec.json.encode(
            PeerHeartbeat(
                self.context.controller_id,
                self.context.incarnation,
                self.context.wall_time,
                min(staleness_s, 1e6),
                task_counts,
                machine_requests,
                target_sizes,
            )
        )
        for seed in self.context.settings.peers:
            self._post(seed.address, body)

    def is_due(self) -> bool:
        return self.context.now >= self._next

    def send_cancellations(self, controller_id: str, jobs: list[str]) -> None:
        """Tell a block's holder of cancellations; nothing is lost if it does not hear."""
        for at in range(0, len(jobs), MAX_CANCELLATIONS):
            self.send(
                controller_id, msgspec.json.encode(Cancellations(jobs[at : at + MAX_CANCELLATIONS]))
            )

    def send(self, controller_id: str, body: bytes) -> None:
        """One message to a peer; whether it came is not known."""
        for seed in self.context.settings.peers:
            if seed.controller_id == controller_id:
                self._post(seed.address, body)

    def _post(self, address: str, body: bytes) -> None:
        self.context.call(address, "POST", "/beat", body, HEARTBEAT_SECONDS, ignore_response)

    def receive(self, body: bytes) -> PeerMessageBody | None:
        """The message; None for a heartbeat that is a late copy or overtaken by a newer one: a
        controller that is cut off must not seem to be there because an old one arrives."""
        heartbeat = decode(body)
        if not isinstance(heartbeat, PeerHeartbeat):
            return heartbeat
        last = self.heartbeats.get(heartbeat.controller_id)
        skew_s = 2 * self.context.settings.facts.skew_ms / 1000
        late = (
            self.context.wall_time - heartbeat.sent_at
            > RECENT_HEARTBEATS * HEARTBEAT_SECONDS + skew_s
        )
        if late or (last is not None and heartbeat.sent_at <= last[0].sent_at):
            return None
        self.heartbeats[heartbeat.controller_id] = (heartbeat, self.context.now)
        return heartbeat

    def is_recent(self, controller_id: str) -> bool:
        entry = self.heartbeats.get(controller_id)
        return (
            entry is not None
            and self.context.now - entry[1] < RECENT_HEARTBEATS * HEARTBEAT_SECONDS
        )

    def has_no_live_peer(self) -> bool:
        return not any(self.is_recent(controller_id) for controller_id in self.heartbeats)

    def is_stale(self, fresh_at: float) -> bool:
        """Peers reached the state service clearly after we last did.

        A heartbeat's age counts: in an outage of the service everybody's last look is as old as
        ours, whatever a heartbeat of some seconds ago said.
        """
        late = fresh_at + STALE_HEARTBEATS * HEARTBEAT_SECONDS
        return any(
            self.is_recent(controller_id) and at - heartbeat.staleness_s > late
            for controller_id, (heartbeat, at) in self.heartbeats.items()
        )
