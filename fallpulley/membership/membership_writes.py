"""Transactions that change membership records, at most one at a time for each key."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.state.transactions import Change, RequestPriority, Write

log = logging.getLogger(__name__)

# A key without a response to its last write may be written again after this time.
RESPONSE_TIMEOUT_SECONDS = 1.0
# A write still unsent after this time is dropped, before a retry of it can be queued.
WRITE_EXPIRY_SECONDS = 0.9
# Minimum time from a response to the next write of the key, for the watch to deliver the change.
PAUSE_AFTER_RESPONSE_SECONDS = 0.2


class MembershipWrites:
    """Sends conditional writes, and keeps a key from being written again while one is pending."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._reserved_until: dict[str, float] = {}

    def try_reserve(self, key: str) -> bool:
        """Reserve a key for a write, which has to be sent at once.

        Returns False if an earlier write of the key is pending or has only just been completed.
        """
        now = self._context.now
        if now < self._reserved_until.get(key, float("-inf")):
            return False
        self._reserved_until[key] = now + RESPONSE_TIMEOUT_SECONDS
        return True

    def send(
        self,
        conditions: dict[str, int],
        change: Change,
        priority: RequestPriority = RequestPriority.RENEWAL,
    ) -> None:
        """Send a write of a key that was reserved with `try_reserve`.

        `conditions` are the mod revisions that keys must have for the write to be carried out.
        """
        key = change.key
        self._context.state_client.write(
            Write(
                conditions,
                [change],
                lambda result: self._on_result(key, result.status),
                priority,
                isolated=True,
                expires_at=self._context.now + WRITE_EXPIRY_SECONDS,
            )
        )

    def _on_result(self, key: str, status: int | None) -> None:
        log.debug("membership write completed key=%s status=%s", key, status)
        self._reserved_until[key] = self._context.now + PAUSE_AFTER_RESPONSE_SECONDS
