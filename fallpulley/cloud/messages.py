"""Requests to the cloud and its responses, with their field names on the wire."""

from __future__ import annotations

import msgspec

from fallpulley.cloud.offer import Offer
from fallpulley.resources import Resources

# Limits of the cloud's API: machines on a page of the list, in a release request and in a rental
# request.
LIST_PAGE_SIZE = 500
MAX_RELEASED_MACHINES = 100
MAX_RENTED_MACHINES = 50

# The `ListedMachine.state` of a machine that has stopped permanently. No other state is used.
FAILED_STATE = "failed"

# Assumed boot time of a machine whose type is not in the catalog.
DEFAULT_BOOT_SECONDS = 60.0


class MachineType(
    msgspec.Struct,
    rename={
        "name": "label",
        "gpus": "cards",
        "memory_gb": "mem_gb",
        "price_per_hour": "hourly",
        "spot_price_per_hour": "spot_price",
        "boot_s": "startup_s",
        "zones": "halls",
    },
):
    """The resources and the price of machines of one type."""

    name: str
    cpus: float  # processors
    gpus: float
    memory_gb: float
    price_per_hour: float
    spot_price_per_hour: float  # price per hour of a spot machine
    boot_s: float  # usual time from the rental until the machine is up
    zones: list[str]  # zones in which the type is offered
    cache_gb: float = 0.0  # size of the image cache
    fetch_gb_per_s: float = 1.0  # rate at which images are fetched

    @property
    def capacity(self) -> Resources:
        """The resources that all tasks on a machine of this type may use together."""
        return Resources(self.cpus, self.gpus, self.memory_gb)


class Catalog(msgspec.Struct, rename={"machine_types": "builds"}):
    """The machine types that the cloud offers.

    The response to `GET /catalog`. It is stored as `live/catalog`, since every controller needs it.
    """

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
    """The body of `POST /rentals`. Repeated with the same id, it gets the same response."""

    request_id: str
    machine_type: str
    zone: str
    spot: bool  # whether they are spot machines, which the cloud may preempt
    count: int  # number of machines to rent

    @property
    def offer(self) -> Offer:
        """The requested offer, without the number of machines."""
        return Offer(self.machine_type, self.zone, self.spot)


class RentalResponse(msgspec.Struct, rename={"machine_ids": "hosts"}):
    """The rented machines: at most as many as were requested."""

    machine_ids: list[str] = []


class ReleaseRequest(msgspec.Struct, rename={"machine_ids": "hosts"}):
    """The body of `POST /rentals/release`. It may name machines that were released before."""

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
    """A rented machine in the cloud's list, which lags some seconds behind."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    address: str = ""  # host:port; empty: not known yet
    age_s: float = 0.0  # time since the machine was rented


class MachineList(msgspec.Struct, rename={"machines": "hosts"}):
    """One page of the response to `GET /rentals`; the next page starts after its last machine."""

    machines: list[ListedMachine]
    has_next: bool = False  # there are more pages
