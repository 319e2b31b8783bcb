"""Updates of shards whose machines are stored in pages."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

from fallpulley.shared_records.keys import page_key
from fallpulley.shared_records.layout import (
    MAX_PAGE_MACHINES,
    HeaderRoom,
    can_merge_pages,
    header_change,
    merge_pages,
)
from fallpulley.shared_records.machine_encoding import Machines
from fallpulley.shared_records.page_encoding import PageBounds
from fallpulley.shared_records.page_repair import find_extra_copies
from fallpulley.shared_records.page_rewrite import (
    PageChange,
    PageRewrite,
    PageRewriter,
    RewriteBounds,
)
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import ShardRecord
from fallpulley.state.transactions import Change

# Changes of the smallest transaction that can split a page: the header, the page and a new one.
MIN_SPLIT_CHANGES = 3
# How much of a value a page may fill by additions and addresses where no transaction can split it.
# The rest is for occupancy flags, which make a page larger.
GROWN_PAGE_SHARE = 0.5


def update_pages(
    shard_id: str, record: ShardRecord, mod_revision: int, change: ShardChange, limits: RecordLimits
) -> RecordUpdate:
    """Return the values for as much of a change as one transaction holds."""
    if can_merge_pages(record, change, limits):
        return merge_pages(shard_id, record, limits)
    update = PagedUpdate(shard_id, record, mod_revision, limits)
    extra_copies = find_extra_copies(record)
    if extra_copies:
        return update.drop_copies(extra_copies)
    return update.apply(change)


class PagedUpdate:
    """A builder for one update of a shard's header and pages; each instance is used once.

    A page is rewritten together with all pages split from it, or not at all. What was added and
    removed is read from the rewrites that are written.
    """

    def __init__(
        self, shard_id: str, record: ShardRecord, mod_revision: int, limits: RecordLimits
    ) -> None:
        self._shard_id = shard_id
        self._record = record
        self._mod_revision = mod_revision
        self._limits = limits
        self._addresses: Mapping[str, str] = {}
        self._rewrites: dict[int, PageRewrite] = {}  # by number of the page that is replaced
        self._full_pages: set[int] = set()  # pages that can take no more machines in this update
        self._header = HeaderRoom(record, mod_revision, limits)

    def apply(self, change: ShardChange) -> RecordUpdate:
        """Return the values for as much of the change as fits; later updates write the rest."""
        self._addresses = change.addresses
        requests = self._requests_by_page(change)
        present = change.add.keys() & self._record.machines.keys()
        absent = sorted(change.add.keys() - present)
        # Removals come first, because they make room in the pages that they rewrite.
        self._change_pages(requests)
        refused = self._add_machines({key: change.entry_to_add(key) for key in absent})
        added = sorted(present)
        for rewrite in self._rewrites.values():
            added += rewrite.change.add
        return RecordUpdate(
            self._changes(),
            added,
            [key for rewrite in self._rewrites.values() for key in rewrite.change.remove],
            refused=refused,
            is_blocked=not self._rewrites and bool(requests or absent),
        )

    def drop_copies(self, extra_copies: dict[int, list[str]]) -> RecordUpdate:
        """Return an update that only removes second copies of machines, given by page."""
        self._change_pages(
            {number: PageChange(machine_ids) for number, machine_ids in extra_copies.items()}
        )
        return RecordUpdate(
            self._changes(), [], [], only_changes_layout=True, is_blocked=not self._rewrites
        )

    # -- changes of stored pages -----------------------------------------------------------------

    def _requests_by_page(self, change: ShardChange) -> dict[int, PageChange]:
        removed = set(change.remove)
        requests: dict[int, PageChange] = {}
        for machine_id in dict.fromkeys(change.remove):
            page_change = self._request_for(machine_id, requests)
            if page_change is not None:
                page_change.remove.append(machine_id)
        for machine_id, occupied in change.occupancy.items():
            if machine_id in removed:
                continue
            page_change = self._request_for(machine_id, requests)
            if page_change is not None:
                page_change.occupancy[machine_id] = occupied
        return requests

    def _request_for(self, machine_id: str, requests: dict[int, PageChange]) -> PageChange | None:
        """Return what is requested of the page that holds a machine; None if no page does."""
        for number, page in self._record.pages.items():
            if machine_id in page.machines:
                return requests.setdefault(number, PageChange([], {}, {}))
        return None

    def _change_pages(self, requests: dict[int, PageChange]) -> None:
        for number, page_change in requests.items():
            bounds = self._bounds(number)
            if bounds.any_change.max_pages < 1:
                return
            rewrite = self._rewriter(number).rewrite(page_change, bounds)
            if rewrite.pages:
                self._rewrites[number] = rewrite
        if not self._rewrites:
            self._change_one_page_without_addresses(requests)

    def _change_one_page_without_addresses(self, requests: dict[int, PageChange]) -> None:
        """Change the first page that has room for a request once its addresses are left out.

        This is the last resort, because a new owner probes machines at their addresses.
        """
        for number, page_change in requests.items():
            rewriter = self._rewriter(number)
            rewrite = rewriter.rewrite_without_addresses(page_change, self._bounds(number))
            if rewrite.pages:
                self._rewrites[number] = rewrite
                return

    # -- additions -------------------------------------------------------------------------------

    def _add_machines(self, machines: Machines) -> list[str]:
        """Add as many machines as there is room for.

        Returns those for which there would be no room in a transaction of their own either.
        """
        remaining = list(machines)
        refused = []
        while remaining:
            number = self._page_with_room()
            if number is None:
                break
            count = MAX_PAGE_MACHINES - self._machine_count(number)
            batch = {machine_id: machines[machine_id] for machine_id in remaining[:count]}
            added = self._add_to_page(number, batch)
            del remaining[:added]
            if added < len(batch):
                self._full_pages.add(number)
            if not added and not self._rewrites and number not in self._record.pages:
                refused.append(remaining.pop(0))
                self._full_pages.discard(number)
        return refused + ([] if self._rewrites else remaining)

    def _add_to_page(self, number: int, machines: Machines) -> int:
        """Add as many of the machines to a page as fit, in their order; return their number."""
        before = self._change_of(number)
        change = PageChange(before.remove, before.occupancy, before.add | machines)
        rewrite = self._rewriter(number).rewrite(change, self._bounds(number), before.size)
        if not rewrite.pages:
            return 0
        self._rewrites[number] = rewrite
        return rewrite.change.size - before.size

    def _page_with_room(self) -> int | None:
        """Return the number of a page to add machines to; None if there is none.

        A page that is rewritten anyway is preferred, then the fullest other page, then a new one.
        """
        for number in self._rewrites:
            if number not in self._full_pages and self._machine_count(number) < MAX_PAGE_MACHINES:
                return number
        with_room = [
            (len(page.machines), number)
            for number, page in self._record.pages.items()
            if number not in self._rewrites and len(page.machines) < MAX_PAGE_MACHINES
        ]
        number = max(with_room)[1] if with_room else self._unused_numbers(1)[0]
        if number in self._full_pages:
            # Machines that differ that much in size are not worth looking for other pages.
            number = self._unused_numbers(1)[0]
        if number in self._full_pages or self._bounds(number).growth.max_pages < 1:
            return None
        return number

    # -- the transaction -------------------------------------------------------------------------

    def _rewriter(self, number: int) -> PageRewriter:
        return PageRewriter(self._mod_revision, self._stored_machines(number), self._addresses)

    def _stored_machines(self, number: int) -> Machines:
        page = self._record.pages.get(number)
        return page.machines if page is not None else {}

    def _change_of(self, number: int) -> PageChange:
        rewrite = self._rewrites.get(number)
        return rewrite.change if rewrite is not None else PageChange()

    def _machine_count(self, number: int) -> int:
        """Return how many machines a page and those split from it hold after this update."""
        rewrite = self._rewrites.get(number)
        if rewrite is None:
            return len(self._stored_machines(number))
        return sum(len(page.page.machines) for page in rewrite.pages)

    def _bounds(self, number: int) -> RewriteBounds:
        """Return the bounds that the other rewrites leave for the rewrite of a page."""
        max_page_bytes = self._limits.max_value_bytes
        can_split = self._limits.max_changes >= MIN_SPLIT_CHANGES
        max_grown_bytes = int((1.0 if can_split else GROWN_PAGE_SHARE) * max_page_bytes)
        return RewriteBounds(
            self._page_bounds(number, self._header.for_split_pages(), max_page_bytes),
            self._page_bounds(number, self._header.for_growth(), max_grown_bytes),
        )

    def _page_bounds(self, number: int, max_new_pages: int, max_page_bytes: int) -> PageBounds:
        """Return the bounds for a page; `max_new_pages` is the bound of the whole update."""
        others = {other: rewrite for other, rewrite in self._rewrites.items() if other != number}
        page_count = sum(len(rewrite.pages) for rewrite in others.values())
        new_pages = page_count - len(others.keys() & self._record.pages.keys())
        new_pages_left = max(0, max_new_pages - new_pages)
        return PageBounds(
            min(
                self._limits.max_changes - 1 - page_count,
                new_pages_left + (1 if number in self._record.pages else 0),
            ),
            max_page_bytes,
            self._limits.max_total_bytes
            - self._header.max_bytes
            - sum(rewrite.size for rewrite in others.values()),
        )

    def _unused_numbers(self, count: int) -> list[int]:
        """Return the lowest page numbers that neither the record nor this update uses."""
        used = self._record.pages.keys() | self._rewrites.keys()
        unused = (number for number in itertools.count() if number not in used)
        return list(itertools.islice(unused, count))

    def _changes(self) -> list[Change]:
        """Return the header and the pages to write."""
        pages = dict(self._record.pages)
        page_changes = []
        unused_numbers = iter(
            self._unused_numbers(sum(len(rewrite.pages) for rewrite in self._rewrites.values()))
        )
        for first_number, rewrite in self._rewrites.items():
            numbers = itertools.chain([first_number], unused_numbers)
            for encoded, number in zip(rewrite.pages, numbers, strict=False):
                key = page_key(self._shard_id, number)
                if encoded.page.machines:
                    pages[number] = encoded.page
                    page_changes.append(Change(key, encoded.value))
                else:
                    pages.pop(number, None)
                    page_changes.append(Change(key, None))
        return [header_change(self._shard_id, self._record, pages), *page_changes]
