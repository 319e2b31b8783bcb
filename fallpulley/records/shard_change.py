"""A requested change of a shard's machines, the limits of its values, and the values to write."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from fallpulley.records.machine_encoding import MachineEntry, Machines
from fallpulley.state.transactions import Change


class RecordLimits(msgspec.Struct, frozen=True):
    """What the values of one transaction may be."""

    compact: bool  # in the compact format or a newer one
    paged: bool  # in the paged format
    value_bytes: int  # in one value
    max_changes: int  # in one transaction, the record's own among them


class ShardChange(msgspec.Struct):
    """What is to become of a shard's machines."""

    add: Machines = {}
    remove: list[str] = []
    occupancy: dict[str, bool] = {}
    # From lists and heartbeats, by machine: a new owner fences the machines directly.
    addresses: Mapping[str, str] = {}

    def apply_to_entries(self, machines: Machines) -> None:
        """Set occupancy flags and fill in addresses that are not known yet, in place."""
        for machine_id, entry in machines.items():
            occupied = self.occupancy.get(machine_id, entry.occupied)
            address = entry.address or self.addresses.get(machine_id, "")
            if occupied != entry.occupied or address != entry.address:
                machines[machine_id] = MachineEntry(
                    address, entry.machine_type, entry.zone, entry.spot, occupied
                )


class RecordUpdate(msgspec.Struct):
    """The values to write, the record's own first, and which machines they add and remove."""

    changes: list[Change]
    added: list[str]
    removed: list[str]
    # Nothing that was requested is in these values, but the next update can have some of it.
    changes_layout: bool = False

    @property
    def size(self) -> int:
        """Bytes of all values."""
        return sum(len(change.value or b"") for change in self.changes)
