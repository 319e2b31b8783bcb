"""Heartbeats between controllers: job counts, requests for machines, who sees what."""

from __future__ import annotations

import msgspec

from fallpulley.core import Core
from fallpulley.mesh.messages import CalledOff, Heartbeat, MachineRequest, Message, decode

HEARTBEAT_S = 1.0
# A peer whose last heartbeat is older than this says nothing about the present.
RECENT_HEARTBEATS = 3.5
# Our copy is behind when it was not refreshed for so many heartbeats while a peer's was.
BEHIND_HEARTBEATS = 3.0

# Jobs in one message about cancellations.
TOLD_MOST = 1000


class Peers:
    def __init__(self, core: Core) -> None:
        self.core = core
        self.heartbeats: dict[str, tuple[Heartbeat, float]] = {}
        self._next = float("-inf")

    def tick(
        self,
        fresh_s: float,
        counts: list[tuple[str, int, int]],
        machine_requests: list[MachineRequest],
        targets: dict[str, int],
    ) -> None:
        now = self.core.now
        if now < self._next:
            return
        self._next = now + HEARTBEAT_S
        body = msgspec.json.encode(
            Heartbeat(
                self.core.label,
                self.core.boot,
                self.core.wall,
                min(fresh_s, 1e6),
                counts,
                machine_requests,
                targets,
            )
        )
        for seed in self.core.settings.seeds:
            self._post(seed.address, body)

    def due(self) -> bool:
        return self.core.now >= self._next

    def tell(self, label: str, jobs: list[str]) -> None:
        """Tell a block's holder of cancellations; nothing is lost if it does not hear."""
        for at in range(0, len(jobs), TOLD_MOST):
            self.send(label, msgspec.json.encode(CalledOff(jobs[at : at + TOLD_MOST])))

    def send(self, label: str, body: bytes) -> None:
        """One message to a peer; whether it came is not known."""
        for seed in self.core.settings.seeds:
            if seed.label == label:
                self._post(seed.address, body)

    def _post(self, address: str, body: bytes) -> None:
        self.core.call(address, "POST", "/beat", body, HEARTBEAT_S, lambda status, answer, at: None)

    def take(self, body: bytes) -> Message | None:
        """The message; None for a heartbeat that is a late copy or overtaken by a newer one: a
        controller that is cut off must not seem to be there because an old one arrives."""
        heartbeat = decode(body)
        if not isinstance(heartbeat, Heartbeat):
            return heartbeat
        last = self.heartbeats.get(heartbeat.label)
        skew_s = 2 * self.core.settings.facts.skew_ms / 1000
        late = self.core.wall - heartbeat.sent_at > RECENT_HEARTBEATS * HEARTBEAT_S + skew_s
        if late or (last is not None and heartbeat.sent_at <= last[0].sent_at):
            return None
        self.heartbeats[heartbeat.label] = (heartbeat, self.core.now)
        return heartbeat

    def recent(self, label: str) -> bool:
        entry = self.heartbeats.get(label)
        return entry is not None and self.core.now - entry[1] < RECENT_HEARTBEATS * HEARTBEAT_S

    def none(self) -> bool:
        return not any(self.recent(label) for label in self.heartbeats)

    def left_behind(self, fresh_at: float) -> bool:
        """Peers reached the state service clearly after we last did.

        A heartbeat's age counts: in an outage of the service everybody's last look is as old as
        ours, whatever a heartbeat of some seconds ago said.
        """
        late = fresh_at + BEHIND_HEARTBEATS * HEARTBEAT_S
        return any(
            self.recent(label) and at - heartbeat.fresh_s > late
            for label, (heartbeat, at) in self.heartbeats.items()
        )
