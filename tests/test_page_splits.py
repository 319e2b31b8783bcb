"""Updates of shard records in pages whose values are nearly as large as they may be."""

from __future__ import annotations

import random

import pytest

from fallpulley.shared_records.machine_encoding import without_addresses
from fallpulley.shared_records.paged_update import MIN_SPLIT_CHANGES
from fallpulley.shared_records.record_update import update_record
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import MachineEntry, Machines
from tests.test_shard_record_pages import Stored, fleet

VALUE_BYTES = [400, 972, 1945, 15_564, 31_129]
# The smallest transaction is that of each shard in a move; two changes are a header and one page.
TRANSACTION_CHANGES = [2, 3, 4, 16]


class Requests:
    """Requested changes of one shard, which stay requested until its record contains them."""

    def __init__(self, change: ShardChange) -> None:
        self.change = change

    def remaining(self, machines: Machines) -> ShardChange:
        return ShardChange(
            {key: entry for key, entry in self.change.add.items() if key not in machines},
            [key for key in self.change.remove if key in machines],
            {
                key: occupied
                for key, occupied in self.change.occupancy.items()
                if key in machines and machines[key].occupied != occupied
            },
            self.change.addresses,
        )


def request_count(change: ShardChange) -> int:
    return len(change.add) + len(change.remove) + len(change.occupancy)


def apply_checked(stored: Stored, change: ShardChange, backwards: bool = False) -> RecordUpdate:
    """Apply one update, and check that the record has the machines that the update states."""
    before = dict(stored.record.machines)
    update = update_record(
        "b", stored.record, stored.registry.shards["b"][1], change, stored.limits
    )
    if update.is_blocked:
        assert not update.removed and not set(update.added) - before.keys()
        return update
    stored.apply(update, backwards)
    assert stored.largest <= stored.limits.max_value_bytes
    page_entries = [key for page in stored.record.pages.values() for key in page.machines]
    assert len(page_entries) == len(set(page_entries))
    after = stored.record.machines
    assert after.keys() == (before.keys() | set(update.added)) - set(update.removed)
    for machine_id, entry in after.items():
        known = before.get(machine_id) or change.add[machine_id]
        assert (entry.machine_type, entry.zone, entry.spot) == (
            known.machine_type,
            known.zone,
            known.spot,
        )
        assert entry.occupied in (known.occupied, change.occupancy.get(machine_id, known.occupied))
        assert entry.address in ("", known.address, change.addresses.get(machine_id, ""))
    return update


def apply_all(stored: Stored, change: ShardChange, backwards: bool = False) -> ShardChange:
    """Repeat the update until nothing is left or nothing more can be written.

    Returns what is left. Every update but those of the layout must carry out at
    least one request, so the number of writes is bounded.
    """
    requests = Requests(change)
    remaining = requests.remaining(stored.record.machines)
    layout_changes = 0
    while request_count(remaining):
        update = apply_checked(stored, remaining, backwards)
        if update.is_blocked:
            break
        left = requests.remaining(stored.record.machines)
        if request_count(left) >= request_count(remaining):
            assert update.only_changes_layout
            layout_changes += 1
            assert layout_changes <= 3
        remaining = left
    return remaining


def irregular_addresses(machines: Machines) -> dict[str, str]:
    addresses = {}
    for machine_id, entry in fleet(7, len(machines), irregular=True).items():
        addresses[machine_id] = entry.address
    return dict(zip(machines, addresses.values(), strict=True))


