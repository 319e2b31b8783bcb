"""A requested change of a shard's machines, the limits for writing it, and the resulting values."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from fallpulley.shared_records.machine_encoding import MachineEntry, Machines
from fallpulley.state.transactions import MAX_TRANSACTION_BYTES, Change, values_size


class RecordLimits(msgspec.Struct, frozen=True):
    """The allowed formats, sizes and number of the values in one transaction."""

    compact: bool  # whether the compact format or a newer one may be written
    paged: bool  # whether the paged format may be written
    max_value_bytes: int  # maximum size of one value, in bytes
    max_changes: int  # maximum number of changed keys, including the record itself
    max_total_bytes: int = MAX_TRANSACTION_BYTES  # maximum size of all values together


class ShardChange(msgspec.Struct):
    """Machines to add to and remove from a shard, and flags and addresses to update."""

    add: Machines = {}
    remove: list[str] = []
    occupancy: dict[str, bool] = {}  # machine -> whether it may hold tasks
    # Machine -> address, from the cloud's list and heartbeats. The record keeps the addresses
    # because a new owner sends its fencing commands directly to the machines.
    addresses: Mapping[str, str] = {}

    def apply_to_entries(self, machines: Machines) -> None:
        """Set occupancy flags and fill in missing addresses, modifying `machines`."""
        for machine_id, entry in machines.items():
            occupied = self.occupancy.get(machine_id, entry.occupied)
            address = entry.address or self.addresses.get(machine_id, "")
            if occupied != entry.occupied or address != entry.address:
                machines[machine_id] = MachineEntry(
                    address, entry.machine_type, entry.zone, entry.spot, occupied
                )

    def entry_to_add(self, machine_id: str) -> MachineEntry:
        """Return the entry of a machine to be added, with the flag that is requested for it."""
        entry = self.add[machine_id]
        occupied = self.occupancy.get(machine_id, entry.occupied)
        return msgspec.structs.replace(entry, occupied=occupied)


class RecordUpdate(msgspec.Struct):
    """The values to write for a shard's record, and which machines they add and remove."""

    changes: list[Change]  # the value of `live/block/<shard>` first
    added: list[str]
    removed: list[str]
    # The values hold the same machines as before in another layout; the requested changes are
    # left to the next update.
    only_changes_layout: bool = False
    # Machines to add that the record has no room for, or that no value can hold.
    refused: list[str] = []
    # Whether nothing that was requested could be written: the values would change nothing.
    is_blocked: bool = False

    @property
    def size(self) -> int:
        """The total size of all values, in bytes."""
        return values_size(self.changes)
