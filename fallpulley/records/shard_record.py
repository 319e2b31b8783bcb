"""Records of sessions, leadership and blocks in the state service."""

from __future__ import annotations

import msgspec

from fallpulley.records.machine_encoding import (
    MachineEntry,
    Machines,
    pack_groups,
    pack_runs,
    unpack_groups,
    unpack_runs,
    without_addresses,
)

__all__ = [
    "MachineEntry",
    "MachinePage",
    "Machines",
    "PreviousOwner",
    "ShardRecord",
    "decode_shard",
]


class Session(
    msgspec.Struct,
    rename={"controller_id": "label", "incarnation": "boot", "record_format": "format"},
):
    """`live/session/<label>` and `live/leader`, attached to the controller's lease."""

    controller_id: str
    incarnation: str
    # The newest record format that the process knows. The first ones did not say.
    record_format: int = 1


class FormatMarker(msgspec.Struct, rename={"record_format": "format"}):
    """`live/format`: records may be written in this format. Never taken back."""

    record_format: int


class PreviousOwner(msgspec.Struct, frozen=True, array_like=True):
    """A process that held the block before its present holder."""

    controller_id: str
    incarnation: str


class MachinePage(msgspec.Struct):
    """Some of a block's machines, in a value of their own."""

    # The stamp of the block's record that the part was written on: no two values of one part
    # have the same, since a transaction on a stamp changes the record.
    version: int
    machines: Machines


class ShardRecord(msgspec.Struct):
    """`live/block/<label>`: who holds the block, and its machines.

    The record's stamp is the block's fencing token: every change raises it.
    """

    owner: str
    incarnation: str
    machines: Machines
    # Former holders that may still answer machines within their windows. Not the last one alone:
    # a holder cut off with half the machines went on answering them while its successor came
    # and ended, and that end was taken for its own.
    previous_owners: list[PreviousOwner] = []
    compact: bool = False  # it was read in format 2 or above
    # Where the machines stand in parts: these, by number, and none in the record itself.
    pages: dict[int, MachinePage] = {}

    def encode(self, compact: bool, most_bytes: int) -> bytes:
        """The record's value. In format 2 once every controller reads it. Where addresses follow
        no pattern and fill the value, they are left to reports and to the cloud's list: a record
        that no value holds could not change hands any more."""
        if self.pages:
            return self._encode_header()
        if not compact:
            packed = pack_groups(self.machines)
            wire = _StoredShard(self.owner, self.incarnation, packed, self.previous_owners)
            return msgspec.json.encode(wire)
        value = self._encode_runs(self.machines)
        if len(value) > most_bytes:
            value = self._encode_runs(without_addresses(self.machines))
        return value

    def _encode_runs(self, machines: Machines) -> bytes:
        wire = _StoredShard(
            self.owner,
            self.incarnation,
            compact_machines=pack_runs(machines),
            previous_owners=self.previous_owners,
        )
        return msgspec.json.encode(wire)

    def _encode_header(self) -> bytes:
        """The parts' versions tell which of their values belong to this record."""
        versions = [(number, page.version) for number, page in sorted(self.pages.items())]
        wire = _StoredShard(
            self.owner,
            self.incarnation,
            previous_owners=self.previous_owners,
            page_versions=versions,
        )
        return msgspec.json.encode(wire)


class _StoredShard(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "owner": "holder",
        "incarnation": "boot",
        "grouped_machines": "packed",
        "previous_owners": "earlier",
        "compact_machines": "runs",
        "page_versions": "parts",
    },
):
    owner: str
    incarnation: str
    grouped_machines: bytes = b""  # in base64; the groups as JSON, compressed
    previous_owners: list[PreviousOwner] = []
    compact_machines: bytes = b""  # likewise, from format 2 on: the kinds
    page_versions: list[tuple[int, int]] = []  # from format 3 on: number and version of each part


class _StoredPage(msgspec.Struct, rename={"compact_machines": "runs"}):
    version: int
    compact_machines: bytes


class ShardHeader(msgspec.Struct):
    """A block's value as it was read: a whole record, or one that wants its parts."""

    record: ShardRecord
    page_versions: dict[int, int]  # of its parts


def decode_shard_header(value: bytes) -> ShardHeader:
    """From the value of `live/block/<label>`, in any format; raises `msgspec.MsgspecError` when
    broken."""
    wire = msgspec.json.decode(value, type=_StoredShard)
    if wire.page_versions:
        record = ShardRecord(wire.owner, wire.incarnation, {}, wire.previous_owners, True)
        return ShardHeader(record, dict(wire.page_versions))
    if wire.compact_machines:
        machines, compact = unpack_runs(wire.compact_machines), True
    else:
        machines, compact = unpack_groups(wire.grouped_machines), False
    return ShardHeader(
        ShardRecord(wire.owner, wire.incarnation, machines, wire.previous_owners, compact), {}
    )


def decode_shard(value: bytes) -> ShardRecord:
    """The record from its value, with the machines that stand in it."""
    return decode_shard_header(value).record


def encode_page(page: MachinePage) -> bytes:
    """The value of `live/machines/<label>/<number>`."""
    return msgspec.json.encode(_StoredPage(page.version, pack_runs(page.machines)))


def decode_page(value: bytes) -> MachinePage:
    """Raises `msgspec.MsgspecError` when broken."""
    wire = msgspec.json.decode(value, type=_StoredPage)
    return MachinePage(wire.version, unpack_runs(wire.compact_machines))


class ReleaseRecord(msgspec.Struct, omit_defaults=True, rename={"machine_ids": "hosts"}):
    """`live/retire/<host>`: machines to be released, that one alone in the older format."""

    machine_ids: list[str] = []


class TeamShard(msgspec.Struct, rename={"shard_id": "block"}):
    """`live/team/<name>`: the one block of a team with a limit."""

    shard_id: str


class LeaseGrant(msgspec.Struct, rename={"lease_id": "tenure"}):
    """The answer to `POST /leases`."""

    lease_id: int
