"""Transactions that change one shard's record, or move machines from one shard to another."""

from __future__ import annotations

import logging
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
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change, values_size

log = logging.getLogger(__name__)

# Changes of a transaction reserved for the record of machines to be released.
RESERVED_RELEASE_CHANGES = 1


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
    ) -> ShardTransaction | None:
        """Return a transaction that adds and removes machines and updates occupancy flags.

        None if no part of the change fits into the values of the record. Machines to be added that
        the record has no room for are discarded from `pending`.
        """
        removed = select_releasable(pending.removing, self._record_format)
        change = ShardChange(pending.adding, removed, pending.occupancy, self._addresses)
        release_bytes = values_size(release_changes(removed, self._record_format))
        update = self._update(
            shard_id,
            shard,
            change,
            self._record_format.max_transaction_changes - RESERVED_RELEASE_CHANGES,
            MAX_TRANSACTION_BYTES - release_bytes,
        )
        self._discard_refused(shard_id, update, pending)
        if update.is_blocked and not pending.needs_new_revision:
            self._log_blocked(shard_id, shard.value)
            return None
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
        machines = _machines_moving_to(receiver_id, shard.value, pending)
        added = self._update_of_move(receiver_id, receiver, ShardChange(machines))
        removal = ShardChange({}, added.added, pending.occupancy, self._addresses)
        removed = self._update_of_move(shard_id, shard, removal)
        if set(removed.removed) != set(added.added):
            machines = {machine_id: machines[machine_id] for machine_id in removed.removed}
            added = self._update_of_move(receiver_id, receiver, ShardChange(machines))
        if not _can_commit_together(removed, added):
            pending.destinations.clear()
            return None
        conditions = {
            SHARD_PREFIX + shard_id: shard.mod_revision,
            SHARD_PREFIX + receiver_id: receiver.mod_revision,
        }
        return ShardTransaction(removed.changes + added.changes, conditions)

    def _update_of_move(
        self, shard_id: str, shard: Versioned[ShardRecord], change: ShardChange
    ) -> RecordUpdate:
        """Return the update of one of the two shards of a move: each has half of a transaction."""
        max_changes = self._record_format.max_transaction_changes // 2
        return self._update(shard_id, shard, change, max_changes, MAX_TRANSACTION_BYTES // 2)

    def _update(
        self,
        shard_id: str,
        shard: Versioned[ShardRecord],
        change: ShardChange,
        max_changes: int,
        max_total_bytes: int,
    ) -> RecordUpdate:
        limits = RecordLimits(
            self._record_format.compact,
            self._record_format.paged,
            self._record_format.max_value_bytes,
            max_changes,
            max_total_bytes,
        )
        return update_record(shard_id, shard.value, shard.mod_revision, change, limits)

    def _discard_refused(
        self, shard_id: str, update: RecordUpdate, pending: PendingChanges
    ) -> None:
        """Discard machines that the record has no room for.

        The cloud's next list of machines adds them to a shard that has room.
        """
        if not update.refused:
            return
        for machine_id in update.refused:
            del pending.adding[machine_id]
        log.error(
            "shard's record has no room for machines shard=%s machines=%d first_machine=%s"
            " max_value_bytes=%d",
            shard_id,
            len(update.refused),
            update.refused[0],
            self._record_format.max_value_bytes,
        )

    def _log_blocked(self, shard_id: str, record: ShardRecord) -> None:
        log.error(
            "no part of a change fits into the shard's record shard=%s machines=%d pages=%d"
            " max_value_bytes=%d",
            shard_id,
            len(record.machines),
            len(record.pages),
            self._record_format.max_value_bytes,
        )


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
    if any(update.only_changes_layout and update.is_blocked for update in (removed, added)):
        return False
    return bool(added.added) or added.only_changes_layout or removed.only_changes_layout
