"""Assembly of shard records from their headers and pages of machines as these arrive."""

from __future__ import annotations

import logging

from fallpulley.shared_records.keys import page_key
from fallpulley.shared_records.page_repair import count_extra_copies, merge_pages_of_machines
from fallpulley.shared_records.shard_record import MachinePage, ShardHeader, ShardRecord
from fallpulley.shared_records.versioned import Versioned

log = logging.getLogger(__name__)


class PageAssembly:
    """The newest headers and pages received, whether or not they are of the same version."""

    def __init__(self) -> None:
        self._headers: dict[str, Versioned[ShardHeader]] = {}
        self._pages: dict[str, dict[int, MachinePage]] = {}  # shard -> its pages by number
        self._logged_extra_copies: dict[str, int] = {}  # shard -> count that was logged last

    def set_header(self, shard_id: str, header: ShardHeader, mod_revision: int) -> None:
        """Store a header, which lists the versions of its pages."""
        self._headers[shard_id] = Versioned(header, mod_revision)

    def remove_header(self, shard_id: str) -> None:
        """Remove a shard's header: the shard was deleted, or its record now holds the machines."""
        self._headers.pop(shard_id, None)

    def set_page(self, shard_id: str, number: int, page: MachinePage | None) -> None:
        """Store a page, or remove it if `page` is None."""
        pages = self._pages.setdefault(shard_id, {})
        if page is None:
            pages.pop(number, None)
        else:
            pages[number] = page

    def assemble(self, shard_id: str, published_revision: int) -> Versioned[ShardRecord] | None:
        """Return a shard's record with its machines.

        None if it is not newer than `published_revision`, or while a page is missing or is not of
        the version that the header lists. One transaction writes header and pages, but they
        arrive one after the other; and while keys are listed page by page, a transaction may
        change them between two responses.
        """
        entry = self._headers.get(shard_id)
        if entry is None or published_revision >= entry.mod_revision:
            return None
        pages = self._matching_pages(shard_id, entry.value)
        if pages is None:
            return None
        machines = merge_pages_of_machines(pages)
        header = entry.value.record
        record = ShardRecord(
            header.owner, header.incarnation, machines, header.previous_owners, True, pages
        )
        self._log_extra_copies(shard_id, count_extra_copies(record))
        return Versioned(record, entry.mod_revision)

    def mismatched_page_keys(self) -> set[str]:
        """Return the keys of pages that a header lists in vain, and of those that none lists."""
        stored = {
            (shard_id, number): page.version
            for shard_id, pages in self._pages.items()
            for number, page in pages.items()
        }
        listed = {
            (shard_id, number): version
            for shard_id, header in self._headers.items()
            for number, version in header.value.page_versions.items()
        }
        mismatched = stored.items() ^ listed.items()
        return {page_key(shard_id, number) for (shard_id, number), _ in mismatched}

    def _log_extra_copies(self, shard_id: str, count: int) -> None:
        """Log how many machines stand in a second page, if it is not what was logged last."""
        if count == self._logged_extra_copies.get(shard_id, 0):
            return
        self._logged_extra_copies[shard_id] = count
        log.error("pages of a shard repeat machines shard=%s repeated=%d", shard_id, count)

    def _matching_pages(self, shard_id: str, header: ShardHeader) -> dict[int, MachinePage] | None:
        """Return the pages that a header lists; None if any is missing or of another version."""
        stored = self._pages.get(shard_id, {})
        matching: dict[int, MachinePage] = {}
        for number, version in header.page_versions.items():
            page = stored.get(number)
            if page is None or page.version != version:
                return None
            matching[number] = page
        return matching
