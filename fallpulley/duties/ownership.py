"""Which duties this controller owns, and how it claims those that are free."""

from __future__ import annotations

import msgspec

from fallpulley.controller_access import MAX_WRITE_WAIT_SECONDS, ControllerAccess
from fallpulley.duties.messages import Duty, DutyRecord, duty_key
from fallpulley.duties.registry import DutyRegistry
from fallpulley.records.keys import LEADER_KEY
from fallpulley.state.transactions import Change, RequestPriority, WriteResult

# A duty that could not be claimed is tried again after so long.
CLAIM_RETRY_SECONDS = 0.5


class DutyOwnership:
    """Claims duties for this controller, as the leader, and says under which token it owns them."""

    def __init__(self, access: ControllerAccess, duty_registry: DutyRegistry) -> None:
        self._access = access
        self._duty_registry = duty_registry
        self._next_claim_at: dict[Duty, float] = {}  # by the monotonic clock

    def token(self, duty: Duty) -> int | None:
        """The fencing token under which this controller owns the duty now; None: it does not."""
        owned = self._duty_registry.duties.get(duty)
        if (
            owned is None
            or owned.record.incarnation != self._access.context.incarnation
            or not self._access.session.is_live()
        ):
            return None
        return owned.token

    def owns(self, duty: Duty) -> bool:
        """This controller certainly owns the duty now."""
        return self.token(duty) is not None

    def claim_free_duties(self) -> None:
        """As the leader, claim every duty that this controller does not own."""
        for duty in Duty:
            if not self.owns(duty):
                self._claim(duty)

    def _claim(self, duty: Duty) -> None:
        """Conditioned on the leadership and the session, which end with one lease."""
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
