"""What the cloud is asked and answers. Wire names end here."""

from __future__ import annotations

import msgspec

from fallpulley.resources import Resources

# What the cloud's protocol allows: machines in a page of its list, in a release and in a rental.
LIST_PAGE_SIZE = 500
MAX_RELEASED_MACHINES = 100
MAX_RENTED_MACHINES = 50


class MachineType(
    msgspec.Struct,
    rename={
        "name": "label",
        "gpus": "cards",
        "memory_gb": "mem_gb",
        "price_per_hour": "hourly",
        "boot_s": "startup_s",
        "zones": "halls",
    },
):
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price_per_hour: float
    spot_price: float
    boot_s: float
    zones: list[str]
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0

    @property
    def capacity(self) -> Resources:
        """What a machine of this type has."""
        return Resources(self.cpus, self.gpus, self.memory_gb)


class Catalog(msgspec.Struct, rename={"machine_types": "builds"}):
    """`GET /catalog`, and `live/catalog`: every controller needs the types."""

    machine_types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    rename={
        "request_id": "hire",
        "machine_type": "build",
        "zone": "hall",
        "spot": "loaners",
        "count": "number",
    },
):
    request_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class RentalResponse(msgspec.Struct, rename={"machine_ids": "hosts"}):
    machine_ids: list[str] = []


class ReleaseRequest(msgspec.Struct, rename={"machine_ids": "hosts"}):
    machine_ids: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "machine_id": "uid",
        "machine_type": "build",
        "zone": "hall",
        "spot": "loaners",
        "state": "stage",
        "address": "addr",
        "age_s": "held_s",
    },
):
    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    address: str = ""
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "hosts"}):
    machines: list[ListedMachine]
    has_next: bool = False
