"""What the cloud is asked and answers. Wire names end here."""

from __future__ import annotations

import msgspec

# What the cloud's protocol allows: machines in a page of its list, in a release and in a rental.
LIST_PAGE = 500
RELEASE_MOST = 100
RENTAL_MOST = 50


class MachineType(msgspec.Struct):
    label: str
    cpus: float
    cards: float
    mem_gb: float
    hourly: float
    spot_price: float
    startup_s: float
    halls: list[str]
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0


class Catalog(msgspec.Struct):
    """`GET /catalog`, and `live/catalog`: every controller needs the types."""

    builds: list[MachineType]


class RentalRequest(msgspec.Struct):
    hire: str
    build: str
    hall: str
    loaners: bool
    number: int


class RentalAnswer(msgspec.Struct):
    hosts: list[str] = []


class Release(msgspec.Struct):
    hosts: list[str]


class Listed(msgspec.Struct):
    uid: str
    build: str
    hall: str
    loaners: bool
    stage: str
    addr: str = ""
    held_s: float = 0.0


class MachineList(msgspec.Struct):
    hosts: list[Listed]
    has_next: bool = False
