"""Fleet sizing: which machines to rent and release, given work, supply, types and prices.

Pure arithmetic. There should be enough machines to complete all queued and running work within a
given share of a boot time: work that lasts longer would finish earlier on a machine rented now.
Groups of jobs that may use the same machines are served from the most to the least restricted.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, MAX_RENTED_MACHINES, MachineType
from fallpulley.cloud.offer import Offer
from fallpulley.resources import TOLERANCE

# Time in which urgent work should be completed, as a share of the usual time.
URGENT_DRAIN_SHARE = 0.5

# Time in which a group's work should be completed while the cloud refuses the group's cheapest
# offer, as a share of the usual time. Capacity is scarce then, so more of what is available is
# rented and kept.
SCARCE_DRAIN_SHARE = 0.4

# Offers whose prices per processor differ by at most this ratio count as equally cheap.
EQUAL_PRICE_RATIO = 1.001

# If at most this share of a machine is missing, no further machine is rented for it: the group's
# other machines do the work, if it has any that can.
MAX_UNRENTED_SHARE = 0.25


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
    task_count: int = 0  # waiting and running tasks; 0: all work has ended

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
    """A group with tasks that can never start, as no machine is rented for them."""

    group: DemandGroup
    missing_cpus: float
    all_refused: bool  # the cloud refuses every offer that suits the group


class SizingPlan(msgspec.Struct):
    """The machines to rent for a shard and to release from it."""

    scale_out: list[PlannedRental]
    scale_in: list[str]  # machine_ids of idle machines to release
    unmet: list[UnmetDemand]


class PricedOffer(NamedTuple):
    """An offer with its price; tuples sort from the cheapest to the most expensive."""

    price_per_cpu: float  # per processor and hour
    offer: Offer


class Market(NamedTuple):
    """The machine types offered by the cloud, and the offers that it refuses."""

    machine_types: dict[str, MachineType]  # by name
    refused_offers: set[Offer]  # refused recently, not to be requested yet

    def cpus_of(self, offer: Offer) -> float:
        """Return the processors of a machine of the offer, whose type must be in the catalog."""
        return self.machine_types[offer.machine_type].cpus

    def boot_s(self, type_name: str) -> float:
        """Return the boot time of a type in seconds, or the default if it is no longer offered."""
        machine_type = self.machine_types.get(type_name)
        return machine_type.boot_s if machine_type is not None else DEFAULT_BOOT_SECONDS

    def offers_for(self, group: DemandGroup) -> list[PricedOffer]:
        """Return all offers that suit a group, refused or not, the cheapest per processor first."""
        found = []
        for machine_type in self.machine_types.values():
            cpus = machine_type.cpus
            if cpus < group.largest_task_cpus or cpus <= 0:
                continue
            for zone in machine_type.zones:
                for spot in (True, False):
                    if group.may_use(machine_type.name, zone, spot):
                        price = (
                            machine_type.spot_price_per_hour
                            if spot
                            else machine_type.price_per_hour
                        )
                        offer = Offer(machine_type.name, zone, spot)
                        found.append(PricedOffer(price / cpus, offer))
        return sorted(found)

    def available(self, offers: list[PricedOffer]) -> list[PricedOffer]:
        """Return the offers that were not refused recently, in the same order."""
        return [priced for priced in offers if priced.offer not in self.refused_offers]


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
    market = Market(machine_types, refused_offers)
    plan = SizingPlan([], [], [])
    free_cpus = {machine.machine_id: machine.cpus for machine in supply}
    for group in sorted(groups, key=_restriction_key):
        boot_s = _shortest_boot_s(group, machine_types)
        if boot_s is None:
            continue  # no machine type fits the group
        offers = market.offers_for(group)
        wanted = _wanted_cpus(group, drain_boots * boot_s, _is_scarce(offers, refused_offers))
        usable = _usable_machines(group, supply)
        required = _required_cpus(group, usable, plan.scale_out, market)
        missing = _allocate_supply(wanted, usable, free_cpus)
        available = market.available(offers)
        rentals = _rentals_for(missing, required, available, market, max_new_machines)
        max_new_machines -= sum(rental.count for rental in rentals)
        plan.scale_out += rentals
        if required > 0 and not rentals:
            plan.unmet.append(UnmetDemand(group, max(missing, required), not available))
    plan.scale_in = _machines_idle_too_long(supply, free_cpus, market, idle_boots)
    return plan


def _restriction_key(group: DemandGroup) -> tuple[bool, bool, bool]:
    """Return a sort key that puts groups with the most restrictions first."""
    return (group.allow_spot, group.machine_types is None, group.zone is None)


def _shortest_boot_s(group: DemandGroup, machine_types: dict[str, MachineType]) -> float | None:
    """Return the shortest boot time of the types that fit the group, in seconds, or None.

    None means that no allowed type has enough processors for the group's largest task.
    """
    return min(
        (
            machine_type.boot_s
            for machine_type in machine_types.values()
            if machine_type.cpus >= group.largest_task_cpus
            and (group.machine_types is None or machine_type.name in group.machine_types)
        ),
        default=None,
    )


def _is_scarce(offers: list[PricedOffer], refused_offers: set[Offer]) -> bool:
    """Return whether the cloud refuses the cheapest offer."""
    return bool(offers) and offers[0].offer in refused_offers


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
    """Return the machines that the group's jobs allow, in the order in which it gets them."""
    # Machines that can take any task of the group come first, so that they are not released while
    # smaller ones are kept. Then spot machines, as some groups may not use them. Then machines that
    # are in use, then the most recently idle: this way machines idle for long stay idle and can be
    # released.
    usable = [
        machine
        for machine in supply
        if group.may_use(machine.machine_type, machine.zone, machine.spot)
    ]
    usable.sort(
        key=lambda machine: (
            machine.cpus < group.largest_task_cpus,
            not machine.spot,
            machine.idle_s is not None,
            machine.idle_s or 0.0,
        )
    )
    return usable


