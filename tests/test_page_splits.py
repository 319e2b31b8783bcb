"""Updates of shard records in pages whose values are nearly as large as they may be."""

from __future__ import annotations

import pytest

from fallpulley.shared_records.shard_change import RecordLimits, ShardChange
from tests.test_shard_record_pages import Stored, fleet


def test_few_machines_that_outgrow_a_value_are_not_merged_and_split_for_ever() -> None:
    """Guards against machines that are never added, while the record changes its layout."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(fleet(1, 30, irregular=True))
    stored.add_all(fleet(500, 170, irregular=True), max_writes=20)
    assert len(stored.record.machines) == 200


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
