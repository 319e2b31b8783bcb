"""Creation of shards by the leader, when machines outgrow the owners or records are full."""

from __future__ import annotations

import itertools
from typing import Protocol

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.shard_assignment import ShardAssignment
from fallpulley.shard_sizes import FULL_HEADER_SHARE, FULL_RECORD_SHARE, shards_needed
from fallpulley.shared_records.registry import Registry


class ShardCreationPolicy(Protocol):
    """The shards that extensions ask for."""

    def shards_to_create(self) -> list[str]:
        """Return the controllers that are to have a shard even if the machines need none."""


class ShardCreation:
    """Creates as many shards as the machines need."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        assignment: ShardAssignment,
        policy: ShardCreationPolicy,
        controller_ids: list[str],
        machines_per_shard: int,
    ) -> None:
        self._context = context
        self._registry = registry
        self._assignment = assignment
        self._policy = policy
        self._controller_ids = controller_ids  # all configured controllers
        self._machines_per_shard = machines_per_shard

    def tick(self) -> None:
        """Create the shards that are needed. Only the leader may call this."""
        for controller_id in self._policy.shards_to_create():
            self._assignment.create_shard(controller_id, controller_id)
        if not self._create_for_machines() and self._all_records_full():
            # The records must hold all machines, even if no controller is without a shard.
            self._assignment.create_shard(self._unused_shard_id(), self._context.controller_id)

    def _create_for_machines(self) -> bool:
        """Create a shard for a controller without one, if the machines need a further shard.

        Returns False if they need none, or if no controller can be given one.
        """
        shards = self._registry.shards
        machines = sum(len(record.machines) for record, _ in shards.values())
        controllers = len(self._registry.sessions)
        if len(shards) >= shards_needed(machines, controllers, self._machines_per_shard):
            return False
        controller_id = self._assignment.controller_without_shard()
        if controller_id is None or controller_id in shards:
            return False
        self._assignment.create_shard(controller_id, controller_id)
        return True

    def _all_records_full(self) -> bool:
        """Return whether all records are full, and neither a rewrite nor pages would make room."""
        record_format = self._context.record_format
        shards = self._registry.shards
        if record_format.compact and self._registry.first_format_shards:
            # Records in the first format shrink when they are rewritten. That makes room at less
            # cost than a further shard.
            return False
        if record_format.paged and not all(record.pages for record, _ in shards.values()):
            # Some record is not divided into pages yet. That makes room, so it is done first.
            return False
        full_share = FULL_HEADER_SHARE if record_format.paged else FULL_RECORD_SHARE
        full_bytes = full_share * record_format.max_value_bytes
        record_bytes = self._registry.record_bytes
        return bool(shards) and all(record_bytes[shard_id] > full_bytes for shard_id in shards)

    def _unused_shard_id(self) -> str:
        """Return an id for a new shard.

        This is the id of a controller, if no shard has it yet, or else this controller's id with a
        number.
        """
        numbered = (f"{self._context.controller_id}.{number}" for number in itertools.count(2))
        shard_ids = itertools.chain(self._controller_ids, numbered)
        return next(shard_id for shard_id in shard_ids if shard_id not in self._registry.shards)
