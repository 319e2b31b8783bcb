"""Machines of a shard as the bytes of a stored value, and back.

Two encodings: groups of ids and addresses as text (first format), and runs of numbered ids whose
addresses go in step with the numbers (compact format on).
"""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from typing import NamedTuple

import msgspec


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine of a shard as its record has it."""

    address: str
    machine_type: str
    zone: str
    spot: bool
    # It may hold tasks. Written before the first START and taken back once the machine is
    # confirmed empty, so that a new owner need not wait for machines that cannot hold any.
    occupied: bool = False

    def with_address(self, address: str) -> MachineEntry:
        """The same machine at another address."""
        return MachineEntry(address, self.machine_type, self.zone, self.spot, self.occupied)


Machines = dict[str, MachineEntry]


def without_addresses(machines: Machines) -> Machines:
    """The same machines; their addresses come with heartbeats and the cloud's list."""
    return {
        machine_id: MachineEntry("", entry.machine_type, entry.zone, entry.spot, entry.occupied)
        for machine_id, entry in machines.items()
    }


# -- groups: the first format --------------------------------------------------------------------

# Machine type, zone, spot, occupied: what the machines of one group have in common.
_Traits = tuple[str, str, bool, bool]


class _Group(msgspec.Struct, array_like=True):
    """Machines with the same traits."""

    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    addresses: dict[str, str]  # by machine


def pack_groups(machines: Machines) -> bytes:
    """Machines with the same traits together, in order of their ids, and compressed.

    Ids and addresses of neighbours are nearly the same, so a thousand machines take some 7 KiB of
    a value. As plain text 16 KiB held 368, and a larger fleet had to be split into shards.
    """
    groups: dict[_Traits, dict[str, str]] = {}
    for machine_id, entry in sorted(machines.items()):
        traits = (entry.machine_type, entry.zone, entry.spot, entry.occupied)
        groups.setdefault(traits, {})[machine_id] = entry.address
    stored = [_Group(*traits, addresses) for traits, addresses in groups.items()]
    return zlib.compress(msgspec.json.encode(stored))


def unpack_groups(packed: bytes) -> Machines:
    """Machines from the bytes of `pack_groups`.

    Raises `msgspec.MsgspecError` if they are malformed.
    """
    groups = msgspec.json.decode(_decompress(packed), type=list[_Group])
    return {
        machine_id: MachineEntry(
            address, group.machine_type, group.zone, group.spot, group.occupied
        )
        for group in groups
        for machine_id, address in group.addresses.items()
    }


def _decompress(packed: bytes) -> bytes:
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from None


# -- runs: the compact format --------------------------------------------------------------------


class _Run(msgspec.Struct, array_like=True):
    """Machines whose ids are numbered and whose addresses go in step with the numbers."""

    prefix: str
    width: int  # digits of the number in an id
    offset: int  # from an id's number to the machine's IP address as a number
    port: int  # 0: addresses not known yet
    steps: list[int]  # from one id's number to the next


class _RunGroup(msgspec.Struct, array_like=True):
    """Machines with the same traits, as runs where their ids and addresses allow it."""

    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    runs: list[_Run]
    others: dict[str, str]  # machine -> address, where no run describes it


class _RunPosition(NamedTuple):
    """Which run describes a machine, and its number there."""

    prefix: str
    width: int
    offset: int
    port: int
    number: int


_NUMBERED_ID = re.compile(r"(.*?)([0-9]{1,15})", re.DOTALL)
_IP_AND_PORT = re.compile(r"([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})")


def _format_machine_id(prefix: str, width: int, number: int) -> str:
    return f"{prefix}{number:0{width}}"


def _format_address(ip: int, port: int) -> str:
    return f"{ip >> 24}.{ip >> 16 & 255}.{ip >> 8 & 255}.{ip & 255}:{port}"


