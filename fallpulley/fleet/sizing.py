"""Fleet sizing: which machines to rent and release, given work, supply, types and prices.

Pure arithmetic. There should be enough machines to complete all queued and running work within a
given share of a boot time: work that lasts longer would finish earlier on a machine rented now.
Groups of jobs with the same eligible machines are served from the most to the least restricted.

What a group wants, to be completed in time, is rounded to machines that are worth their price. What
it requires, for each of its tasks to start at all, is never rounded down.
"""

from __future__ import annotations

import math

import msgspec

from fallpulley.cloud.messages import MAX_RENTED_MACHINES, MachineType
from fallpulley.cloud.offer import Offer
from fallpulley.fleet.demand_group import DemandGroup
from fallpulley.fleet.market import Market, cheapest_offers
from fallpulley.resources import TOLERANCE

# Time in which urgent work should be completed, as a share of the usual time.
URGENT_DRAIN_SHARE = 0.5

# Time in which a group's work should be completed while the cloud refuses the group's cheapest
# offer, as a share of the usual time. Capacity is scarce then, so more of what is available is
# rented and kept.
SCARCE_DRAIN_SHARE = 0.4

# If at most this share of a machine is missing, no further machine is rented for it: the group's
# other machines do the work, if it has any that can.
MAX_UNRENTED_SHARE = 0.25


