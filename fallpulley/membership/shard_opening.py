"""The leader opens shards: for more machines than one owner serves, and where records are full."""

from __future__ import annotations

import itertools
from typing import Protocol

from fallpulley.context import ControllerContext
from fallpulley.membership.shard_assignment import ShardAssignment
from fallpulley.records.registry import Registry
from fallpulley.shard_sizes import FULL_RECORD_SHARE, shards_needed


class OpeningPolicy(Protocol):
    """Which shards others ask for."""

    def shards_to_open(self) -> list[str]:
        """Controllers that are to have a shard whether or not the machines need one."""


class ShardOpening:
    """Opens as many shards as the machines need."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        assignment: ShardAssignment,
        policy: OpeningPolicy,
        controller_ids: list[str],
        machines_per_shard: int,
    ) -> None:
        self._context = context
        self._registry = registry
        self._assignment = assignment
        self._policy = policy
        self._controller_ids = controller_ids  # of all controllers that are configured
        self._machines_per_shard = machines_per_shard

    def tick(self) -> None:
        """Open the shards that are needed; only the leader may ask."""
        for controller_id in self._policy.shards_to_open():
            self._assignment.open_shard(controller_id, controller_id)
        if not self._open_for_machines() and self._all_records_full():
            # However few controllers there are, the records must hold all machines.
            self._assignment.open_shard(self._unused_shard_id(), self._context.controller_id)

    def _open_for_machines(self) -> bool:
        """Open a shard for a controller without one if the machines need more; False if not."""
        shards = self._registry.shards
        machines = sum(len(record.machines) for record, _ in shards.values())
        controllers = len(self._registry.sessions)
        if len(shards) >= shards_needed(machines, controllers, self._machines_per_shard):
            return False
        controller_id = self._assignment.controller_without_shard()
        if controller_id is None or controller_id in shards:
            return False
        self._assignment.open_shard(controller_id, controller_id)
        return True

    def _all_records_full(self) -> bool:
        """No record has room, nor gets any by another format or layout."""
        record_format = self._context.record_format
        shards = self._registry.shards
        if record_format.compact and self._registry.first_format_shards:
            return False  # they shrink first: a second shard would cost more than it carries
        if record_format.paged and not all(record.pages for record, _ in shards.values()):
            return False  # a record that is full is laid out in pages first
        full_bytes = FULL_RECORD_SHARE * record_format.value_bytes
        record_bytes = self._registry.record_bytes
        return bool(shards) and all(record_bytes[shard_id] > full_bytes for shard_id in shards)

    def _unused_shard_id(self) -> str:
        """A controller's id, or if all of them are shards already, ours with a number."""
        numbered = (f"{self._context.controller_id}.{number}" for number in itertools.count(2))
        shard_ids = itertools.chain(self._controller_ids, numbered)
        return next(shard_id for shard_id in shard_ids if shard_id not in self._registry.shards)
