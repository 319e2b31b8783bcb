"""Which shard gets a machine that joins the fleet."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter


class ShardChoice:
    """Chooses by the shards' target sizes, and by what extensions decide for rented machines."""

    def __init__(
        self, registry: Registry, writer: ShardWriter, shard_for_rental: Callable[[str], str]
    ) -> None:
        """`shard_for_rental`: the shard that gets machines rented for the one named."""
        self.registry = registry
        self.writer = writer
        # Machines that each shard should have, as the leader decides; empty: no targets.
        self.target_sizes: dict[str, int] = {}
        self._shard_for_rental = shard_for_rental

    def for_unrecorded(self) -> str | None:
        """The shard furthest below its target size, among those whose record has room for another
        machine; None: there is none."""
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

    def for_rental(self, asked_for: str) -> str:
        """The shard that gets machines rented for `asked_for`, which may be gone by now."""
        shard_id = self._shard_for_rental(asked_for)
        if shard_id not in self.registry.shards:
            shard_id = self.for_unrecorded() or shard_id
        return shard_id
