"""Records of sessions, leadership and blocks in the state service."""

from __future__ import annotations

import functools
import re
import zlib

import msgspec


class Session(msgspec.Struct):
    """`live/session/<label>` and `live/leader`, attached to the controller's lease."""

    label: str
    boot: str
    # The newest record format that the process knows. The first ones did not say.
    format: int = 1


# Format 2: block records by runs of machines, progress values that tell their size, several
# machines in a record of those to be released, jobs that await others.
NEWER_FORMAT = 2


class FormatMark(msgspec.Struct):
    """`live/format`: records may be written in this format. Never taken back."""

    format: int


class MachineEntry(msgspec.Struct, frozen=True):
    """A machine of a block, and what is known of it for ever."""

    addr: str
    build: str
    zone: str
    spot: bool
    # It may hold tasks. Written before the first `run` and taken back once the machine is
    # proved empty, so that a successor need not wait for machines that cannot hold any.
    used: bool = False


class Former(msgspec.Struct, frozen=True, array_like=True):
    """A process that held the block before its present holder."""

    label: str
    boot: str


class BlockRecord(msgspec.Struct):
    """`live/block/<label>`: who holds the block, and its machines.

    The record's stamp is the block's fencing token: every change raises it.
    """

    holder: str
    boot: str
    machines: dict[str, MachineEntry]
    # Former holders that may still answer machines within their windows. Not the last one alone:
    # a holder cut off with half the machines went on answering them while its successor came
    # and ended, and that end was taken for its own.
    earlier: list[Former] = []
    newer: bool = False  # it was read in the newer format

    def encode(self, newer: bool, most_bytes: int) -> bytes:
        """In the newer format once every controller reads it. Where addresses follow no pattern
        and fill the value, they are left to reports and to the cloud's list: a record that no
        value holds could not change hands any more."""
        if not newer:
            return self._encode_older()
        value = self._encode_newer(self.machines)
        if len(value) > most_bytes:
            bare = {
                host: MachineEntry("", entry.build, entry.zone, entry.spot, entry.used)
                for host, entry in self.machines.items()
            }
            value = self._encode_newer(bare)
        return value

    def _encode_newer(self, machines: dict[str, MachineEntry]) -> bytes:
        runs = zlib.compress(msgspec.json.encode(_kinds(machines)))
        wire = _BlockWire(self.holder, self.boot, runs=runs, earlier=self.earlier)
        return msgspec.json.encode(wire)

    def _encode_older(self) -> bytes:
        """Machines of one kind together, in order of their names, and packed: names and addresses
        of neighbours are nearly the same, so a thousand machines take some 7 KiB of a value. As
        plain text 16 KiB held 368, and a larger fleet had to be split into blocks."""
        groups: dict[tuple[str, str, bool, bool], dict[str, str]] = {}
        for host, entry in sorted(self.machines.items()):
            kind = (entry.build, entry.zone, entry.spot, entry.used)
            groups.setdefault(kind, {})[host] = entry.addr
        wire = [_Group(*kind, hosts) for kind, hosts in groups.items()]
        packed = zlib.compress(msgspec.json.encode(wire))
        return msgspec.json.encode(_BlockWire(self.holder, self.boot, packed, self.earlier))


class _Group(msgspec.Struct, array_like=True):
    build: str
    zone: str
    spot: bool
    used: bool
    hosts: dict[str, str]  # host -> address


class _BlockWire(msgspec.Struct, omit_defaults=True):
    holder: str
    boot: str
    packed: bytes = b""  # in base64; the groups as JSON, compressed
    earlier: list[Former] = []
    runs: bytes = b""  # likewise, in the newer format: the kinds


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


@functools.lru_cache(maxsize=4096)
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


def _kinds(machines: dict[str, MachineEntry]) -> list[_Kind]:
    """Neighbours are rented together: most steps are 1, and a thousand machines take about 1 KiB
    of a value, where the older format took 7."""
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
        found.sort()
        last = 0
        for at, number in enumerate(found):
            found[at] = number - last
            last = number
    return list(kinds.values())


# Both caches: every controller reads every change of a record, and nearly all of it stayed the
# same. Decoding 600 machines took 4.5 ms without, 1.3 with, 1.0 in the older format.
@functools.lru_cache(maxsize=4096)
def _machine(
    prefix: str, width: int, number: int, ip: int, port: int, what: tuple[str, str, bool, bool]
) -> tuple[str, MachineEntry]:
    return _host(prefix, width, number), MachineEntry(_address(ip, port) if port else "", *what)


def _machines(kinds: list[_Kind]) -> dict[str, MachineEntry]:
    machines: dict[str, MachineEntry] = {}
    for kind in kinds:
        what = (kind.build, kind.zone, kind.spot, kind.used)
        for run in kind.runs:
            prefix, width, offset, port = run.prefix, run.width, run.offset, run.port
            number = 0
            for step in run.steps:
                number += step
                host, entry = _machine(prefix, width, number, offset + number, port, what)
                machines[host] = entry
        for host, addr in kind.rest.items():
            machines[host] = MachineEntry(addr, *what)
    return machines


def decode_block(value: bytes) -> BlockRecord:
    """The record from its value, in either format; raises `msgspec.MsgspecError` when broken."""
    wire = msgspec.json.decode(value, type=_BlockWire)
    try:
        if wire.runs:
            kinds = msgspec.json.decode(zlib.decompress(wire.runs), type=list[_Kind])
            return BlockRecord(wire.holder, wire.boot, _machines(kinds), wire.earlier, True)
        groups = msgspec.json.decode(zlib.decompress(wire.packed), type=list[_Group])
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from None
    machines = {
        host: MachineEntry(addr, group.build, group.zone, group.spot, group.used)
        for group in groups
        for host, addr in group.hosts.items()
    }
    return BlockRecord(wire.holder, wire.boot, machines, wire.earlier)


class Retired(msgspec.Struct, omit_defaults=True):
    """`live/retire/<host>`: machines to be released, that one alone in the older format."""

    hosts: list[str] = []


class TeamHome(msgspec.Struct):
    """`live/team/<name>`: the one block of a team with a limit."""

    block: str


class Grant(msgspec.Struct):
    """The answer to `POST /leases`."""

    tenure: int
