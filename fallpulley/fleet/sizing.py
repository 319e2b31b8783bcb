"""How many machines a block should have: pure arithmetic on work, supply, types and prices.

Queued and running work is to drain within a share of a machine's boot time: work that lasts
longer would gain from a machine rented now. Groups of jobs that may use the same machines
are served from the most to the least restricted.
"""

from __future__ import annotations

import math

import msgspec

from fallpulley.fleet.messages import RENTAL_MOST, MachineType

# Work of a high rank is to drain in this share of the time others may take.
URGENT_DRAIN = 0.5

# While the cloud refuses what a group would rent first, capacity is scarce: what there is is
# taken and kept for work that lasts this share of the usual time.
SCARCE_DRAIN = 0.4


class Group(msgspec.Struct):
    """Work that may use the same machines; amounts in processor-seconds and processors."""

    spot_ok: bool
    builds: tuple[str, ...] | None
    zone: str | None
    work: float
    widest: float  # processors of the widest task
    at_once: float = 0.0  # processors that must be free together: an ensemble's
    urgent: bool = False  # holds work of a high rank


class Supply(msgspec.Struct):
    host: str
    build: str
    zone: str
    spot: bool
    cpus: float
    idle_s: float | None  # None: in use, or not up yet


class Rent(msgspec.Struct):
    build: str
    zone: str
    spot: bool
    number: int


class Sizing(msgspec.Struct):
    rents: list[Rent]
    returns: list[str]


def _fits(group: Group, build: str, zone: str, spot: bool) -> bool:
    return (
        (group.spot_ok or not spot)
        and (group.builds is None or build in group.builds)
        and (group.zone is None or zone == group.zone)
    )


def options(
    group: Group, types: dict[str, MachineType], refused: set[tuple[str, str, bool]]
) -> list[tuple[float, str, str, bool]]:
    """What could be rented for a group, cheapest per processor first."""
    found = []
    for kind in types.values():
        if kind.cpus < group.widest or kind.cpus <= 0:
            continue
        for zone in kind.halls:
            for spot in (True, False):
                if _fits(group, kind.label, zone, spot) and (kind.label, zone, spot) not in refused:
                    price = kind.spot_price if spot else kind.hourly
                    found.append((price / kind.cpus, kind.label, zone, spot))
    return sorted(found)


def size_fleet(
    groups: list[Group],
    supply: list[Supply],
    types: dict[str, MachineType],
    refused: set[tuple[str, str, bool]],
    drain_boots: float,
    idle_boots: float,
    room_for: int,
) -> Sizing:
    """`room_for`: how many more machines may be rented at all."""
    sizing = Sizing([], [])
    free = {machine.host: machine.cpus for machine in supply}
    for group in sorted(groups, key=lambda g: (g.spot_ok, g.builds is None, g.zone is None)):
        fitting = [kind for kind in types.values() if kind.cpus >= group.widest]
        if group.builds is not None:
            fitting = [kind for kind in fitting if kind.label in group.builds]
        if not fitting:
            continue
        boot_s = min(kind.startup_s for kind in fitting)
        drain_s = drain_boots * boot_s * (URGENT_DRAIN if group.urgent else 1.0)
        wished = options(group, types, set())
        if wished and wished[0][1:] in refused:
            drain_s *= SCARCE_DRAIN
        wanted = group.work / max(1.0, drain_s)
        wanted = max(wanted, group.widest if group.work > 0 else 0.0)
        wanted = max(wanted, group.at_once)
        # Machines that others cannot use come first, then the fullest: idle ones stay idle.
        usable = [m for m in supply if _fits(group, m.build, m.zone, m.spot)]
        usable.sort(key=lambda m: (not m.spot, m.idle_s is not None, m.idle_s or 0.0))
        for machine in usable:
            take = min(free[machine.host], wanted)
            free[machine.host] -= take
            wanted -= take
            if wanted <= 0:
                break
        room_for -= _rent(sizing, group, wanted, types, refused, room_for)
    for machine in sorted(supply, key=lambda m: (m.spot, -m.cpus)):
        if machine.idle_s is None or free[machine.host] < machine.cpus:
            continue
        startup = types[machine.build].startup_s if machine.build in types else 60.0
        if machine.idle_s >= idle_boots * startup:
            sizing.returns.append(machine.host)
    return sizing


def _rent(
    sizing: Sizing,
    group: Group,
    wanted: float,
    types: dict[str, MachineType],
    refused: set[tuple[str, str, bool]],
    room_for: int,
) -> int:
    """Spread the missing processors over the zones of the cheapest type and kind."""
    rented = 0
    if wanted <= 0:
        return 0
    choices = options(group, types, refused)
    if not choices:
        return 0
    cheapest = choices[0][0]
    alike = [choice for choice in choices if choice[0] <= cheapest * 1.001]
    for number, (_, build, zone, spot) in enumerate(alike):
        share = wanted / (len(alike) - number)
        count = math.ceil(share / types[build].cpus - 0.25)
        count = min(count, room_for - rented, RENTAL_MOST)
        if count > 0:
            sizing.rents.append(Rent(build, zone, spot, count))
            rented += count
            wanted -= count * types[build].cpus
    return rented
