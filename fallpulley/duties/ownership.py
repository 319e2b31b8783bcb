"""Ownership of duties: which ones this controller owns, and how it claims the others."""

from __future__ import annotations

import msgspec

from fallpulley.controller_access import MAX_WRITE_WAIT_SECONDS, ControllerAccess
from fallpulley.duties.messages import Duty, DutyRecord, duty_key
from fallpulley.duties.registry import DutyRegistry
from fallpulley.shared_records.keys import LEADER_KEY
from fallpulley.state.transactions import Change, RequestPriority, WriteResult

# Time from the result of a claim until the same duty may be claimed again, in seconds.
CLAIM_RETRY_SECONDS = 0.5


class DutyOwnership:
    """Claims duties for this controller while it leads, and knows the tokens of owned duties."""

    def __init__(self, access: ControllerAccess, duty_registry: DutyRegistry) -> None:
        self._access = access
        self._duty_registry = duty_registry
        # Earliest time of the next claim of each duty, in seconds of the monotonic clock.
        self._next_claim_at: dict[Duty, float] = {}

    def token(self, duty: Duty) -> int | None:
        """Return the fencing token under which this controller owns the duty now, or None."""
        owned = self._duty_registry.duties.get(duty)
        if (
            owned is None
            or owned.record.incarnation != self._access.context.incarnation
            or not self._access.session.is_live()
        ):
            return None
        return owned.token

    def owns(self, duty: Duty) -> bool:
        """Return whether this controller certainly owns the duty now."""
        return self.token(duty) is not None

    def claim_missing_duties(self) -> None:
        """Claim every duty that this controller does not own. It must be the leader."""
        for duty in Duty:
            if not self.owns(duty):
                self._claim(duty)

    def _claim(self, duty: Duty) -> None:
        """Write this controller into the duty's record, unless a claim is pending or too recent.

        The write is conditioned on the records of the leadership and of the session, which end with
        the same lease.
        """
        access = self._access
        now = access.context.now
        if now < self._next_claim_at.get(duty, float("-inf")):
            return
        self._next_claim_at[duty] = now + MAX_WRITE_WAIT_SECONDS
        key = duty_key(duty)
        conditions = {
            key: access.watch.mod_revision(key),
            LEADER_KEY: access.watch.mod_revision(LEADER_KEY),
            access.session.key: access.watch.mod_revision(access.session.key),
        }
        record = DutyRecord(access.context.controller_id, access.context.incarnation)

        def on_result(result: WriteResult) -> None:
            self._next_claim_at[duty] = access.context.now + CLAIM_RETRY_SECONDS

        access.compare_and_set(
            conditions,
            Change(key, msgspec.json.encode(record), access.session.lease_id),
            on_result,
            RequestPriority.RENEWAL,
            isolated=True,
        )
