"""The duties extension: a controller acts on machines only under a duty that it owns."""

from __future__ import annotations

from fallpulley.controller_access import ControllerAccess
from fallpulley.duties.guard import DutyActionGuard
from fallpulley.duties.intents import IntentWriter
from fallpulley.duties.messages import DUTY_PREFIX, INTENT_PREFIX
from fallpulley.duties.ownership import DutyOwnership
from fallpulley.duties.registry import DutyRegistry
from fallpulley.extensions import Extension
from fallpulley.fleet.provider import MachineProvider
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import OwnerProcess


class DutiesService(Extension):
    """Combines the records, ownership, intents and action guard of one controller's duties."""

    def __init__(self, access: ControllerAccess, provider: MachineProvider) -> None:
        self._access = access
        self.duty_registry = DutyRegistry()
        self.ownership = DutyOwnership(access, self.duty_registry)
        self.intents = IntentWriter(access, self.duty_registry)
        self._guard = DutyActionGuard(
            access, provider, self.duty_registry, self.ownership, self.intents
        )
        self.action_guard = self._guard

    def watches(self, key: str) -> bool:
        """Return whether the key is that of a duty's or an intent's record."""
        return key.startswith((DUTY_PREFIX, INTENT_PREFIX))

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Apply a change of a duty's or an intent's record."""
        changed = self.duty_registry.on_key_changed(key, value, mod_revision)
        if value is None:
            self.intents.on_deleted(key)
        for machine_id in changed:
            self._update_release_decision(machine_id)

    def on_shard_acquired(self, shard: Shard, previous: OwnerProcess | None) -> None:
        """Mark the machines of an acquired shard that are about to be released."""
        self.on_shard_updated(shard)

    def on_shard_updated(self, shard: Shard) -> None:
        """Mark the machines of an owned shard that are about to be released."""
        for machine_id in self.duty_registry.release_intents.keys() & shard.machines.keys():
            shard.machines[machine_id].departure.release_decided = True

    def on_leadership_checked(self) -> None:
        """Claim missing duties and resume recorded rentals if this controller leads."""
        self.intents.forget_visible_intents()
        if self._access.watch.ready and self._access.is_leader:
            self.ownership.claim_missing_duties()
            self._guard.resume_scale_outs()

    def _update_release_decision(self, machine_id: str) -> None:
        """Update whether a machine of an owned shard is to be released, and plan its shard anew.

        No tasks are placed on a machine that may be released at any moment.
        """
        shard_id = self._access.registry.shard_of_machine.get(machine_id, "")
        shard = self._access.owned_shards.shards.get(shard_id)
        machine = shard.machines.get(machine_id) if shard is not None else None
        if shard is None or machine is None:
            return
        machine.departure.release_decided = machine_id in self.duty_registry.release_intents
        shard.bookings.pop(machine_id, None)
        shard.needs_replan = True
