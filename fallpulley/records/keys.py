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
# Not under `SHARD_PREFIX`: there a version that does not know pages would read each as a shard.
PAGE_PREFIX = "live/machines/"


class PageKey(NamedTuple):
    """Which page of which shard's machines a key names."""

    shard_id: str
    number: int


def page_key(shard_id: str, number: int) -> str:
    """The key of one page of a shard's machines."""
    return f"{PAGE_PREFIX}{shard_id}/{number}"


def parse_page_key(key: str) -> PageKey | None:
    """What a key under `PAGE_PREFIX` names; None if it is malformed."""
    shard_id, _, number = key[len(PAGE_PREFIX) :].rpartition("/")
    return PageKey(shard_id, int(number)) if shard_id and number.isdigit() else None
