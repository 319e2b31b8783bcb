"""The offers of the cloud, as sizing compares them: types, prices and recent refusals."""

from __future__ import annotations

from typing import NamedTuple

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, MachineType
from fallpulley.cloud.offer import Offer
from fallpulley.fleet.demand_group import DemandGroup

# Offers whose prices per processor differ by at most this ratio count as equally cheap.
EQUAL_PRICE_RATIO = 1.001


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

    def shortest_boot_s(self, group: DemandGroup) -> float | None:
        """Return the shortest boot time of the types that suit the group, in seconds, or None.

        None means that no type of the catalog can take the group's tasks.
        """
        names = group.eligible.machine_types
        return min(
            (
                machine_type.boot_s
                for machine_type in self.machine_types.values()
                if names is None or machine_type.name in names
            ),
            default=None,
        )

    def offers_for(self, group: DemandGroup) -> list[PricedOffer]:
        """Return all offers that suit a group, refused or not, the cheapest per processor first."""
        found = []
        for machine_type in self.machine_types.values():
            cpus = machine_type.cpus
            if cpus <= 0:
                continue  # it has no price per processor
            for zone in machine_type.zones:
                for spot in (True, False):
                    if group.eligible.include(machine_type.name, zone, spot):
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

    def is_scarce(self, offers: list[PricedOffer]) -> bool:
        """Return whether the cloud refuses the first of the offers, which is the cheapest."""
        return bool(offers) and offers[0].offer in self.refused_offers


def cheapest_offers(available: list[PricedOffer]) -> list[Offer]:
    """Return the offers that are as cheap as the first one.

    These are usually the offers of one machine type in several zones.
    """
    max_price = available[0].price_per_cpu * EQUAL_PRICE_RATIO if available else 0.0
    return [priced.offer for priced in available if priced.price_per_cpu <= max_price]
