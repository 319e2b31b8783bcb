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

    address: str
    machine_type: str
    zone: str
    spot: bool
    # It may hold tasks. Written before the first `run` and taken back once the machine is
    # proved empty, so that a successor need not wait for machines that cannot hold any.
    occupied: bool = False

    def with_address(self, address: str) -> MachineEntry:
        """The same machine at an address."""
        return MachineEntry(address, self.machine_type, self.zone, self.spot, self.occupied)


Machines = dict[str, MachineEntry]


def without_addresses(machines: Machines) -> Machines:
    """The same machines; reports and the cloud's list tell their addresses."""
    return {
        machine_id: MachineEntry("", entry.machine_type, entry.zone, entry.spot, entry.occupied)
        for machine_id, entry in machines.items()
    }


# -- by groups ---------------------------------------------------------------------------------


class _Group(msgspec.Struct, array_like=True):
    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    addresses: dict[str, str]  # host -> address


def pack_groups(machines: Machines) -> bytes:
    """Machines of one kind together, in order of their names, and packed: names and addresses
    of neighbours are nearly the same, so a thousand machines take some 7 KiB of a value. As
    plain text 16 KiB held 368, and a larger fleet had to be split into blocks."""
    groups: dict[tuple[str, str, bool, bool], dict[str, str]] = {}
    for machine_id, entry in sorted(machines.items()):
        group = (entry.machine_type, entry.zone, entry.spot, entry.occupied)
        groups.setdefault(group, {})[machine_id] = entry.address
    wire = [_Group(*group, machine_ids) for group, machine_ids in groups.items()]
    return zlib.compress(msgspec.json.encode(wire))


def unpack_groups(packed: bytes) -> Machines:
    """Raises `msgspec.MsgspecError` when broken."""
    groups = msgspec.json.decode(_inflate(packed), type=list[_Group])
    return {
        machine_id: MachineEntry(
            address, group.machine_type, group.zone, group.spot, group.occupied
        )
        for group in groups
        for machine_id, address in group.addresses.items()
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
    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    runs: list[_Run]
    others: dict[str, str]  # host -> address, where no run describes it


_NUMBERED = re.compile(r"(.*?)([0-9]{1,15})", re.DOTALL)
_ADDRESS = re.compile(r"([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})")


def _host(prefix: str, width: int, number: int) -> str:
    return f"{prefix}{number:0{width}}"


def _address(number: int, port: int) -> str:
    return f"{number >> 24}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:{port}"


# A part of a record is encoded by its holder alone, a few parts again and again.
@lru_cache(maxsize=4096)
def _place(machine_id: str, address: str) -> tuple[str, int, int, int, int] | None:
    """Prefix, width, offset, port and number of a machine; None where no run can describe it."""
    name = _NUMBERED.fullmatch(machine_id)
    if name is None:
        return None
    number, width = int(name[2]), len(name[2])
    if not address:
        return name[1], width, 0, 0, number
    found = _ADDRESS.fullmatch(address)
    if found is None:
        return None
    ip = 0
    for part in found.groups()[:4]:
        ip = ip << 8 | int(part)
    port = int(found[5])
    if not port or _address(ip, port) != address:
        return None
    return name[1], width, ip - number, port, number


def pack_runs(machines: Machines) -> bytes:
    """Neighbours are rented together: most steps are 1, and a thousand machines take about 1 KiB
    of a value, where groups took 7."""
    groups: dict[tuple[str, str, bool, bool], _Kind] = {}
    numbers: dict[tuple[object, ...], list[int]] = {}
    for machine_id, entry in machines.items():
        key = (entry.machine_type, entry.zone, entry.spot, entry.occupied)
        group = groups.get(key)
        if group is None:
            group = groups[key] = _Kind(*key, [], {})
        place = _place(machine_id, entry.address)
        if place is None:
            group.others[machine_id] = entry.address
            continue
        run = (key, *place[:4])
        found = numbers.get(run)
        if found is None:
            found = numbers[run] = []
            group.runs.append(_Run(*place[:4], found))
        found.append(place[4])
    for found in numbers.values():
        _to_steps(found)
    return zlib.compress(msgspec.json.encode(list(groups.values())))


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
    groups = msgspec.json.decode(_inflate(packed), type=list[_Kind])
    machines: Machines = {}
    for group in groups:
        what = (group.machine_type, group.zone, group.spot, group.occupied)
        for run in group.runs:
            number = 0
            for step in run.steps:
                number += step
                machine_id, entry = entry_cache.get(
                    run.prefix, run.width, number, run.offset + number, run.port, what
                )
                machines[machine_id] = entry
        for machine_id, address in group.others.items():
            machines[machine_id] = MachineEntry(address, *what)
    entry_cache.fit(len(machines))
    return machines
