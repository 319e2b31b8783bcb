"""The rewrite of one page of a shard's machines, together with the pages split from it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from fallpulley.shared_records.machine_encoding import (
    MachineEntry,
    Machines,
    without_addresses,
)
from fallpulley.shared_records.page_encoding import EncodedPage, PageBounds, encode_pages


class PageChange(msgspec.Struct, frozen=True):
    """Machines to remove from a page, occupancy flags to set in it, and machines to add to it."""

    remove: list[str] = []
    occupancy: dict[str, bool] = {}
    add: Machines = {}

    @property
    def size(self) -> int:
        """The number of requested changes."""
        return len(self.remove) + len(self.occupancy) + len(self.add)

    def first(self, count: int) -> PageChange:
        """Return the first `count` requests: removals, then flags, then additions."""
        remove = self.remove[:count]
        count -= len(remove)
        occupancy = dict(list(self.occupancy.items())[:count])
        count -= len(occupancy)
        return PageChange(remove, occupancy, dict(list(self.add.items())[:count]))

    def apply_to(self, stored: Machines) -> Machines:
        """Return the machines of a page after this change."""
        machines = dict(stored)
        for machine_id in self.remove:
            machines.pop(machine_id, None)
        for machine_id, occupied in self.occupancy.items():
            machines[machine_id] = msgspec.structs.replace(machines[machine_id], occupied=occupied)
        machines.update(self.add)
        return machines


class PageRewrite(msgspec.Struct):
    """The machines of a page after a change, in the values that replace the page.

    All values are written, or none: a machine of the page is in exactly one of them.
    """

    change: PageChange
    pages: list[EncodedPage]  # the first replaces the page, the others are split from it

    @property
    def size(self) -> int:
        """The size of all values, in bytes."""
        return sum(len(page.value) for page in self.pages)


class RewriteBounds(msgspec.Struct, frozen=True):
    """What a transaction has room for when a page is rewritten."""

    any_change: PageBounds
    # For changes that make the page grow and may be left to later updates: additions of machines
    # and of addresses. Removals and flags keep the rest for themselves.
    growth: PageBounds


class PageRewriter:
    """Finds the largest part of the changes of one page that fits into given bounds."""

    def __init__(self, version: int, stored: Machines, addresses: Mapping[str, str]) -> None:
        """Prepare the rewrite of a page.

        Args:
            version: The version of the values to write.
            stored: The machines that the page holds now; none if it is a new page.
            addresses: Machine -> address, to be filled in where the page has none.
        """
        self._version = version
        self._stored = stored
        self._addresses = addresses

    def rewrite(self, change: PageChange, bounds: RewriteBounds, required: int = 0) -> PageRewrite:
        """Return a rewrite with as many of the requests, from the first on, as fit.

        If no more than `required` of them fit, the rewrite has no pages.
        """
        pages = self._encode_with_addresses(change.apply_to(self._stored), bounds.growth)
        if pages is not None:
            return PageRewrite(change, pages)
        for count in _halvings(change.size - required):
            part = change.first(required + count)
            pages = encode_pages(
                self._version,
                part.apply_to(self._stored),
                bounds.growth if part.add else bounds.any_change,
            )
            if pages is not None:
                return PageRewrite(part, pages)
        return PageRewrite(PageChange(), [])

    def rewrite_without_addresses(self, change: PageChange, bounds: RewriteBounds) -> PageRewrite:
        """Return the same as `rewrite`, with no machine's address."""
        bare = PageRewriter(self._version, without_addresses(self._stored), {})
        bare_add = without_addresses(change.add)
        return bare.rewrite(PageChange(change.remove, change.occupancy, bare_add), bounds)

    def _encode_with_addresses(
        self, machines: Machines, bounds: PageBounds
    ) -> list[EncodedPage] | None:
        """Encode machines with as many missing addresses filled in as fit; None if none does.

        The others are left to later rewrites of these pages.
        """
        missing = [
            machine_id
            for machine_id in sorted(machines)
            if not machines[machine_id].address and self._addresses.get(machine_id)
        ]
        for count in _halvings(len(missing)):
            # Spread evenly, so that pages which are split have room for more of them next time.
            chosen = missing[:: -(-len(missing) // count)]
            filled = machines | {
                machine_id: self._with_address(machine_id, machines[machine_id])
                for machine_id in chosen
            }
            pages = encode_pages(self._version, filled, bounds)
            if pages is not None:
                return pages
        return None

    def _with_address(self, machine_id: str, entry: MachineEntry) -> MachineEntry:
        return entry.with_address(self._addresses[machine_id])


def _halvings(count: int) -> Iterator[int]:
    """Yield the count, half of it, and so on down to 1."""
    while count > 0:
        yield count
        count //= 2
