"""A record together with the revision of its last write."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Versioned(NamedTuple, Generic[T]):
    """A record and its `mod_revision`, the expected revision of the next conditional write."""

    value: T
    mod_revision: int