def random_change(generator: random.Random, step: int, present: list[str]) -> ShardChange:
    """Return additions of one kind, removals and occupancy flags of machines that are present."""
    add = fleet(10_000 * step, generator.randrange(700), irregular=generator.random() < 0.5)
    addresses = irregular_addresses(add) if generator.random() < 0.5 else {}
    if generator.random() < 0.5:
        add = without_addresses(add)
    remove = generator.sample(present, generator.randrange(len(present) // 2 + 1))
    kept = sorted(set(present) - set(remove))
    flagged = generator.sample(kept, generator.randrange(len(kept) + 1))
    share = generator.random()
    occupancy = {machine_id: generator.random() < share for machine_id in flagged}
    return ShardChange(add, remove, occupancy, addresses)


def play_changes(limits: RecordLimits, seed: int, steps: int = 4) -> list[ShardChange]:
    """Apply random changes one after the other; return what was left of each."""
    generator = random.Random(seed)
    stored = Stored(limits)
    left = []
    for step in range(steps):
        change = random_change(generator, step, sorted(stored.record.machines))
        left.append(apply_all(stored, change, backwards=generator.random() < 0.5))
    return left


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("max_changes", TRANSACTION_CHANGES)
@pytest.mark.parametrize("max_value_bytes", VALUE_BYTES)
def test_every_update_changes_whole_pages_and_repeated_updates_reach_every_request(
    max_value_bytes: int, max_changes: int, seed: int
) -> None:
    """Guards against machines lost, doubled, or kept after their removal, by a split page."""
    limits = RecordLimits(True, True, max_value_bytes, max_changes)
    for left in play_changes(limits, seed):
        # A header of 400 bytes has no room for pages of all machines. What is left is refused or
        # blocked, which `apply_all` checks. Without a third change, no page can be split.
        assert max_value_bytes == VALUE_BYTES[0] or not left.add
        assert max_changes < MIN_SPLIT_CHANGES or (not left.remove and not left.occupancy)


@pytest.mark.parametrize("irregular", [False, True])
@pytest.mark.parametrize("max_changes", [3, 4, 16])
def test_thousands_of_machines_get_their_addresses_as_their_pages_are_rewritten(
    max_changes: int, irregular: bool
) -> None:
    """Guards against addresses dropped for good where a page could not be split often enough."""
    machines = without_addresses(fleet(1, 1200 if irregular else 6000, irregular))
    addresses = irregular_addresses(machines)
    stored = Stored(RecordLimits(True, True, 1945, max_changes))
    stored.add_all(machines)
    without = set(machines)
    writes = 0
    while without:
        machine_id = min(without)
        apply_checked(stored, ShardChange(occupancy={machine_id: True}, addresses=addresses))
        without = {key for key, entry in stored.record.machines.items() if not entry.address}
        writes += 1
        assert writes <= len(machines) / 10
    assert stored.record.machines.keys() == machines.keys()


@pytest.mark.parametrize("max_changes", [2, 3, 4, 16])
def test_machine_that_no_value_can_hold_is_refused_and_keeps_no_other_out(
    max_changes: int,
) -> None:
    """Guards against an update that writes the header again and again, without any machine."""
    generator = random.Random(3)
    oversized = "".join(chr(generator.randrange(97, 123)) for _ in range(1500))
    stored = Stored(RecordLimits(True, True, 972, max_changes))
    for count in (1, 700):
        add = fleet(1, count) | {oversized: MachineEntry("", "box", "a", False)}
        refused: set[str] = set()
        for _ in range(40):
            remaining = {
                key: add[key] for key in add.keys() - refused - stored.record.machines.keys()
            }
            update = apply_checked(stored, ShardChange(remaining))
            refused |= set(update.refused)
            if not remaining:
                break
        assert refused == {oversized}
        assert stored.record.machines.keys() == fleet(1, count).keys()


def test_few_machines_that_outgrow_a_value_are_not_merged_and_split_for_ever() -> None:
    """Guards against machines that are never added, while the record changes its layout."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(fleet(1, 30, irregular=True))
    stored.add_all(fleet(500, 170, irregular=True), max_writes=20)
    assert len(stored.record.machines) == 200


def test_machines_that_outgrow_a_value_with_their_addresses_are_not_merged_and_split_for_ever() -> (
    None
):
    """Guards against the same where not the machines are large, but what is filled in."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(without_addresses(fleet(1, 32)))
    add = without_addresses(fleet(500, 200))
    addresses = irregular_addresses(add | stored.record.machines)
    assert not request_count(apply_all(stored, ShardChange(add, addresses=addresses)))


def test_machines_that_outgrow_a_value_with_their_flags_are_not_merged_and_split_for_ever() -> None:
    """Guards against the same where flags that differ from machine to machine take the space."""
    stored = Stored(RecordLimits(True, True, 400, 4))
    stored.add_all(fleet(1, 250))
    generator = random.Random(1)
    flags = {machine_id: generator.random() < 0.5 for machine_id in sorted(stored.record.machines)}
    assert not request_count(apply_all(stored, ShardChange(occupancy=flags)))


@pytest.mark.parametrize(("paged", "max_value_bytes"), [(True, 1945), (False, 400)])
def test_machine_added_to_the_record_that_has_it_keeps_its_entry(
    paged: bool, max_value_bytes: int
) -> None:
    """Guards against an occupied machine that is overwritten by an empty one, or dropped.

    A move adds a machine to a shard that has it already if it stayed in a page of the other shard.
    """
    stored = Stored(RecordLimits(True, paged, max_value_bytes, 4))
    machines = fleet(1, 12, irregular=True)
    stored.add_all(machines)
    machine_id = sorted(machines)[3]
    stored.update(ShardChange(occupancy={machine_id: True}))
    occupied = dict(stored.record.machines)
    update = stored.update(ShardChange(add={machine_id: machines[machine_id]}))
    assert update.added == [machine_id]
    assert stored.record.machines == occupied
    # Too many machines for a value of the format without pages: only new ones are left out.
    stored.update(ShardChange(add=fleet(900, 300, irregular=True) | machines))
    assert stored.record.machines.keys() >= machines.keys()
    assert stored.record.machines[machine_id].occupied


def test_removal_of_a_machine_that_is_not_in_the_record_is_not_reported_as_done() -> None:
    """Guards against a release record for a machine that another shard has received."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    machines = fleet(1, 5)
    stored.add_all(machines)
    gone = [*sorted(machines)[:1], "vm-999999"]
    assert stored.update(ShardChange(remove=gone)).removed == gone[:1]


def test_removals_and_flags_are_written_though_the_header_has_no_room_for_another_page() -> None:
    """Guards against a shard of many tiny values that can release no machine any more.

    Its header lists as many pages as a value of 400 bytes holds; all are full, and none can be
    split, though others have become nearly empty.
    """
    for left in play_changes(RecordLimits(True, True, 400, 16), seed=1025):
        assert not left.remove and not left.occupancy
