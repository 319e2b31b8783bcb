"""Records of sessions, leadership and blocks in the state service."""

from __future__ import annotations

import zlib

import msgspec


class Session(msgspec.Struct):
    """`live/session/<label>` and `live/leader`, attached to the controller's lease."""

    label: str
    boot: str


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

    def encode(self) -> bytes:
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


class _BlockWire(msgspec.Struct):
    holder: str
    boot: str
    packed: bytes  # in base64; the groups as JSON, compressed
    earlier: list[Former] = []


def decode_block(value: bytes) -> BlockRecord:
    """The record from its value; raises `msgspec.MsgspecError` when it is broken."""
    wire = msgspec.json.decode(value, type=_BlockWire)
    try:
        groups = msgspec.json.decode(zlib.decompress(wire.packed), type=list[_Group])
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from None
    machines = {
        host: MachineEntry(addr, group.build, group.zone, group.spot, group.used)
        for group in groups
        for host, addr in group.hosts.items()
    }
    return BlockRecord(wire.holder, wire.boot, machines, wire.earlier)


class TeamHome(msgspec.Struct):
    """`live/team/<name>`: the one block of a team with a limit."""

    block: str


class Grant(msgspec.Struct):
    """The answer to `POST /leases`."""

    tenure: int
