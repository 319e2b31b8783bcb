"""Records of sessions, leadership and blocks in the state service."""

from __future__ import annotations

import msgspec

from fallpulley.blocks.packing import (
    MachineEntry,
    Machines,
    pack_groups,
    pack_runs,
    unpack_groups,
    unpack_runs,
    without_addresses,
)

__all__ = ["BlockRecord", "Former", "MachineEntry", "Machines", "Part", "decode_block"]


class Session(msgspec.Struct):
    """`live/session/<label>` and `live/leader`, attached to the controller's lease."""

    label: str
    boot: str
    # The newest record format that the process knows. The first ones did not say.
    format: int = 1


class FormatMark(msgspec.Struct):
    """`live/format`: records may be written in this format. Never taken back."""

    format: int


class Former(msgspec.Struct, frozen=True, array_like=True):
    """A process that held the block before its present holder."""

    label: str
    boot: str


class Part(msgspec.Struct):
    """Some of a block's machines, in a value of their own."""

    # The stamp of the block's record that the part was written on: no two values of one part
    # have the same, since a transaction on a stamp changes the record.
    version: int
    machines: Machines


class BlockRecord(msgspec.Struct):
    """`live/block/<label>`: who holds the block, and its machines.

    The record's stamp is the block's fencing token: every change raises it.
    """

    holder: str
    boot: str
    machines: Machines
    # Former holders that may still answer machines within their windows. Not the last one alone:
    # a holder cut off with half the machines went on answering them while its successor came
    # and ended, and that end was taken for its own.
    earlier: list[Former] = []
    newer: bool = False  # it was read in format 2 or above
    # Where the machines stand in parts: these, by number, and none in the record itself.
    parts: dict[int, Part] = {}

    def encode(self, newer: bool, most_bytes: int) -> bytes:
        """The record's value. In format 2 once every controller reads it. Where addresses follow
        no pattern and fill the value, they are left to reports and to the cloud's list: a record
        that no value holds could not change hands any more."""
        if self.parts:
            return self._encode_head()
        if not newer:
            packed = pack_groups(self.machines)
            wire = _BlockWire(self.holder, self.boot, packed, self.earlier)
            return msgspec.json.encode(wire)
        value = self._encode_runs(self.machines)
        if len(value) > most_bytes:
            value = self._encode_runs(without_addresses(self.machines))
        return value

    def _encode_runs(self, machines: Machines) -> bytes:
        wire = _BlockWire(self.holder, self.boot, runs=pack_runs(machines), earlier=self.earlier)
        return msgspec.json.encode(wire)

    def _encode_head(self) -> bytes:
        """The parts' versions tell which of their values belong to this record."""
        versions = [(number, part.version) for number, part in sorted(self.parts.items())]
        wire = _BlockWire(self.holder, self.boot, earlier=self.earlier, parts=versions)
        return msgspec.json.encode(wire)


class _BlockWire(msgspec.Struct, omit_defaults=True):
    holder: str
    boot: str
    packed: bytes = b""  # in base64; the groups as JSON, compressed
    earlier: list[Former] = []
    runs: bytes = b""  # likewise, from format 2 on: the kinds
    parts: list[tuple[int, int]] = []  # from format 3 on: number and version of each part


class _PartWire(msgspec.Struct):
    version: int
    runs: bytes


class BlockHead(msgspec.Struct):
    """A block's value as it was read: a whole record, or one that wants its parts."""

    record: BlockRecord
    versions: dict[int, int]  # of its parts


def decode_head(value: bytes) -> BlockHead:
    """From the value of `live/block/<label>`, in any format; raises `msgspec.MsgspecError` when
    broken."""
    wire = msgspec.json.decode(value, type=_BlockWire)
    if wire.parts:
        record = BlockRecord(wire.holder, wire.boot, {}, wire.earlier, True)
        return BlockHead(record, dict(wire.parts))
    if wire.runs:
        machines, newer = unpack_runs(wire.runs), True
    else:
        machines, newer = unpack_groups(wire.packed), False
    return BlockHead(BlockRecord(wire.holder, wire.boot, machines, wire.earlier, newer), {})


def decode_block(value: bytes) -> BlockRecord:
    """The record from its value, with the machines that stand in it."""
    return decode_head(value).record


def encode_part(part: Part) -> bytes:
    """The value of `live/machines/<label>/<number>`."""
    return msgspec.json.encode(_PartWire(part.version, pack_runs(part.machines)))


def decode_part(value: bytes) -> Part:
    """Raises `msgspec.MsgspecError` when broken."""
    wire = msgspec.json.decode(value, type=_PartWire)
    return Part(wire.version, unpack_runs(wire.runs))


class Retired(msgspec.Struct, omit_defaults=True, rename={"machine_ids": "hosts"}):
    """`live/retire/<host>`: machines to be released, that one alone in the older format."""

    machine_ids: list[str] = []


class TeamHome(msgspec.Struct):
    """`live/team/<name>`: the one block of a team with a limit."""

    block: str


class Grant(msgspec.Struct):
    """The answer to `POST /leases`."""

    tenure: int
