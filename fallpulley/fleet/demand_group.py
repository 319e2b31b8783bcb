"""Groups of a shard's work: the work of all jobs that may use the same machines."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class DemandKey(NamedTuple):
    """The machines that a group's work may use, and whether the work is urgent."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None  # sorted names of types; None: all types
    zone: str | None  # None: all zones
    urgent: bool  # the work has a high priority


class DemandGroup(msgspec.Struct):
    """Work of one shard that may use the same machines."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None
    zone: str | None
    work: float  # in processor-seconds
    largest_task_cpus: float  # processors of the largest task
    largest_gang_cpus: float = 0.0  # processors of the largest gang, whose tasks start together
    urgent: bool = False  # the work has a high priority
    task_count: int = 0  # unfinished tasks; 0: all work has ended

    @classmethod
    def from_key(cls, key: DemandKey, work: float = 0.0) -> DemandGroup:
        """Create a group with the given work in processor-seconds and no known tasks."""
        return cls(key.allow_spot, key.machine_types, key.zone, work, 0.0, urgent=key.urgent)

    @property
    def key(self) -> DemandKey:
        """The properties that distinguish this group from the others of its shard."""
        return DemandKey(self.allow_spot, self.machine_types, self.zone, self.urgent)

    def may_use(self, type_name: str, zone: str, spot: bool) -> bool:
        """Return whether the group's jobs allow such machines."""
        return (
            (self.allow_spot or not spot)
            and (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or zone == self.zone)
        )
