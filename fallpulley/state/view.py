"""This controller's copy of the watched keys, and rounds of reads that bring it up to date.

All shared records live under one prefix and so arrive in one order: whoever has seen a change
has seen every earlier one. The fencing rules of `blocks` lean on that.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fallpulley.effects import ANSWER_TOO_LONG
from fallpulley.state.client import RequestPriority, StateClient

log = logging.getLogger(__name__)

ROOT = "live/"
PAGE = 400  # keys asked for at once: a few hundred KiB at the most, parsed in one go
ROUND_S = 1.2  # a round that takes longer counts as failed: users wait 2 s for an answer


class _Pair(msgspec.Struct):
    k: str
    v: msgspec.Raw
    stamp: int


class _Page(msgspec.Struct):
    pairs: list[_Pair]
    has_next: bool
    ledger: int


class _Event(msgspec.Struct):
    stamp: int
    set: str | None = None
    drop: str | None = None
    v: msgspec.Raw = msgspec.Raw(b"null")


class _Changes(msgspec.Struct):
    ledger: int
    news: list[_Event] = []


T = TypeVar("T")

Waiter = Callable[[bool], None]
OnKey = Callable[[str, bytes | None, int], None]


class View:
    def __init__(self, state: StateClient, on_key: OnKey, hold_s: float, spacing_s: float) -> None:
        self.state = state
        self.on_key = on_key
        self.hold_s = hold_s
        self.spacing_s = spacing_s
        self.stamps: dict[str, int] = {}
        self.ledger = 0
        self.loaded = False
        self.ready = False
        self.fresh_at = float("-inf")  # when the last successful look was sent
        self._loading = False
        self._load_keys: set[str] = set()
        self._load_ledger = 0
        self._polling = False
        self._next_poll = float("-inf")
        self._waiters: list[tuple[Waiter, float]] = []
        self._round_busy = False

    def stamp(self, key: str) -> int:
        """The key's stamp as a condition: 0 where it does not exist."""
        return max(0, self.stamps.get(key, 0))

    def tick(self, now: float) -> None:
        if not self.loaded and not self._loading:
            if now >= self._next_poll:
                self._load(now, "")
            self._fail_waiters(now)
            return
        if self._loading:
            self._fail_waiters(now)
            return
        if self._waiters and not self._round_busy:
            self._round(now)
        if not self._polling and now >= self._next_poll:
            self._poll(now)

    def when_current(self, waiter: Waiter, now: float) -> None:
        """Call `waiter` after a round begun from now on, with whether it succeeded."""
        self._waiters.append((waiter, now + ROUND_S))

    # -- loading by pages ------------------------------------------------------------------

    def _load(self, now: float, after: str) -> None:
        self._loading = True
        path = f"/store?under={ROOT}&page={PAGE}" + (f"&after={after}" if after else "")

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            page = _decode(body, _Page) if status == 200 else None
            if page is None:
                self._loading = False
                self._load_keys = set()
                self._next_poll = now + 0.5
                return
            if not after:
                self._load_keys = set()
                self._load_ledger = page.ledger
            for pair in page.pairs:
                self._load_keys.add(pair.k)
                self._apply(pair.k, bytes(pair.v), pair.stamp)
            if page.has_next and page.pairs:
                self._load(now, page.pairs[-1].k)
                return
            for key, stamp in list(self.stamps.items()):
                if stamp > 0 and key not in self._load_keys and stamp <= self._load_ledger:
                    self._apply(key, None, self._load_ledger)
            self.ledger = self._load_ledger
            self.loaded = True
            self._loading = False
            self._next_poll = float("-inf")

        self.state.read(path, done, RequestPriority.READ, timeout_s=5.0)

    # -- watching --------------------------------------------------------------------------

    def _poll(self, now: float) -> None:
        self._polling = True
        # The first look after a load waits for nothing: only then is the copy complete.
        hold = self.hold_s if self.ready else 0.0
        path = f"/changes?under={ROOT}&after={self.ledger}&hold_ms={int(hold * 1000)}"

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            self._polling = False
            ok = self._take(status, body, sent_at)
            self._next_poll = max(now, sent_at) + (self.spacing_s if ok else 0.4)

        self.state.read(path, done, RequestPriority.READ, timeout_s=hold + 1.5)

    def _round(self, now: float) -> None:
        waiters, self._waiters = self._waiters, []
        self._round_busy = True
        path = f"/changes?under={ROOT}&after={self.ledger}&hold_ms=0"

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            self._round_busy = False
            ok = self._take(status, body, sent_at)
            for waiter, _ in waiters:
                waiter(ok)

        self.state.read(
            path, done, RequestPriority.READ, timeout_s=ROUND_S, expires_at=now + ROUND_S
        )

    def _take(self, status: int | None, body: bytes, sent_at: float) -> bool:
        if status in (410, ANSWER_TOO_LONG):
            # Read again by pages: asked once more, the changes of a long gap are only more.
            log.info("changes are read anew after=%d status=%d", self.ledger, status)
            self.loaded = self.ready = False
            return False
        changes = _decode(body, _Changes) if status == 200 else None
        if changes is None or not self.loaded:
            return False
        for event in changes.news:
            if event.set is not None:
                self._apply(event.set, bytes(event.v), event.stamp)
            elif event.drop is not None:
                self._apply(event.drop, None, event.stamp)
        self.ledger = max(self.ledger, changes.ledger)
        self.fresh_at = max(self.fresh_at, sent_at)
        self.ready = True
        return True

    def _apply(self, key: str, value: bytes | None, stamp: int) -> None:
        # A dropped key keeps the drop's revision as a negative stamp, so that an answer
        # that was overtaken on its way cannot bring the key back.
        if stamp <= abs(self.stamps.get(key, 0)):
            return
        self.stamps[key] = stamp if value is not None else -stamp
        try:
            self.on_key(key, value, stamp)
        except Exception:
            # One record must not keep all later ones from being seen, and every job unknown.
            log.exception("record failed key=%s", key)

    def _fail_waiters(self, now: float) -> None:
        if self._waiters and self._waiters[0][1] <= now:
            late = [waiter for waiter, until in self._waiters if until <= now]
            self._waiters = [entry for entry in self._waiters if entry[1] > now]
            for waiter in late:
                waiter(False)


def _decode(body: bytes, shape: type[T]) -> T | None:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError:
        return None
