"""Groups of a shard's work: the work of all jobs with the same eligible machines."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from fallpulley.placement.eligibility import EligibleMachines


class DemandKey(NamedTuple):
    """The machines that can take a group's tasks, and whether the work is urgent."""

    eligible: EligibleMachines
    urgent: bool  # the work has a high priority


class DemandGroup(msgspec.Struct):
    """Work of one shard whose tasks can be taken by the same machines.

    Each of these machines can take any task of the group.
    """

    eligible: EligibleMachines
    work: float  # in processor-seconds
    largest_task_cpus: float  # processors of the largest task
    largest_gang_cpus: float = 0.0  # processors of the largest gang, whose tasks start together
    urgent: bool = False  # the work has a high priority
    task_count: int = 0  # unfinished tasks; 0: all work has ended
    # For each job with waiting tasks that needs another machine than those on which it has failed:
    # these machines.
    failed_machines: list[set[str]] = []

    def needs_another_machine_than(self, machine_ids: Collection[str]) -> bool:
        """Return whether a job of the group needs another machine than these."""
        return any(failed.issuperset(machine_ids) for failed in self.failed_machines)

    @classmethod
    def from_key(cls, key: DemandKey, work: float = 0.0) -> DemandGroup:
        """Create a group with the given work in processor-seconds and no known tasks."""
        return cls(key.eligible, work, 0.0, urgent=key.urgent)

    @property
    def key(self) -> DemandKey:
        """The properties that distinguish this group from the others of its shard."""
        return DemandKey(self.eligible, self.urgent)
