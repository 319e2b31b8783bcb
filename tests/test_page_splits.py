"""Updates of shard records in pages whose values are nearly as large as they may be."""

from __future__ import annotations

from fallpulley.shared_records.shard_change import RecordLimits
from tests.test_shard_record_pages import Stored, fleet


def test_few_machines_that_outgrow_a_value_are_not_merged_and_split_for_ever() -> None:
    """Guards against machines that are never added, while the record changes its layout."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(fleet(1, 30, irregular=True))
    stored.add_all(fleet(500, 170, irregular=True), max_writes=20)
    assert len(stored.record.machines) == 200
