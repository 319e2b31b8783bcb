"""The watch cache: keeps the keys and revisions of the shared records up to date.

All shared records have one key prefix, so that a single watch delivers their changes in the order
of the store's revisions: a controller that has applied a change has applied every earlier one. The
fencing rules of `shards` depend on that.
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
# Delay of the next load after the start of a failed one.
LOAD_RETRY_SECONDS = 0.5
# Delay of the next watch after a failed one.
WATCH_RETRY_SECONDS = 0.4
# Timeout of a watch beyond the time for which the service may hold it open.
WATCH_TIMEOUT_MARGIN_SECONDS = 1.5

# Gets a key, its encoded value (None: the key was deleted) and the revision of the change.
KeyChangedHandler = Callable[[str, bytes | None, int], None]


def _ignore_change(key: str, value: bytes | None, mod_revision: int) -> None:
    """Do nothing: the handler before `WatchCache.subscribe` is called."""


class WatchCache:
    """Loads all keys page by page, then watches them for changes.

    Attributes:
        mod_revisions: the revision of each key's last change; negative: the key was deleted by it.
        revision: the store's revision up to which all changes are applied.
        loaded: whether all keys were read and no watch has been lost since.
        ready: whether a watch or a current read has succeeded since the load. Only then is the
            cache complete: a load may miss changes that are made while it runs.
        fresh_at: when the latest of the successful watches and reads was sent (monotonic clock, in
            seconds).
    """

    def __init__(self, client: StateClient, wait_s: float, min_interval_s: float) -> None:
        """Create an empty cache.

        Args:
            client: sends the requests.
            wait_s: how long the service may hold a watch open until a key changes.
            min_interval_s: least time from the sending of a successful watch to the next watch.
        """
        self.client = client
        self.wait_s = wait_s
        self.min_interval_s = min_interval_s
        self.mod_revisions: dict[str, int] = {}
        self.revision = 0
        self.loaded = False
        self.ready = False
        self.fresh_at = float("-inf")
        self._on_key_changed: KeyChangedHandler = _ignore_change
        self._load = PagedLoad(
            client, ROOT_PREFIX, self._on_item, self._on_loaded, self._on_load_failed
        )
        self._current_reads = CurrentReads(client, self._on_events)
        self._watching = False
        # When the next watch or load may start (monotonic clock, in seconds).
        self._next_request_at = float("-inf")

    def subscribe(self, on_key_changed: KeyChangedHandler) -> None:
        """Call `on_key_changed` for each change from now on.

        Changes from watches come in the order of the store's revisions, those from a load in the
        order of the keys.
        """
        self._on_key_changed = on_key_changed

    def mod_revision(self, key: str) -> int:
        """Return the key's revision for a write's condition; 0: the key does not exist."""
        return max(0, self.mod_revisions.get(key, 0))

    def when_current(self, on_current: CurrentHandler, now: float) -> None:
        """Call `on_current` after a read that starts after this call, with whether it succeeded."""
        self._current_reads.add_waiter(on_current, now)

    def tick(self, now: float) -> None:
        """Queue the loads, watches and reads that are due."""
        if not self.loaded:
            if not self._load.in_progress and now >= self._next_request_at:
                self._load.start(now)
            self._current_reads.expire_waiters(now)
            return
        if self._current_reads.read_needed:
            self._current_reads.start_read(self._events_path(0.0), now)
        if not self._watching and now >= self._next_request_at:
            self._start_watch(now)

    # -- loading ---------------------------------------------------------------------------

    def _on_item(self, item: Item) -> None:
        self._apply(item.key, bytes(item.value), item.mod_revision)

    def _on_loaded(self, keys: set[str], revision: int) -> None:
        """Apply the deletion of known keys that are on no page, and end the load.

        A key with a later revision than the load was created meanwhile and stays.
        """
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
        # The first watch after a load returns at once: its response completes the cache.
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
        """Apply the response to a watch or a current read; return whether it succeeded."""
        if response.status in (HTTPStatus.GONE, RESPONSE_TOO_LONG):
            # The changes are no longer stored, or too many for one response. A repeated watch
            # would get only more of them, so all keys are loaded again.
            log.info(
                "watch lost, loading all keys again revision=%d status=%d",
                self.revision,
                response.status,
            )
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
        # The revision of a deletion is kept, as a negative number, so that an older response that
        # arrives later does not bring the key back.
        if mod_revision <= abs(self.mod_revisions.get(key, 0)):
            return
        self.mod_revisions[key] = mod_revision if value is not None else -mod_revision
        try:
            self._on_key_changed(key, value, mod_revision)
        except Exception:
            # A record that cannot be handled must not keep all later ones from being applied.
            # Otherwise this controller would not know of any job.
            log.exception("handling of changed record failed key=%s", key)
