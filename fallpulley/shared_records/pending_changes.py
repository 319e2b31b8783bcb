"""Requested changes of one shard's record that have not been written yet."""

from __future__ import annotations

import msgspec

from fallpulley.shared_records.shard_record import Machines, ShardRecord


class PendingChanges(msgspec.Struct):
    """Requested changes of one shard's record, each kept until the record contains it."""

    adding: Machines = msgspec.field(default_factory=dict)
    removing: set[str] = msgspec.field(default_factory=set)
    destinations: dict[str, str] = msgspec.field(default_factory=dict)  # machine -> receiving shard
    # Machine -> flag to write: whether the machine may hold tasks.
    occupancy: dict[str, bool] = msgspec.field(default_factory=dict)
    needs_new_revision: bool = False  # write the record even if nothing in it changes

    @property
    def has_only_moves(self) -> bool:
        """Whether nothing but moves to other shards is requested; true if nothing is."""
        return not (self.adding or self.removing or self.occupancy or self.needs_new_revision)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is requested."""
        return self.has_only_moves and not self.destinations

    def clear(self) -> None:
        """Discard all requests."""
        self.adding.clear()
        self.discard_owner_requests()

    def discard_owner_requests(self) -> None:
        """Discard all requests that only the shard's owner may make: all except additions."""
        self.removing.clear()
        self.destinations.clear()
        self.occupancy.clear()
        self.needs_new_revision = False

    def discard_absent(self, record: ShardRecord) -> None:
        """Discard removals and moves of machines that the record no longer contains."""
        for machine_id in list(self.removing):
            if machine_id not in record.machines:
                self.removing.discard(machine_id)
        for machine_id in list(self.destinations):
            if machine_id not in record.machines:
                del self.destinations[machine_id]

    def discard_recorded_occupancy(self, record: ShardRecord) -> None:
        """Discard flags that the record already has, and flags of machines not in the record."""
        for machine_id, occupied in list(self.occupancy.items()):
            entry = record.machines.get(machine_id)
            if entry is None or entry.occupied == occupied:
                del self.occupancy[machine_id]
