"""Stored values as records; a malformed value is logged and read as if it did not exist."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fallpulley.records.shard_record import (
    MachinePage,
    ShardHeader,
    decode_page,
    decode_shard_header,
)

log = logging.getLogger(__name__)

T = TypeVar("T")


def read_struct(value: bytes | None, record_type: type[T]) -> T | None:
    """The JSON of a small record; None if it was deleted or is malformed."""
    return _read(value, lambda stored: msgspec.json.decode(stored, type=record_type))


def read_shard_header(value: bytes | None) -> ShardHeader | None:
    """A shard's record; None if it was deleted or is malformed."""
    return _read(value, decode_shard_header)


def read_page(value: bytes | None) -> MachinePage | None:
    """One page of a shard's machines; None if it was deleted or is malformed."""
    return _read(value, decode_page)


def _read(value: bytes | None, decode: Callable[[bytes], T]) -> T | None:
    if value is None:
        return None
    try:
        return decode(value)
    except msgspec.MsgspecError:
        log.error("stored record malformed value=%.80r", value)
        return None
