"""Agreement on the newest record format that every controller knows, recorded by the leader."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.record_format import NEWEST_FORMAT
from fallpulley.shared_records.keys import FORMAT_KEY
from fallpulley.shared_records.messages import FormatMarker
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change, RequestPriority
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)


class FormatAgreement:
    """Raises the format marker once every controller has been seen to know a newer format."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        writes: MembershipWrites,
        controller_ids: list[str],
    ) -> None:
        self._context = context
        self._watch = watch
        self._registry = registry
        self._writes = writes
        self._controller_ids = controller_ids  # all configured controllers

    def tick(self) -> None:
        """Raise the format marker if every controller knows a newer format.

        Only the leader may call this. The marker is never lowered again. Nothing waits for the
        write, so it does not have the priority of a renewal.
        """
        if self._registry.record_format >= NEWEST_FORMAT:
            return
        agreed = self._agreed_format()
        if agreed <= self._registry.record_format or not self._writes.try_reserve(FORMAT_KEY):
            return
        log.info("record format agreed format=%d", agreed)
        conditions = {FORMAT_KEY: self._watch.mod_revision(FORMAT_KEY)}
        change = Change(FORMAT_KEY, msgspec.json.encode(FormatMarker(agreed)))
        self._writes.send(conditions, change, RequestPriority.INTERACTIVE)

    def _agreed_format(self) -> int:
        """Return the newest format that every controller has been seen to know.

        The present format stays while the settings list fewer controllers than the deployment has,
        or while one of them has not been seen: it may start with a version that does not know the
        newer format.
        """
        current = self._context.record_format.number
        if len(self._controller_ids) < self._context.settings.facts.nodes:
            return current
        known = self._registry.known_formats
        agreed = min(known.get(controller_id, 0) for controller_id in self._controller_ids)
        return max(current, agreed)
