"""Shard records in pages: which values are written, and what is read from them."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from fallpulley.shared_records.keys import page_key
from fallpulley.shared_records.layout import (
    MAX_MERGED_MACHINES,
    MAX_PAGE_MACHINES,
    MAX_SINGLE_VALUE_MACHINES,
)
from fallpulley.shared_records.machine_encoding import EntryCache, without_addresses
from fallpulley.shared_records.record_update import update_record
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import (
    MachineEntry,
    ShardRecord,
    decode_shard,
    encode_page,
)

SMALL = RecordLimits(True, True, 1945, 4)  # for values of 2 KiB and the smallest transactions

TINY = RecordLimits(True, True, 400, 4)


class Stored:
    """A state service with one shard, and a controller that reads it."""

    def __init__(self, limits: RecordLimits) -> None:
        self.limits = limits
        self.revision = 1
        self.registry = Registry()
        self.largest = 0
        self.writes = 0
        self._write([("live/block/b", ShardRecord("node-0", "boot", {}).encode(True, 2000))])

    def _write(self, changes: list[tuple[str, bytes | None]]) -> None:
        for key, value in changes:
            self.registry.on_key_changed(key, value, self.revision)

    @property
    def record(self) -> ShardRecord:
        return self.registry.shards["b"][0]

    def apply(self, update: RecordUpdate, backwards: bool = False) -> None:
        """Apply one transaction in either order; the shard changes only when all of it is read."""
        assert len(update.changes) <= self.limits.max_changes
        self.revision += 1
        before = self.registry.shards["b"]
        changes = [(change.key, change.value) for change in update.changes]
        self.largest = max([self.largest, *(len(value or b"") for _, value in changes)])
        self.writes += len(changes)
        for key, value in reversed(changes) if backwards else changes:
            seen = self.registry.shards["b"]
            assert seen[1] in (before[1], self.revision)
            self.registry.on_key_changed(key, value, self.revision)
        assert self.registry.shards["b"][1] == self.revision

    def update(self, change: ShardChange, backwards: bool = False) -> RecordUpdate:
        update = update_record("b", self.record, self.registry.shards["b"][1], change, self.limits)
        self.apply(update, backwards)
        return update

    def add_all(self, machines: dict[str, MachineEntry], max_writes: int = 400) -> None:
        for _ in range(max_writes):
            missing = {
                machine_id: entry
                for machine_id, entry in machines.items()
                if machine_id not in self.record.machines
            }
            if not missing:
                return
            self.update(ShardChange(missing))
        raise AssertionError(f"{len(missing)} machines were not added")


def fleet(first: int, count: int, irregular: bool = False) -> dict[str, MachineEntry]:
    """Return machines by id; irregular ones have ids and addresses without a pattern."""
    generator = random.Random(first)
    machines = {}
    for index in range(first, first + count):
        machine_id = f"{generator.getrandbits(64):x}-x" if irregular else f"vm-{index:06d}"
        address = f"10.{generator.randrange(250)}.{generator.randrange(250)}.7:9"
        if not irregular:
            address = f"10.1.{index >> 8}.{index & 255}:9"
        machines[machine_id] = MachineEntry(address, "box", "ab"[index % 2], index % 3 == 0)
    return machines


@pytest.mark.parametrize("irregular", [False, True])
def test_thousands_of_machines_fit_the_smallest_values_and_transactions(irregular: bool) -> None:
    """A single value held only 700 machines whose ids follow a pattern, or 50 others."""
    count = 1200 if irregular else 6000
    machines = fleet(1, count, irregular)
    stored = Stored(SMALL)
    stored.add_all(machines)
    assert stored.record.machines == machines
    assert stored.largest <= SMALL.max_value_bytes
    # Flagging one machine writes the header and at most two pages, whatever the fleet's size.
    writes = stored.writes
    machine_id = next(iter(machines))
    stored.update(ShardChange(occupancy={machine_id: True}), backwards=True)
    assert stored.writes - writes <= 3 and stored.record.machines[machine_id].occupied
    # A failover writes only the header.
    changed = msgspec.structs.replace(stored.record, owner="node-1", incarnation="other")
    value = changed.encode(True, SMALL.max_value_bytes)
    stored.revision += 1
    assert len(value) <= SMALL.max_value_bytes
    assert stored.registry.on_key_changed("live/block/b", value, stored.revision) == "b"
    assert stored.record.owner == "node-1" and len(stored.record.machines) == count


def test_a_record_of_the_compact_format_is_laid_out_in_pages_by_its_next_update() -> None:
    stored = Stored(RecordLimits(True, False, 16_000, 16))
    machines = fleet(1, 2 * MAX_SINGLE_VALUE_MACHINES)
    stored.add_all(machines)
    assert not stored.record.pages
    stored.limits = RecordLimits(True, True, 16_000, 16)
    update = stored.update(ShardChange(fleet(9000, 5)))
    assert (
        update.only_changes_layout
        and len(stored.record.pages) == 2 * MAX_SINGLE_VALUE_MACHINES // MAX_PAGE_MACHINES
    )
    stored.add_all(fleet(9000, 5))
    assert stored.record.machines == machines | fleet(9000, 5)


def test_small_fleet_has_a_single_value_and_a_shrunken_one_has_it_again() -> None:
    stored = Stored(SMALL)
    stored.add_all(fleet(1, 200))
    assert not stored.record.pages
    stored.add_all(fleet(1, MAX_SINGLE_VALUE_MACHINES + 10))
    assert stored.record.pages
    machine_ids = sorted(stored.record.machines)
    while len(stored.record.machines) > MAX_MERGED_MACHINES // 2:
        present = [machine_id for machine_id in machine_ids if machine_id in stored.record.machines]
        update = stored.update(ShardChange(remove=present[MAX_MERGED_MACHINES // 2 :]))
        assert update.removed or update.only_changes_layout
    stored.update(ShardChange())
    assert (
        not stored.record.pages
        and sorted(stored.record.machines) == machine_ids[: MAX_MERGED_MACHINES // 2]
    )


@settings(max_examples=25, deadline=None, derandomize=True, phases=[Phase.generate])
@given(st.data())
def test_any_changes_in_any_order_leave_what_was_asked_for(data: st.DataObject) -> None:
    limits = data.draw(
        st.sampled_from(
            [SMALL, RecordLimits(True, True, 1945, 16), RecordLimits(True, True, 400, 4)]
        )
    )
    stored = Stored(limits)
    expected: dict[str, MachineEntry] = {}
    for step in range(data.draw(st.integers(3, 12))):
        add = fleet(1000 * step, data.draw(st.integers(0, 700)), data.draw(st.booleans()))
        if data.draw(st.booleans()):
            add = dict(itertools.islice(add.items(), 40))
        machine_ids = sorted(expected)
        remove = machine_ids[:: data.draw(st.integers(2, 9))] if machine_ids else []
        occupancy = {
            machine_id: True for machine_id in machine_ids[1::7] if machine_id not in remove
        }
        update = stored.update(ShardChange(add, remove, occupancy), data.draw(st.booleans()))
        expected |= {machine_id: add[machine_id] for machine_id in update.added}
        for machine_id in update.removed:
            del expected[machine_id]
        assert set(stored.record.machines) == set(expected)
        assert stored.largest <= limits.max_value_bytes
        for machine_id, entry in stored.record.machines.items():
            assert (entry.machine_type, entry.zone, entry.spot) == (
                expected[machine_id].machine_type,
                expected[machine_id].zone,
                expected[machine_id].spot,
            )
            assert not entry.occupied or machine_id in occupancy or expected[machine_id].occupied
        expected = dict(stored.record.machines)


def paged_without_addresses() -> tuple[Stored, dict[str, str]]:
    """Return 2000 machines stored without addresses, and irregular addresses to add.

    They fill 4 pages, of which an update under these limits rewrites one and splits it once.
    """
    stored = Stored(RecordLimits(True, True, 1945, 3))
    machines = fleet(1, 2000)
    stored.add_all(without_addresses(machines))
    assert len(stored.record.pages) == 4
    generator = random.Random(1)
    addresses = {
        machine_id: ".".join(str(generator.randrange(250)) for _ in range(4))
        + f":{generator.randrange(1000, 9999)}"
        for machine_id in machines
    }
    return stored, addresses


def test_no_machine_is_in_two_pages_when_the_lower_half_of_a_split_page_is_too_large() -> None:
    """The page was kept unchanged, but its upper half was also written to a new page.

    A later removal then reported machines as removed that remained in the other page.
    """
    stored, addresses = paged_without_addresses()
    page_ids = sorted(stored.record.pages[0].machines)
    lower_half = page_ids[: len(page_ids) // 2]
    lower_addresses = {machine_id: addresses[machine_id] for machine_id in lower_half}
    stored.update(ShardChange(occupancy={page_ids[0]: True}, addresses=lower_addresses))
    stored_ids = [
        machine_id for page in stored.record.pages.values() for machine_id in page.machines
    ]
    assert len(stored_ids) == len(set(stored_ids))
    update = stored.update(ShardChange(remove=page_ids[-1:]))
    assert not set(update.removed) & set(stored.record.machines)


def test_no_machine_is_lost_when_the_upper_half_of_a_split_page_is_too_large() -> None:
    """The new page of the upper half was dropped, though the rewritten page no longer had it."""
    stored, addresses = paged_without_addresses()
    machine_ids = set(stored.record.machines)
    stored.update(ShardChange(occupancy={min(machine_ids): True}, addresses=addresses))
    assert set(stored.record.machines) == machine_ids


def test_pages_and_headers_of_different_revisions_are_never_mixed() -> None:
    """Responses of one listing may be a change apart, with a new header and an old page."""
    stored = Stored(SMALL)
    stored.add_all(fleet(1, 3000))
    older = dict(stored.record.machines)
    update = update_record(
        "b", stored.record, stored.revision, ShardChange(remove=sorted(older)[:10]), stored.limits
    )
    reader = Registry()
    for key, value in encoded_pages(stored.record):
        reader.on_key_changed(key, value, stored.revision)
    header = update.changes[0]
    reader.on_key_changed(header.key, header.value, stored.revision + 1)
    assert "b" not in reader.shards  # a page of the older revision does not match the new header
    for change in update.changes[1:]:
        assert "b" not in reader.shards
        reader.on_key_changed(change.key, change.value, stored.revision + 1)
    assert set(reader.shards["b"][0].machines) == set(older) - set(sorted(older)[:10])


def encoded_pages(record: ShardRecord) -> list[tuple[str, bytes]]:
    return [(page_key("b", number), encode_page(page)) for number, page in record.pages.items()]


def test_older_version_reads_no_shard_from_the_keys_of_pages() -> None:
    """The version in production reads every key under `live/block/` as a shard."""
    stored = Stored(SMALL)
    stored.add_all(fleet(1, 3000))
    update = update_record(
        "b", stored.record, stored.revision, ShardChange(fleet(9000, 900)), SMALL
    )
    assert sum(change.key.startswith("live/block/") for change in update.changes) == 1
    assert decode_shard(update.changes[0].value or b"").machines == {}


def test_cache_keeps_all_entries_of_a_fleet_above_its_minimum_size() -> None:
    """A fixed-size cache kept no entry of a slightly larger fleet read in the same order."""
    cache = EntryCache(100)
    cache.ensure_size(150)
    traits = ("box", "a", False, False)
    first = [cache.get("vm-", 6, n, n, 9, traits) for n in range(150)]
    again = [cache.get("vm-", 6, n, n, 9, traits) for n in range(150)]
    assert all(one is other for one, other in zip(first, again, strict=True))
