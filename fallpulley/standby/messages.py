"""What holder and followers send each other: tagged tuples on the mesh, payloads compressed.

A controller without a standby, or of an older version, drops these messages: it does not know
their tags.
"""

from __future__ import annotations

import zlib

import msgspec
import zstandard

# The format of entries and snapshots; a message in another one is dropped and counted.
FORMAT = 1
# Most bytes of a payload, as sent and unpacked: a request holds 64 KiB, in base64.
MAX_PACKED_BYTES = 40 * 1024
MAX_UNPACKED_BYTES = 1024 * 1024
COMPRESSION_LEVEL = 3


class PayloadError(Exception):
    """A payload cannot be used; the message says why."""


class LogBatch(msgspec.Struct, tag="standby_log", array_like=True):
    """Entries of the log from `first` on; none: asks the follower where it stands."""

    format: int
    controller_id: str  # the holder and its process
    incarnation: str
    shard_id: str
    token: int  # the stamp at which the holder took the block
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
    """Where a follower stands with a block."""

    controller_id: str  # the follower
    shard_id: str
    token: int  # the holder's, under which it follows
    last: int  # the last entry applied
    snapshot_part: int  # the next part it needs; -1: it needs none


class Replaced(msgspec.Struct, tag="standby_replaced", array_like=True):
    """A holder's message came after somebody else took the block."""

    controller_id: str  # who says so
    shard_id: str
    token: int  # of the later holder


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
    """Tells a payload that was damaged or cut short."""
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
