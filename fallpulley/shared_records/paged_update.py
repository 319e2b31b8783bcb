"""Updates of shards whose machines are stored in pages."""

from __future__ import annotations

from fallpulley.shared_records.keys import page_key
from fallpulley.shared_records.layout import (
    MAX_PAGE_MACHINES,
    can_merge_pages,
    header_change,
    is_too_large,
    merge_pages,
    page_change,
)
from fallpulley.shared_records.machine_encoding import Machines
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import MachinePage, ShardRecord
from fallpulley.state.transactions import Change


class PagedUpdate:
    """A builder for one update of a shard's header and pages; each instance is used once."""

    def __init__(
        self,
        shard_id: str,
        record: ShardRecord,
        mod_revision: int,
        change: ShardChange,
        limits: RecordLimits,
    ) -> None:
        self._shard_id = shard_id
        self._record = record
        self._mod_revision = mod_revision
        self._change = change
        self._limits = limits
        self._rewritten: dict[int, Machines] = {}  # page number -> machines, for pages to write
        self._added: list[str] = []
        self._removed: list[str] = []

    def build(self) -> RecordUpdate:
        """Return the values to write for as much of the change as one transaction holds."""
        if can_merge_pages(self._record, self._change.add, self._limits):
            return merge_pages(self._shard_id, self._record, self._limits)
        # Removals come first, because they make room in the pages that they rewrite.
        self._remove_machines()
        self._rewrite_flagged_pages()
        self._add_machines()
        for machines in self._rewritten.values():
            self._change.apply_to_entries(machines)
        self._split_oversized_pages()
        return self._encode()

    def _remove_machines(self) -> None:
        for machine_id in self._change.remove:
            machines = self._rewrite(self._page_of(machine_id))
            if machines is not None:
                machines.pop(machine_id, None)
                self._removed.append(machine_id)

    def _rewrite_flagged_pages(self) -> None:
        for machine_id in self._change.occupancy:
            self._rewrite(self._page_of(machine_id))

    def _add_machines(self) -> None:
        for machine_id in sorted(self._change.add):
            machines = self._rewrite(self._page_with_room())
            if machines is None:
                break
            machines[machine_id] = self._change.add[machine_id]
            self._added.append(machine_id)

    def _page_of(self, machine_id: str) -> int | None:
        for number, page in self._record.pages.items():
            if machine_id in page.machines:
                return number
        return None

    def _rewrite(self, number: int | None) -> Machines | None:
        """Return the machines of a page to be written, for modification.

        None if there is no such page, or if the transaction can write no further page.
        """
        if number is None:
            return None
        machines = self._rewritten.get(number)
        # One change is reserved for splitting a page.
        if machines is None and len(self._rewritten) + 1 < max(2, self._limits.max_changes - 1):
            page = self._record.pages.get(number)
            machines = self._rewritten[number] = dict(page.machines) if page is not None else {}
        return machines

    def _page_with_room(self) -> int:
        """Return the number of a page with room for a machine.

        A page that is rewritten anyway is preferred, then the fullest other page, then a new one.
        """
        for number, machines in self._rewritten.items():
            if len(machines) < MAX_PAGE_MACHINES:
                return number
        with_room = [
            (len(page.machines), number)
            for number, page in self._record.pages.items()
            if number not in self._rewritten and len(page.machines) < MAX_PAGE_MACHINES
        ]
        return max(with_room)[1] if with_room else self._new_page_number()

    def _new_page_number(self) -> int:
        number = 0
        while number in self._record.pages or number in self._rewritten:
            number += 1
        return number

    def _split_oversized_pages(self) -> None:
        """Split each rewritten page that is too large for a value.

        If the transaction can write no further page, machines to be added, or the whole rewrite
        of the page, are left to a later update.
        """
        unchecked = list(self._rewritten)
        while unchecked:
            number = unchecked.pop()
            machines = self._rewritten[number]
            page = MachinePage(self._mod_revision, machines)
            if not is_too_large(page, self._limits) or len(machines) < 2:
                continue
            if len(self._rewritten) + 1 < self._limits.max_changes:
                unchecked += [number, self._split_page(machines)]
            elif self._drop_added(machines):
                unchecked.append(number)
            elif len(self._rewritten) > 1:
                self._keep_unchanged(number)

    def _split_page(self, machines: Machines) -> int:
        """Move the upper half of a page's machines to a new page and return its number."""
        upper_half = sorted(machines)[len(machines) // 2 :]
        number = self._new_page_number()
        self._rewritten[number] = {
            machine_id: machines.pop(machine_id) for machine_id in upper_half
        }
        return number

    def _drop_added(self, machines: Machines) -> bool:
        """Leave half of a page's added machines to a later update; return False if it has none."""
        added = [machine_id for machine_id in self._added if machine_id in machines]
        dropped = set(added[len(added) // 2 :])
        for machine_id in dropped:
            del machines[machine_id]
        self._added = [machine_id for machine_id in self._added if machine_id not in dropped]
        return bool(dropped)

    def _keep_unchanged(self, number: int) -> None:
        """Cancel the rewrite of a page; a later update can split it."""
        del self._rewritten[number]
        page = self._record.pages.get(number)
        if page is not None:
            self._removed = [
                machine_id for machine_id in self._removed if machine_id not in page.machines
            ]

    def _encode(self) -> RecordUpdate:
        pages = dict(self._record.pages)
        page_changes = []
        for number, machines in self._rewritten.items():
            if machines:
                pages[number] = MachinePage(self._mod_revision, machines)
                page_changes.append(
                    page_change(self._shard_id, number, pages[number], self._limits)
                )
            else:
                pages.pop(number, None)
                page_changes.append(Change(page_key(self._shard_id, number), None))
        header = header_change(self._shard_id, self._record, pages)
        return RecordUpdate([header, *page_changes], self._added, self._removed)
