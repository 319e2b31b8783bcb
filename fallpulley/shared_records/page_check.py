"""Log lines for stored pages that do not match the headers of their shards."""

from __future__ import annotations

import logging

from fallpulley.shared_records.registry import Registry

log = logging.getLogger(__name__)

# Time between two checks, in seconds. Header and pages of one write arrive within much less.
CHECK_INTERVAL_SECONDS = 5.0


class PageCheck:
    """Logs the keys of pages that headers list in vain, and of pages that no header lists.

    A shard with such a header keeps the record that was published before; the others are served.
    """

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._next_check_at = float("-inf")
        self._found: set[str] = set()  # keys that did not match at the last check
        self._logged: set[str] = set()

    def tick(self, now: float) -> None:
        """Check the pages if it is time; log the keys that do not match for the second time."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        found = self._registry.mismatched_page_keys()
        for key in sorted((found & self._found) - self._logged):
            log.error("stored page does not match the header of its shard key=%s", key)
        self._logged &= found
        self._logged |= found & self._found
        self._found = found
