"""What all slices of one controller share: its settings, clock, effects and derived times."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.effects import Effect, HttpCall, ResponseHandler, SendResponse
from fallpulley.records.formats import COMPACT_FORMAT, PAGED_FORMAT
from fallpulley.settings import Settings
from fallpulley.state.client import StateClient

log = logging.getLogger(__name__)

# Of a value's room, what a record may fill.
MAX_VALUE_SHARE = 0.95
# Steady clocks drift apart by up to 0.05%; twice that covers two clocks running apart.
CLOCK_DRIFT = 1.001


class ControllerContext:
    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.controller_id = settings.controller_id
        self.incarnation = incarnation
        self.clock = clock
        self.now = 0.0
        self.wall_time = 0.0
        self.outbox: list[Effect] = []
        facts = settings.facts
        nodes = max(facts.nodes, 1)
        # That records may be written in, by the marker in the state service.
        self.record_format = 1
        self.future_state_limits = facts.state.strictest()
        self.state_client = StateClient(
            settings.endpoints.state,
            facts.state.rps / nodes,
            facts.state.write_rps / nodes,
            # Transactions as small as they will have to be: both formats allow it.
            self.future_state_limits.txn_ops,
            self.outbox.append,
        )
        if self.future_state_limits.value_kb < facts.state.value_kb:
            self.state_client.future_value_bytes = self.future_state_limits.value_kb * 1024
            self.state_client.on_future_limits = self._on_future_limits
        workers = facts.workers
        self.report_s = workers.report_s
        self.lease_s = workers.lease_s
        # Slack for answers under way, slow steps and the clocks' drift.
        self.slack_s = 0.1 * workers.cancel_s
        # W: how long a holder that cannot reach the state service goes on serving its block.
        self.response_window_s = workers.cancel_s - workers.lease_s - self.slack_s
        # A controller's session ends this long after its last renewal.
        self.session_s = settings.operators.session_share * workers.lease_s
        standby = settings.operators.standby
        if standby.enabled:
            self.session_s = min(self.session_s, standby.session_s)
        # A worker's lease is certainly over this long after the last answer to it.
        self.lease_expiry_s = workers.lease_s * CLOCK_DRIFT + 0.25 * workers.report_s

    @property
    def compact_format(self) -> bool:
        """Records may be written as the first version could not read them."""
        return self.record_format >= COMPACT_FORMAT

    @property
    def paged_format(self) -> bool:
        """A block's machines may stand in several values."""
        return self.record_format >= PAGED_FORMAT

    @property
    def txn_ops(self) -> int:
        return self.future_state_limits.txn_ops

    @property
    def value_bytes(self) -> int:
        """What a value may take now. Once no controller needs the older format, no more than the
        state service will allow, so that the coming of its limits is no event."""
        facts = self.settings.facts
        limits = self.future_state_limits if self.compact_format else facts.state
        return int(limits.value_kb * 1024 * MAX_VALUE_SHARE)

    def _on_future_limits(self) -> None:
        """A value was refused that was allowed before. The limits to come come only after the last
        controller was brought over, whether or not all have been seen: no older one is left."""
        log.info("state limits have come value_kb=%g", self.future_state_limits.value_kb)
        self.adopt_format(COMPACT_FORMAT)

    def adopt_format(self, number: int) -> None:
        """From now on records are written in this format; there is no way back."""
        if self.record_format >= number:
            return
        log.info("records newer format begins format=%d", number)
        if not self.compact_format:
            nodes = max(self.settings.facts.nodes, 1)
            self.state_client.expect_lower_rates(
                self.future_state_limits.rps / nodes, self.future_state_limits.write_rps / nodes
            )
        self.record_format = number

    def respond(
        self,
        pending_response: object,
        status: int,
        body: bytes = b"",
        retry_after: float | None = None,
    ) -> None:
        self.outbox.append(SendResponse(pending_response, status, body, retry_after))

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_response: ResponseHandler,
    ) -> None:
        self.outbox.append(HttpCall(address, method, path, body, timeout_s, on_response))
