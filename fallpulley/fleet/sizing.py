"""How many machines a shard should have: pure arithmetic on work, supply, types and prices.

Queued and running work is to drain within a share of a machine's boot time: work that lasts
longer would gain from a machine rented now. Groups of jobs that may use the same machines
are served from the most to the least restricted.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, MAX_RENTED_MACHINES, MachineType
from fallpulley.cloud.offer import Offer

# Work of a high priority is to drain in this share of the time others may take.
URGENT_DRAIN = 0.5

# While the cloud refuses what a group would rent first, capacity is scarce: what there is is
# rented and kept for work that lasts this share of the usual time.
SCARCE_DRAIN = 0.4

# Offers whose prices differ by less than this ratio are equally cheap.
EQUAL_PRICE_RATIO = 1.001

# A missing part of a machine up to this size is not worth another one.
MAX_MISSING_PART = 0.25


class DemandKey(NamedTuple):
    """Which machines work may use, and whether it is urgent."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None  # names, sorted; None: all
    zone: str | None  # None: all
    urgent: bool  # of a high priority


class DemandGroup(msgspec.Struct):
    """Work that may use the same machines; amounts in processor-seconds and processors."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None
    zone: str | None
    work: float
    largest_task_cpus: float  # processors of the widest task
    largest_gang_cpus: float = 0.0  # processors that must be free together: a gang's
    urgent: bool = False  # of a high priority

    @classmethod
    def of_key(cls, key: DemandKey, work: float = 0.0) -> DemandGroup:
        """A group with so much work and no tasks known."""
        return cls(key.allow_spot, key.machine_types, key.zone, work, 0.0, urgent=key.urgent)

    @property
    def key(self) -> DemandKey:
        """What tells this group from the others of its shard."""
        return DemandKey(self.allow_spot, self.machine_types, self.zone, self.urgent)

    def may_use(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the group's jobs allow such machines."""
        return (
            (self.allow_spot or not spot)
            and (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or zone == self.zone)
        )


class SupplyUnit(msgspec.Struct):
    """A machine that is there, or that is coming."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    idle_s: float | None  # None: in use, or not up yet


class ScaleOut(msgspec.Struct):
    """Machines to be rented."""

    offer: Offer
    count: int


class SizingPlan(msgspec.Struct):
    """What a shard's fleet lacks, and what it has too much of."""

    scale_out: list[ScaleOut]
    scale_in: list[str]  # machine_ids


class PricedOffer(NamedTuple):
    """An offer by its price; sorted, the cheapest is first."""

    price_per_cpu: float  # for an hour
    offer: Offer


class Market(NamedTuple):
    """What can be rented."""

    machine_types: dict[str, MachineType]  # by name
    refused_offers: set[Offer]  # not to be had at present

    def boot_s(self, type_name: str) -> float:
        """The boot time of a type, which may not be offered any more."""
        machine_type = self.machine_types.get(type_name)
        return machine_type.boot_s if machine_type is not None else DEFAULT_BOOT_SECONDS

    def offers_for(self, group: DemandGroup) -> list[PricedOffer]:
        """What could be rented for a group, cheapest per processor first, refused or not."""
        found = []
        for machine_type in self.machine_types.values():
            cpus = machine_type.cpus
            if cpus < group.largest_task_cpus or cpus <= 0:
                continue
            for zone in machine_type.zones:
                for spot in (True, False):
                    if group.may_use(machine_type.name, zone, spot):
                        price = machine_type.spot_price if spot else machine_type.price_per_hour
                        offer = Offer(machine_type.name, zone, spot)
                        found.append(PricedOffer(price / cpus, offer))
        return sorted(found)


