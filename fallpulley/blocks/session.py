"""This controller's session: a lease in the state service and the key attached to it."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.blocks.messages import Grant, Session
from fallpulley.core import Core
from fallpulley.formats import NEWEST_FORMAT
from fallpulley.state.client import Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

# Renewals within one session length: three may fail before the session ends.
RENEWALS = 4


class SessionLease:
    def __init__(self, core: Core, view: View) -> None:
        self.core = core
        self.view = view
        self.key = f"live/session/{core.label}"
        self.format = NEWEST_FORMAT  # the newest record format that this process knows
        self.tenure: int | None = None
        self.held = False  # the key is attached to our lease
        self.renewed_at = float("-inf")  # when the last successful renewal was sent
        self._busy = False
        self._next = float("-inf")
        self._attaching = False

    @property
    def value(self) -> bytes:
        return msgspec.json.encode(Session(self.core.label, self.core.boot, self.format))

    def live(self) -> bool:
        """Our session certainly exists."""
        return self.held and self.core.now < self.renewed_at + self.core.session_s

    def tick(self) -> None:
        if not self.view.ready:
            return
        now = self.core.now
        if not self._busy and now >= self._next:
            self._next = now + self.core.session_s / RENEWALS
            if self.tenure is None:
                self._create()
            else:
                self._renew(self.tenure)
        if self.tenure is not None and not self.held and not self._attaching:
            self._attach(self.tenure)

    def _create(self) -> None:
        self._busy = True
        life_ms = max(100, min(600_000, round(self.core.session_s * 1000)))

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            self._busy = False
            if status == 200:
                try:
                    self.tenure = msgspec.json.decode(body, type=Grant).tenure
                except msgspec.MsgspecError:
                    return
                self.renewed_at = sent_at

        body = msgspec.json.encode({"life_ms": life_ms})
        self.core.state.read("/leases", done, RequestPriority.RENEWAL, "POST", body, 1.0)

    def _renew(self, tenure: int) -> None:
        self._busy = True

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            self._busy = False
            if self.tenure != tenure:
                return
            if status == 200:
                self.renewed_at = max(self.renewed_at, sent_at)
            elif status == 404:
                log.info("session lost tenure=%d", tenure)
                self.drop()

        timeout_s = max(0.3, self.core.session_s / RENEWALS)
        path = f"/leases/{tenure}/extend"
        self.core.state.read(path, done, RequestPriority.RENEWAL, "POST", b"", timeout_s)

    def drop(self) -> None:
        self.tenure = None
        self.held = False
        self._next = float("-inf")

    def _attach(self, tenure: int) -> None:
        self._attaching = True

        def written(status: int | None, ledger: int) -> None:
            self._attaching = False
            if self.tenure != tenure:
                return
            if status == 200:
                self.held = True
                log.info("session open tenure=%d boot=%s", tenure, self.core.boot)
            elif status == 400:
                self.drop()

        # An older process of this label has ended, or there would be no new one: its
        # session key may be replaced at once.
        self.core.state.write(
            Write(
                {self.key: self.view.stamp(self.key)},
                [Change(self.key, self.value, tenure)],
                written,
                RequestPriority.RENEWAL,
                alone=True,
                expires_at=self.core.now + 2.0,
            )
        )
