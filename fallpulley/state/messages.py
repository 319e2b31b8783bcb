"""Responses of the state service to reads, with their field names on the wire."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


class Item(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A key and its value on a page of keys."""

    key: str
    value: msgspec.Raw  # encoded as JSON
    mod_revision: int  # revision of the store at which the key last changed


class Page(msgspec.Struct, rename={"items": "pairs", "revision": "ledger"}):
    """Keys of a prefix in ascending order, at most as many as were requested."""

    items: list[Item]
    has_next: bool  # there are more pages
    revision: int  # revision of the store when the page was read


class Event(msgspec.Struct, rename={"mod_revision": "stamp", "delete": "drop", "value": "v"}):
    """A change of one key, which is named by `set` or by `delete`."""

    mod_revision: int  # revision of the store that this change produced
    set: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")  # encoded as JSON; meaningful with `set` only


class Events(msgspec.Struct, rename={"revision": "ledger", "events": "news"}):
    """The changes of a prefix after the requested revision, in the order of their revisions."""

    revision: int  # revision of the store up to which the changes are complete
    events: list[Event] = []


def decode(body: bytes, response_type: type[T]) -> T | None:
    """Return the decoded response; None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.MsgspecError:
        return None
