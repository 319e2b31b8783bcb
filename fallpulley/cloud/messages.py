"""The cloud's requests and responses. Their names on the wire end here."""

from __future__ import annotations

import msgspec

from fallpulley.cloud.offer import Offer
from fallpulley.resources import Resources

# What the cloud's protocol allows: machines in a page of its list, in a release and in a rental.
LIST_PAGE_SIZE = 500
MAX_RELEASED_MACHINES = 100
MAX_RENTED_MACHINES = 50

# A `ListedMachine.state`: the machine has stopped for good. All others are of no matter here.
FAILED_STATE = "failed"

# The boot time of a machine whose type the catalog does not have.
DEFAULT_BOOT_SECONDS = 60.0


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
    """What machines of one type have and cost."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price_per_hour: float
    spot_price: float  # for an hour
    boot_s: float  # from the rental until the machine is up, usually
    zones: list[str]  # where the type is offered
    cache_gb: float = 0.0  # for images
    fetch_gb_per_s: float = 1.0  # at which images are fetched

    @property
    def capacity(self) -> Resources:
        """What tasks on a machine of this type may use in all."""
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
    """`POST /rentals`. Repeated with the same id it gets the same response."""

    request_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int

    @property
    def offer(self) -> Offer:
        """What is asked for, without the number of machines."""
        return Offer(self.machine_type, self.zone, self.spot)


class RentalResponse(msgspec.Struct, rename={"machine_ids": "hosts"}):
    """The machines rented: as many as were asked for, or fewer."""

    machine_ids: list[str] = []


class ReleaseRequest(msgspec.Struct, rename={"machine_ids": "hosts"}):
    """`POST /rentals/release`. It may name machines that were released before."""

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
    """A rented machine as the cloud lists it, some seconds late."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    address: str = ""  # empty: not known yet
    age_s: float = 0.0  # since it was rented


class MachineList(msgspec.Struct, rename={"machines": "hosts"}):
    """`GET /rentals`: one page; the next begins after its last machine."""

    machines: list[ListedMachine]
    has_next: bool = False  # there are more pages