# A page of a record is encoded by its shard's owner alone, a few pages again and again.
@lru_cache(maxsize=4096)
def _run_position(machine_id: str, address: str) -> _RunPosition | None:
    """Where runs describe a machine; None where none can."""
    numbered = _NUMBERED_ID.fullmatch(machine_id)
    if numbered is None:
        return None
    prefix, digits = numbered[1], numbered[2]
    number, width = int(digits), len(digits)
    if not address:
        return _RunPosition(prefix, width, 0, 0, number)
    parsed = _IP_AND_PORT.fullmatch(address)
    if parsed is None:
        return None
    ip = 0
    for octet in parsed.groups()[:4]:
        ip = ip << 8 | int(octet)
    port = int(parsed[5])
    if not port or _format_address(ip, port) != address:
        return None
    return _RunPosition(prefix, width, ip - number, port, number)


def pack_runs(machines: Machines) -> bytes:
    """Machines with the same traits together, neighbours as runs, and compressed.

    Neighbours are rented together: most steps are 1, and a thousand machines take about 1 KiB
    of a value, where groups took 7.
    """
    groups: dict[_Traits, _RunGroup] = {}
    numbers_by_run: dict[tuple[object, ...], list[int]] = {}
    for machine_id, entry in machines.items():
        traits = (entry.machine_type, entry.zone, entry.spot, entry.occupied)
        group = groups.get(traits)
        if group is None:
            group = groups[traits] = _RunGroup(*traits, [], {})
        position = _run_position(machine_id, entry.address)
        if position is None:
            group.others[machine_id] = entry.address
            continue
        run = (traits, *position[:4])
        numbers = numbers_by_run.get(run)
        if numbers is None:
            numbers = numbers_by_run[run] = []
            group.runs.append(_Run(*position[:4], numbers))
        numbers.append(position.number)
    for numbers in numbers_by_run.values():
        _replace_by_steps(numbers)
    return zlib.compress(msgspec.json.encode(list(groups.values())))


def _replace_by_steps(numbers: list[int]) -> None:
    """Sort a run's numbers and replace each by its distance from the one before, in place."""
    numbers.sort()
    previous = 0
    for index, number in enumerate(numbers):
        numbers[index] = number - previous
        previous = number


# Prefix, width, number, IP address, port, traits: what a machine of a run was decoded from.
_EntryKey = tuple[str, int, int, int, int, _Traits]
# A machine's id and its entry.
_CachedEntry = tuple[str, MachineEntry]


class EntryCache:
    """Entries decoded lately, in two generations: the older one goes when the newer one is full.

    Every controller reads every change of a record, and nearly all of it stayed the same:
    decoding 600 machines took 4.5 ms without a cache and 1.3 ms with one. A fixed size would be
    of no use to a fleet just above it, read over in the same order each time, so the size follows
    the fleet.
    """

    def __init__(self, min_size: int) -> None:
        self.size = min_size
        self._newer: dict[_EntryKey, _CachedEntry] = {}
        self._older: dict[_EntryKey, _CachedEntry] = {}

    def fit(self, machines: int) -> None:
        """Hold at least as many entries as there are machines."""
        self.size = max(self.size, machines)

    def get(
        self, prefix: str, width: int, number: int, ip: int, port: int, traits: _Traits
    ) -> _CachedEntry:
        """Id and entry of a machine of a run, made if it is not in the cache."""
        key = (prefix, width, number, ip, port, traits)
        found = self._newer.get(key)
        if found is not None:
            return found
        found = self._older.get(key)
        if found is None:
            address = _format_address(ip, port) if port else ""
            found = (_format_machine_id(prefix, width, number), MachineEntry(address, *traits))
        if len(self._newer) >= self.size:
            self._older, self._newer = self._newer, {}
        self._newer[key] = found
        return found


entry_cache = EntryCache(2048)


def unpack_runs(packed: bytes) -> Machines:
    """Machines from the bytes of `pack_runs`.

    Raises `msgspec.MsgspecError` if they are malformed.
    """
    groups = msgspec.json.decode(_decompress(packed), type=list[_RunGroup])
    machines: Machines = {}
    for group in groups:
        traits = (group.machine_type, group.zone, group.spot, group.occupied)
        for run in group.runs:
            number = 0
            for step in run.steps:
                number += step
                machine_id, entry = entry_cache.get(
                    run.prefix, run.width, number, run.offset + number, run.port, traits
                )
                machines[machine_id] = entry
        for machine_id, address in group.others.items():
            machines[machine_id] = MachineEntry(address, *traits)
    entry_cache.fit(len(machines))
    return machines
