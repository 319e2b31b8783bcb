"""Which machines can take a task: the one definition that admission, sizing and placement share."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from fallpulley.cloud.messages import MachineType
from fallpulley.resources import Resources


class EligibleMachines(NamedTuple):
    """The machines that can take a task: those on which it is allowed and large enough for it.

    Only what never changes on a machine counts. Whether a machine has free resources now, is
    reachable, or is avoided after a failure is decided by the plan.
    """

    allow_spot: bool
    machine_types: tuple[str, ...] | None  # names in sorted order; None: all types of the catalog
    zone: str | None  # None: all zones

    def include(self, machine_type: str, zone: str, spot: bool) -> bool:
        """Return whether a machine of this type, zone and kind can take the task."""
        return (
            (self.allow_spot or not spot)
            and (self.machine_types is None or machine_type in self.machine_types)
            and (self.zone is None or zone == self.zone)
        )


ANY_MACHINE = EligibleMachines(allow_spot=True, machine_types=None, zone=None)


def eligible_machines(
    resources: Resources,
    allow_spot: bool,
    allowed_types: Collection[str] | None,
    zone: str | None,
    catalog: Collection[MachineType],
) -> EligibleMachines:
    """Return the machines that can take a task.

    Args:
        resources: What the task takes of its machine.
        allow_spot: Whether the task may run on spot machines.
        allowed_types: The names of the machine types on which the task may run; None: all.
        zone: The only zone in which the task may run; None: all.
        catalog: The machine types that the cloud offers.
    """
    names = tuple(
        sorted(
            machine_type.name
            for machine_type in catalog
            if (allowed_types is None or machine_type.name in allowed_types)
            and resources.is_within(machine_type.capacity)
        )
    )
    return EligibleMachines(allow_spot, None if len(names) == len(catalog) else names, zone)
