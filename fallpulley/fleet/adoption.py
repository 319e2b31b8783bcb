"""Adoption or release of machines that the cloud lists but no record contains."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.cloud.messages import FAILED_STATE, ListedMachine
from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.releases import Releases
from fallpulley.fleet.rentals import Rentals
from fallpulley.fleet.shard_chooser import MachineShardChooser
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.shared_records.writer import ShardWriter

log = logging.getLogger(__name__)

# How long the cloud's list may still show a machine after its release: this many list lags
# (`facts.cloud.list_lag_s`), plus the seconds that the release call itself may take.
RELEASE_VISIBLE_LAGS = 2
RELEASE_VISIBLE_SECONDS = 2.0


class Adoption:
    """Adopts or releases unrecorded machines on behalf of the leader."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        writer: ShardWriter,
        rentals: Rentals,
        releases: Releases,
        shard_chooser: MachineShardChooser,
        action_guard: Callable[[], ActionGuard],
    ) -> None:
        self.context = context
        self.registry = registry
        self.writer = writer
        self.rentals = rentals
        self.releases = releases
        self.shard_chooser = shard_chooser
        self._action_guard = action_guard
        self._term_began_at = float("-inf")

    def begin_term(self) -> None:
        """Record that this controller has become the leader."""
        self._term_began_at = self.context.now

    def adopt(self, machine_id: str, entry: MachineEntry) -> bool:
        """Add a machine that the cloud lists to a shard.

        Returns False if the machine was or is to be released, if this controller may not adopt
        machines, or if no shard has room.
        """
        if (
            machine_id in self.releases.released_at
            or machine_id in self.registry.release_record_keys
            or not self._action_guard().may_adopt()
        ):
            return False
        shard_id = self.shard_chooser.furthest_below_target()
        if shard_id is None:
            return False
        log.info(
            "machine adopted machine=%s type=%s shard=%s", machine_id, entry.machine_type, shard_id
        )
        self.writer.add(shard_id, machine_id, entry)
        return True

    def process_list(self, machines: dict[str, ListedMachine]) -> None:
        """Adopt or release the unrecorded machines of a new list, which is keyed by machine_id."""
        if not self._action_guard().may_adopt():
            return
        release_visible_s = (
            RELEASE_VISIBLE_LAGS * self.context.settings.facts.cloud.list_lag_s
            + RELEASE_VISIBLE_SECONDS
        )
        has_recorded = any(record.machines for record, _ in self.registry.shards.values())
        if has_recorded and self.context.now < self._term_began_at + release_visible_s:
            return  # the list may still show machines that an earlier leader released
        for machine_id, machine in machines.items():
            if not self._is_accounted_for(machine_id):
                self._process_unrecorded(machine_id, machine, release_visible_s)

    def _is_accounted_for(self, machine_id: str) -> bool:
        """Return whether the machine is in a record, being added to one, or to be released."""
        return (
            machine_id in self.registry.shard_of_machine
            or machine_id in self.registry.release_record_keys
            or self.writer.is_being_added(machine_id)
            or machine_id in self.releases.requested
        )

    def _process_unrecorded(
        self, machine_id: str, machine: ListedMachine, release_visible_s: float
    ) -> None:
        released_at = self.releases.released_at.get(machine_id)
        if released_at is not None:
            # Still listed although the list should no longer show it: the release was lost.
            if self.context.now > released_at + release_visible_s:
                self.releases.request(machine_id)
        elif machine.state == FAILED_STATE:
            self.releases.request(machine_id)
        elif not self.rentals.pending:
            # While a rental request is pending, the machine may have been rented by it.
            entry = MachineEntry(machine.address, machine.machine_type, machine.zone, machine.spot)
            self.adopt(machine_id, entry)
