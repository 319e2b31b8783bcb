"""Records of blocks in parts: what is written, and what is read of it."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from fallpulley.records.keys import page_key
from fallpulley.records.layout import (
    MAX_MERGED_MACHINES,
    MAX_PAGE_MACHINES,
    MAX_SINGLE_VALUE_MACHINES,
)
from fallpulley.records.machine_encoding import EntryCache
from fallpulley.records.record_update import update_record
from fallpulley.records.registry import Registry
from fallpulley.records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.records.shard_record import MachineEntry, ShardRecord, decode_shard, encode_page

SMALL = RecordLimits(True, True, 1945, 4)  # values of 2 KiB, the smallest transactions

TINY = RecordLimits(True, True, 400, 4)


class Stored:
    """A state service with one block, and a controller that reads it."""

    def __init__(self, limits: RecordLimits) -> None:
        self.limits = limits
        self.stamp = 1
        self.registry = Registry()
        self.largest = 0
        self.writes = 0
        self._write([("live/block/b", ShardRecord("node-0", "boot", {}).encode(True, 2000))])

    def _write(self, changes: list[tuple[str, bytes | None]]) -> None:
        for key, value in changes:
            self.registry.on_key_changed(key, value, self.stamp)

    @property
    def record(self) -> ShardRecord:
        return self.registry.shards["b"][0]

    def apply(self, edit: RecordUpdate, backwards: bool = False) -> None:
        """One transaction, read in either order; until all of it has come nothing changes."""
        assert len(edit.changes) <= self.limits.max_changes
        self.stamp += 1
        before = self.registry.shards["b"]
        changes = [(change.key, change.value) for change in edit.changes]
        self.largest = max([self.largest, *(len(value or b"") for _, value in changes)])
        self.writes += len(changes)
        for key, value in reversed(changes) if backwards else changes:
            seen = self.registry.shards["b"]
            assert seen[1] in (before[1], self.stamp)
            self.registry.on_key_changed(key, value, self.stamp)
        assert self.registry.shards["b"][1] == self.stamp

    def wish(self, wishes: ShardChange, backwards: bool = False) -> RecordUpdate:
        edit = update_record("b", self.record, self.registry.shards["b"][1], wishes, self.limits)
        self.apply(edit, backwards)
        return edit

    def grant(self, machines: dict[str, MachineEntry], most_writes: int = 400) -> None:
        for _ in range(most_writes):
            left = {host: e for host, e in machines.items() if host not in self.record.machines}
            if not left:
                return
            self.wish(ShardChange(left))
        raise AssertionError(f"{len(left)} machines are not granted")


def fleet(first: int, number: int, loose: bool = False) -> dict[str, MachineEntry]:
    """`loose`: names and addresses that follow no pattern."""
    chance = random.Random(first)
    machines = {}
    for at in range(first, first + number):
        host = f"{chance.getrandbits(64):x}-x" if loose else f"vm-{at:06d}"
        addr = f"10.{chance.randrange(250)}.{chance.randrange(250)}.7:9"
        if not loose:
            addr = f"10.1.{at >> 8}.{at & 255}:9"
        machines[host] = MachineEntry(addr, "box", "ab"[at % 2], at % 3 == 0)
    return machines


@pytest.mark.parametrize("loose", [False, True])
def test_six_thousand_machines_under_the_smallest_values_and_transactions(loose: bool) -> None:
    """In one value there was room for 700 whose names follow a pattern, and for 50 of others."""
    number = 1200 if loose else 6000
    machines = fleet(1, number, loose)
    stored = Stored(SMALL)
    stored.grant(machines)
    assert stored.record.machines == machines
    assert stored.largest <= SMALL.value_bytes
    # A mark of one machine writes the record and one part, whatever the fleet's size.
    writes = stored.writes
    host = next(iter(machines))
    stored.wish(ShardChange(occupancy={host: True}), backwards=True)
    assert stored.writes - writes <= 3 and stored.record.machines[host].occupied
    # A takeover writes the record alone.
    changed = msgspec.structs.replace(stored.record, owner="node-1", incarnation="other")
    value = changed.encode(True, SMALL.value_bytes)
    stored.stamp += 1
    assert len(value) <= SMALL.value_bytes
    assert stored.registry.on_key_changed("live/block/b", value, stored.stamp) == "b"
    assert stored.record.owner == "node-1" and len(stored.record.machines) == number


def test_a_record_of_the_former_format_is_laid_out_in_parts_by_its_next_change() -> None:
    stored = Stored(RecordLimits(True, False, 16_000, 16))
    machines = fleet(1, 2 * MAX_SINGLE_VALUE_MACHINES)
    stored.grant(machines)
    assert not stored.record.pages
    stored.limits = RecordLimits(True, True, 16_000, 16)
    edit = stored.wish(ShardChange(fleet(9000, 5)))
    assert (
        edit.changes_layout
        and len(stored.record.pages) == 2 * MAX_SINGLE_VALUE_MACHINES // MAX_PAGE_MACHINES
    )
    stored.grant(fleet(9000, 5))
    assert stored.record.machines == machines | fleet(9000, 5)


def test_a_small_fleet_has_one_value_and_a_shrunken_one_again() -> None:
    stored = Stored(SMALL)
    stored.grant(fleet(1, 200))
    assert not stored.record.pages
    stored.grant(fleet(1, MAX_SINGLE_VALUE_MACHINES + 10))
    assert stored.record.pages
    hosts = sorted(stored.record.machines)
    while len(stored.record.machines) > MAX_MERGED_MACHINES // 2:
        left = [host for host in hosts if host in stored.record.machines]
        edit = stored.wish(ShardChange(remove=left[MAX_MERGED_MACHINES // 2 :]))
        assert edit.removed or edit.changes_layout
    stored.wish(ShardChange())
    assert (
        not stored.record.pages
        and sorted(stored.record.machines) == hosts[: MAX_MERGED_MACHINES // 2]
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
        hosts = sorted(expected)
        remove = hosts[:: data.draw(st.integers(2, 9))] if hosts else []
        marks = {host: True for host in hosts[1::7] if host not in remove}
        edit = stored.wish(ShardChange(add, remove, marks), data.draw(st.booleans()))
        expected |= {host: add[host] for host in edit.added}
        for host in edit.removed:
            del expected[host]
        assert set(stored.record.machines) == set(expected)
        assert stored.largest <= limits.value_bytes
        for host, entry in stored.record.machines.items():
            assert (entry.machine_type, entry.zone, entry.spot) == (
                expected[host].machine_type,
                expected[host].zone,
                expected[host].spot,
            )
            assert not entry.occupied or host in marks or expected[host].occupied
        expected = dict(stored.record.machines)


def test_parts_and_records_of_different_revisions_are_never_mixed() -> None:
    """Pages of a listing may lie a change apart: the record is new, a part still old."""
    stored = Stored(SMALL)
    stored.grant(fleet(1, 3000))
    older = dict(stored.record.machines)
    edit = update_record(
        "b", stored.record, stored.stamp, ShardChange(remove=sorted(older)[:10]), stored.limits
    )
    reader = Registry()
    for key, value in edit_all_parts(stored.record, stored.stamp):
        reader.on_key_changed(key, value, stored.stamp)
    head = edit.changes[0]
    reader.on_key_changed(head.key, head.value, stored.stamp + 1)
    assert "b" not in reader.shards  # a part of the former revision is not the new record's
    for change in edit.changes[1:]:
        assert "b" not in reader.shards
        reader.on_key_changed(change.key, change.value, stored.stamp + 1)
    assert set(reader.shards["b"][0].machines) == set(older) - set(sorted(older)[:10])


def edit_all_parts(record: ShardRecord, stamp: int) -> list[tuple[str, bytes]]:
    return [(page_key("b", number), encode_page(part)) for number, part in record.pages.items()]


def test_an_older_reader_finds_no_block_in_a_part_key() -> None:
    """The version in production takes every key under `live/block/` for a block."""
    stored = Stored(SMALL)
    stored.grant(fleet(1, 3000))
    edit = update_record("b", stored.record, stored.stamp, ShardChange(fleet(9000, 900)), SMALL)
    assert sum(change.key.startswith("live/block/") for change in edit.changes) == 1
    assert decode_shard(edit.changes[0].value or b"").machines == {}


def test_entries_of_a_fleet_above_the_caches_least_size_are_kept() -> None:
    """Read over in the same order, a cache of fixed size held none of a fleet just above it."""
    cache = EntryCache(100)
    cache.fit(150)
    what = ("box", "a", False, False)
    first = [cache.get("vm-", 6, n, n, 9, what) for n in range(150)]
    again = [cache.get("vm-", 6, n, n, 9, what) for n in range(150)]
    assert all(one is other for one, other in zip(first, again, strict=True))
