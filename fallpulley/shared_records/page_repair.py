"""Machines that stand in several pages of a shard's record.

Earlier versions could write such records when they split a page. The copy that counts is an
occupied one, if there is any: a machine that may hold tasks must not be taken for an empty one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from fallpulley.shared_records.machine_encoding import Machines
from fallpulley.shared_records.shard_record import MachinePage, ShardRecord


def merge_pages_of_machines(pages: Mapping[int, MachinePage]) -> Machines:
    """Return the machines of all pages, each with the copy that counts."""
    merged: Machines = {}
    for page in pages.values():
        merged.update(page.machines)
    if len(merged) < _count_entries(pages):
        for page in pages.values():
            merged.update(
                (machine_id, entry) for machine_id, entry in page.machines.items() if entry.occupied
            )
    return merged


def count_extra_copies(record: ShardRecord) -> int:
    """Return how many entries of the record's pages repeat machines of other pages."""
    return _count_entries(record.pages) - len(record.machines) if record.pages else 0


def find_extra_copies(record: ShardRecord) -> dict[int, list[str]]:
    """Return the machines to drop from each page, so that one copy that counts remains of each."""
    if not count_extra_copies(record):
        return {}
    numbers_by_machine: defaultdict[str, list[int]] = defaultdict(list)
    for number, page in sorted(record.pages.items()):
        for machine_id in page.machines:
            numbers_by_machine[machine_id].append(number)
    extra_copies: defaultdict[int, list[str]] = defaultdict(list)
    for machine_id, numbers in numbers_by_machine.items():
        kept = _number_of_copy_that_counts(machine_id, numbers, record.pages)
        for number in numbers:
            if number != kept:
                extra_copies[number].append(machine_id)
    return dict(extra_copies)


def _number_of_copy_that_counts(
    machine_id: str, numbers: list[int], pages: Mapping[int, MachinePage]
) -> int:
    for number in numbers:
        if pages[number].machines[machine_id].occupied:
            return number
    return numbers[0]


def _count_entries(pages: Mapping[int, MachinePage]) -> int:
    return sum(len(page.machines) for page in pages.values())
