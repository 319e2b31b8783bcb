"""What is to become of one shard's record and is not in it yet."""

from __future__ import annotations

import msgspec

from fallpulley.records.shard_record import Machines, ShardRecord


class PendingChanges(msgspec.Struct):
    """Requested changes of one shard's record; each stays until the record has it."""

    adding: Machines = msgspec.field(default_factory=dict)
    removing: set[str] = msgspec.field(default_factory=set)
    moving: dict[str, str] = msgspec.field(default_factory=dict)  # machine -> shard that gets it
    occupancy: dict[str, bool] = msgspec.field(
        default_factory=dict
    )  # machine -> flag to be written
    needs_new_revision: bool = False  # the record is to be written, changed or not

    @property
    def only_moves(self) -> bool:
        """Nothing is requested, except perhaps that machines move to other shards."""
        return not (self.adding or self.removing or self.occupancy or self.needs_new_revision)

    @property
    def is_empty(self) -> bool:
        """Nothing is requested."""
        return self.only_moves and not self.moving

    def clear(self) -> None:
        """Withdraw all requests."""
        self.adding.clear()
        self.clear_owners_requests()

    def clear_owners_requests(self) -> None:
        """Withdraw what only the shard's owner may request: all but machines to be added."""
        self.removing.clear()
        self.moving.clear()
        self.occupancy.clear()
        self.needs_new_revision = False

    def discard_absent(self, record: ShardRecord) -> None:
        """Withdraw removals and moves of machines that are not in the record any more."""
        for machine_id in list(self.removing):
            if machine_id not in record.machines:
                self.removing.discard(machine_id)
        for machine_id in list(self.moving):
            if machine_id not in record.machines:
                del self.moving[machine_id]

    def discard_recorded_occupancy(self, record: ShardRecord) -> None:
        """Withdraw flags that the record has, or whose machines it has not."""
        for machine_id, occupied in list(self.occupancy.items()):
            entry = record.machines.get(machine_id)
            if entry is None or entry.occupied == occupied:
                del self.occupancy[machine_id]
