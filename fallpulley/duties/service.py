"""Duties of one controller: takes them as the leader, and clears every action before it goes out.

An action goes out only while its intent is durable and the duty is certainly held. Whoever holds a
duty next carries out its predecessor's open intents first: all actions may be repeated, and what
comes late from a predecessor is then what has been done already.
"""

from __future__ import annotations

import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.duties.messages import (
    CLEANING,
    DUTIES,
    DUTY_PREFIX,
    INTENT_PREFIX,
    RECLAIMING,
    RENTING,
    RETURNING,
    DutyRecord,
    Intent,
    Rent,
    Return,
    duty_key,
    intent_key,
)
from fallpulley.duties.registry import DutyRegistry
from fallpulley.extensions import Extension
from fallpulley.fleet.messages import RentalRequest
from fallpulley.fleet.provider import MachineProvider
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.records.registry import LEADER_KEY, SHARD_PREFIX, Registry
from fallpulley.records.shard_record import PreviousOwner
from fallpulley.shards.owned import OwnedShards
from fallpulley.shards.shard import Shard
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A write that has not gone out by then is given up, and decided anew.
MAX_WRITE_WAIT_SECONDS = 2.0
# A duty that could not be taken is tried again after so long.
CLAIM_RETRY_SECONDS = 0.5
# Machines in one intent, if their names leave it below this share of a value.
MAX_INTENT_SHARE = 0.5


