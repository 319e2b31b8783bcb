"""Decoding of stored values; a malformed value is logged and treated as if it did not exist."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

log = logging.getLogger(__name__)

T = TypeVar("T")


def decode_or_none(key: str, value: bytes | None, decode: Callable[[bytes], T]) -> T | None:
    """Return the record under a key; None if the key was deleted or its value is malformed.

    `decode` must raise `msgspec.MsgspecError` for a malformed value.
    """
    if value is None:
        return None
    try:
        return decode(value)
    except msgspec.MsgspecError:
        log.error("stored record is malformed and treated as absent key=%s value=%.80r", key, value)
        return None
