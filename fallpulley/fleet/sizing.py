"""How many machines a block should have: pure arithmetic on work, supply, types and prices.

Queued and running work is to drain within a share of a machine's boot time: work that lasts
longer would gain from a machine rented now. Groups of jobs that may use the same machines
are served from the most to the least restricted.
"""

from __future__ import annotations

import math

import msgspec

from fallpulley.fleet.messages import MAX_RENTED_MACHINES, MachineType

# Work of a high rank is to drain in this share of the time others may take.
URGENT_DRAIN = 0.5

# While the cloud refuses what a group would rent first, capacity is scarce: what there is is
# taken and kept for work that lasts this share of the usual time.
SCARCE_DRAIN = 0.4


class DemandGroup(msgspec.Struct):
    """Work that may use the same machines; amounts in processor-seconds and processors."""

    allow_spot: bool
    machine_types: tuple[str, ...] | None
    zone: str | None
    work: float
    largest_task_cpus: float  # processors of the widest task
    largest_gang_cpus: float = 0.0  # processors that must be free together: an ensemble's
    urgent: bool = False  # holds work of a high rank


class SupplyUnit(msgspec.Struct):
    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    idle_s: float | None  # None: in use, or not up yet


class ScaleOut(msgspec.Struct):
    machine_type: str
    zone: str
    spot: bool
    count: int


class SizingPlan(msgspec.Struct):
    scale_out: list[ScaleOut]
    scale_in: list[str]


def _fits(group: DemandGroup, type_name: str, zone: str, spot: bool) -> bool:
    return (
        (group.allow_spot or not spot)
        and (group.machine_types is None or type_name in group.machine_types)
        and (group.zone is None or zone == group.zone)
    )


def options(
    group: DemandGroup,
    machine_types: dict[str, MachineType],
    refused_offers: set[tuple[str, str, bool]],
) -> list[tuple[float, str, str, bool]]:
    """What could be rented for a group, cheapest per processor first."""
    found = []
    for machine_type in machine_types.values():
        if machine_type.cpus < group.largest_task_cpus or machine_type.cpus <= 0:
            continue
        for zone in machine_type.zones:
            for spot in (True, False):
                if (
                    _fits(group, machine_type.name, zone, spot)
                    and (machine_type.name, zone, spot) not in refused_offers
                ):
                    price = machine_type.spot_price if spot else machine_type.price_per_hour
                    found.append((price / machine_type.cpus, machine_type.name, zone, spot))
    return sorted(found)


def size_fleet(
    groups: list[DemandGroup],
    supply: list[SupplyUnit],
    machine_types: dict[str, MachineType],
    refused_offers: set[tuple[str, str, bool]],
    drain_boots: float,
    idle_boots: float,
    room_for: int,
) -> SizingPlan:
    """`room_for`: how many more machines may be rented at all."""
    sizing = SizingPlan([], [])
    free = {machine.machine_id: machine.cpus for machine in supply}
    for group in sorted(
        groups, key=lambda g: (g.allow_spot, g.machine_types is None, g.zone is None)
    ):
        fitting = [
            machine_type
            for machine_type in machine_types.values()
            if machine_type.cpus >= group.largest_task_cpus
        ]
        if group.machine_types is not None:
            fitting = [
                machine_type for machine_type in fitting if machine_type.name in group.machine_types
            ]
        if not fitting:
            continue
        boot_s = min(machine_type.boot_s for machine_type in fitting)
        drain_s = drain_boots * boot_s * (URGENT_DRAIN if group.urgent else 1.0)
        wished = options(group, machine_types, set())
        if wished and wished[0][1:] in refused_offers:
            drain_s *= SCARCE_DRAIN
        wanted = group.work / max(1.0, drain_s)
        wanted = max(wanted, group.largest_task_cpus if group.work > 0 else 0.0)
        wanted = max(wanted, group.largest_gang_cpus)
        # Machines that others cannot use come first, then the fullest: idle ones stay idle.
        usable = [m for m in supply if _fits(group, m.machine_type, m.zone, m.spot)]
        usable.sort(key=lambda m: (not m.spot, m.idle_s is not None, m.idle_s or 0.0))
        for machine in usable:
            take = min(free[machine.machine_id], wanted)
            free[machine.machine_id] -= take
            wanted -= take
            if wanted <= 0:
                break
        room_for -= _scale_out(sizing, group, wanted, machine_types, refused_offers, room_for)
    for machine in sorted(supply, key=lambda m: (m.spot, -m.cpus)):
        if machine.idle_s is None or free[machine.machine_id] < machine.cpus:
            continue
        startup = (
            machine_types[machine.machine_type].boot_s
            if machine.machine_type in machine_types
            else 60.0
        )
        if machine.idle_s >= idle_boots * startup:
            sizing.scale_in.append(machine.machine_id)
    return sizing


def _scale_out(
    sizing: SizingPlan,
    group: DemandGroup,
    wanted: float,
    machine_types: dict[str, MachineType],
    refused_offers: set[tuple[str, str, bool]],
    room_for: int,
) -> int:
    """Spread the missing processors over the zones of the cheapest type and kind."""
    rented = 0
    if wanted <= 0:
        return 0
    choices = options(group, machine_types, refused_offers)
    if not choices:
        return 0
    cheapest = choices[0][0]
    alike = [choice for choice in choices if choice[0] <= cheapest * 1.001]
    for count, (_, type_name, zone, spot) in enumerate(alike):
        share = wanted / (len(alike) - count)
        count = math.ceil(share / machine_types[type_name].cpus - 0.25)
        count = min(count, room_for - rented, MAX_RENTED_MACHINES)
        if count > 0:
            sizing.scale_out.append(ScaleOut(type_name, zone, spot, count))
            rented += count
            wanted -= count * machine_types[type_name].cpus
    return rented
