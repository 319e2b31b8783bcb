"""Writes changes of shard records: machines added, removed and moved, and occupancy flags."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.records.pending_changes import PendingChanges
from fallpulley.records.registry import Registry
from fallpulley.records.shard_record import MachineEntry, ShardRecord
from fallpulley.records.transactions import (
    ShardTransaction,
    TransactionBuilder,
    without_previous_owners,
)
from fallpulley.records.versioned import Versioned
from fallpulley.shard_sizes import (
    COMPACT_ENTRY_BYTES,
    FIRST_FORMAT_ENTRY_BYTES,
    FULL_RECORD_SHARE,
)
from fallpulley.state.transactions import RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

# Of a heartbeat interval, the least time between two writes of a shard's record.
WRITE_INTERVAL_SHARE = 0.1
# How long a write's response is awaited before the next one is sent.
WRITE_TIMEOUT_SECONDS = 3.0


class _WriteState(msgspec.Struct):
    """What is known of our writes of one shard's record."""

    is_unresolved: bool = False  # a write may still be applied
    visible_from: int = 0  # revision of our last committed write
    next_write_at: float = 0.0
    last_moved_machines: bool = False  # the last write moved machines to another shard


class ShardWriter:
    """Collects changes of shard records and repeats them, one write a shard at a time.

    A write whose response was lost may still be applied late. It is conditioned on the revision
    it was decided on, and a change stays pending until the record at a newer revision has it, so
    nothing is decided on the assumption that a write failed.
    """

    def __init__(self, context: ControllerContext, watch: WatchCache, registry: Registry) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.addresses: dict[str, str] = {}  # machine -> address, from lists and heartbeats
        self._pending: defaultdict[str, PendingChanges] = defaultdict(PendingChanges)
        self._write_states: defaultdict[str, _WriteState] = defaultdict(_WriteState)
        # Shards of ours whose previous owners answer no machine any more.
        self._without_previous_owners: set[str] = set()
        self._transactions = TransactionBuilder(context, registry, self.addresses)

    # -- requests --------------------------------------------------------------------------------

    def add(self, shard_id: str, machine_id: str, entry: MachineEntry) -> None:
        """Add a machine to a shard, whoever owns it."""
        self._pending[shard_id].adding[machine_id] = entry

    def remove(self, shard_id: str, machine_id: str) -> None:
        """Only the owner may ask, for a machine that it no longer places on."""
        self._pending[shard_id].removing.add(machine_id)

    def move(self, shard_id: str, machine_id: str, to: str) -> None:
        """Only the owner may ask, for an idle machine that it no longer places on."""
        self._pending[shard_id].moving[machine_id] = to

    def set_occupied(self, shard_id: str, machine_id: str, occupied: bool) -> None:
        """Only the owner may ask; in force once `is_occupied` says so."""
        self._pending[shard_id].occupancy[machine_id] = occupied

    def request_new_revision(self, shard_id: str) -> None:
        """Write the shard's record, changed or not; only the owner may ask."""
        self._pending[shard_id].needs_new_revision = True

    def drop_previous_owners(self, shard_id: str) -> None:
        """From the next write on, leave previous owners out: they answer no machine any more."""
        self._without_previous_owners.add(shard_id)

    def forget_shard(self, shard_id: str) -> None:
        """The shard is no longer ours."""
        self._pending[shard_id].clear_owners_requests()
        self._without_previous_owners.discard(shard_id)

    # -- what is pending ---------------------------------------------------------------------------

    def machines_being_added(self, shard_id: str) -> Mapping[str, MachineEntry]:
        """Machines that are not in the shard's record yet."""
        return self._pending[shard_id].adding

    def is_being_added(self, machine_id: str) -> bool:
        """A machine is to be added to any shard."""
        return any(machine_id in pending.adding for pending in self._pending.values())

    def has_moves(self, shard_id: str) -> bool:
        """Machines of the shard are to be moved to others."""
        return bool(self._pending[shard_id].moving)

    def pending_occupancy(self, shard_id: str) -> Mapping[str, bool]:
        """Occupancy flags by machine that are not certain to be in the record yet."""
        return self._pending[shard_id].occupancy

    def is_occupied(self, shard_id: str, machine_id: str) -> bool:
        """The record says that the machine may hold tasks, and no write takes that back."""
        shard = self.registry.shards.get(shard_id)
        if shard is None or machine_id in self._pending[shard_id].occupancy:
            return False
        machine = shard.value.machines.get(machine_id)
        return machine is not None and machine.occupied

    def is_leaving(self, shard_id: str, machine_id: str) -> bool:
        """The machine is to leave the shard, or a write may still move it."""
        pending = self._pending[shard_id]
        return (
            machine_id in pending.removing
            or machine_id in pending.moving
            or self._write_states[shard_id].is_unresolved
        )

    def has_room(self, shard_id: str) -> bool:
        """The shard's record can hold one machine more."""
        record_format = self.context.record_format
        if record_format.paged:
            return not self._header_is_full(shard_id)
        if record_format.compact and shard_id in self.registry.first_format_shards:
            return True  # it shrinks with its next change
        entry_bytes = COMPACT_ENTRY_BYTES if record_format.compact else FIRST_FORMAT_ENTRY_BYTES
        added = len(self._pending[shard_id].adding) + 1
        filled = self.registry.record_bytes.get(shard_id, 0)
        return filled + added * entry_bytes <= record_format.value_bytes

    def _header_is_full(self, shard_id: str) -> bool:
        """Its machines stand in so many pages that the list of them fills the record."""
        shard = self.registry.shards.get(shard_id)
        filled = self.registry.record_bytes.get(shard_id, 0)
        full_bytes = FULL_RECORD_SHARE * self.context.record_format.value_bytes
        return shard is not None and bool(shard.value.pages) and filled > full_bytes

    # -- writing -----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Write what is pending, as far as no earlier write has to be awaited."""
        shard_ids = {
            shard_id for shard_id, pending in self._pending.items() if not pending.is_empty
        }
        for shard_id in shard_ids:
            state = self._write_states[shard_id]
            if self.context.now < state.next_write_at:
                continue
            shard = self.registry.shards.get(shard_id)
            if shard is None:
                self._pending[shard_id].clear()
                continue
            if shard.mod_revision < state.visible_from:
                continue  # our last write is in the record, but not yet in our copy
            self._write(shard_id, shard, state)

    def _write(self, shard_id: str, shard: Versioned[ShardRecord], state: _WriteState) -> None:
        pending = self._pending[shard_id]
        for machine_id in pending.adding.keys() & self.registry.shard_of_machine.keys():
            del pending.adding[machine_id]
        pending.discard_absent(shard.value)
        if not state.is_unresolved:
            # While a write may still be applied late, a flag that the record seems to have
            # already stays pending: that write could take it back.
            pending.discard_recorded_occupancy(shard.value)
        if pending.is_empty:
            return
        if shard_id in self._without_previous_owners:
            shard = without_previous_owners(shard)
        transaction = self._next_transaction(shard_id, shard, pending, state)
        if transaction is not None:
            self._send(shard_id, transaction, state)

    def _next_transaction(
        self,
        shard_id: str,
        shard: Versioned[ShardRecord],
        pending: PendingChanges,
        state: _WriteState,
    ) -> ShardTransaction | None:
        """Moves and other changes take turns where both are pending."""
        transaction = None
        if pending.moving and (pending.only_moves or not state.last_moved_machines):
            transaction = self._transactions.build_move(shard_id, shard, pending)
        if transaction is not None:
            state.last_moved_machines = True
        elif not pending.only_moves:
            state.last_moved_machines = False
            transaction = self._transactions.build_change(shard_id, shard, pending)
        return transaction

    def _send(self, shard_id: str, transaction: ShardTransaction, state: _WriteState) -> None:
        state.next_write_at = self.context.now + WRITE_TIMEOUT_SECONDS

        def on_result(result: WriteResult) -> None:
            if result.unknown:
                state.is_unresolved = True
            elif result.committed:
                # A conflict resolves nothing: it may be our own late write that was applied, and
                # our copy of the record may be from before it.
                state.is_unresolved = False
                state.visible_from = result.revision
                self._pending[shard_id].needs_new_revision = False
            # What is requested within a part of a heartbeat interval goes out together: a record
            # of hundreds of machines is read by every controller at each change.
            state.next_write_at = (
                self.context.now + WRITE_INTERVAL_SHARE * self.context.timing.heartbeat_interval_s
            )

        self.context.state_client.write(
            Write(transaction.conditions, transaction.changes, on_result, RequestPriority.ACCEPT)
        )
