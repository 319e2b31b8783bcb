"""Beats between controllers: counts for display, wants for the leader, and who sees what."""

from __future__ import annotations

import msgspec

from fallpulley.core import Core
from fallpulley.mesh.messages import Beat, CalledOff, Message, Want, decode

BEAT_S = 1.0
# A peer whose last beat is older than this says nothing about the present.
RECENT_BEATS = 3.5
# Our copy is behind when it was not refreshed for so many beats while a peer's was.
BEHIND_BEATS = 3.0


class Peers:
    def __init__(self, core: Core) -> None:
        self.core = core
        self.beats: dict[str, tuple[Beat, float]] = {}
        self._next = float("-inf")

    def tick(
        self,
        fresh_s: float,
        counts: list[tuple[str, int, int]],
        wants: list[Want],
        targets: dict[str, int],
    ) -> None:
        now = self.core.now
        if now < self._next:
            return
        self._next = now + BEAT_S
        body = msgspec.json.encode(
            Beat(
                self.core.label,
                self.core.boot,
                self.core.wall,
                min(fresh_s, 1e6),
                counts,
                wants,
                targets,
            )
        )
        for seed in self.core.settings.seeds:
            self.core.call(
                seed.address, "POST", "/beat", body, BEAT_S, lambda status, answer, at: None
            )

    def due(self) -> bool:
        return self.core.now >= self._next

    def tell(self, label: str, jobs: list[str]) -> None:
        """Tell a block's holder of cancellations; nothing is lost if it does not hear."""
        body = msgspec.json.encode(CalledOff(jobs))
        for seed in self.core.settings.seeds:
            if seed.label == label:
                self.core.call(
                    seed.address, "POST", "/beat", body, BEAT_S, lambda status, answer, at: None
                )

    def take(self, body: bytes) -> Message | None:
        """The message. Not a beat that is a late copy or overtaken by a newer one: a controller
        that is cut off must not seem to be there because an old beat of it arrives."""
        beat = decode(body)
        if not isinstance(beat, Beat):
            return beat
        last = self.beats.get(beat.label)
        skew_s = 2 * self.core.settings.facts.skew_ms / 1000
        late = self.core.wall - beat.sent_at > RECENT_BEATS * BEAT_S + skew_s
        if late or (last is not None and beat.sent_at <= last[0].sent_at):
            return None
        self.beats[beat.label] = (beat, self.core.now)
        return beat

    def recent(self, label: str) -> bool:
        entry = self.beats.get(label)
        return entry is not None and self.core.now - entry[1] < RECENT_BEATS * BEAT_S

    def none(self) -> bool:
        return not any(self.recent(label) for label in self.beats)

    def left_behind(self, fresh_at: float) -> bool:
        """Peers reached the state service clearly after we last did.

        A beat's age counts: in an outage of the service everybody's last look is as old as
        ours, whatever a beat of some seconds ago said.
        """
        late = fresh_at + BEHIND_BEATS * BEAT_S
        return any(
            self.recent(label) and at - beat.fresh_s > late
            for label, (beat, at) in self.beats.items()
        )
