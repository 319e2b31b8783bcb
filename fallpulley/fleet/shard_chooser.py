"""The choice of the shard that receives a machine joining the fleet."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter


class MachineShardChooser:
    """Chooses shards by their target sizes; extensions may redirect rented machines."""

    def __init__(
        self, registry: Registry, writer: ShardWriter, shard_for_rental: Callable[[str], str]
    ) -> None:
        """Create a chooser.

        `shard_for_rental` returns the shard that receives the machines rented for the given shard.
        """
        self.registry = registry
        self.writer = writer
        # Target number of machines of each shard, set by the leader; empty: no targets.
        self.target_sizes: dict[str, int] = {}
        self._shard_for_rental = shard_for_rental

    def furthest_below_target(self) -> str | None:
        """Return the shard furthest below its target size, or None if no shard has room.

        Only shards whose record has room for another machine are considered.
        """
        sizes = {
            shard_id: len(record.machines)
            for shard_id, (record, _) in self.registry.shards.items()
            if self.writer.has_room(shard_id)
        }
        return min(
            sizes,
            key=lambda shard_id: (sizes[shard_id] - self.target_sizes.get(shard_id, 0), shard_id),
            default=None,
        )

    def for_rental(self, requesting_shard: str) -> str:
        """Return the shard that receives the machines rented for `requesting_shard`.

        If that shard no longer exists, it is the one furthest below its target size.
        """
        shard_id = self._shard_for_rental(requesting_shard)
        if shard_id not in self.registry.shards:
            shard_id = self.furthest_below_target() or shard_id
        return shard_id
