"""Messages between an owner and its followers: tagged arrays on the mesh, payloads compressed.

A controller without a standby, or of an older version, drops these messages: it does not know
their tags. They are sent as arrays: the order of fields must not change.
"""

from __future__ import annotations

import zlib

import msgspec
import zstandard

# The format of entries and snapshots; a message in another one is dropped and counted.
FORMAT = 1
# Limits of a payload as sent and as unpacked: a request holds 64 KiB, in base64.
MAX_PACKED_BYTES = 40 * 1024
MAX_UNPACKED_BYTES = 1024 * 1024
COMPRESSION_LEVEL = 3

# In place of the last entry applied: the follower has no replica.
NO_REPLICA = -1
# In place of the next part of a snapshot: the follower needs none.
NO_PART_NEEDED = -1


class PayloadError(Exception):
    """A payload cannot be used; the message says why."""


class LogBatch(msgspec.Struct, tag="standby_log", array_like=True):
    """Entries of the log from `first` on; with none, it asks the follower for its position."""

    format: int
    controller_id: str  # of the owner
    incarnation: str
    shard_id: str
    token: int  # the revision at which the owner acquired the shard
    first: int
    last: int  # the newest entry of the log, whether sent or not
    positions: dict[str, int]  # follower -> the last entry it has acknowledged
    checksum: int
    payload: bytes


class SnapshotPart(msgspec.Struct, tag="standby_snapshot", array_like=True):
    """A part of the state as of entry `last`; a replica begins with all of them."""

    format: int
    controller_id: str
    incarnation: str
    shard_id: str
    token: int
    last: int
    part: int
    parts: int
    checksum: int
    payload: bytes


class Acknowledgement(msgspec.Struct, tag="standby_ack", array_like=True):
    """The position of a follower in a shard's log."""

    controller_id: str  # of the follower
    shard_id: str
    token: int  # the owner's, under which it follows
    last: int  # the last entry applied, or `NO_REPLICA`
    snapshot_part: int  # the next part it needs, or `NO_PART_NEEDED`


class Replaced(msgspec.Struct, tag="standby_replaced", array_like=True):
    """An owner's message came after another controller had acquired the shard."""

    controller_id: str  # of the sender
    shard_id: str
    token: int  # of the later owner


ReplicationMessage = LogBatch | SnapshotPart
FollowerResponse = Acknowledgement | Replaced
Message = LogBatch | SnapshotPart | Acknowledgement | Replaced


def encode(message: Message) -> bytes:
    """A message as it goes into a request's body."""
    return msgspec.json.encode(message)


def decode(body: bytes) -> Message | None:
    """The message; None for anything else, which may be for others."""
    try:
        return msgspec.json.decode(body, type=Message)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def checksum_of(payload: bytes) -> int:
    """Shows that a payload was damaged or cut short."""
    return zlib.crc32(payload)


def pack(value: object) -> bytes:
    """A payload: JSON, compressed."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(msgspec.json.encode(value))


def unpack(payload: bytes, checksum: int) -> bytes:
    """The JSON of a payload; raises `PayloadError` when it is damaged or too large."""
    if checksum_of(payload) != checksum:
        raise PayloadError("checksum differs")
    if len(payload) > MAX_PACKED_BYTES:
        raise PayloadError("too large")
    try:
        parameters = zstandard.get_frame_parameters(payload)
        if parameters.content_size > MAX_UNPACKED_BYTES:
            raise PayloadError("too large unpacked")
        return zstandard.ZstdDecompressor().decompress(payload, max_output_size=MAX_UNPACKED_BYTES)
    except zstandard.ZstdError as error:
        raise PayloadError(str(error)) from None
