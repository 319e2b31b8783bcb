"""Duties of one controller: takes them as the leader, and clears every action before it goes out.

An action goes out only while its intent is durable and the duty is certainly held. Whoever holds a
duty next carries out its predecessor's open intents first: all actions may be repeated, and what
comes late from a predecessor is then what has been done already.
"""

from __future__ import annotations

import logging

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.registry import BLOCKS, LEADER, Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.core import Core
from fallpulley.duties.board import Board
from fallpulley.duties.messages import (
    CLEANING,
    DUTIES,
    INTENTS,
    NAMES,
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
from fallpulley.fleet.messages import RentalRequest
from fallpulley.fleet.provider import MachineProvider
from fallpulley.state.client import Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

# A write that has not gone out by then is given up, and decided anew.
WRITE_WAIT_S = 2.0
# A duty that could not be taken is tried again after so long.
RETRY_S = 0.5
# Machines in one intent, if their names leave it below this share of a value.
INTENT_SHARE = 0.5


class DutiesService:
    """The only part of the package that the controller knows."""

    def __init__(
        self,
        core: Core,
        view: View,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        provider: MachineProvider,
        held: dict[str, HeldBlock],
    ) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.provider = provider
        self.held = held
        self.board = Board()
        self._number = 0
        self._writing: set[str] = set()  # intents that are being written, by what they are for
        self._dropping: set[str] = set()
        self._taking: dict[str, float] = {}  # duty -> until when an answer is awaited
        self._written: dict[str, int] = {}  # what was recorded, until our copy shows it

    # -- records ---------------------------------------------------------------------------

    @staticmethod
    def knows(key: str) -> bool:
        """Whether the record is one of duties."""
        return key.startswith((DUTIES, INTENTS))

    def on_key(self, key: str, value: bytes | None, stamp: int) -> None:
        """A record as the watch brings it."""
        changed = self.board.on_key(key, value, stamp)
        if value is None:
            self._dropping.discard(key)
        for machine_id in changed:
            self._mark_returning(machine_id)

    def _mark_returning(self, machine_id: str) -> None:
        """Nobody places on a machine that may be returned at any moment."""
        held = self.held.get(self.registry.shard_of_machine.get(machine_id, ""))
        machine = held.machines.get(machine_id) if held is not None else None
        if held is None or machine is None:
            return
        machine.release_decided = machine_id in self.board.returning
        held.booked.pop(machine_id, None)
        held.dirty = True

    def block_held(self, held: HeldBlock) -> None:
        """A block is ours from now on; some of its machines may be on their way back."""
        for machine_id in self.board.returning.keys() & held.machines.keys():
            held.machines[machine_id].release_decided = True

    # -- holding ---------------------------------------------------------------------------

    def token(self, name: str) -> int | None:
        """The token under which we do a duty now; None: we do not."""
        entry = self.board.duties.get(name)
        if entry is None or entry[0].boot != self.core.boot or not self.session.live():
            return None
        return entry[1]

    def holds(self, name: str) -> bool:
        """We certainly do the duty now."""
        return self.token(name) is not None

    def tick(self) -> None:
        """Take what is free as the leader, and go on with what predecessors have left open."""
        for what, ledger in list(self._written.items()):
            if self.view.ledger >= ledger:
                del self._written[what]
        if not self.view.ready or self.leadership.term is None:
            return
        for name in NAMES:
            if not self.holds(name):
                self._take(name)
        if self.holds(RENTING):
            for name, (intent, _) in self.board.intents.items():
                if isinstance(intent.action, Rent) and name not in self._dropping:
                    self.provider.resume_rental(intent.action.request, intent.action.block)

    def _take(self, name: str) -> None:
        """Conditioned on the leadership and the session, which end with one lease."""
        now = self.core.now
        if now < self._taking.get(name, float("-inf")):
            return
        self._taking[name] = now + WRITE_WAIT_S
        key = duty_key(name)
        conditions = {
            key: self.view.stamp(key),
            LEADER: self.view.stamp(LEADER),
            self.session.key: self.view.stamp(self.session.key),
        }
        value = msgspec.json.encode(DutyRecord(self.core.label, self.core.boot))

        def written(status: int | None, ledger: int) -> None:
            self._taking[name] = self.core.now + RETRY_S

        self.core.state.write(
            Write(
                conditions,
                [Change(key, value, self.session.tenure)],
                written,
                RequestPriority.RENEWAL,
                alone=True,
                expires_at=now + WRITE_WAIT_S,
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

    def may_scale_out(self, request: RentalRequest, block: str) -> bool:
        """The rental is recorded, and its duty ours; if it is not recorded yet, it will be."""
        token = self.token(RENTING)
        if token is None:
            return False
        if self._rentals(request.request_id):
            return True
        if not self.board.open_before(RENTING, token):
            self._intend(RENTING, token, Rent(request, block), request.request_id, {})
        return False

    def on_rental_resolved(self, request_id: str) -> None:
        """The cloud has answered for good."""
        for name in self._rentals(request_id):
            self._drop(name)

    def _rentals(self, request_id: str) -> list[str]:
        """The intents of a rental: two, where the answer to the first was lost."""
        return [
            name
            for name, (intent, _) in self.board.intents.items()
            if isinstance(intent.action, Rent) and intent.action.request.request_id == request_id
        ]

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """The machines whose return may go out now: those of the oldest open intent. Where there
        is none, one is recorded for `hosts`."""
        token = self.token(RETURNING)
        if token is None:
            return []
        for name, (intent, _) in self.board.intents.items():
            if isinstance(intent.action, Return) and name not in self._dropping:
                return intent.action.machine_ids
        self._intend_return(token, machine_ids)
        return []

    def _intend_return(self, token: int, machine_ids: list[str]) -> None:
        """Machines of a block are returned as proof only by its holder, on the record's stamp: any
        later holder sees the intent before it has the block."""
        conditions: dict[str, int] = {}
        batch = []
        for machine_id in machine_ids:
            label = self.registry.shard_of_machine.get(machine_id)
            if label is None:
                batch.append(machine_id)
                continue
            held = self.held.get(label)
            decided = held is not None and held.machines[machine_id].release_decided
            if held is None or not (decided or machine_id in held.unconfirmed):
                self.provider.release_requested.discard(
                    machine_id
                )  # somebody else's by now, or it reported
                continue
            held.machines[machine_id].release_decided = True
            conditions[BLOCKS + label] = held.token
            batch.append(machine_id)
        batch = self._fitting(batch)
        if batch:
            self._intend(RETURNING, token, Return(batch), RETURNING, conditions)

    def _fitting(self, machine_ids: list[str]) -> list[str]:
        room = INTENT_SHARE * self.core.value_bytes
        while len(machine_ids) > 1 and len(msgspec.json.encode(machine_ids)) > room:
            machine_ids = machine_ids[: len(machine_ids) // 2]
        return machine_ids

    def on_released(self, machine_ids: list[str]) -> None:
        """The cloud has confirmed that the machines are gone."""
        for name, (intent, _) in list(self.board.intents.items()):
            if isinstance(intent.action, Return) and set(intent.action.machine_ids) <= set(
                machine_ids
            ):
                self._drop(name)

    # -- intents ---------------------------------------------------------------------------

    def _intend(
        self, duty: str, token: int, action: Rent | Return, what: str, conditions: dict[str, int]
    ) -> None:
        """Record an action under our token. It goes out once our copy of the records has it."""
        if what in self._writing or what in self._written:
            return
        self._writing.add(what)
        self._number += 1
        value = msgspec.json.encode(Intent(duty, token, action))

        def written(status: int | None, ledger: int) -> None:
            # Where no answer came, the record shows it or not; a late one is settled as any other.
            self._writing.discard(what)
            if status == 200:
                self._written[what] = ledger

        self.core.state.write(
            Write(
                {duty_key(duty): token, **conditions},
                [Change(intent_key(duty, token, self._number), value)],
                written,
                RequestPriority.ACCEPT,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )

    def _drop(self, name: str) -> None:
        """The action is settled: nobody has to repeat it."""
        if name in self._dropping or name not in self.board.intents:
            return
        self._dropping.add(name)
        intent, stamp = self.board.intents[name]
        log.info("intent settled duty=%s term=%d", intent.duty, intent.token)

        def written(status: int | None, ledger: int) -> None:
            if status != 200:
                self._dropping.discard(name)

        self.core.state.write(
            Write(
                {name: stamp},
                [Change(name, None)],
                written,
                RequestPriority.PROGRESS,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )
