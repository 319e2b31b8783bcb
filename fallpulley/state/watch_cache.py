"""The watch cache: this controller's copy of the shared records' keys and revisions.

All shared records live under one prefix and so arrive in one order: whoever has seen a change
has seen every earlier one. The fencing rules of `shards` depend on that.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

from fallpulley.effects import RESPONSE_TOO_LONG, Response
from fallpulley.state.client import StateClient
from fallpulley.state.current_reads import CurrentHandler, CurrentReads
from fallpulley.state.messages import Event, Events, Item, decode
from fallpulley.state.paged_load import PagedLoad
from fallpulley.state.transactions import RequestPriority

log = logging.getLogger(__name__)

ROOT_PREFIX = "live/"
# Pauses after a load (from its start) and after a watch that failed.
LOAD_RETRY_SECONDS = 0.5
WATCH_RETRY_SECONDS = 0.4
# Beyond the time for which the service may hold a watch open.
WATCH_TIMEOUT_MARGIN_SECONDS = 1.5

# Gets a key, its encoded value (None: deleted) and the revision of the change.
KeyChangedHandler = Callable[[str, bytes | None, int], None]


def _ignore_change(key: str, value: bytes | None, mod_revision: int) -> None:
    """The handler until somebody subscribes."""


class WatchCache:
    """Loads all keys by pages, then watches them.

    `loaded` says that all keys were read once; `ready` that a watch has succeeded since, so that
    the copy is complete. `fresh_at` is when the last successful watch or read was sent.
    """

    def __init__(self, client: StateClient, wait_s: float, min_interval_s: float) -> None:
        """`wait_s`: how long the service holds a watch open; `min_interval_s`: between watches."""
        self.client = client
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        # By key; negative: the revision at which the key was deleted.
        self.mod_revisions: dict[str, int] = {}
        self.revision = 0  # of the store, up to which all changes are applied
        self.loaded = False
        self.ready = False
        self.fresh_at = float("-inf")
        self._on_key_changed: KeyChangedHandler = _ignore_change
        self._load = PagedLoad(
            client, ROOT_PREFIX, self._on_item, self._on_loaded, self._on_load_failed
        )
        self._current_reads = CurrentReads(client, self._on_events)
        self._watching = False
        self._next_request_at = float("-inf")  # of a watch or a load

    def subscribe(self, on_key_changed: KeyChangedHandler) -> None:
        """Call this for every change, in the order of the store's revisions."""
        self._on_key_changed = on_key_changed

    def mod_revision(self, key: str) -> int:
        """The key's revision as a condition of a write: 0 where it does not exist."""
        return max(0, self.mod_revisions.get(key, 0))

    def when_current(self, on_current: CurrentHandler, now: float) -> None:
        """Call `on_current` after a read that is sent from now on, with whether it succeeded."""
        self._current_reads.add(on_current, now)

    def tick(self, now: float) -> None:
        """Queue the requests that are needed now."""
        if not self.loaded:
            if not self._load.in_progress and now >= self._next_request_at:
                self._load.start(now)
            self._current_reads.expire(now)
            return
        if self._current_reads.needed:
            self._current_reads.start(self._events_path(0.0), now)
        if not self._watching and now >= self._next_request_at:
            self._start_watch(now)

    # -- loading ---------------------------------------------------------------------------

    def _on_item(self, item: Item) -> None:
        self._apply(item.key, bytes(item.value), item.mod_revision)

    def _on_loaded(self, keys: set[str], revision: int) -> None:
        """Known keys that no page held were deleted, unless they were created since."""
        for key, mod_revision in list(self.mod_revisions.items()):
            if 0 < mod_revision <= revision and key not in keys:
                self._apply(key, None, revision)
        self.revision = revision
        self.loaded = True
        self._next_request_at = float("-inf")

    def _on_load_failed(self, started_at: float) -> None:
        self._next_request_at = started_at + LOAD_RETRY_SECONDS

    # -- watching --------------------------------------------------------------------------

    def _events_path(self, wait_s: float) -> str:
        wait_ms = int(wait_s * 1000)
        return f"/changes?under={ROOT_PREFIX}&after={self.revision}&hold_ms={wait_ms}"

    def _start_watch(self, now: float) -> None:
        self._watching = True
        # The first watch after a load waits for nothing: only then is the copy complete.
        wait_s = self.wait_s if self.ready else 0.0

        def on_response(response: Response) -> None:
            self._watching = False
            succeeded = self._on_events(response)
            pause_s = self.min_interval_s if succeeded else WATCH_RETRY_SECONDS
            self._next_request_at = max(now, response.sent_at) + pause_s

        self.client.request(
            self._events_path(wait_s),
            on_response,
            RequestPriority.READ,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_SECONDS,
        )

    def _on_events(self, response: Response) -> bool:
        """Apply the response of a watch or a current read; False if it failed."""
        if response.status in (HTTPStatus.GONE, RESPONSE_TOO_LONG):
            # Read again by pages: asked once more, the changes of a long gap are only more.
            log.info("watch lost revision=%d status=%d", self.revision, response.status)
            self.loaded = self.ready = False
            return False
        events = decode(response.body, Events) if response.ok else None
        if events is None or not self.loaded:
            return False
        for event in events.events:
            self._apply_event(event)
        self.revision = max(self.revision, events.revision)
        self.fresh_at = max(self.fresh_at, response.sent_at)
        self.ready = True
        return True

    # -- applying --------------------------------------------------------------------------

    def _apply_event(self, event: Event) -> None:
        if event.set is not None:
            self._apply(event.set, bytes(event.value), event.mod_revision)
        elif event.delete is not None:
            self._apply(event.delete, None, event.mod_revision)

    def _apply(self, key: str, value: bytes | None, mod_revision: int) -> None:
        # A deleted key keeps the deletion's revision as a negative one, so that a response
        # that was overtaken on its way cannot bring the key back.
        if mod_revision <= abs(self.mod_revisions.get(key, 0)):
            return
        self.mod_revisions[key] = mod_revision if value is not None else -mod_revision
        try:
            self._on_key_changed(key, value, mod_revision)
        except Exception:
            # One record must not keep all later ones from being applied, and every job unknown.
            log.exception("record failed key=%s", key)
