"""This controller's session: a lease in the state service and the key attached to it."""

from __future__ import annotations

import logging
from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.record_format import NEWEST_FORMAT
from fallpulley.shared_records.keys import SESSION_PREFIX
from fallpulley.shared_records.messages import LeaseGrant, Session
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# Renewals sent within one session length: three in a row may fail before the session ends.
RENEWALS_PER_SESSION = 4
# Timeout of the request that creates the lease.
CREATE_TIMEOUT_SECONDS = 1.0
# Lower bound of the timeout of a renewal, which is otherwise the interval between renewals.
MIN_RENEWAL_TIMEOUT_SECONDS = 0.3
# A write of the session key still unsent after this time is dropped.
ATTACH_EXPIRY_SECONDS = 2.0
# Shortest and longest lease that the state service grants, in milliseconds.
MIN_TTL_MS = 100
MAX_TTL_MS = 600_000


class SessionLease:
    """Creates and renews this controller's lease, and attaches the session key to it."""

    def __init__(self, context: ControllerContext, watch: WatchCache) -> None:
        self.context = context
        self.watch = watch
        self.key = SESSION_PREFIX + context.controller_id
        self.record_format = NEWEST_FORMAT  # the newest record format that this process knows
        self.lease_id: int | None = None
        self.attached = False  # the session key is attached to the lease
        self.renewed_at = float("-inf")  # when the last successful creation or renewal was sent
        self._renewal_in_flight = False
        self._next_renewal_at = float("-inf")
        self._attach_in_flight = False

    @property
    def encoded_session(self) -> bytes:
        """The value of this controller's session key."""
        return msgspec.json.encode(
            Session(self.context.controller_id, self.context.incarnation, self.record_format)
        )

    def is_live(self) -> bool:
        """Return whether this controller's session certainly exists.

        It exists once its key is attached, and for one session length from when the last successful
        creation or renewal of the lease was sent.
        """
        return self.attached and self.context.now < self.renewed_at + self.context.timing.session_s

    def tick(self) -> None:
        """Create or renew the lease when due, and attach the session key to a new lease."""
        if not self.watch.ready:
            return
        now = self.context.now
        if not self._renewal_in_flight and now >= self._next_renewal_at:
            self._next_renewal_at = now + self.context.timing.session_s / RENEWALS_PER_SESSION
            if self.lease_id is None:
                self._create()
            else:
                self._renew(self.lease_id)
        if self.lease_id is not None and not self.attached and not self._attach_in_flight:
            self._attach(self.lease_id)

    def discard(self) -> None:
        """Forget the lease, which has ended, and create a new one at the next tick."""
        self.lease_id = None
        self.attached = False
        self._next_renewal_at = float("-inf")

    def _create(self) -> None:
        self._renewal_in_flight = True
        ttl_ms = round(self.context.timing.session_s * 1000)
        body = msgspec.json.encode({"life_ms": max(MIN_TTL_MS, min(MAX_TTL_MS, ttl_ms))})
        self.context.state_client.request(
            "/leases",
            self._on_created,
            RequestPriority.RENEWAL,
            "POST",
            body,
            CREATE_TIMEOUT_SECONDS,
        )

    def _on_created(self, response: Response) -> None:
        self._renewal_in_flight = False
        if not response.ok:
            return
        try:
            self.lease_id = msgspec.json.decode(response.body, type=LeaseGrant).lease_id
        except msgspec.MsgspecError:
            return
        self.renewed_at = response.sent_at

    def _renew(self, lease_id: int) -> None:
        self._renewal_in_flight = True

        def on_response(response: Response) -> None:
            self._renewal_in_flight = False
            if self.lease_id != lease_id:
                return
            if response.ok:
                self.renewed_at = max(self.renewed_at, response.sent_at)
            elif response.status == HTTPStatus.NOT_FOUND:
                log.info("session lost lease=%d", lease_id)
                self.discard()

        interval_s = self.context.timing.session_s / RENEWALS_PER_SESSION
        self.context.state_client.request(
            f"/leases/{lease_id}/extend",
            on_response,
            RequestPriority.RENEWAL,
            "POST",
            b"",
            max(MIN_RENEWAL_TIMEOUT_SECONDS, interval_s),
        )

    def _attach(self, lease_id: int) -> None:
        self._attach_in_flight = True

        def on_result(result: WriteResult) -> None:
            self._attach_in_flight = False
            if self.lease_id != lease_id:
                return
            if result.committed:
                self.attached = True
                log.info(
                    "session opened lease=%d incarnation=%s", lease_id, self.context.incarnation
                )
            elif result.invalid:
                self.discard()

        # The session key of an older process of this controller may be replaced at once: that
        # process has ended, or this one would not have been started.
        self.context.state_client.write(
            Write(
                {self.key: self.watch.mod_revision(self.key)},
                [Change(self.key, self.encoded_session, lease_id)],
                on_result,
                RequestPriority.RENEWAL,
                isolated=True,
                expires_at=self.context.now + ATTACH_EXPIRY_SECONDS,
            )
        )