class SupplyUnit(msgspec.Struct):
    """A machine that the shard has or is about to get."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    idle_s: float | None  # seconds without tasks; None: in use or not online yet


class PlannedRental(msgspec.Struct):
    """A number of machines of one offer to be rented."""

    offer: Offer
    count: int


class UnmetDemand(msgspec.Struct):
    """A group with tasks that cannot start, as they have no machine and none is rented."""

    group: DemandGroup
    missing_cpus: float
    all_refused: bool  # the cloud refuses every offer that suits the group


class SizingPlan(msgspec.Struct):
    """The machines to rent for a shard and to release from it."""

    scale_out: list[PlannedRental]
    scale_in: list[str]  # machine_ids of idle machines to release
    unmet: list[UnmetDemand]


def size_fleet(
    groups: list[DemandGroup],
    supply: list[SupplyUnit],
    machine_types: dict[str, MachineType],
    refused_offers: set[Offer],
    drain_boots: float,
    idle_boots: float,
    max_new_machines: int,
) -> SizingPlan:
    """Return which machines to rent and which to release.

    All work should be completed within `drain_boots` boot times. A machine is released when it has
    been idle for `idle_boots` boot times of its type and no group needs it. At most
    `max_new_machines` are rented.
    """
    sizing = _Sizing(supply, Market(machine_types, refused_offers), max_new_machines)
    for group in sorted(groups, key=_restriction_key):
        sizing.serve(group, drain_boots)
    return SizingPlan(sizing.scale_out, sizing.machines_to_release(idle_boots), sizing.unmet)


def _restriction_key(group: DemandGroup) -> tuple[bool, float, bool]:
    """Return a sort key that puts groups with the most restrictions first."""
    allow_spot, machine_types, zone = group.eligible
    return (allow_spot, math.inf if machine_types is None else len(machine_types), zone is None)


class _Sizing:
    """A sizing in progress: the supply not allocated yet, and the rentals planned so far."""

    def __init__(self, supply: list[SupplyUnit], market: Market, max_new_machines: int) -> None:
        self.scale_out: list[PlannedRental] = []
        self.unmet: list[UnmetDemand] = []
        self._supply = supply
        self._market = market
        self._max_new_machines = max_new_machines
        self._free_cpus = {machine.machine_id: machine.cpus for machine in supply}

    def serve(self, group: DemandGroup, drain_boots: float) -> None:
        """Allocate supply to the group, and plan rentals of what it lacks."""
        boot_s = self._market.shortest_boot_s(group)
        if boot_s is None:
            return  # no machine type can take the group's tasks
        offers = self._market.offers_for(group)
        available = self._market.available(offers)
        wanted = _wanted_cpus(group, drain_boots * boot_s, self._market.is_scarce(offers))
        usable = _usable_machines(group, self._supply)
        required = self._required_cpus(group, usable)
        missing = self._allocate(wanted, usable)
        rentals = self._rentals_for(missing, required, cheapest_offers(available))
        self.scale_out += rentals
        if required > 0 and not rentals:
            all_refused = bool(offers) and not available
            self.unmet.append(UnmetDemand(group, max(missing, required), all_refused))

    def machines_to_release(self, idle_boots: float) -> list[str]:
        """Return the machines to release: idle for long enough and not needed by any group.

        On-demand machines come before spot machines, and larger ones before smaller ones.
        """
        return [
            machine.machine_id
            for machine in sorted(self._supply, key=lambda machine: (machine.spot, -machine.cpus))
            if machine.idle_s is not None
            and self._free_cpus[machine.machine_id] >= machine.cpus
            and machine.idle_s >= idle_boots * self._market.boot_s(machine.machine_type)
        ]

    def _required_cpus(self, group: DemandGroup, usable: list[SupplyUnit]) -> float:
        """Return the processors without which a task of the group never starts; 0 if it has them.

        The rest of the work can wait for the machines that the group has, this cannot. Machines
        planned for other groups count, if this group may use them too.
        """
        if group.task_count == 0:
            return 0.0
        planned = [rental for rental in self.scale_out if group.eligible.include(*rental.offer)]
        machine_ids = [machine.machine_id for machine in usable]
        if not planned and (not usable or group.needs_another_machine_than(machine_ids)):
            # A task without processors needs a machine as well.
            return max(group.largest_task_cpus, group.largest_gang_cpus, TOLERANCE)
        if group.largest_gang_cpus <= 0:
            return 0.0
        cpus = sum(machine.cpus for machine in usable)
        cpus += sum(self._market.cpus_of(rental.offer) * rental.count for rental in planned)
        missing_for_gang = group.largest_gang_cpus - cpus
        return missing_for_gang if missing_for_gang > TOLERANCE else 0.0

    def _allocate(self, wanted: float, usable: list[SupplyUnit]) -> float:
        """Allocate free processors of the usable machines to a group.

        Returns the number of processors still missing; 0 or less means that none are.
        """
        for machine in usable:
            allocated = min(self._free_cpus[machine.machine_id], wanted)
            self._free_cpus[machine.machine_id] -= allocated
            wanted -= allocated
            if wanted <= 0:
                break
        return wanted

    def _rentals_for(
        self, missing_cpus: float, required_cpus: float, offers: list[Offer]
    ) -> list[PlannedRental]:
        """Spread the missing processors evenly over the offers.

        The last offer makes up for what the required processors still lack after rounding.
        """
        rentals = []
        for index, offer in enumerate(offers):
            cpus = self._market.cpus_of(offer)
            offers_left = len(offers) - index
            count = math.ceil(missing_cpus / offers_left / cpus - MAX_UNRENTED_SHARE)
            if offers_left == 1:
                count = max(count, math.ceil(required_cpus / cpus))
            count = min(count, self._max_new_machines, MAX_RENTED_MACHINES)
            if count > 0:
                rentals.append(PlannedRental(offer, count))
                self._max_new_machines -= count
                missing_cpus -= count * cpus
                required_cpus -= count * cpus
        return rentals


def _wanted_cpus(group: DemandGroup, drain_s: float, scarce: bool) -> float:
    """Return the processors that the group needs.

    They are enough to complete its work in time, and to run its largest task and its largest gang.
    """
    drain_s = drain_s * (URGENT_DRAIN_SHARE if group.urgent else 1.0)
    if scarce:
        drain_s *= SCARCE_DRAIN_SHARE
    wanted = group.work / max(1.0, drain_s)
    wanted = max(wanted, group.largest_task_cpus if group.work > 0 else 0.0)
    return max(wanted, group.largest_gang_cpus)


def _usable_machines(group: DemandGroup, supply: list[SupplyUnit]) -> list[SupplyUnit]:
    """Return the machines that can take the group's tasks, in the order in which it gets them."""
    # Spot machines come first, as some groups may not use them. Then machines that are in use, then
    # the most recently idle: this way machines idle for long stay idle and can be released.
    usable = [
        machine
        for machine in supply
        if group.eligible.include(machine.machine_type, machine.zone, machine.spot)
    ]
    usable.sort(
        key=lambda machine: (
            not machine.spot,
            machine.idle_s is not None,
            machine.idle_s or 0.0,
        )
    )
    return usable
