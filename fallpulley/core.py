"""What all slices of one controller share: its settings, clock, effects and derived times."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.effects import Answer, Call, Done, Effect
from fallpulley.formats import PARTS_FORMAT, RUNS_FORMAT
from fallpulley.settings import Settings
from fallpulley.state.client import StateClient

log = logging.getLogger(__name__)

# Of a value's room, what a record may fill.
VALUE_SHARE = 0.95
# Steady clocks drift apart by up to 0.05%; twice that covers two clocks running apart.
DRIFT = 1.001


class Core:
    def __init__(self, settings: Settings, boot: str, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.label = settings.label
        self.boot = boot
        self.clock = clock
        self.now = 0.0
        self.wall = 0.0
        self.effects: list[Effect] = []
        facts = settings.facts
        nodes = max(facts.nodes, 1)
        # That records may be written in, by the marker in the state service.
        self.record_format = 1
        self.lesser = facts.state.lesser()
        self.state = StateClient(
            settings.endpoints.state,
            facts.state.rps / nodes,
            facts.state.write_rps / nodes,
            # Transactions as small as they will have to be: both formats allow it.
            self.lesser.txn_ops,
            self.effects.append,
        )
        if self.lesser.value_kb < facts.state.value_kb:
            self.state.small_bytes = self.lesser.value_kb * 1024
            self.state.on_limits = self._limits_seen
        workers = facts.workers
        self.report_s = workers.report_s
        self.lease_s = workers.lease_s
        # Slack for answers under way, slow steps and the clocks' drift.
        self.slack_s = 0.1 * workers.cancel_s
        # W: how long a holder that cannot reach the state service goes on serving its block.
        self.window_s = workers.cancel_s - workers.lease_s - self.slack_s
        # A controller's session ends this long after its last renewal.
        self.session_s = settings.operators.session_share * workers.lease_s
        standby = settings.operators.standby
        if standby.enabled:
            self.session_s = min(self.session_s, standby.session_s)
        # A worker's lease is certainly over this long after the last answer to it.
        self.lease_over_s = workers.lease_s * DRIFT + 0.25 * workers.report_s

    @property
    def newer_format(self) -> bool:
        """Records may be written as the first version could not read them."""
        return self.record_format >= RUNS_FORMAT

    @property
    def parts_format(self) -> bool:
        """A block's machines may stand in several values."""
        return self.record_format >= PARTS_FORMAT

    @property
    def txn_ops(self) -> int:
        return self.lesser.txn_ops

    @property
    def value_bytes(self) -> int:
        """What a value may take now. Once no controller needs the older format, no more than the
        state service will allow, so that the coming of its limits is no event."""
        facts = self.settings.facts
        limits = self.lesser if self.newer_format else facts.state
        return int(limits.value_kb * 1024 * VALUE_SHARE)

    def _limits_seen(self) -> None:
        """A value was refused that was allowed before. The limits to come come only after the last
        controller was brought over, whether or not all have been seen: no older one is left."""
        log.info("state limits have come value_kb=%g", self.lesser.value_kb)
        self.begin_format(RUNS_FORMAT)

    def begin_format(self, number: int) -> None:
        """From now on records are written in this format; there is no way back."""
        if self.record_format >= number:
            return
        log.info("records newer format begins format=%d", number)
        if not self.newer_format:
            nodes = max(self.settings.facts.nodes, 1)
            self.state.expect_limits(self.lesser.rps / nodes, self.lesser.write_rps / nodes)
        self.record_format = number

    def answer(
        self,
        pending_response: object,
        status: int,
        body: bytes = b"",
        retry_after: float | None = None,
    ) -> None:
        self.effects.append(Answer(pending_response, status, body, retry_after))

    def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float, done: Done
    ) -> None:
        self.effects.append(Call(address, method, path, body, timeout_s, done))
