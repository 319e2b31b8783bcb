"""Transactions that change one shard's record, or move machines from one shard to another."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.shared_records.keys import SHARD_PREFIX
from fallpulley.shared_records.pending_changes import PendingChanges
from fallpulley.shared_records.record_update import update_record
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.release_records import release_changes, select_releasable
from fallpulley.shared_records.shard_change import RecordLimits, RecordUpdate, ShardChange
from fallpulley.shared_records.shard_record import MachineEntry, Machines, ShardRecord
from fallpulley.shared_records.versioned import Versioned
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change

# Changes of a transaction reserved for the record of machines to be released.
RESERVED_RELEASE_CHANGES = 1
# Changes that any update of a shard may use: its record and one page. The smallest transaction
# holds both twice, so that it can move machines between two shards.
MIN_UPDATE_CHANGES = 2


class ShardTransaction(NamedTuple):
    """Changes that are applied atomically if all keys are at their expected revisions."""

    changes: list[Change]
    conditions: dict[str, int]  # key -> expected revision


class TransactionBuilder:
    """Builds transactions from pending changes, within the limits of the state service."""

    def __init__(
        self, context: ControllerContext, registry: Registry, addresses: Mapping[str, str]
    ) -> None:
        self._record_format = context.record_format
        self._registry = registry
        self._addresses = addresses

    def build_change(
        self, shard_id: str, shard: Versioned[ShardRecord], pending: PendingChanges
    ) -> ShardTransaction:
        """Return a transaction that adds and removes machines and updates occupancy flags.

        In formats without pages, machines to be added that do not fit into the record are
        discarded from `pending`.
        """
        removed = select_releasable(pending.removing, self._record_format)
        change = ShardChange(pending.adding, removed, pending.occupancy, self._addresses)
        update = self._largest_update(shard_id, shard, change)
        if not self._record_format.paged:
            # The cloud's next list of machines adds them to a shard that has room.
            for machine_id in pending.adding.keys() - set(update.added):
                del pending.adding[machine_id]
        releases = release_changes(update.removed, self._record_format)
        return ShardTransaction(
            update.changes + releases, {SHARD_PREFIX + shard_id: shard.mod_revision}
        )

    def build_move(
        self, shard_id: str, shard: Versioned[ShardRecord], pending: PendingChanges
    ) -> ShardTransaction | None:
        """Return a transaction that moves machines to one other shard; None if none can move now.

        The receiving shard is that of the first pending move. Both records are written at the
        same revision, so both shards' new fencing tokens are higher than all earlier ones. If no
        transaction within the limits can move any of the machines, or make room for them, all
        moves are discarded from `pending` and the machines stay.
        """
        receiver_id = next(iter(pending.destinations.values()), None)
        receiver = self._registry.shards.get(receiver_id) if receiver_id is not None else None
        if receiver_id is None or receiver is None:
            return None
        max_changes = self._record_format.max_transaction_changes // 2
        machines = _machines_moving_to(receiver_id, shard.value, pending)
        added = self._update(receiver_id, receiver, ShardChange(machines), max_changes)
        removal = ShardChange({}, added.added, pending.occupancy, self._addresses)
        removed = self._update(shard_id, shard, removal, max_changes)
        if set(removed.removed) != set(added.added):
            machines = {machine_id: machines[machine_id] for machine_id in removed.removed}
            added = self._update(receiver_id, receiver, ShardChange(machines), max_changes)
        if not _can_commit_together(removed, added):
            pending.destinations.clear()
            return None
        conditions = {
            SHARD_PREFIX + shard_id: shard.mod_revision,
            SHARD_PREFIX + receiver_id: receiver.mod_revision,
        }
        return ShardTransaction(removed.changes + added.changes, conditions)

    def _largest_update(
        self, shard_id: str, shard: Versioned[ShardRecord], change: ShardChange
    ) -> RecordUpdate:
        """Return an update with as much of the change as one transaction can hold."""
        max_changes = self._record_format.max_transaction_changes - RESERVED_RELEASE_CHANGES
        update = self._update(shard_id, shard, change, max_changes)
        while update.size > MAX_TRANSACTION_BYTES and max_changes > MIN_UPDATE_CHANGES:
            max_changes = max(MIN_UPDATE_CHANGES, max_changes // 2)
            update = self._update(shard_id, shard, change, max_changes)
        return update

    def _update(
        self,
        shard_id: str,
        shard: Versioned[ShardRecord],
        change: ShardChange,
        max_changes: int,
    ) -> RecordUpdate:
        limits = RecordLimits(
            self._record_format.compact,
            self._record_format.paged,
            self._record_format.max_value_bytes,
            max_changes,
        )
        return update_record(shard_id, shard.value, shard.mod_revision, change, limits)


def without_previous_owners(shard: Versioned[ShardRecord]) -> Versioned[ShardRecord]:
    """Return the record without its previous owners, whose response windows have ended."""
    return Versioned(msgspec.structs.replace(shard.value, previous_owners=[]), shard.mod_revision)


def _machines_moving_to(shard_id: str, record: ShardRecord, pending: PendingChanges) -> Machines:
    return {
        machine_id: _unoccupied(record.machines[machine_id])
        for machine_id, receiver_id in pending.destinations.items()
        if receiver_id == shard_id and machine_id in record.machines
    }


def _unoccupied(entry: MachineEntry) -> MachineEntry:
    return MachineEntry(entry.address, entry.machine_type, entry.zone, entry.spot)


def _can_commit_together(removed: RecordUpdate, added: RecordUpdate) -> bool:
    """Return whether both updates fit into one transaction and move the same machines.

    They may also move none, if one of them changes its shard's layout to make room for a later
    move.
    """
    if set(removed.removed) != set(added.added):
        return False
    if removed.size + added.size > MAX_TRANSACTION_BYTES:
        return False
    return bool(added.added) or added.only_changes_layout or removed.only_changes_layout
