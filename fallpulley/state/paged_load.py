"""Reads all keys of a prefix, page by page."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.effects import Response
from fallpulley.state.client import StateClient
from fallpulley.state.messages import Item, Page, decode
from fallpulley.state.transactions import RequestPriority

# Keys on one page: a few hundred KiB at most, which are parsed in one step.
PAGE_SIZE = 400
PAGE_TIMEOUT_SECONDS = 5.0


class PagedLoad:
    """Reads all keys of a prefix each time it is started, one page after the other."""

    def __init__(
        self,
        client: StateClient,
        prefix: str,
        on_item: Callable[[Item], None],
        on_loaded: Callable[[set[str], int], None],
        on_failed: Callable[[float], None],
    ) -> None:
        """Create an instance without starting a load.

        Args:
            client: sends the requests.
            prefix: the prefix of the keys to be read.
            on_item: called with each key and its value when its page arrives.
            on_loaded: called after the last page with the set of all keys and the store's revision
                at the first page. Changes after this revision may or may not be among the items.
            on_failed: called when a page cannot be read, with the time at which the load started.
        """
        self.in_progress = False
        self._client = client
        self._prefix = prefix
        self._on_item = on_item
        self._on_loaded = on_loaded
        self._on_failed = on_failed
        self._keys: set[str] = set()
        self._revision = 0

    def start(self, now: float) -> None:
        """Request the first page; `now`: monotonic clock, in seconds."""
        self.in_progress = True
        self._request_page(now, "")

    def _request_page(self, started_at: float, after_key: str) -> None:
        def on_response(response: Response) -> None:
            self._on_page(response, started_at, after_key)

        path = f"/store?under={self._prefix}&page={PAGE_SIZE}"
        if after_key:
            path += f"&after={after_key}"
        self._client.request(
            path, on_response, RequestPriority.READ, timeout_s=PAGE_TIMEOUT_SECONDS
        )

    def _on_page(self, response: Response, started_at: float, after_key: str) -> None:
        page = decode(response.body, Page) if response.ok else None
        if page is None:
            self.in_progress = False
            self._on_failed(started_at)
            return
        if not after_key:
            self._keys = set()
            self._revision = page.revision
        for item in page.items:
            self._keys.add(item.key)
            self._on_item(item)
        if page.has_next and page.items:
            self._request_page(started_at, page.items[-1].key)
            return
        keys, self._keys = self._keys, set()
        self._on_loaded(keys, self._revision)
        self.in_progress = False
