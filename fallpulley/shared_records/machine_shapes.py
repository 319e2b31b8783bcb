"""Processors of shards' machines, counted by machine type, zone and spot."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from fallpulley.cloud.messages import MachineType
from fallpulley.shared_records.shard_record import ShardRecord
from fallpulley.shared_records.versioned import Versioned


class MachineShape(NamedTuple):
    """The properties of a machine that a job may constrain."""

    machine_type: str
    zone: str
    spot: bool


class ProcessorCounts:
    """Counts of processors by machine shape, cached per revision of a shard's record."""

    def __init__(self) -> None:
        self._by_shard: dict[str, Versioned[dict[MachineShape, float]]] = {}

    def clear(self) -> None:
        """Discard all cached counts, because the machine types have changed."""
        self._by_shard.clear()

    def by_shape(
        self,
        shard_id: str,
        shard: Versioned[ShardRecord],
        machine_types: dict[str, MachineType],
    ) -> dict[MachineShape, float]:
        """Return the processors of a shard's machines; machines of unknown types are left out."""
        counted = self._by_shard.get(shard_id)
        if counted is not None and counted.mod_revision == shard.mod_revision:
            return counted.value
        counts = Counter(
            (entry.machine_type, entry.zone, entry.spot) for entry in shard.value.machines.values()
        )
        processors = {
            MachineShape(*shape): count * machine_types[shape[0]].cpus
            for shape, count in counts.items()
            if shape[0] in machine_types
        }
        self._by_shard[shard_id] = Versioned(processors, shard.mod_revision)
        return processors
