"""Beginning and end of this controller's ownership of shards, as the records show it."""

from __future__ import annotations

import logging

from fallpulley.controller.job_sync import JobSync
from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extensions
from fallpulley.shard_sizes import change_budget_share
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import OwnerProcess, ShardRecord
from fallpulley.shared_records.writer import ShardWriter

log = logging.getLogger(__name__)


class ShardLifecycle:
    """Acts on shards being acquired, changed or lost, and on the end of their previous owners."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        writer: ShardWriter,
        owned_shards: OwnedShards,
        job_sync: JobSync,
        extensions: Extensions,
    ) -> None:
        self.context = context
        self.registry = registry
        self.writer = writer
        self.owned_shards = owned_shards
        self.job_sync = job_sync
        self.extensions = extensions
        # Previous owners of owned shards that are not known to have ended, by shard id.
        self._previous_owners: dict[str, list[OwnerProcess]] = {}

    def on_record(self, shard_id: str, previous: OwnerProcess | None) -> None:
        """Handle a changed shard record.

        `previous` is the process that owned the shard before the change, None if there was none.
        """
        entry = self.registry.shards.get(shard_id)
        if entry is None or not self._is_owned_here(entry[0]):
            self._end_ownership(shard_id)
            return
        record, mod_revision = entry
        shard = self.owned_shards.shards.get(shard_id)
        if shard is None:
            self._acquire(shard_id, record, mod_revision, previous)
            return
        shard.apply_record(record, mod_revision)
        for extension in self.extensions:
            extension.on_shard_updated(shard)

    def _is_owned_here(self, record: ShardRecord) -> bool:
        context = self.context
        return (record.owner, record.incarnation) == (context.controller_id, context.incarnation)

    def _acquire(
        self,
        shard_id: str,
        record: ShardRecord,
        mod_revision: int,
        previous: OwnerProcess | None,
    ) -> None:
        shard = Shard(self.context, shard_id, record, mod_revision, never_owned=previous is None)
        self.owned_shards.add(ShardAgent(self.context, shard))
        self._previous_owners[shard_id] = record.previous_owners
        log.info(
            "shard acquired shard=%s token=%d machines=%d from=%s",
            shard_id,
            mod_revision,
            len(record.machines),
            previous.controller_id if previous is not None else None,
        )
        self.job_sync.add_open_jobs(shard)
        for extension in self.extensions:
            extension.on_shard_acquired(shard, previous)
        self.check_previous_owners()

    def _end_ownership(self, shard_id: str) -> None:
        shard = self.owned_shards.shards.get(shard_id)
        if shard is None:
            return
        log.info("shard ownership lost shard=%s token=%d", shard_id, shard.fencing_token)
        self.owned_shards.remove(shard_id)
        self.writer.discard_owner_requests(shard_id)
        for extension in self.extensions:
            extension.on_shard_lost(shard_id)

    def check_previous_owners(self) -> None:
        """Notify each shard once the processes of all its previous owners have ended.

        From then on, this controller alone responds to the machines of the shard.
        """
        for shard_id, agent in self.owned_shards.agents.items():
            previous_owners = self._previous_owners.get(shard_id)
            if not agent.shard.unreconciled or previous_owners is None:
                continue
            if all(self._has_ended(previous) for previous in previous_owners):
                agent.lease_expiry.on_previous_owners_ended()
                del self._previous_owners[shard_id]

    def _has_ended(self, previous: OwnerProcess) -> bool:
        context = self.context
        return self.registry.has_ended(previous, context.controller_id, context.incarnation)

    def update_change_rate_factor(self) -> None:
        """Update this controller's share of the budget of changes to the state service.

        Owners get larger shares, since they write most of the changes. The shares stay equal until
        the compact format is adopted: until then, some controllers may run an older version, still
        in production, that knows only equal shares.
        """
        if not self.context.record_format.compact:
            return
        owners = {record.owner for record, _ in self.registry.shards.values()}
        nodes = max(1, self.context.settings.facts.nodes)
        share = change_budget_share(self.context.controller_id, owners, nodes)
        self.context.state_client.change_budget.set_rate_factor(share)
