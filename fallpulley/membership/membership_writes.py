"""Transactions that change membership records: one at a time for each key."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.state.transactions import Change, RequestPriority, Write

log = logging.getLogger(__name__)

# A write is repeated when its response is overdue for so long.
RESPONSE_TIMEOUT_SECONDS = 1.0
# A write that has not been sent by then is dropped, so that it does not meet its repetition.
EXPIRY_SECONDS = 0.9
# After a response, how long the watch has to bring the change before the key is written again.
PAUSE_AFTER_RESPONSE_SECONDS = 0.2


class MembershipWrites:
    """Sends conditional writes, and keeps a key from being written again meanwhile."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._blocked_until: dict[str, float] = {}

    def begin(self, key: str) -> bool:
        """Reserve a key for a write that is sent at once; False while another is in flight."""
        now = self._context.now
        if now < self._blocked_until.get(key, float("-inf")):
            return False
        self._blocked_until[key] = now + RESPONSE_TIMEOUT_SECONDS
        return True

    def send(
        self,
        conditions: dict[str, int],
        change: Change,
        priority: RequestPriority = RequestPriority.RENEWAL,
    ) -> None:
        """Send a write of a key reserved with `begin`, on condition of the expected revisions."""
        key = change.key
        self._context.state_client.write(
            Write(
                conditions,
                [change],
                lambda result: self._on_result(key, result.status),
                priority,
                isolated=True,
                expires_at=self._context.now + EXPIRY_SECONDS,
            )
        )

    def _on_result(self, key: str, status: int | None) -> None:
        log.debug("membership write answered key=%s status=%s", key, status)
        self._blocked_until[key] = self._context.now + PAUSE_AFTER_RESPONSE_SECONDS
