"""Encoding of a shard's machines as the bytes of a stored value, and decoding.

There are two encodings. In the first format, machines with the same type, zone and flags are
stored as groups of ids and addresses in text. Since the compact format, they are stored as runs:
sequences of numbered ids whose IP addresses are the numbers plus a fixed offset.
"""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from typing import NamedTuple

import msgspec


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine as its shard's record describes it."""

    address: str
    machine_type: str
    zone: str
    spot: bool
    # Whether the machine may hold tasks. The flag is set before the first START is sent and
    # cleared once the machine is confirmed empty, so that a new owner need not wait for machines
    # that cannot hold tasks.
    occupied: bool = False

    def with_address(self, address: str) -> MachineEntry:
        """Return the same machine with another address."""
        return MachineEntry(address, self.machine_type, self.zone, self.spot, self.occupied)


Machines = dict[str, MachineEntry]


def without_addresses(machines: Machines) -> Machines:
    """Return the machines without addresses, which heartbeats and the cloud's list give again."""
    return {
        machine_id: MachineEntry("", entry.machine_type, entry.zone, entry.spot, entry.occupied)
        for machine_id, entry in machines.items()
    }


# -- groups: the first format --------------------------------------------------------------------

# The fields that the machines of one group have in common: machine type, zone, spot, occupied.
_Traits = tuple[str, str, bool, bool]


class _Group(msgspec.Struct, array_like=True):
    """Machines with the same traits."""

    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    addresses: dict[str, str]  # machine -> address


def pack_groups(machines: Machines) -> bytes:
    """Encode machines in the first format: grouped by traits, sorted by id, and compressed.

    Consecutive ids and addresses are nearly the same and compress well: a thousand machines take
    about 7 KiB. As plain text, 16 KiB held 368 machines, and a larger fleet had to be split into
    several shards.
    """
    groups: dict[_Traits, dict[str, str]] = {}
    for machine_id, entry in sorted(machines.items()):
        traits = (entry.machine_type, entry.zone, entry.spot, entry.occupied)
        groups.setdefault(traits, {})[machine_id] = entry.address
    stored = [_Group(*traits, addresses) for traits, addresses in groups.items()]
    return zlib.compress(msgspec.json.encode(stored))


def unpack_groups(packed: bytes) -> Machines:
    """Decode the output of `pack_groups`.

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
    """Machines whose ids differ only in a number, with IP addresses at a fixed offset from it."""

    prefix: str
    width: int  # digits of the number in an id, leading zeros included
    offset: int  # the machine's IP address as an integer, minus the number in its id
    port: int  # port of all addresses; 0 if the addresses are not known yet
    steps: list[int]  # first number, then the difference of each number to the one before


class _RunGroup(msgspec.Struct, array_like=True):
    """Machines with the same traits, stored as runs as far as ids and addresses allow."""

    machine_type: str
    zone: str
    spot: bool
    occupied: bool
    runs: list[_Run]
    others: dict[str, str]  # machine -> address, for machines that no run can describe


class _RunPosition(NamedTuple):
    """The run that describes a machine, and the number in the machine's id."""

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


# Cached because a shard's owner, which alone encodes its pages, encodes the same few repeatedly.
@lru_cache(maxsize=4096)
def _run_position(machine_id: str, address: str) -> _RunPosition | None:
    """Return a machine's run and its number there; None if no `_Run` can describe the machine."""
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
    """Encode machines in the compact format: grouped by traits, as runs, and compressed.

    Machines that are rented together have consecutive numbers, so most steps are 1: a thousand
    machines take about 1 KiB, compared to 7 KiB with `pack_groups`.
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
    """Sort a run's numbers and replace each by its difference to the one before, in place."""
    numbers.sort()
    previous = 0
    for index, number in enumerate(numbers):
        numbers[index] = number - previous
        previous = number


# The values that a machine of a run is decoded from: prefix, width, number, IP, port, traits.
_EntryKey = tuple[str, int, int, int, int, _Traits]
# A machine's id and its decoded entry.
_CachedEntry = tuple[str, MachineEntry]


class EntryCache:
    """A cache of recently decoded entries, in two generations.

    When the newer generation is full, it replaces the older one, whose entries are dropped.

    Every controller decodes a record at each of its changes, though nearly all entries stay the
    same: decoding 600 machines took 4.5 ms without the cache and 1.3 ms with it. Entries are
    looked up in the same order each time, so a cache slightly smaller than the fleet would hold
    none when it is needed: its size grows with the fleet.
    """

    def __init__(self, min_size: int) -> None:
        self.size = min_size
        self._newer: dict[_EntryKey, _CachedEntry] = {}
        self._older: dict[_EntryKey, _CachedEntry] = {}

    def ensure_size(self, machine_count: int) -> None:
        """Grow the size of a generation to at least `machine_count` entries."""
        self.size = max(self.size, machine_count)

    def get(
        self, prefix: str, width: int, number: int, ip: int, port: int, traits: _Traits
    ) -> _CachedEntry:
        """Return the id and the entry of a machine of a run, decoded if they are not cached."""
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
    """Decode the output of `pack_runs`.

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
    entry_cache.ensure_size(len(machines))
    return machines
