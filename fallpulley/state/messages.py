"""Responses of the state service to reads; the names on the wire are mapped here."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


class Item(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A key with its value, as a page of a listing holds it."""

    key: str
    value: msgspec.Raw
    mod_revision: int


class Page(msgspec.Struct, rename={"items": "pairs", "revision": "ledger"}):
    """Keys of a prefix in their order, as many as were asked for."""

    items: list[Item]
    has_next: bool
    revision: int  # of the store when the page was read


class Event(msgspec.Struct, rename={"mod_revision": "stamp", "delete": "drop", "value": "v"}):
    """A change of one key: either `set` or `delete` names it."""

    mod_revision: int
    set: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Events(msgspec.Struct, rename={"revision": "ledger", "events": "news"}):
    """The changes of a prefix since some revision, in the order of their revisions."""

    revision: int
    events: list[Event] = []


def decode(body: bytes, response_type: type[T]) -> T | None:
    """The decoded response; None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.MsgspecError:
        return None
