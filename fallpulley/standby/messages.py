"""Messages between a shard's owner and its followers, sent from controller to controller.

They are sent as tagged arrays, so the order of fields and the tags must not change; payloads are
compressed. A controller without a standby, or of an older version, drops these messages because it
does not know their tags.
"""

from __future__ import annotations

import zlib

import msgspec
import zstandard

# Format of entries and snapshots. A message in another format is dropped and counted.
FORMAT = 1
# Largest payload in bytes, compressed and decompressed. A request holds 64 KiB, and payloads are
# sent in base64, which adds a third.
MAX_PACKED_BYTES = 40 * 1024
MAX_UNPACKED_BYTES = 1024 * 1024
COMPRESSION_LEVEL = 3

# Sent as the number of the last entry applied if the follower has no replica.
NO_REPLICA = -1
# Sent as the index of the next snapshot part if the follower needs none.
NO_PART_NEEDED = -1


class PayloadError(Exception):
    """A payload is damaged or too large."""


class LogBatch(msgspec.Struct, tag="standby_log", array_like=True):
    """Consecutive entries of the log; without any, it asks the follower for its position."""

    format: int
    controller_id: str  # of the owner
    incarnation: str  # of the owner's process
    shard_id: str
    token: int  # the revision at which the owner acquired the shard
    first_number: int  # number of the first entry in the payload
    last_number: int  # number of the latest entry of the log, whether or not in the payload
    positions: dict[str, int]  # follower -> number of the last entry it has acknowledged
    checksum: int  # of the payload
    payload: bytes  # list of entries, see `pack`


class SnapshotPart(msgspec.Struct, tag="standby_snapshot", array_like=True):
    """One part of a snapshot of the shard. A follower needs all parts to start a replica."""

    format: int
    controller_id: str  # of the owner
    incarnation: str  # of the owner's process
    shard_id: str
    token: int  # the revision at which the owner acquired the shard
    last_number: int  # number of the last entry that the snapshot includes
    part_index: int  # counted from 0
    part_count: int
    checksum: int  # of the payload
    payload: bytes  # a `Snapshot`, see `pack`


class Acknowledgement(msgspec.Struct, tag="standby_ack", array_like=True):
    """The position of a follower in a shard's log."""

    controller_id: str  # of the follower
    shard_id: str
    token: int  # the highest token that the follower has received for the shard
    last_number: int  # number of the last entry applied, or `NO_REPLICA`
    needed_part: int  # index of the snapshot part needed next, or `NO_PART_NEEDED`


class OwnerReplaced(msgspec.Struct, tag="standby_replaced", array_like=True):
    """Tells the sender of a message that another controller has since acquired the shard."""

    controller_id: str  # of the controller that received the replaced owner's message
    shard_id: str
    token: int  # a revision of the shard's record above the token of the replaced owner


ReplicationMessage = LogBatch | SnapshotPart
FollowerResponse = Acknowledgement | OwnerReplaced
Message = LogBatch | SnapshotPart | Acknowledgement | OwnerReplaced


def encode(message: Message) -> bytes:
    """Return the body of the request that carries a message."""
    return msgspec.json.encode(message)


def decode(body: bytes) -> Message | None:
    """Return the message in a request's body, or None if it is not a valid standby message."""
    try:
        return msgspec.json.decode(body, type=Message)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def checksum_of(payload: bytes) -> int:
    """Return the CRC-32 of a payload, by which damaged or truncated payloads are detected."""
    return zlib.crc32(payload)


def pack(value: object) -> bytes:
    """Return a value as a payload: JSON, compressed with zstd."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(msgspec.json.encode(value))


def unpack(payload: bytes, checksum: int) -> bytes:
    """Return the decompressed JSON of a payload.

    Raises:
        PayloadError: The payload is damaged or too large.
    """
    if checksum_of(payload) != checksum:
        raise PayloadError("payload does not match its checksum")
    if len(payload) > MAX_PACKED_BYTES:
        raise PayloadError("payload too large")
    try:
        parameters = zstandard.get_frame_parameters(payload)
        if parameters.content_size > MAX_UNPACKED_BYTES:
            raise PayloadError("too large unpacked")
        return zstandard.ZstdDecompressor().decompress(payload, max_output_size=MAX_UNPACKED_BYTES)
    except zstandard.ZstdError as error:
        raise PayloadError(str(error)) from None