def _required_cpus(
    group: DemandGroup, usable: list[SupplyUnit], planned: list[PlannedRental], market: Market
) -> float:
    """Return the processors without which a task of the group never starts; 0 if it has them.

    The rest of the work can wait for the machines that the group has, this cannot. `planned` are
    the rentals for other groups, which this group may use too.
    """
    if group.task_count == 0:
        return 0.0
    machine_cpus = [machine.cpus for machine in usable]
    for rental in planned:
        if group.may_use(*rental.offer):
            machine_cpus += [market.cpus_of(rental.offer)] * rental.count
    if not machine_cpus or max(machine_cpus) < group.largest_task_cpus:
        return max(group.largest_task_cpus, group.largest_gang_cpus, TOLERANCE)
    missing_for_gang = group.largest_gang_cpus - sum(machine_cpus)
    return missing_for_gang if missing_for_gang > TOLERANCE else 0.0


def _allocate_supply(wanted: float, usable: list[SupplyUnit], free_cpus: dict[str, float]) -> float:
    """Allocate free processors of the usable machines, lowering `free_cpus`.

    Returns the number of processors still missing; 0 or less means that none are.
    """
    for machine in usable:
        allocated = min(free_cpus[machine.machine_id], wanted)
        free_cpus[machine.machine_id] -= allocated
        wanted -= allocated
        if wanted <= 0:
            break
    return wanted


def _rentals_for(
    missing_cpus: float,
    required_cpus: float,
    available: list[PricedOffer],
    market: Market,
    max_new_machines: int,
) -> list[PlannedRental]:
    """Spread the missing processors evenly over the cheapest of the available offers.

    These are usually the offers of one machine type in several zones. The number of machines is
    rounded to the nearest that is worth its price, and never below the required processors.
    """
    max_price = available[0].price_per_cpu * EQUAL_PRICE_RATIO if available else 0.0
    cheapest = [priced.offer for priced in available if priced.price_per_cpu <= max_price]
    rentals = []
    for index, offer in enumerate(cheapest):
        cpus = market.cpus_of(offer)
        offers_left = len(cheapest) - index
        count = math.ceil(missing_cpus / offers_left / cpus - MAX_UNRENTED_SHARE)
        if offers_left == 1:
            count = max(count, math.ceil(required_cpus / cpus))
        count = min(count, max_new_machines, MAX_RENTED_MACHINES)
        if count > 0:
            rentals.append(PlannedRental(offer, count))
            max_new_machines -= count
            missing_cpus -= count * cpus
            required_cpus -= count * cpus
    return rentals


def _machines_idle_too_long(
    supply: list[SupplyUnit], free_cpus: dict[str, float], market: Market, idle_boots: float
) -> list[str]:
    """Return the machines to release: idle for long enough and not needed by any group.

    On-demand machines come before spot machines, and larger ones before smaller ones.
    """
    return [
        machine.machine_id
        for machine in sorted(supply, key=lambda machine: (machine.spot, -machine.cpus))
        if machine.idle_s is not None
        and free_cpus[machine.machine_id] >= machine.cpus
        and machine.idle_s >= idle_boots * market.boot_s(machine.machine_type)
    ]
