"""A record together with the revision at which it was written."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Versioned(NamedTuple, Generic[T]):
    """A record's value and its `mod_revision`, on which the next write is conditioned."""

    value: T
    mod_revision: int
