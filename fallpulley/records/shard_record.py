"""Records of shards in the state service: a shard's owner and its machines."""

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
    "OwnerProcess",
    "ShardRecord",
    "decode_shard",
]


class OwnerProcess(msgspec.Struct, frozen=True, array_like=True):
    """A process of a controller that owned a shard before its owner of today."""

    controller_id: str
    incarnation: str


class MachinePage(msgspec.Struct):
    """Some of a shard's machines, in a value of their own."""

    # The revision of the shard's record that the page was written on: no two values of one page
    # have the same, since a transaction conditioned on a revision changes the record.
    version: int
    machines: Machines


class ShardRecord(msgspec.Struct):
    """`live/block/<shard>`: who owns the shard, and its machines.

    The record's revision is the shard's fencing token: every change raises it.
    """

    owner: str
    incarnation: str
    machines: Machines
    # Previous owners that may still answer machines within their windows. Not the last one alone:
    # an owner cut off with half the machines went on answering them while its successor came
    # and ended, and that end was taken for its own.
    previous_owners: list[OwnerProcess] = []
    compact: bool = False  # it was read in the compact format or a newer one
    # Where the machines stand in pages: these, by number.
    pages: dict[int, MachinePage] = {}

    def encode(self, compact: bool, max_bytes: int) -> bytes:
        """The record's value; the compact format may be used once every controller reads it.

        Where addresses follow no pattern and fill the value, they are left to heartbeats and to
        the cloud's list: a record that no value holds could not change owners any more.
        """
        if self.pages:
            return self._encode_header()
        if not compact:
            return self._encode_first_format()
        value = self._encode_compact(self.machines)
        if len(value) > max_bytes:
            value = self._encode_compact(without_addresses(self.machines))
        return value

    def _encode_first_format(self) -> bytes:
        stored = _StoredShard(
            self.owner, self.incarnation, pack_groups(self.machines), self.previous_owners
        )
        return msgspec.json.encode(stored)

    def _encode_compact(self, machines: Machines) -> bytes:
        stored = _StoredShard(
            self.owner,
            self.incarnation,
            compact_machines=pack_runs(machines),
            previous_owners=self.previous_owners,
        )
        return msgspec.json.encode(stored)

    def _encode_header(self) -> bytes:
        """The pages' versions tell which of their values belong to this record."""
        stored = _StoredShard(
            self.owner,
            self.incarnation,
            previous_owners=self.previous_owners,
            page_versions=[(number, page.version) for number, page in sorted(self.pages.items())],
        )
        return msgspec.json.encode(stored)


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
    """What stands in the value of `live/block/<shard>`, in any format."""

    owner: str
    incarnation: str
    grouped_machines: bytes = b""  # in base64; the groups as JSON, compressed
    previous_owners: list[OwnerProcess] = []
    compact_machines: bytes = b""  # likewise, in the compact format: runs
    page_versions: list[tuple[int, int]] = []  # in the paged format: number, version


class _StoredPage(msgspec.Struct, rename={"compact_machines": "runs"}):
    """What stands in the value of `live/machines/<shard>/<number>`."""

    version: int
    compact_machines: bytes


class ShardHeader(msgspec.Struct):
    """A shard's value as it was read: a whole record, or one whose machines stand in pages."""

    record: ShardRecord
    page_versions: dict[int, int]  # by the pages' numbers; empty for a whole record


def decode_shard_header(value: bytes) -> ShardHeader:
    """Read the value of `live/block/<shard>` in any format.

    Raises `msgspec.MsgspecError` if it is malformed.
    """
    stored = msgspec.json.decode(value, type=_StoredShard)
    if stored.page_versions:
        record = ShardRecord(stored.owner, stored.incarnation, {}, stored.previous_owners, True)
        return ShardHeader(record, dict(stored.page_versions))
    if stored.compact_machines:
        machines, compact = unpack_runs(stored.compact_machines), True
    else:
        machines, compact = unpack_groups(stored.grouped_machines), False
    record = ShardRecord(
        stored.owner, stored.incarnation, machines, stored.previous_owners, compact
    )
    return ShardHeader(record, {})


def decode_shard(value: bytes) -> ShardRecord:
    """The record from its value, with those machines that stand in the value itself.

    Raises `msgspec.MsgspecError` if it is malformed.
    """
    return decode_shard_header(value).record


def encode_page(page: MachinePage) -> bytes:
    """The value of `live/machines/<shard>/<number>`."""
    return msgspec.json.encode(_StoredPage(page.version, pack_runs(page.machines)))


def decode_page(value: bytes) -> MachinePage:
    """Read the value of `live/machines/<shard>/<number>`.

    Raises `msgspec.MsgspecError` if it is malformed.
    """
    stored = msgspec.json.decode(value, type=_StoredPage)
    return MachinePage(stored.version, unpack_runs(stored.compact_machines))
