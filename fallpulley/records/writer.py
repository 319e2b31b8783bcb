"""Changes of block records: machines granted, machines given up. One write a block at a time."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.balancing.shard_sizes import (
    COMPACT_ENTRY_BYTES,
    FIRST_FORMAT_ENTRY_BYTES,
    FULL_RECORD_SHARE,
)
from fallpulley.context import ControllerContext
from fallpulley.records.record_update import RecordLimits, RecordUpdate, ShardChange, update_record
from fallpulley.records.registry import RELEASE_PREFIX, SHARD_PREFIX, Registry
from fallpulley.records.shard_record import MachineEntry, Machines, ReleaseRecord, ShardRecord
from fallpulley.state.transactions import (
    MAX_TRANSACTION_BYTES,
    Change,
    RequestPriority,
    Write,
    WriteResult,
)
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)


# Machines in one record of those to be released, if their names leave it below a quarter of a
# value; a release takes a hundred.
MAX_RELEASED_PER_RECORD = 40
MAX_RELEASE_RECORD_SHARE = 0.25
# Beside a block's own values: the record of machines to be released.
EXTRA_CHANGES = 1
# A record and one part of it: what the smallest transaction holds twice.
MIN_CHANGES = 2
# Of a report interval, the least time between two writes of a block's record.
WRITE_INTERVAL_SHARE = 0.1


class ShardWriter:
    """Collects changes and repeats them, each on the newest stamp, until the record shows them.

    A write whose answer was lost may still be applied late. It is conditioned on the stamp it
    was decided on, and the wish stays until a look at the record settles it, so nothing is
    decided on the assumption that it failed.
    """

    def __init__(self, context: ControllerContext, watch: WatchCache, registry: Registry) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.adding: dict[str, dict[str, MachineEntry]] = {}
        self.removing: dict[str, set[str]] = {}
        self.moving: dict[str, dict[str, str]] = {}  # block -> machine -> block that gets it
        self.occupancy: dict[str, dict[str, bool]] = {}  # block -> machine -> to be marked used
        self._unresolved: set[str] = set()  # blocks with a write that may still be applied
        self._visible_from: dict[str, int] = {}  # block -> stamp of our last write
        self.sole_owners: set[str] = (
            set()
        )  # blocks of ours whose former holders answer nobody any more
        self.needs_new_revision: set[str] = (
            set()
        )  # blocks that request a newer stamp, changed or not
        self.addresses: dict[str, str] = {}  # learned from lists and reports
        self._writing_until: dict[str, float] = {}  # block -> until when its last write is awaited
        self._moved_last: set[str] = set()  # blocks whose last write moved machines elsewhere

    def add(self, shard_id: str, machine_id: str, entry: MachineEntry) -> None:
        self.adding.setdefault(shard_id, {})[machine_id] = entry

    def remove(self, shard_id: str, machine_id: str) -> None:
        """Only the holder may ask, for a machine that it no longer places on."""
        self.removing.setdefault(shard_id, set()).add(machine_id)

    def move(self, shard_id: str, machine_id: str, to: str) -> None:
        """Only the holder may ask, for an idle machine that it no longer places on."""
        self.moving.setdefault(shard_id, {})[machine_id] = to

    def set_occupied(self, shard_id: str, machine_id: str, occupied: bool) -> None:
        """Only the holder may ask; counts once `used` says so."""
        self.occupancy.setdefault(shard_id, {})[machine_id] = occupied

    def is_occupied(self, shard_id: str, machine_id: str) -> bool:
        """The record says that the machine may hold tasks, and no write takes that back."""
        entry = self.registry.shards.get(shard_id)
        if entry is None or machine_id in self.occupancy.get(shard_id, ()):
            return False
        machine = entry[0].machines.get(machine_id)
        return machine is not None and machine.occupied

    def leaving(self, shard_id: str, machine_id: str) -> bool:
        """The machine is on its way out of the block, or a write may still move it."""
        return (
            machine_id in self.removing.get(shard_id, ())
            or machine_id in self.moving.get(shard_id, ())
            or shard_id in self._unresolved
        )

    def forget_shard(self, shard_id: str) -> None:
        """The block is no longer ours."""
        self.removing.pop(shard_id, None)
        self.occupancy.pop(shard_id, None)
        self.moving.pop(shard_id, None)
        self.needs_new_revision.discard(shard_id)
        self.sole_owners.discard(shard_id)

    def has_room(self, shard_id: str) -> bool:
        """The block's record can take one machine more."""
        coming = len(self.adding.get(shard_id, ())) + 1
        if self.context.record_format.paged:
            return not self._header_is_full(shard_id)
        if not self.context.record_format.compact:
            return (
                self.registry.record_bytes.get(shard_id, 0) + coming * FIRST_FORMAT_ENTRY_BYTES
                <= self.context.record_format.value_bytes
            )
        if shard_id in self.registry.first_format_shards:
            return True  # it shrinks with its next change
        filled = self.registry.record_bytes.get(shard_id, 0)
        return filled + coming * COMPACT_ENTRY_BYTES <= self.context.record_format.value_bytes

    def _header_is_full(self, shard_id: str) -> bool:
        """Its machines stand in so many parts that the list of them fills the record."""
        entry = self.registry.shards.get(shard_id)
        filled = self.registry.record_bytes.get(shard_id, 0)
        full_bytes = FULL_RECORD_SHARE * self.context.record_format.value_bytes
        return entry is not None and bool(entry[0].pages) and filled > full_bytes

    def is_being_added(self, machine_id: str) -> bool:
        return any(machine_id in machine_ids for machine_ids in self.adding.values())

    def tick(self) -> None:
        now = self.context.now
        pending = (self.adding, self.removing, self.occupancy, self.moving)
        for shard_id in {
            shard_id for requests in pending for shard_id in requests
        } | self.needs_new_revision:
            if now < self._writing_until.get(shard_id, 0.0):
                continue
            entry = self.registry.shards.get(shard_id)
            if entry is None:
                for requests in pending:
                    requests.pop(shard_id, None)
                self.needs_new_revision.discard(shard_id)
                continue
            if entry[1] < self._visible_from.get(shard_id, 0):
                continue  # our last write is in the record, but not yet in our copy
            self._write(shard_id, entry[0], entry[1])

    def _write(self, shard_id: str, record: ShardRecord, mod_revision: int) -> None:
        adding = self.adding.get(shard_id, {})
        removing = self.removing.get(shard_id, set())
        for machine_id in list(adding):
            if machine_id in self.registry.shard_of_machine:
                del adding[machine_id]
        for machine_id in list(removing):
            if machine_id not in record.machines:
                removing.discard(machine_id)
        occupancy = self.occupancy.get(shard_id, {})
        if shard_id not in self._unresolved:
            # While a write may still be applied late, a wish that the record seems to grant
            # already stays: that write could take it back.
            for machine_id, occupied in list(occupancy.items()):
                if (
                    machine_id not in record.machines
                    or record.machines[machine_id].occupied == occupied
                ):
                    del occupancy[machine_id]
        moving = self.moving.get(shard_id, {})
        for machine_id in list(moving):
            if machine_id not in record.machines:
                del moving[machine_id]
        needs_new_revision = shard_id in self.needs_new_revision
        if not adding and not removing and not occupancy and not moving and not needs_new_revision:
            for requests in (self.adding, self.removing, self.occupancy, self.moving):
                requests.pop(shard_id, None)
            return
        others = bool(adding or removing or occupancy or needs_new_revision)
        move = None
        if moving and not (others and shard_id in self._moved_last):
            move = self._build_move(shard_id, record, mod_revision, moving)
        if move is not None:
            self._moved_last.add(shard_id)
            changes, conditions = move
        elif others:
            self._moved_last.discard(shard_id)
            changes, conditions = self._build_change(shard_id, record, mod_revision)
        else:
            return
        self._send(shard_id, changes, conditions)

    def _send(self, shard_id: str, changes: list[Change], conditions: dict[str, int]) -> None:
        self._writing_until[shard_id] = self.context.now + 3.0

        def on_result(result: WriteResult) -> None:
            if result.unknown:
                self._unresolved.add(shard_id)
            elif result.committed:
                self._unresolved.discard(shard_id)
                # A conflict settles nothing: it may be our own late write that got through, and
                # our copy of the record may be from before it.
                self._visible_from[shard_id] = result.revision
                self.needs_new_revision.discard(shard_id)
            # What is wished within a part of a report interval goes out together: a record of
            # hundreds of machines is read by every controller at each change.
            self._writing_until[shard_id] = (
                self.context.now + WRITE_INTERVAL_SHARE * self.context.timing.report_s
            )

        self.context.state_client.write(
            Write(conditions, changes, on_result, RequestPriority.ACCEPT)
        )

    # -- what one transaction changes ------------------------------------------------------

    def _limits(self, changes: int) -> RecordLimits:
        context = self.context
        return RecordLimits(
            context.record_format.compact,
            context.record_format.paged,
            context.record_format.value_bytes,
            changes,
        )

    def _without_ended_owners(self, shard_id: str, record: ShardRecord) -> ShardRecord:
        """The record without former holders that answer nobody any more."""
        if shard_id not in self.sole_owners:
            return record
        return msgspec.structs.replace(record, previous_owners=[])

    def _build_change(
        self, shard_id: str, record: ShardRecord, mod_revision: int
    ) -> tuple[list[Change], dict[str, int]]:
        """Machines that come or go, and marks."""
        adding = self.adding.get(shard_id, {})
        out = self._releasable(self.removing.get(shard_id, set()))
        pending = ShardChange(adding, out, self.occupancy.get(shard_id, {}), self.addresses)
        record = self._without_ended_owners(shard_id, record)
        max_changes = self.context.record_format.txn_ops - EXTRA_CHANGES
        edit = update_record(shard_id, record, mod_revision, pending, self._limits(max_changes))
        while edit.size > MAX_TRANSACTION_BYTES and max_changes > MIN_CHANGES:
            max_changes = max(MIN_CHANGES, max_changes // 2)
            edit = update_record(shard_id, record, mod_revision, pending, self._limits(max_changes))
        if not self.context.record_format.paged:
            # Left to the next list, which grants it to a block with room.
            for machine_id in adding.keys() - set(edit.added):
                del adding[machine_id]
        return edit.changes + self._release_record(edit.removed), {
            SHARD_PREFIX + shard_id: mod_revision
        }

    def _releasable(self, removing: set[str]) -> list[str]:
        """Those that one transaction may both take out and have released."""
        out = sorted(removing)
        if not self.context.record_format.compact:
            # In the first format each machine that goes has a record of its own.
            return out[: self.context.record_format.txn_ops - 3]
        out = out[:MAX_RELEASED_PER_RECORD]
        room = MAX_RELEASE_RECORD_SHARE * self.context.record_format.value_bytes
        while len(out) > 1 and len(msgspec.json.encode(ReleaseRecord(out))) > room:
            out = out[: len(out) // 2]
        return out

    def _release_record(self, machine_ids: list[str]) -> list[Change]:
        if not machine_ids:
            return []
        if self.context.record_format.compact:
            return [
                Change(
                    RELEASE_PREFIX + machine_ids[0], msgspec.json.encode(ReleaseRecord(machine_ids))
                )
            ]
        return [Change(RELEASE_PREFIX + machine_id, b"{}") for machine_id in machine_ids]

    def _build_move(
        self, own: str, record: ShardRecord, mod_revision: int, moving: dict[str, str]
    ) -> tuple[list[Change], dict[str, int]] | None:
        """Move machines to the first block that is to get any: both records change at one
        stamp, so both blocks' tokens rise above all that came before."""
        to = next(iter(moving.values()), None)
        other = self.registry.shards.get(to) if to is not None else None
        if to is None or other is None:
            return None
        half = self.context.record_format.txn_ops // 2
        going = {
            machine_id: _unoccupied(record.machines[machine_id])
            for machine_id, shard_id in moving.items()
            if shard_id == to and machine_id in record.machines
        }
        gets = self._receive(to, other, going, half)
        removal = ShardChange({}, gets.added, self.occupancy.get(own, {}), self.addresses)
        gives = update_record(
            own, self._without_ended_owners(own, record), mod_revision, removal, self._limits(half)
        )
        if set(gives.removed) != set(gets.added):
            going = {machine_id: going[machine_id] for machine_id in gives.removed}
            gets = self._receive(to, other, going, half)
        if set(gives.removed) != set(gets.added) or gives.size + gets.size > MAX_TRANSACTION_BYTES:
            moving.clear()  # a value, or the transaction with both, would be too large: they stay
            return None
        if not gets.added and not (gets.changes_layout or gives.changes_layout):
            moving.clear()
            return None
        return gives.changes + gets.changes, {
            SHARD_PREFIX + own: mod_revision,
            SHARD_PREFIX + to: other[1],
        }

    def _receive(
        self, to: str, other: tuple[ShardRecord, int], machines: Machines, changes: int
    ) -> RecordUpdate:
        return update_record(to, other[0], other[1], ShardChange(machines), self._limits(changes))


def _unoccupied(entry: MachineEntry) -> MachineEntry:
    return MachineEntry(entry.address, entry.machine_type, entry.zone, entry.spot)
