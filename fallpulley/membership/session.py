"""This controller's session: a lease in the state service and the key attached to it."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.records.formats import NEWEST_FORMAT
from fallpulley.records.shard_record import LeaseGrant, Session
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# Renewals within one session length: three may fail before the session ends.
RENEWALS_PER_SESSION = 4


class SessionLease:
    def __init__(self, context: ControllerContext, watch: WatchCache) -> None:
        self.context = context
        self.watch = watch
        self.key = f"live/session/{context.controller_id}"
        self.record_format = NEWEST_FORMAT  # the newest record format that this process knows
        self.lease_id: int | None = None
        self.attached = False  # the key is attached to our lease
        self.renewed_at = float("-inf")  # when the last successful renewal was sent
        self._renewal_in_flight = False
        self._next_renewal_at = float("-inf")
        self._attaching = False

    @property
    def encoded(self) -> bytes:
        return msgspec.json.encode(
            Session(self.context.controller_id, self.context.incarnation, self.record_format)
        )

    def is_live(self) -> bool:
        """Our session certainly exists."""
        return self.attached and self.context.now < self.renewed_at + self.context.timing.session_s

    def tick(self) -> None:
        if not self.watch.ready:
            return
        now = self.context.now
        if not self._renewal_in_flight and now >= self._next_renewal_at:
            self._next_renewal_at = now + self.context.timing.session_s / RENEWALS_PER_SESSION
            if self.lease_id is None:
                self._create()
            else:
                self._renew(self.lease_id)
        if self.lease_id is not None and not self.attached and not self._attaching:
            self._attach(self.lease_id)

    def _create(self) -> None:
        self._renewal_in_flight = True
        life_ms = max(100, min(600_000, round(self.context.timing.session_s * 1000)))

        def on_response(response: Response) -> None:
            self._renewal_in_flight = False
            if response.ok:
                try:
                    self.lease_id = msgspec.json.decode(response.body, type=LeaseGrant).lease_id
                except msgspec.MsgspecError:
                    return
                self.renewed_at = response.sent_at

        body = msgspec.json.encode({"life_ms": life_ms})
        self.context.state_client.request(
            "/leases", on_response, RequestPriority.RENEWAL, "POST", body, 1.0
        )

    def _renew(self, lease_id: int) -> None:
        self._renewal_in_flight = True

        def on_response(response: Response) -> None:
            self._renewal_in_flight = False
            if self.lease_id != lease_id:
                return
            if response.ok:
                self.renewed_at = max(self.renewed_at, response.sent_at)
            elif response.status == 404:
                log.info("session lost tenure=%d", lease_id)
                self.discard()

        timeout_s = max(0.3, self.context.timing.session_s / RENEWALS_PER_SESSION)
        path = f"/leases/{lease_id}/extend"
        self.context.state_client.request(
            path, on_response, RequestPriority.RENEWAL, "POST", b"", timeout_s
        )

    def discard(self) -> None:
        self.lease_id = None
        self.attached = False
        self._next_renewal_at = float("-inf")

    def _attach(self, lease_id: int) -> None:
        self._attaching = True

        def on_result(result: WriteResult) -> None:
            self._attaching = False
            if self.lease_id != lease_id:
                return
            if result.committed:
                self.attached = True
                log.info("session open tenure=%d boot=%s", lease_id, self.context.incarnation)
            elif result.invalid:
                self.discard()

        # An older process of this label has ended, or there would be no new one: its
        # session key may be replaced at once.
        self.context.state_client.write(
            Write(
                {self.key: self.watch.mod_revision(self.key)},
                [Change(self.key, self.encoded, lease_id)],
                on_result,
                RequestPriority.RENEWAL,
                isolated=True,
                expires_at=self.context.now + 2.0,
            )
        )
