"""This controller's copy of the watched keys, and rounds of reads that bring it up to date.

All shared records live under one prefix and so arrive in one order: whoever has seen a change
has seen every earlier one. The fencing rules of `blocks` lean on that.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fallpulley.effects import RESPONSE_TOO_LONG, Response
from fallpulley.state.client import RequestPriority, StateClient

log = logging.getLogger(__name__)

ROOT_PREFIX = "live/"
PAGE_SIZE = 400  # keys asked for at once: a few hundred KiB at the most, parsed in one go
ROUND_TIMEOUT_SECONDS = (
    1.2  # a round that takes longer counts as failed: users wait 2 s for an answer
)


class _Item(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    key: str
    value: msgspec.Raw
    mod_revision: int


class _Page(msgspec.Struct, rename={"items": "pairs", "revision": "ledger"}):
    items: list[_Item]
    has_next: bool
    revision: int


class _Event(msgspec.Struct, rename={"mod_revision": "stamp", "delete": "drop", "value": "v"}):
    mod_revision: int
    set: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class _Changes(msgspec.Struct, rename={"revision": "ledger", "events": "news"}):
    revision: int
    events: list[_Event] = []


T = TypeVar("T")

Waiter = Callable[[bool], None]
KeyChangedHandler = Callable[[str, bytes | None, int], None]


def _ignore_change(key: str, value: bytes | None, mod_revision: int) -> None:
    pass


class WatchCache:
    def __init__(self, client: StateClient, wait_s: float, min_interval_s: float) -> None:
        self.client = client
        self._on_key_changed: KeyChangedHandler = _ignore_change
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        self.mod_revisions: dict[str, int] = {}
        self.revision = 0
        self.loaded = False
        self.ready = False
        self.fresh_at = float("-inf")  # when the last successful look was sent
        self._loading = False
        self._load_keys: set[str] = set()
        self._load_revision = 0
        self._watching = False
        self._next_watch_at = float("-inf")
        self._waiters: list[tuple[Waiter, float]] = []
        self._round_in_flight = False

    def subscribe(self, on_key_changed: KeyChangedHandler) -> None:
        """Call this for every change, in the order of the store's revisions."""
        self._on_key_changed = on_key_changed

    def mod_revision(self, key: str) -> int:
        """The key's stamp as a condition: 0 where it does not exist."""
        return max(0, self.mod_revisions.get(key, 0))

    def tick(self, now: float) -> None:
        if not self.loaded and not self._loading:
            if now >= self._next_watch_at:
                self._load_page(now, "")
            self._expire_waiters(now)
            return
        if self._loading:
            self._expire_waiters(now)
            return
        if self._waiters and not self._round_in_flight:
            self._start_round(now)
        if not self._watching and now >= self._next_watch_at:
            self._start_watch(now)

    def when_current(self, waiter: Waiter, now: float) -> None:
        """Call `waiter` after a round begun from now on, with whether it succeeded."""
        self._waiters.append((waiter, now + ROUND_TIMEOUT_SECONDS))

    # -- loading by pages ------------------------------------------------------------------

    def _load_page(self, now: float, after: str) -> None:
        self._loading = True
        path = f"/store?under={ROOT_PREFIX}&page={PAGE_SIZE}" + (f"&after={after}" if after else "")

        def on_response(response: Response) -> None:
            page = _decode(response.body, _Page) if response.ok else None
            if page is None:
                self._loading = False
                self._load_keys = set()
                self._next_watch_at = now + 0.5
                return
            if not after:
                self._load_keys = set()
                self._load_revision = page.revision
            for item in page.items:
                self._load_keys.add(item.key)
                self._apply(item.key, bytes(item.value), item.mod_revision)
            if page.has_next and page.items:
                self._load_page(now, page.items[-1].key)
                return
            for key, mod_revision in list(self.mod_revisions.items()):
                if (
                    mod_revision > 0
                    and key not in self._load_keys
                    and mod_revision <= self._load_revision
                ):
                    self._apply(key, None, self._load_revision)
            self.revision = self._load_revision
            self.loaded = True
            self._loading = False
            self._next_watch_at = float("-inf")

        self.client.request(path, on_response, RequestPriority.READ, timeout_s=5.0)

    # -- watching --------------------------------------------------------------------------

    def _start_watch(self, now: float) -> None:
        self._watching = True
        # The first look after a load waits for nothing: only then is the copy complete.
        wait_s = self.wait_s if self.ready else 0.0
        path = f"/changes?under={ROOT_PREFIX}&after={self.revision}&hold_ms={int(wait_s * 1000)}"

        def on_response(response: Response) -> None:
            self._watching = False
            ok = self._handle_changes(response)
            self._next_watch_at = max(now, response.sent_at) + (self.min_interval_s if ok else 0.4)

        self.client.request(path, on_response, RequestPriority.READ, timeout_s=wait_s + 1.5)

    def _start_round(self, now: float) -> None:
        waiters, self._waiters = self._waiters, []
        self._round_in_flight = True
        path = f"/changes?under={ROOT_PREFIX}&after={self.revision}&hold_ms=0"

        def on_response(response: Response) -> None:
            self._round_in_flight = False
            ok = self._handle_changes(response)
            for waiter, _ in waiters:
                waiter(ok)

        self.client.request(
            path,
            on_response,
            RequestPriority.READ,
            timeout_s=ROUND_TIMEOUT_SECONDS,
            expires_at=now + ROUND_TIMEOUT_SECONDS,
        )

    def _handle_changes(self, response: Response) -> bool:
        if response.status in (410, RESPONSE_TOO_LONG):
            # Read again by pages: asked once more, the changes of a long gap are only more.
            log.info("changes are read anew after=%d status=%d", self.revision, response.status)
            self.loaded = self.ready = False
            return False
        changes = _decode(response.body, _Changes) if response.ok else None
        if changes is None or not self.loaded:
            return False
        for event in changes.events:
            if event.set is not None:
                self._apply(event.set, bytes(event.value), event.mod_revision)
            elif event.delete is not None:
                self._apply(event.delete, None, event.mod_revision)
        self.revision = max(self.revision, changes.revision)
        self.fresh_at = max(self.fresh_at, response.sent_at)
        self.ready = True
        return True

    def _apply(self, key: str, value: bytes | None, mod_revision: int) -> None:
        # A dropped key keeps the drop's revision as a negative stamp, so that an answer
        # that was overtaken on its way cannot bring the key back.
        if mod_revision <= abs(self.mod_revisions.get(key, 0)):
            return
        self.mod_revisions[key] = mod_revision if value is not None else -mod_revision
        try:
            self._on_key_changed(key, value, mod_revision)
        except Exception:
            # One record must not keep all later ones from being seen, and every job unknown.
            log.exception("record failed key=%s", key)

    def _expire_waiters(self, now: float) -> None:
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
