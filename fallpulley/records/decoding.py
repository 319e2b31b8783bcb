"""Stored values as records; a malformed value is logged and read as if it did not exist."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

log = logging.getLogger(__name__)

T = TypeVar("T")


def decode_or_none(value: bytes | None, decode: Callable[[bytes], T]) -> T | None:
    """The record in a value; None if it was deleted or is malformed.

    `decode` raises `msgspec.MsgspecError` for a malformed value.
    """
    if value is None:
        return None
    try:
        return decode(value)
    except msgspec.MsgspecError:
        log.error("stored record malformed value=%.80r", value)
        return None