def size_fleet(
    groups: list[DemandGroup],
    supply: list[SupplyUnit],
    machine_types: dict[str, MachineType],
    refused_offers: set[Offer],
    drain_boots: float,
    idle_boots: float,
    max_new_machines: int,
) -> SizingPlan:
    """What to rent and what to release.

    Work is to drain in `drain_boots` boot times; a machine is released that has been idle for
    `idle_boots` of its own. `max_new_machines`: how many more may be rented at all.
    """
    market = Market(machine_types, refused_offers)
    scale_out: list[ScaleOut] = []
    free_cpus = {machine.machine_id: machine.cpus for machine in supply}
    for group in sorted(groups, key=_restricted_first):
        boot_s = _shortest_boot_s(group, machine_types)
        if boot_s is None:
            continue  # no type fits
        offers = market.offers_for(group)
        wanted = _wanted_cpus(group, drain_boots * boot_s, _is_scarce(offers, refused_offers))
        missing = _allocate_supply(group, wanted, supply, free_cpus)
        rentals = _rentals_for(missing, offers, market, max_new_machines)
        max_new_machines -= sum(rental.count for rental in rentals)
        scale_out += rentals
    return SizingPlan(scale_out, _idle_too_long(supply, free_cpus, market, idle_boots))


def _restricted_first(group: DemandGroup) -> tuple[bool, bool, bool]:
    return (group.allow_spot, group.machine_types is None, group.zone is None)


def _shortest_boot_s(group: DemandGroup, machine_types: dict[str, MachineType]) -> float | None:
    """Of the types that the group's widest task fits; None: there is none."""
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
    """The cloud refuses what would be rented first."""
    return bool(offers) and offers[0].offer in refused_offers


def _wanted_cpus(group: DemandGroup, drain_s: float, scarce: bool) -> float:
    """Processors on which the group's work drains in time, and its largest parts fit."""
    drain_s = drain_s * (URGENT_DRAIN if group.urgent else 1.0)
    if scarce:
        drain_s *= SCARCE_DRAIN
    wanted = group.work / max(1.0, drain_s)
    wanted = max(wanted, group.largest_task_cpus if group.work > 0 else 0.0)
    return max(wanted, group.largest_gang_cpus)


def _allocate_supply(
    group: DemandGroup, wanted: float, supply: list[SupplyUnit], free_cpus: dict[str, float]
) -> float:
    """Serve the group from the machines there are; returns the processors that are missing, none
    of them if it is not above 0."""
    # Machines that others cannot use come first, then the fullest: idle ones stay idle.
    usable = [
        machine
        for machine in supply
        if group.may_use(machine.machine_type, machine.zone, machine.spot)
    ]
    usable.sort(
        key=lambda machine: (not machine.spot, machine.idle_s is not None, machine.idle_s or 0.0)
    )
    for machine in usable:
        allocated = min(free_cpus[machine.machine_id], wanted)
        free_cpus[machine.machine_id] -= allocated
        wanted -= allocated
        if wanted <= 0:
            break
    return wanted


def _rentals_for(
    missing_cpus: float, offers: list[PricedOffer], market: Market, max_new_machines: int
) -> list[ScaleOut]:
    """Spread the missing processors over the cheapest offers that are not refused: those of one
    type in several zones, most often."""
    available = [priced for priced in offers if priced.offer not in market.refused_offers]
    if missing_cpus <= 0 or not available:
        return []
    max_price = available[0].price_per_cpu * EQUAL_PRICE_RATIO
    cheapest = [priced.offer for priced in available if priced.price_per_cpu <= max_price]
    rentals = []
    for index, offer in enumerate(cheapest):
        cpus = market.machine_types[offer.machine_type].cpus
        share = missing_cpus / (len(cheapest) - index)
        count = min(
            math.ceil(share / cpus - MAX_MISSING_PART), max_new_machines, MAX_RENTED_MACHINES
        )
        if count > 0:
            rentals.append(ScaleOut(offer, count))
            max_new_machines -= count
            missing_cpus -= count * cpus
    return rentals


def _idle_too_long(
    supply: list[SupplyUnit], free_cpus: dict[str, float], market: Market, idle_boots: float
) -> list[str]:
    """Machines of which no group needs a part: the usual price first, and of these the largest."""
    return [
        machine.machine_id
        for machine in sorted(supply, key=lambda machine: (machine.spot, -machine.cpus))
        if machine.idle_s is not None
        and free_cpus[machine.machine_id] >= machine.cpus
        and machine.idle_s >= idle_boots * market.boot_s(machine.machine_type)
    ]