class DutiesService(Extension):
    """The only part of the package that the controller knows."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        provider: MachineProvider,
        owned: OwnedShards,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.provider = provider
        self.owned = owned
        self.action_guard = self
        self.registry_of_duties = DutyRegistry()
        self._intent_count = 0
        self._intents_in_flight: set[str] = (
            set()
        )  # intents that are being written, by what they are for
        self._deleting: set[str] = set()
        self._claiming_until: dict[str, float] = {}  # duty -> until when an answer is awaited
        self._visible_from: dict[str, int] = {}  # what was recorded, until our copy shows it

    # -- records ---------------------------------------------------------------------------

    def watches(self, key: str) -> bool:
        """Whether the record is one of duties."""
        return key.startswith((DUTY_PREFIX, INTENT_PREFIX))

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """A record as the watch brings it."""
        changed = self.registry_of_duties.on_key_changed(key, value, mod_revision)
        if value is None:
            self._deleting.discard(key)
        for machine_id in changed:
            self._mark_release_decided(machine_id)

    def _mark_release_decided(self, machine_id: str) -> None:
        """Nobody places on a machine that may be returned at any moment."""
        shard = self.owned.shards.get(self.registry.shard_of_machine.get(machine_id, ""))
        machine = shard.machines.get(machine_id) if shard is not None else None
        if shard is None or machine is None:
            return
        machine.scale_in.release_decided = machine_id in self.registry_of_duties.returning
        shard.bookings.pop(machine_id, None)
        shard.needs_replan = True

    def on_shard_acquired(self, shard: Shard, previous: PreviousOwner | None) -> None:
        """Some of the shard's machines may be about to be released."""
        self.on_shard_updated(shard)

    def on_shard_updated(self, shard: Shard) -> None:
        """A block is ours from now on; some of its machines may be on their way back."""
        for machine_id in self.registry_of_duties.returning.keys() & shard.machines.keys():
            shard.machines[machine_id].scale_in.release_decided = True

    # -- holding ---------------------------------------------------------------------------

    def token(self, name: str) -> int | None:
        """The token under which we do a duty now; None: we do not."""
        entry = self.registry_of_duties.duties.get(name)
        if (
            entry is None
            or entry[0].incarnation != self.context.incarnation
            or not self.session.is_live()
        ):
            return None
        return entry[1]

    def holds(self, name: str) -> bool:
        """We certainly do the duty now."""
        return self.token(name) is not None

    def on_leadership_checked(self) -> None:
        """Take what is free as the leader, and go on with what predecessors have left open."""
        for what, revision in list(self._visible_from.items()):
            if self.watch.revision >= revision:
                del self._visible_from[what]
        if not self.watch.ready or self.leadership.term is None:
            return
        for name in DUTIES:
            if not self.holds(name):
                self._claim(name)
        if self.holds(RENTING):
            for name, (intent, _) in self.registry_of_duties.intents.items():
                if isinstance(intent.action, Rent) and name not in self._deleting:
                    self.provider.resume_rental(intent.action.request, intent.action.shard_id)

    def _claim(self, name: str) -> None:
        """Conditioned on the leadership and the session, which end with one lease."""
        now = self.context.now
        if now < self._claiming_until.get(name, float("-inf")):
            return
        self._claiming_until[name] = now + MAX_WRITE_WAIT_SECONDS
        key = duty_key(name)
        conditions = {
            key: self.watch.mod_revision(key),
            LEADER_KEY: self.watch.mod_revision(LEADER_KEY),
            self.session.key: self.watch.mod_revision(self.session.key),
        }
        value = msgspec.json.encode(
            DutyRecord(self.context.controller_id, self.context.incarnation)
        )

        def on_result(result: WriteResult) -> None:
            self._claiming_until[name] = self.context.now + CLAIM_RETRY_SECONDS

        self.context.state_client.write(
            Write(
                conditions,
                [Change(key, value, self.session.lease_id)],
                on_result,
                RequestPriority.RENEWAL,
                isolated=True,
                expires_at=now + MAX_WRITE_WAIT_SECONDS,
            )
        )

    # -- what the provider asks ------------------------------------------------------------

    def may_adopt(self) -> bool:
        """Machines that no record knows may be granted or returned by us."""
        return self.holds(RECLAIMING)

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Conditions for dropping records; None: it is not ours to do."""
        token = self.token(CLEANING)
        return None if token is None else {duty_key(CLEANING): token}

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """The rental is recorded, and its duty ours; if it is not recorded yet, it will be."""
        token = self.token(RENTING)
        if token is None:
            return False
        if self._rental_intents(request.request_id):
            return True
        if not self.registry_of_duties.has_unresolved_intent(RENTING, token):
            self._write_intent(RENTING, token, Rent(request, shard_id), request.request_id, {})
        return False

    def on_rental_resolved(self, request_id: str) -> None:
        """The cloud has answered for good."""
        for name in self._rental_intents(request_id):
            self._delete_intent(name)

    def _rental_intents(self, request_id: str) -> list[str]:
        """The intents of a rental: two, where the answer to the first was lost."""
        return [
            name
            for name, (intent, _) in self.registry_of_duties.intents.items()
            if isinstance(intent.action, Rent) and intent.action.request.request_id == request_id
        ]

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """The machines whose return may go out now: those of the oldest open intent. Where there
        is none, one is recorded for `hosts`."""
        token = self.token(RETURNING)
        if token is None:
            return []
        for name, (intent, _) in self.registry_of_duties.intents.items():
            if isinstance(intent.action, Return) and name not in self._deleting:
                return intent.action.machine_ids
        self._intend_release(token, machine_ids)
        return []

    def _intend_release(self, token: int, machine_ids: list[str]) -> None:
        """Machines of a block are returned as proof only by its holder, on the record's stamp: any
        later holder sees the intent before it has the block."""
        conditions: dict[str, int] = {}
        batch = []
        for machine_id in machine_ids:
            label = self.registry.shard_of_machine.get(machine_id)
            if label is None:
                batch.append(machine_id)
                continue
            shard = self.owned.shards.get(label)
            decided = shard is not None and shard.machines[machine_id].scale_in.release_decided
            if shard is None or not (decided or machine_id in shard.unreconciled):
                self.provider.release_requested.discard(
                    machine_id
                )  # somebody else's by now, or it reported
                continue
            shard.machines[machine_id].scale_in.release_decided = True
            conditions[SHARD_PREFIX + label] = shard.fencing_token
            batch.append(machine_id)
        batch = self._limit_to_value(batch)
        if batch:
            self._write_intent(RETURNING, token, Return(batch), RETURNING, conditions)

    def _limit_to_value(self, machine_ids: list[str]) -> list[str]:
        room = MAX_INTENT_SHARE * self.context.record_format.value_bytes
        while len(machine_ids) > 1 and len(msgspec.json.encode(machine_ids)) > room:
            machine_ids = machine_ids[: len(machine_ids) // 2]
        return machine_ids

    def on_released(self, machine_ids: list[str]) -> None:
        """The cloud has confirmed that the machines are gone."""
        for name, (intent, _) in list(self.registry_of_duties.intents.items()):
            if isinstance(intent.action, Return) and set(intent.action.machine_ids) <= set(
                machine_ids
            ):
                self._delete_intent(name)

    # -- intents ---------------------------------------------------------------------------

    def _write_intent(
        self, duty: str, token: int, action: Rent | Return, what: str, conditions: dict[str, int]
    ) -> None:
        """Record an action under our token. It goes out once our copy of the records has it."""
        if what in self._intents_in_flight or what in self._visible_from:
            return
        self._intents_in_flight.add(what)
        self._intent_count += 1
        value = msgspec.json.encode(Intent(duty, token, action))

        def on_result(result: WriteResult) -> None:
            # Where no answer came, the record shows it or not; a late one is settled as any other.
            self._intents_in_flight.discard(what)
            if result.committed:
                self._visible_from[what] = result.revision

        self.context.state_client.write(
            Write(
                {duty_key(duty): token, **conditions},
                [Change(intent_key(duty, token, self._intent_count), value)],
                on_result,
                RequestPriority.ACCEPT,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )

    def _delete_intent(self, name: str) -> None:
        """The action is settled: nobody has to repeat it."""
        if name in self._deleting or name not in self.registry_of_duties.intents:
            return
        self._deleting.add(name)
        intent, mod_revision = self.registry_of_duties.intents[name]
        log.info("intent settled duty=%s term=%d", intent.duty, intent.token)

        def on_result(result: WriteResult) -> None:
            if not result.committed:
                self._deleting.discard(name)

        self.context.state_client.write(
            Write(
                {name: mod_revision},
                [Change(name, None)],
                on_result,
                RequestPriority.PROGRESS,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )
