"""Reading all keys of a prefix by pages."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.effects import Response
from fallpulley.state.client import StateClient
from fallpulley.state.messages import Item, Page, decode
from fallpulley.state.transactions import RequestPriority

PAGE_SIZE = 400  # keys asked for at once: a few hundred KiB at the most, parsed in one go
PAGE_TIMEOUT_SECONDS = 5.0


class PagedLoad:
    """Reads a prefix whenever it is started, one page after the other.

    `on_item` gets each key as its page arrives; `on_loaded` gets the set of all keys and the
    revision of the first page: later changes may or may not be among the items. `on_failed` gets
    the time at which the load was started.
    """

    def __init__(
        self,
        client: StateClient,
        prefix: str,
        on_item: Callable[[Item], None],
        on_loaded: Callable[[set[str], int], None],
        on_failed: Callable[[float], None],
    ) -> None:
        self.in_progress = False
        self._client = client
        self._prefix = prefix
        self._on_item = on_item
        self._on_loaded = on_loaded
        self._on_failed = on_failed
        self._keys: set[str] = set()
        self._revision = 0

    def start(self, now: float) -> None:
        """Ask for the first page."""
        self.in_progress = True
        self._request_page(now, "")

    def _request_page(self, started_at: float, after: str) -> None:
        def on_response(response: Response) -> None:
            self._on_page(response, started_at, after)

        path = f"/store?under={self._prefix}&page={PAGE_SIZE}"
        if after:
            path += f"&after={after}"
        self._client.request(
            path, on_response, RequestPriority.READ, timeout_s=PAGE_TIMEOUT_SECONDS
        )

    def _on_page(self, response: Response, started_at: float, after: str) -> None:
        page = decode(response.body, Page) if response.ok else None
        if page is None:
            self.in_progress = False
            self._on_failed(started_at)
            return
        if not after:
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
