"""Records of machines to be released: written with the change that takes them out of a shard."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from fallpulley.record_format import RecordFormat
from fallpulley.records.keys import RELEASE_PREFIX
from fallpulley.records.messages import ReleaseRecord
from fallpulley.state.transactions import Change

# Machines in one record of those to be released, if their ids leave it below a quarter of a
# value; a release takes a hundred.
MAX_RELEASED_PER_RECORD = 40
MAX_RELEASE_RECORD_SHARE = 0.25
# Changes of one transaction that are not left to release records of the first format.
FIRST_FORMAT_OTHER_CHANGES = 3


def releasable(machine_ids: Iterable[str], record_format: RecordFormat) -> list[str]:
    """Those machines that one transaction may both take out of a shard and have released."""
    released = sorted(machine_ids)
    if not record_format.compact:
        # In the first format each machine to be released has a record of its own.
        return released[: record_format.txn_ops - FIRST_FORMAT_OTHER_CHANGES]
    released = released[:MAX_RELEASED_PER_RECORD]
    max_bytes = MAX_RELEASE_RECORD_SHARE * record_format.value_bytes
    while len(released) > 1 and len(msgspec.json.encode(ReleaseRecord(released))) > max_bytes:
        released = released[: len(released) // 2]
    return released


def release_changes(machine_ids: list[str], record_format: RecordFormat) -> list[Change]:
    """The records that have machines released."""
    if not machine_ids:
        return []
    if not record_format.compact:
        return [Change(RELEASE_PREFIX + machine_id, b"{}") for machine_id in machine_ids]
    record = msgspec.json.encode(ReleaseRecord(machine_ids))
    return [Change(RELEASE_PREFIX + machine_ids[0], record)]
