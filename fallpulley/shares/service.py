"""Shares of one controller: the record, operators' requests, and what follows from it."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.registry import SHARES, Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.effects import OperatorRequest
from fallpulley.jobs.service import JobService
from fallpulley.shares.messages import (
    CONTROLLER_ABSENT,
    CONVERGED,
    DOUBT,
    MOVING,
    WAITING_FOR_TASKS,
    BlockState,
    ErrorAnswer,
    SetShares,
    SharesAnswer,
    ShareTable,
)
from fallpulley.shares.policy import Policy, PolicyInput
from fallpulley.shares.reconciler import Reconciler, Targets
from fallpulley.shares.table import (
    ConflictError,
    Move,
    RefusedError,
    Situation,
    change,
    done_before,
)
from fallpulley.state.client import Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

# A write that has not gone out by then is refused.
WRITE_WAIT_S = 2.0
RETRY_S = 1.0
# Blocks are compared with their shares so often within a report interval.
LOOK_REPORTS = 0.25


class SharesService:
    """The only part of the package that the controller knows."""

    def __init__(
        self,
        core: Core,
        view: View,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        writer: BlockWriter,
        jobs: JobService,
        held: dict[str, HeldBlock],
    ) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.jobs = jobs
        self.held = held
        self.table = ShareTable()
        self.reconciler = Reconciler(core, registry, writer)
        self.policy = Policy(core.settings.operators.shares)
        labels = {core.label, *(seed.label for seed in core.settings.seeds)}
        self.controllers = sorted(labels)
        self._next_look = float("-inf")
        self._unmet: list[Move] = []  # as of the answer that is being made

    # -- the record ------------------------------------------------------------------------

    def on_record(self, value: bytes | None) -> None:
        """The record as the watch brings it."""
        if value is None:
            self.table = ShareTable()
            return
        try:
            self.table = msgspec.json.decode(value, type=ShareTable)
        except msgspec.MsgspecError:
            log.error("state broken record key=%s", SHARES)
            return
        log.info("shares revision=%d controllers=%d", self.table.revision, len(self.table.shares))

    def _situation(self) -> Situation:
        fleet = sum(self.reconciler.processors(label) for label in self.registry.blocks)
        return Situation(self.controllers, self.jobs.teams, self.registry.homes, fleet)

    # -- what others ask -------------------------------------------------------------------

    def block_of_team(self, team: str) -> str | None:
        """The block for a team's new jobs; None where no share names the team."""
        for label, share in self.table.shares.items():
            if team in share.teams and label in self.registry.blocks:
                return label
        return None

    def blocks_to_open(self) -> list[str]:
        """Blocks of controllers that have a share, are there, and have no block yet."""
        return [
            label
            for label, share in self.table.shares.items()
            if (share.weight > 0 or share.floor > 0)
            and label not in self.registry.blocks
            and label in self.registry.sessions
        ]

    def block_for_rental(self, asked_for: str) -> str:
        """New machines go to the block furthest below its share."""
        if not self.table.shares:
            return asked_for
        found = self._targets()
        short = {label: found.wanted[label] - found.actual[label] for label in found.actual}
        return max(short, key=lambda label: (short[label], label == asked_for), default=asked_for)

    # -- operators' requests ---------------------------------------------------------------

    def request(self, request: OperatorRequest) -> None:
        """`GET /shares` and `POST /shares` on the mesh address."""
        pending_response = request.ticket
        if request.method == "GET":
            self.view.when_current(lambda ok: self._show(pending_response, ok), self.core.now)
        elif request.method == "POST":
            self._set(pending_response, request.body)
        else:
            self.core.answer(pending_response, 405)

    def _show(self, pending_response: Any, ok: bool) -> None:
        """Also without a fresh look: the answer tells its age."""
        self.core.answer(pending_response, 200, msgspec.json.encode(self.answer()))

    def _set(self, pending_response: Any, body: bytes) -> None:
        try:
            request = msgspec.json.decode(body, type=SetShares)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._refuse(pending_response, 400, "malformed", str(error))
            return

        def current(ok: bool) -> None:
            if ok:
                self._change(pending_response, request)
            else:
                self._unavailable(pending_response)

        self.view.when_current(current, self.core.now)

    def _change(self, pending_response: Any, request: SetShares) -> None:
        try:
            after = change(self.table, request, self._situation())
        except ConflictError as error:
            self._refuse(pending_response, 409, "conflict", str(error), error.revision)
            return
        except RefusedError as error:
            self._refuse(pending_response, 422, "refused", str(error))
            return
        if after is self.table:
            self._show(pending_response, True)  # carried out before, and its answer was lost
            return
        self._write(pending_response, request, after)

    def _write(self, pending_response: Any, request: SetShares, after: ShareTable) -> None:
        value = msgspec.json.encode(after)
        if len(value) > self.core.value_bytes:
            self._refuse(pending_response, 422, "refused", "too long for a record")
            return

        def written(status: int | None, ledger: int) -> None:
            if status in (200, 409, None):
                # Looked at again whatever came: who was first is what the record says.
                self.view.when_current(
                    lambda ok: self._tell_outcome(pending_response, request, ok), self.core.now
                )
            else:
                self._unavailable(pending_response)

        expires_at = self.core.now + WRITE_WAIT_S
        changes = [Change(SHARES, value)]
        conditions = {SHARES: self.view.stamp(SHARES)}
        self.core.state.write(
            Write(conditions, changes, written, RequestPriority.ACCEPT, expires_at=expires_at)
        )

    def _tell_outcome(self, pending_response: Any, request: SetShares, ok: bool) -> None:
        if done_before(self.table, request.operation) is not None:
            self._show(pending_response, True)
        elif ok:
            reason = f"the shares have revision {self.table.revision}"
            self._refuse(pending_response, 409, "conflict", reason, self.table.revision)
        else:
            self._unavailable(pending_response)

    def _refuse(
        self,
        pending_response: Any,
        status: int,
        error: str,
        reason: str,
        revision: int | None = None,
    ) -> None:
        body = msgspec.json.encode(ErrorAnswer(error, reason, revision))
        self.core.answer(pending_response, status, body)

    def _unavailable(self, pending_response: Any) -> None:
        body = msgspec.json.encode(ErrorAnswer("unavailable", "state service out of reach"))
        self.core.answer(pending_response, 503, body, RETRY_S)

    # -- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """Bring held blocks towards their shares; as the leader, follow the policy."""
        now = self.core.now
        if now < self._next_look or not self._ready():
            return
        self._next_look = now + LOOK_REPORTS * self.core.report_s
        found = self._targets()
        for held in self.held.values():
            if self.session.live() and not held.unconfirmed:
                self.reconciler.reconcile(held, found)
        if self.leadership.term is not None:
            self._follow_policy()

    def _ready(self) -> bool:
        return bool(self.table.shares) and self.view.ready and bool(self.registry.machine_types)

    def _busy(self) -> set[str]:
        return {label for label, jobs in self.jobs.open_by_block.items() if jobs}

    def _targets(self) -> Targets:
        return self.reconciler.targets(self.table, self._busy())

    def _follow_policy(self) -> None:
        wished = self.policy.wished(self.core.now, self.table, self._policy_input)
        if wished is None:
            return
        operation = f"policy-{self.core.boot}-{self.table.revision}"
        request = SetShares(wished, operation[-64:], self.table.revision)
        try:
            after = change(self.table, request, self._situation())
        except (RefusedError, ConflictError) as error:
            log.info("share policy refused why=%s", error)
            return
        log.info("share policy sets weights=%s", {k: s.weight for k, s in wished.items()})
        self.core.state.write(
            Write(
                {SHARES: self.view.stamp(SHARES)},
                [Change(SHARES, msgspec.json.encode(after))],
                lambda status, ledger: None,
                RequestPriority.PROGRESS,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )

    def _policy_input(self) -> PolicyInput:
        load = {}
        backlog = {}
        for label in {*self.controllers, *self.registry.blocks}:
            by_priority = self.jobs.estimated_work_by_priority(label)
            there = label in self.registry.blocks
            processors = self.reconciler.processors(label) if there else 0.0
            backlog[label] = by_priority
            load[label] = sum(by_priority.values()) / max(1.0, processors)
        return PolicyInput(load, backlog, self.core.wall / 3600 % 24)

    # -- what is shown ---------------------------------------------------------------------

    def answer(self) -> SharesAnswer:
        """The shares and the blocks as seen here."""
        found = self._targets()
        self._unmet = self.reconciler.unmet(found) if self.table.shares else []
        blocks = [self._block_state(label, found) for label in sorted(self.registry.blocks)]
        missing = [
            BlockState(label, "", 0.0, 0.0, 0, CONTROLLER_ABSENT)
            for label in self.table.shares
            if label not in self.registry.blocks
        ]
        converged = all(block.state == CONVERGED for block in [*blocks, *missing])
        return SharesAnswer(
            self.core.label,
            self.table.revision,
            self.table.shares,
            [*blocks, *missing],
            round(self.core.now - self.view.fresh_at, 3),
            converged,
        )

    def _block_state(self, label: str, found: Targets) -> BlockState:
        record, _ = self.registry.blocks[label]
        held = self.held.get(label)
        draining = sum(m.draining for m in held.machines.values()) if held is not None else None
        return BlockState(
            label,
            record.holder,
            round(found.wanted[label], 1) if self.table.shares else None,
            found.actual[label],
            len(record.machines),
            self._state_of(label, held, draining),
            draining,
        )

    def _state_of(self, label: str, held: HeldBlock | None, draining: int | None) -> str:
        if not any(label in (move.giver, move.taker) for move in self._unmet):
            return CONVERGED
        record, _ = self.registry.blocks[label]
        if not self.registry.holder_alive(record):
            return CONTROLLER_ABSENT
        if held is not None and held.unconfirmed:
            return DOUBT
        if draining:
            return WAITING_FOR_TASKS
        return MOVING
