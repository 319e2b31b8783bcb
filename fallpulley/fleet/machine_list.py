"""The cloud's list of rented machines, read page by page."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.cloud.messages import LIST_PAGE_SIZE, ListedMachine, MachineList
from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.fleet.cloud import CloudClient, decode_ok

# Of the calls that the cloud allows, what lists may use: with thousands of machines one has many
# pages, and rentals and releases go before it. A page after the first leaves a part of the calls
# that are saved up.
LIST_SHARE = 0.5
LIST_RESERVE_SHARE = 0.3
# Between the beginnings of two lists: this long, or this share of the list's lag if it is more.
MIN_LIST_INTERVAL_SECONDS = 1.5
LIST_INTERVAL_LAG_SHARE = 0.5


class MachineListReader:
    """Reads the list over and over, a page at a time as the budget allows."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: CloudClient,
        on_list_complete: Callable[[], None],
    ) -> None:
        """`on_list_complete` is called after `machines` was replaced by a newer whole list."""
        self.context = context
        self.cloud = cloud
        self.machines: dict[str, ListedMachine] = {}  # of the last whole list, by machine_id
        self._on_list_complete = on_list_complete
        self._next_list_at = float("-inf")
        self._list_began_at = float("-inf")
        # What the pages of the list under way have shown; None: no list is under way.
        self._partial_list: dict[str, ListedMachine] | None = None
        # The last machine of the page before the one that waits for the budget, empty for the
        # first page; None: no page waits.
        self._page_after: str | None = None

    def abort(self) -> None:
        """Drop the list that is under way."""
        self._partial_list = self._page_after = None

    def tick(self) -> None:
        """Begin the next list where it is time, and ask for the page that waits."""
        now = self.context.now
        if now >= self._next_list_at and self._partial_list is None:
            # Should this one fail, the next begins then.
            lag_s = self.context.settings.facts.cloud.list_lag_s
            self._next_list_at = now + max(
                MIN_LIST_INTERVAL_SECONDS, LIST_INTERVAL_LAG_SHARE * lag_s
            )
            self._list_began_at = now
            self._partial_list = {}
            self._page_after = ""
        if self._page_after is not None and self._may_request_page(self._page_after):
            after, self._page_after = self._page_after, None
            self._request_page(after)

    def _may_request_page(self, after: str) -> bool:
        """A list once begun comes to its end, however many pages it has and whatever else is
        asked of the cloud meanwhile."""
        budget = self.cloud.budget
        reserve = LIST_RESERVE_SHARE * budget.capacity if after else 0.0
        return budget.tokens >= min(budget.capacity, 1 + reserve)

    def _request_page(self, after: str) -> None:
        path = f"/rentals?page={LIST_PAGE_SIZE}" + (f"&after={after}" if after else "")
        if not self.cloud.call("GET", path, None, self._on_page):
            self._partial_list = None

    def _on_page(self, response: Response) -> None:
        page = decode_ok(response, MachineList)
        if page is None or self._partial_list is None:
            self._partial_list = None
            return
        for machine in page.machines:
            self._partial_list[machine.machine_id] = machine
        if page.has_next and page.machines:
            self._page_after = page.machines[-1].machine_id
            return
        self._publish(self._partial_list)

    def _publish(self, machines: dict[str, ListedMachine]) -> None:
        self.machines, self._partial_list = machines, None
        page_count = len(machines) // LIST_PAGE_SIZE + 1
        spaced_at = self._list_began_at + page_count / (LIST_SHARE * self.cloud.budget.rate)
        self._next_list_at = max(self._next_list_at, spaced_at)
        self._on_list_complete()
