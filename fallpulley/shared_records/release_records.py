"""Records of machines to release, written in the transaction that removes them from a shard."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from fallpulley.record_format import RecordFormat
from fallpulley.shared_records.keys import RELEASE_PREFIX
from fallpulley.shared_records.messages import ReleaseRecord
from fallpulley.state.transactions import Change

# Maximum number of machines in one release record; one request to the cloud releases up to 100.
MAX_RELEASED_PER_RECORD = 40
# Maximum size of a release record, as a fraction of the size that a value may have.
MAX_RELEASE_RECORD_SHARE = 0.25
# Number of changes in a transaction that are reserved for other values than release records, in the
# first format, where each released machine takes a change of its own.
FIRST_FORMAT_RESERVED_CHANGES = 3


def select_releasable(machine_ids: Iterable[str], record_format: RecordFormat) -> list[str]:
    """Return the machines that one transaction can both remove from a shard and release."""
    released = sorted(machine_ids)
    if not record_format.compact:
        # In the first format each machine to be released needs its own record.
        return released[: record_format.max_transaction_changes - FIRST_FORMAT_RESERVED_CHANGES]
    released = released[:MAX_RELEASED_PER_RECORD]
    max_bytes = MAX_RELEASE_RECORD_SHARE * record_format.max_value_bytes
    while len(released) > 1 and len(msgspec.json.encode(ReleaseRecord(released))) > max_bytes:
        released = released[: len(released) // 2]
    return released


def release_changes(machine_ids: list[str], record_format: RecordFormat) -> list[Change]:
    """Return the changes that write the release records of these machines."""
    if not machine_ids:
        return []
    if not record_format.compact:
        return [Change(RELEASE_PREFIX + machine_id, b"{}") for machine_id in machine_ids]
    record = msgspec.json.encode(ReleaseRecord(machine_ids))
    return [Change(RELEASE_PREFIX + machine_ids[0], record)]
