"""The record of a shard in the state service: its owner and its machines."""

from __future__ import annotations

import msgspec

from fallpulley.shared_records.machine_encoding import (
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
    """A process of a controller that owns a shard, or owned it earlier."""

    controller_id: str
    incarnation: str


class MachinePage(msgspec.Struct):
    """Some of a shard's machines, stored under a key of their own."""

    # The revision that the shard's record had before the transaction that wrote the page. No two
    # values of a page have the same version: the transaction is conditioned on that revision and
    # changes it.
    version: int
    machines: Machines


class ShardRecord(msgspec.Struct):
    """The owner and the machines of a shard, stored under `live/block/<shard>`.

    The record's revision is the shard's fencing token: every write of the record raises it.
    """

    owner: str
    incarnation: str
    machines: Machines
    # Previous owners that may still respond to machines, until their response windows end. Only
    # the last one is not enough: an owner that was cut off together with half the machines went
    # on responding to them while its successor took over and ended, and the successor's end was
    # mistaken for the end of the owner that was cut off.
    previous_owners: list[OwnerProcess] = []
    compact: bool = False  # whether it was read in the compact format or a newer one
    # Pages that hold the machines, by page number; empty if the record itself holds them.
    pages: dict[int, MachinePage] = {}

    def encode(self, compact: bool, max_bytes: int) -> bytes:
        """Return the record's value; only the header if pages hold the machines.

        `compact`: whether the compact format may be used, which all controllers must be able to
        read. In that format all addresses are left out if the value would exceed `max_bytes`:
        they become known again from heartbeats and the cloud's list, while a record that is too
        large to be written could not change owners any more.
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
        """Return the value with the pages' versions, by which a reader finds the matching pages."""
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
    """The encoded form of the value of `live/block/<shard>`, in any format."""

    owner: str
    incarnation: str
    grouped_machines: bytes = b""  # first format: output of `pack_groups`, base64 in JSON
    previous_owners: list[OwnerProcess] = []
    compact_machines: bytes = b""  # compact format: output of `pack_runs`, base64 in JSON
    page_versions: list[tuple[int, int]] = []  # paged format: page number, version


class _StoredPage(msgspec.Struct, rename={"compact_machines": "runs"}):
    """The encoded form of the value of `live/machines/<shard>/<number>`."""

    version: int
    compact_machines: bytes  # output of `pack_runs`, base64 in JSON


class ShardHeader(msgspec.Struct):
    """A decoded value of `live/block/<shard>`: a complete record, or one that lists pages."""

    record: ShardRecord
    page_versions: dict[int, int]  # page number -> version; empty for a complete record


def decode_shard_header(value: bytes) -> ShardHeader:
    """Decode the value of `live/block/<shard>`, in any format.

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
    """Decode the value of `live/block/<shard>` as a record, without machines that are in pages.

    Raises `msgspec.MsgspecError` if it is malformed.
    """
    return decode_shard_header(value).record


def encode_page(page: MachinePage) -> bytes:
    """Return the value of `live/machines/<shard>/<number>`."""
    return msgspec.json.encode(_StoredPage(page.version, pack_runs(page.machines)))


def decode_page(value: bytes) -> MachinePage:
    """Decode the value of `live/machines/<shard>/<number>`.

    Raises `msgspec.MsgspecError` if it is malformed.
    """
    stored = msgspec.json.decode(value, type=_StoredPage)
    return MachinePage(stored.version, unpack_runs(stored.compact_machines))
