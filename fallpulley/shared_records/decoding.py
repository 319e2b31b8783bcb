"""Decoding of stored values; a malformed value is logged and treated as if it did not exist."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

log = logging.getLogger(__name__)

T = TypeVar("T")


def decode_or_none(value: bytes | None, decode: Callable[[bytes], T]) -> T | None:
    """Return the record that a value holds; None if the key was deleted or the value is malformed.

    `decode` must raise `msgspec.MsgspecError` for a malformed value.
    """
    if value is None:
        return None
    try:
        return decode(value)
    except msgspec.MsgspecError:
        log.error("stored record is malformed and treated as absent value=%.80r", value)
        return None
