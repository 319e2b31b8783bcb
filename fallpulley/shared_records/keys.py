"""The keys of shared records in the state service."""

from __future__ import annotations

from typing import NamedTuple

LEADER_KEY = "live/leader"
FORMAT_KEY = "live/format"
CATALOG_KEY = "live/catalog"
SHARES_KEY = "live/shares"
SHARD_PREFIX = "live/block/"
SESSION_PREFIX = "live/session/"
TEAM_PREFIX = "live/team/"
RELEASE_PREFIX = "live/retire/"
# Outside `SHARD_PREFIX`, because versions that do not know pages read every key there as a shard.
PAGE_PREFIX = "live/machines/"


class PageKey(NamedTuple):
    """The shard and the page number that a page's key consists of."""

    shard_id: str
    number: int


def page_key(shard_id: str, number: int) -> str:
    """Return the key of one page of a shard's machines."""
    return f"{PAGE_PREFIX}{shard_id}/{number}"


def parse_page_key(key: str) -> PageKey | None:
    """Return the parts of a key under `PAGE_PREFIX`; None if the key is malformed."""
    shard_id, _, number = key[len(PAGE_PREFIX) :].rpartition("/")
    return PageKey(shard_id, int(number)) if shard_id and number.isdigit() else None
