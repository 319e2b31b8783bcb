"""Writing of changes to shard records: machines added, removed and moved, and occupancy flags."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.shard_sizes import (
    COMPACT_ENTRY_BYTES,
    FIRST_FORMAT_ENTRY_BYTES,
    FULL_HEADER_SHARE,
)
from fallpulley.shared_records.keys import LEADER_KEY
from fallpulley.shared_records.page_check import PageCheck
from fallpulley.shared_records.pending_changes import PendingChanges
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import MachineEntry, ShardRecord
from fallpulley.shared_records.transactions import (
    ShardTransaction,
    TransactionBuilder,
    without_previous_owners,
)
from fallpulley.shared_records.versioned import Versioned
from fallpulley.state.transactions import RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

# Minimum time between two writes of a shard's record, as a fraction of the heartbeat interval.
WRITE_INTERVAL_SHARE = 0.1
# How long to wait for a write's response before the next write of the same record, in seconds.
WRITE_TIMEOUT_SECONDS = 3.0


class _WriteState(msgspec.Struct):
    """The state of this controller's writes of one shard's record."""

    is_unresolved: bool = False  # whether a write without a response may still be applied
    last_committed_revision: int = 0  # revision of the last committed write
    next_write_at: float = 0.0  # earliest time of the next write, by the monotonic clock
    last_write_was_move: bool = False  # whether the last write moved machines to another shard


class ShardWriter:
    """Collects requested changes of shard records and writes them until the records contain them.

    The next write of a shard waits for the response to the last one, at most
    `WRITE_TIMEOUT_SECONDS`. A write whose response was lost may still be applied later. It is
    conditioned on the revision that it was based on, and a change stays pending until the record
    at a newer revision contains it, so nothing relies on the assumption that a write without a
    response has failed.
    """

    def __init__(self, context: ControllerContext, watch: WatchCache, registry: Registry) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.addresses: dict[str, str] = {}  # machine -> address, from lists and heartbeats
        self._pending: defaultdict[str, PendingChanges] = defaultdict(PendingChanges)
        self._write_states: defaultdict[str, _WriteState] = defaultdict(_WriteState)
        # Own shards whose previous owners no longer respond to any machine.
        self._shards_without_previous_owners: set[str] = set()
        self._page_check = PageCheck(registry)
        self._transactions = TransactionBuilder(context, registry, self.addresses)

    # -- requests --------------------------------------------------------------------------------

    def add(self, shard_id: str, machine_id: str, entry: MachineEntry) -> None:
        """Request to add a machine to a shard; only the leader may request it.

        The request is discarded when this controller no longer leads, and a write of it that is
        carried out later fails: the next leader may have given the machine to another shard.
        """
        self._pending[shard_id].adding[machine_id] = entry

    def remove(self, shard_id: str, machine_id: str) -> None:
        """Request to remove a machine from a shard.

        Only the owner may request it, once it places no more tasks on the machine.
        """
        self._pending[shard_id].removing.add(machine_id)

    def move(self, shard_id: str, machine_id: str, to: str) -> None:
        """Request to move an idle machine to shard `to`.

        Only the owner may request it, once it places no more tasks on the machine.
        """
        self._pending[shard_id].destinations[machine_id] = to

    def set_occupied(self, shard_id: str, machine_id: str, occupied: bool) -> None:
        """Request to write a machine's occupancy flag; only the owner may request it.

        Tasks may be started on the machine only once `is_occupied` returns true.
        """
        self._pending[shard_id].occupancy[machine_id] = occupied

    def request_new_revision(self, shard_id: str) -> None:
        """Request to write the shard's record even if unchanged; only the owner may request it."""
        self._pending[shard_id].needs_new_revision = True

    def drop_previous_owners(self, shard_id: str) -> None:
        """Omit the previous owners from the next write on: their response windows have ended."""
        self._shards_without_previous_owners.add(shard_id)

    def discard_owner_requests(self, shard_id: str) -> None:
        """Discard this controller's requests for a shard that another controller now owns.

        Only requests to add machines stay: the leader makes them for all shards.
        """
        self._pending[shard_id].discard_owner_requests()
        self._shards_without_previous_owners.discard(shard_id)

    # -- pending requests --------------------------------------------------------------------------

    def machines_being_added(self, shard_id: str) -> Mapping[str, MachineEntry]:
        """Return the machines to be added that are not in the shard's record yet."""
        return self._pending[shard_id].adding

    def is_being_added(self, machine_id: str) -> bool:
        """Return whether the machine is to be added to any shard."""
        return any(machine_id in pending.adding for pending in self._pending.values())

    def has_pending_moves(self, shard_id: str) -> bool:
        """Return whether machines of the shard are to be moved to other shards."""
        return bool(self._pending[shard_id].destinations)

    def pending_occupancy(self, shard_id: str) -> Mapping[str, bool]:
        """Return requested occupancy flags, by machine, that may not be in the record yet."""
        return self._pending[shard_id].occupancy

    def is_occupied(self, shard_id: str, machine_id: str) -> bool:
        """Return whether the record flags the machine as occupied and no change is pending."""
        shard = self.registry.shards.get(shard_id)
        if shard is None or machine_id in self._pending[shard_id].occupancy:
            return False
        machine = shard.value.machines.get(machine_id)
        return machine is not None and machine.occupied

    def is_leaving(self, shard_id: str, machine_id: str) -> bool:
        """Return whether the machine is to leave the shard, or a write may still remove it."""
        pending = self._pending[shard_id]
        return (
            machine_id in pending.removing
            or machine_id in pending.destinations
            or self._write_states[shard_id].is_unresolved
        )

    def has_room(self, shard_id: str) -> bool:
        """Return whether the shard's record has room for one more machine."""
        record_format = self.context.record_format
        if record_format.paged:
            return not self._header_is_full(shard_id)
        if record_format.compact and shard_id in self.registry.first_format_shards:
            return True  # its next write uses the compact format and needs less space
        entry_bytes = COMPACT_ENTRY_BYTES if record_format.compact else FIRST_FORMAT_ENTRY_BYTES
        added = len(self._pending[shard_id].adding) + 1
        filled = self.registry.record_bytes.get(shard_id, 0)
        return filled + added * entry_bytes <= record_format.max_value_bytes

    def _header_is_full(self, shard_id: str) -> bool:
        """Return whether the shard has so many pages that their list nearly fills its record."""
        shard = self.registry.shards.get(shard_id)
        filled = self.registry.record_bytes.get(shard_id, 0)
        full_bytes = FULL_HEADER_SHARE * self.context.record_format.max_value_bytes
        return shard is not None and bool(shard.value.pages) and filled > full_bytes

    # -- writing -----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Write pending changes of all shards that need not wait for an earlier write."""
        self._page_check.tick(self.context.now)
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
            if shard.mod_revision < state.last_committed_revision:
                continue  # the local copy does not contain the last committed write yet
            self._write(shard_id, shard, state)

    def _write(self, shard_id: str, shard: Versioned[ShardRecord], state: _WriteState) -> None:
        pending = self._pending[shard_id]
        term = self.registry.leader_term(self.context.incarnation)
        if term is None:
            pending.adding.clear()
        for machine_id in pending.adding.keys() & self.registry.shard_of_machine.keys():
            del pending.adding[machine_id]
        pending.discard_absent(shard.value)
        if not state.is_unresolved:
            # While an earlier write may still be applied, a flag that the record already has stays
            # pending: that write could change it back.
            pending.discard_recorded_occupancy(shard.value)
        if pending.is_empty:
            return
        if shard_id in self._shards_without_previous_owners:
            shard = without_previous_owners(shard)
        transaction = self._next_transaction(shard_id, shard, pending, state)
        if transaction is None:
            return
        if pending.adding and term is not None:
            transaction.conditions[LEADER_KEY] = term
        self._send(shard_id, transaction, state)

    def _next_transaction(
        self,
        shard_id: str,
        shard: Versioned[ShardRecord],
        pending: PendingChanges,
        state: _WriteState,
    ) -> ShardTransaction | None:
        """Return the next transaction, or None if none can be built now.

        If both moves and other changes are pending, they alternate.
        """
        transaction = None
        if pending.destinations and (pending.has_only_moves or not state.last_write_was_move):
            transaction = self._transactions.build_move(shard_id, shard, pending)
        if transaction is not None:
            state.last_write_was_move = True
        elif not pending.has_only_moves:
            state.last_write_was_move = False
            transaction = self._transactions.build_change(shard_id, shard, pending)
            if transaction is None:
                state.next_write_at = self.context.now + WRITE_TIMEOUT_SECONDS
        return transaction

    def _send(self, shard_id: str, transaction: ShardTransaction, state: _WriteState) -> None:
        state.next_write_at = self.context.now + WRITE_TIMEOUT_SECONDS

        def on_result(result: WriteResult) -> None:
            if result.unknown:
                state.is_unresolved = True
            elif result.committed:
                # After a conflict, `is_unresolved` stays: the conflict may have been caused by an
                # earlier own write that the local copy of the record does not contain yet.
                state.is_unresolved = False
                state.last_committed_revision = result.revision
                self._pending[shard_id].needs_new_revision = False
            # Requests of a fraction of a heartbeat interval are written together, because every
            # controller decodes a record of hundreds of machines at each of its changes.
            state.next_write_at = (
                self.context.now + WRITE_INTERVAL_SHARE * self.context.timing.heartbeat_interval_s
            )

        self.context.state_client.write(
            Write(
                transaction.conditions, transaction.changes, on_result, RequestPriority.INTERACTIVE
            )
        )
