"""Permits an action on machines once its intent is durable and its duty is certainly owned.

The next owner of a duty first carries out the intents that the previous owner left unresolved. All
actions are safe to repeat, so a delayed request from the previous owner has no further effect: the
same action has been carried out already.
"""

from __future__ import annotations

import msgspec

from fallpulley.cloud.messages import RentalRequest
from fallpulley.controller_access import ControllerAccess
from fallpulley.duties.intents import IntentWriter
from fallpulley.duties.messages import Duty, Release, ScaleOut, duty_key
from fallpulley.duties.ownership import DutyOwnership
from fallpulley.duties.registry import DutyRegistry
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.provider import MachineProvider
from fallpulley.shared_records.keys import SHARD_PREFIX

# Most bytes that the machine ids of one intent may take, as a share of the largest record value.
MAX_INTENT_VALUE_SHARE = 0.5


class DutyActionGuard(ActionGuard):
    """Permits only actions that were recorded, and only while this controller owns their duty."""

    def __init__(
        self,
        access: ControllerAccess,
        provider: MachineProvider,
        duty_registry: DutyRegistry,
        ownership: DutyOwnership,
        intents: IntentWriter,
    ) -> None:
        self._access = access
        self._provider = provider
        self._duty_registry = duty_registry
        self._ownership = ownership
        self._intents = intents

    def may_adopt(self) -> bool:
        """Return whether this controller may adopt or release machines without a record."""
        return self._ownership.owns(Duty.ADOPTION)

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Return the conditions for deleting records that are no longer needed (key -> revision).

        None: this controller does not own the duty.
        """
        token = self._ownership.token(Duty.CLEANUP)
        return None if token is None else {duty_key(Duty.CLEANUP): token}

    # -- scaling out -----------------------------------------------------------------------

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """Return whether the rental request may be sent: it is recorded and the duty is owned.

        If only the record is missing, it is written now, unless a rental of a previous owner is
        still unresolved.
        """
        token = self._ownership.token(Duty.SCALE_OUT)
        if token is None:
            return False
        if self._intents_of_request(request.request_id):
            return True
        if not self._duty_registry.has_unresolved_intent(Duty.SCALE_OUT, token):
            action = ScaleOut(request, shard_id)
            self._intents.write(Duty.SCALE_OUT, token, action, request.request_id, {})
        return False

    def on_rental_resolved(self, request_id: str) -> None:
        """Delete the intents of a rental whose outcome the cloud has reported."""
        for key in self._intents_of_request(request_id):
            self._intents.delete(key)

    def resume_scale_outs(self) -> None:
        """Resend the recorded rentals that are not resolved, including those of previous owners."""
        if not self._ownership.owns(Duty.SCALE_OUT):
            return
        for key, action in self._duty_registry.scale_outs():
            if not self._intents.is_deleting(key):
                self._provider.resume_rental(action.request, action.shard_id)

    def _intents_of_request(self, request_id: str) -> list[str]:
        """Return the keys of a rental's intents.

        There are two if the response to the first write was lost and the rental was recorded again.
        """
        return [
            key
            for key, action in self._duty_registry.scale_outs()
            if action.request.request_id == request_id
        ]

    # -- releasing -------------------------------------------------------------------------

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """Return the machines to release now: those of the oldest unresolved intent.

        If there is none, record an intent for `machine_ids` and return an empty list.
        """
        token = self._ownership.token(Duty.RELEASE)
        if token is None:
            return []
        for key, action in self._duty_registry.releases():
            if not self._intents.is_deleting(key):
                return action.machine_ids
        self._record_release(token, machine_ids)
        return []

    def on_released(self, machine_ids: list[str]) -> None:
        """Delete the intents whose machines the cloud has all confirmed as gone."""
        released = set(machine_ids)
        for key, action in list(self._duty_registry.releases()):
            if set(action.machine_ids) <= released:
                self._intents.delete(key)

    def _record_release(self, token: int, machine_ids: list[str]) -> None:
        conditions: dict[str, int] = {}
        batch = []
        for machine_id in machine_ids:
            shard_id = self._access.registry.shard_of_machine.get(machine_id)
            if shard_id is None or self._decide_release(shard_id, machine_id, conditions):
                batch.append(machine_id)
            else:
                # Another controller owns its shard by now, or the machine has sent a heartbeat.
                self._provider.release_requested.discard(machine_id)
        batch = self._limit_to_record_size(batch)
        if batch:
            self._intents.write(Duty.RELEASE, token, Release(batch), Duty.RELEASE, conditions)

    def _decide_release(self, shard_id: str, machine_id: str, conditions: dict[str, int]) -> bool:
        """Decide to release a machine of a shard; return False if it must not be released.

        Only the owner of the shard may decide this. The shard's revision is added to `conditions`,
        so that any later owner sees the intent before it acquires the shard.
        """
        shard = self._access.owned_shards.shards.get(shard_id)
        if shard is None:
            return False
        departure = shard.machines[machine_id].departure
        if not departure.release_decided and machine_id not in shard.unreconciled:
            return False
        departure.release_decided = True
        conditions[SHARD_PREFIX + shard_id] = shard.fencing_token
        return True

    def _limit_to_record_size(self, machine_ids: list[str]) -> list[str]:
        """Halve a list until one intent can hold it, but keep at least one machine."""
        max_bytes = MAX_INTENT_VALUE_SHARE * self._access.context.record_format.max_value_bytes
        while len(machine_ids) > 1 and len(msgspec.json.encode(machine_ids)) > max_bytes:
            machine_ids = machine_ids[: len(machine_ids) // 2]
        return machine_ids
