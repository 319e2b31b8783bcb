"""Keeps the newest known record of shares, and writes new ones."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_access import ControllerAccess
from fallpulley.jobs.service import JobService
from fallpulley.shared_records.keys import SHARES_KEY
from fallpulley.shares.messages import ShareTable
from fallpulley.shares.table import Deployment
from fallpulley.state.transactions import Change, RequestPriority, WriteCallback

log = logging.getLogger(__name__)


class ShareRecord:
    """Holds the newest known table of shares, and replaces the record by compare-and-set."""

    def __init__(self, access: ControllerAccess, jobs: JobService) -> None:
        self._access = access
        self._jobs = jobs
        self.table = ShareTable()
        self.controller_ids = sorted(access.context.settings.controller_ids)

    def on_record_changed(self, value: bytes | None) -> None:
        """Update the table after a change of the record; `value` is None if it was deleted."""
        if value is None:
            self.table = ShareTable()
            return
        try:
            self.table = msgspec.json.decode(value, type=ShareTable)
        except msgspec.MsgspecError:
            log.error("stored record is malformed, keeping the last shares key=%s", SHARES_KEY)
            return
        log.info("shares updated revision=%d count=%d", self.table.revision, len(self.table.shares))

    def deployment(self) -> Deployment:
        """Return the facts that a new table is validated against."""
        registry = self._access.registry
        processors = sum(registry.processors(shard_id) for shard_id in registry.shards)
        return Deployment(self.controller_ids, self._jobs.teams, registry.team_shards, processors)

    def write(self, value: bytes, on_result: WriteCallback, priority: RequestPriority) -> None:
        """Replace the record with an encoded table, unless it changed since it was last seen."""
        conditions = {SHARES_KEY: self._access.watch.mod_revision(SHARES_KEY)}
        self._access.compare_and_set(conditions, Change(SHARES_KEY, value), on_result, priority)
