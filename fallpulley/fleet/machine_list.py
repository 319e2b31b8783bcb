"""The cloud's list of rented machines, read page by page."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.cloud.messages import LIST_PAGE_SIZE, ListedMachine, MachineList
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.fleet.cloud import CloudClient, decode_ok

# Share of the call rate that lists may use: with thousands of machines a list has many pages, and
# rentals and releases are more important.
LIST_CALL_SHARE = 0.5
# Share of the budget's capacity that each page after the first leaves for rentals and releases.
PAGE_RESERVE_SHARE = 0.3
# Least time between the starts of two lists: this many seconds, or this share of the list's lag if
# that is longer.
MIN_LIST_INTERVAL_SECONDS = 1.5
LIST_INTERVAL_LAG_SHARE = 0.5


class MachineListReader:
    """Reads the list repeatedly, one page at a time as the budget allows."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: CloudClient,
        on_list_complete: Callable[[], None],
    ) -> None:
        """Create a reader that calls `on_list_complete` after each replacement of `machines`."""
        self.context = context
        self.cloud = cloud
        self.machines: dict[str, ListedMachine] = {}  # of the last complete list, by machine_id
        self._on_list_complete = on_list_complete
        self._next_list_at = float("-inf")
        self._list_started_at = float("-inf")
        # Machines on the pages read so far of the current list; None: no list is being read.
        self._partial_list: dict[str, ListedMachine] | None = None
        # Last machine of the previous page, if a page is waiting for a token of the budget. Empty:
        # the first page is waiting; None: no page is waiting.
        self._page_after: str | None = None

    def abort(self) -> None:
        """Discard the list that is being read."""
        self._partial_list = self._page_after = None

    def tick(self) -> None:
        """Start the next list if it is due; request the waiting page if the budget allows it."""
        now = self.context.now
        if now >= self._next_list_at and self._partial_list is None:
            # This is when the next list starts if this one fails.
            lag_s = self.context.settings.facts.cloud.list_lag_s
            self._next_list_at = now + max(
                MIN_LIST_INTERVAL_SECONDS, LIST_INTERVAL_LAG_SHARE * lag_s
            )
            self._list_started_at = now
            self._partial_list = {}
            self._page_after = ""
        if self._page_after is not None and self._may_request_page(self._page_after):
            after, self._page_after = self._page_after, None
            self._request_page(after)

    def _may_request_page(self, after: str) -> bool:
        """Return whether the budget allows a page after the given machine (empty: the first page).

        The tokens required never exceed the budget's capacity, so that a started list is always
        completed, however many pages it has and whatever other calls are made meanwhile.
        """
        budget = self.cloud.budget
        reserve = PAGE_RESERVE_SHARE * budget.capacity if after else 0.0
        return budget.tokens >= min(budget.capacity, 1 + reserve)

    def _request_page(self, after: str) -> None:
        path = f"/rentals?page={LIST_PAGE_SIZE}" + (f"&after={after}" if after else "")
        listing = self._partial_list

        def on_response(response: Response) -> None:
            # A page of a list that was aborted meanwhile does not belong to the present one.
            if listing is not None and listing is self._partial_list:
                self._on_page(response, listing)

        if not self.cloud.call("GET", path, None, on_response):
            self._partial_list = None

    def _on_page(self, response: Response, listing: dict[str, ListedMachine]) -> None:
        """Add a page to the list that is being read; publish the list after its last page."""
        page = decode_ok(response, MachineList)
        if page is None:
            self._partial_list = None
            return
        for machine in page.machines:
            listing[machine.machine_id] = machine
        if page.has_next and page.machines:
            self._page_after = page.machines[-1].machine_id
            return
        self._publish(listing)

    def _publish(self, machines: dict[str, ListedMachine]) -> None:
        """Replace the complete list; delay the next one to keep within `LIST_CALL_SHARE`."""
        self.machines, self._partial_list = machines, None
        page_count = len(machines) // LIST_PAGE_SIZE + 1
        earliest_next_at = self._list_started_at + page_count / (
            LIST_CALL_SHARE * self.cloud.budget.rate
        )
        self._next_list_at = max(self._next_list_at, earliest_next_at)
        self._on_list_complete()
