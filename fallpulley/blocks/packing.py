"""Machines of a block as the bytes of a stored value, and back.

Two encodings: by groups of names and addresses as text (format 1), and by runs of numbered names
whose addresses go in step (format 2 on).
"""

from __future__ import annotations

import re
import zlib
from functools import lru_cache

import msgspec


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine of a block, and what is known of it for ever."""

    addr: str
    build: str
    zone: str
    spot: bool
    # It may hold tasks. Written before the first `run` and taken back once the machine is
    # proved empty, so that a successor need not wait for machines that cannot hold any.
    used: bool = False


Machines = dict[str, MachineEntry]


def without_addresses(machines: Machines) -> Machines:
    """The same machines; reports and the cloud's list tell their addresses."""
    return {
        host: MachineEntry("", entry.build, entry.zone, entry.spot, entry.used)
        for host, entry in machines.items()
    }


# -- by groups ---------------------------------------------------------------------------------


class _Group(msgspec.Struct, array_like=True):
    build: str
    zone: str
    spot: bool
    used: bool
    hosts: dict[str, str]  # host -> address


def pack_groups(machines: Machines) -> bytes:
    """Machines of one kind together, in order of their names, and packed: names and addresses
    of neighbours are nearly the same, so a thousand machines take some 7 KiB of a value. As
    plain text 16 KiB held 368, and a larger fleet had to be split into blocks."""
    groups: dict[tuple[str, str, bool, bool], dict[str, str]] = {}
    for host, entry in sorted(machines.items()):
        kind = (entry.build, entry.zone, entry.spot, entry.used)
        groups.setdefault(kind, {})[host] = entry.addr
    wire = [_Group(*kind, hosts) for kind, hosts in groups.items()]
    return zlib.compress(msgspec.json.encode(wire))


def unpack_groups(packed: bytes) -> Machines:
    """Raises `msgspec.MsgspecError` when broken."""
    groups = msgspec.json.decode(_inflate(packed), type=list[_Group])
    return {
        host: MachineEntry(addr, group.build, group.zone, group.spot, group.used)
        for group in groups
        for host, addr in group.hosts.items()
    }


def _inflate(packed: bytes) -> bytes:
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from None


# -- by runs -----------------------------------------------------------------------------------


class _Run(msgspec.Struct, array_like=True):
    """Machines whose names are numbered and whose addresses go in step with the numbers."""

    prefix: str
    width: int
    offset: int  # of the address, as a number, from the name's
    port: int  # 0: addresses not known yet
    steps: list[int]  # from one name's number to the next


class _Kind(msgspec.Struct, array_like=True):
    build: str
    zone: str
    spot: bool
    used: bool
    runs: list[_Run]
    rest: dict[str, str]  # host -> address, where no run describes it


_NUMBERED = re.compile(r"(.*?)([0-9]{1,15})", re.DOTALL)
_ADDRESS = re.compile(r"([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})")


def _host(prefix: str, width: int, number: int) -> str:
    return f"{prefix}{number:0{width}}"


def _address(number: int, port: int) -> str:
    return f"{number >> 24}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:{port}"


# A part of a record is encoded by its holder alone, a few parts again and again.
@lru_cache(maxsize=4096)
def _place(host: str, addr: str) -> tuple[str, int, int, int, int] | None:
    """Prefix, width, offset, port and number of a machine; None where no run can describe it."""
    name = _NUMBERED.fullmatch(host)
    if name is None:
        return None
    number, width = int(name[2]), len(name[2])
    if not addr:
        return name[1], width, 0, 0, number
    found = _ADDRESS.fullmatch(addr)
    if found is None:
        return None
    ip = 0
    for part in found.groups()[:4]:
        ip = ip << 8 | int(part)
    port = int(found[5])
    if not port or _address(ip, port) != addr:
        return None
    return name[1], width, ip - number, port, number


def pack_runs(machines: Machines) -> bytes:
    """Neighbours are rented together: most steps are 1, and a thousand machines take about 1 KiB
    of a value, where groups took 7."""
    kinds: dict[tuple[str, str, bool, bool], _Kind] = {}
    numbers: dict[tuple[object, ...], list[int]] = {}
    for host, entry in machines.items():
        key = (entry.build, entry.zone, entry.spot, entry.used)
        kind = kinds.get(key)
        if kind is None:
            kind = kinds[key] = _Kind(*key, [], {})
        place = _place(host, entry.addr)
        if place is None:
            kind.rest[host] = entry.addr
            continue
        run = (key, *place[:4])
        found = numbers.get(run)
        if found is None:
            found = numbers[run] = []
            kind.runs.append(_Run(*place[:4], found))
        found.append(place[4])
    for found in numbers.values():
        _to_steps(found)
    return zlib.compress(msgspec.json.encode(list(kinds.values())))


def _to_steps(numbers: list[int]) -> None:
    numbers.sort()
    last = 0
    for at, number in enumerate(numbers):
        numbers[at] = number - last
        last = number


_What = tuple[str, str, bool, bool]
_Key = tuple[str, int, int, int, int, _What]


class EntryCache:
    """Entries decoded lately, in two generations: the older one goes when the newer one is full.

    Every controller reads every change of a record, and nearly all of it stayed the same:
    decoding 600 machines took 4.5 ms without a cache and 1.3 ms with one. A fixed size would be
    of no use to a fleet just above it, read over in the same order each time, so the size follows
    the fleet.
    """

    def __init__(self, least: int) -> None:
        self.size = least
        self._new: dict[_Key, tuple[str, MachineEntry]] = {}
        self._old: dict[_Key, tuple[str, MachineEntry]] = {}

    def fit(self, machines: int) -> None:
        """Hold at least as many entries as there are machines."""
        self.size = max(self.size, machines)

    def get(
        self, prefix: str, width: int, number: int, ip: int, port: int, what: _What
    ) -> tuple[str, MachineEntry]:
        """Name and entry of a machine of a run."""
        key = (prefix, width, number, ip, port, what)
        found = self._new.get(key)
        if found is not None:
            return found
        found = self._old.get(key)
        if found is None:
            address = _address(ip, port) if port else ""
            found = (_host(prefix, width, number), MachineEntry(address, *what))
        if len(self._new) >= self.size:
            self._old, self._new = self._new, {}
        self._new[key] = found
        return found


entry_cache = EntryCache(2048)


def unpack_runs(packed: bytes) -> Machines:
    """Raises `msgspec.MsgspecError` when broken."""
    kinds = msgspec.json.decode(_inflate(packed), type=list[_Kind])
    machines: Machines = {}
    for kind in kinds:
        what = (kind.build, kind.zone, kind.spot, kind.used)
        for run in kind.runs:
            number = 0
            for step in run.steps:
                number += step
                host, entry = entry_cache.get(
                    run.prefix, run.width, number, run.offset + number, run.port, what
                )
                machines[host] = entry
        for host, addr in kind.rest.items():
            machines[host] = MachineEntry(addr, *what)
    entry_cache.fit(len(machines))
    return machines
