"""Encoding of machines as one or several pages, each within the size of a value."""

from __future__ import annotations

import msgspec

from fallpulley.shared_records.machine_encoding import Machines, without_addresses
from fallpulley.shared_records.shard_record import MachinePage, encode_page


class EncodedPage(msgspec.Struct):
    """A page and the value that stores it."""

    page: MachinePage
    value: bytes

    @classmethod
    def of(cls, version: int, machines: Machines) -> EncodedPage:
        """Encode the machines as one page, whatever the size of its value."""
        page = MachinePage(version, machines)
        return cls(page, encode_page(page))

    def without_addresses(self) -> EncodedPage:
        """Return the same page without addresses."""
        return EncodedPage.of(self.page.version, without_addresses(self.page.machines))


class PageBounds(msgspec.Struct, frozen=True):
    """What a transaction has room for when machines are encoded as pages."""

    max_pages: int
    max_page_bytes: int  # maximum size of the value of one page
    max_total_bytes: int  # maximum size of the values of all pages together


def encode_pages(version: int, machines: Machines, bounds: PageBounds) -> list[EncodedPage] | None:
    """Encode machines as pages in the order of their ids; None if they exceed the bounds.

    A page whose value is too large is halved. A single machine whose value is too large is encoded
    without its address, which becomes known again from heartbeats and the cloud's list.
    """
    pages: list[EncodedPage] = []
    remaining = [machines]
    total_bytes = 0
    while remaining:
        page = EncodedPage.of(version, remaining.pop())
        if len(page.value) > bounds.max_page_bytes and len(page.page.machines) > 1:
            remaining += reversed(_halves(page.page.machines))
        else:
            if len(page.value) > bounds.max_page_bytes:
                page = page.without_addresses()
            if len(page.value) > bounds.max_page_bytes:
                return None
            pages.append(page)
            total_bytes += len(page.value)
        if len(pages) + len(remaining) > bounds.max_pages or total_bytes > bounds.max_total_bytes:
            return None
    return pages


def _halves(machines: Machines) -> list[Machines]:
    """Return the machines with the lower ids, then those with the higher ids."""
    machine_ids = sorted(machines)
    middle = len(machine_ids) // 2
    return [
        {machine_id: machines[machine_id] for machine_id in half}
        for half in (machine_ids[:middle], machine_ids[middle:])
    ]
