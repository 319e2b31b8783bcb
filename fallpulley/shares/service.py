"""Shares of one controller: the record, operators' requests, and what follows from it."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import OperatorRequest
from fallpulley.extensions import Extension
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.records.registry import SHARES_KEY, Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.owned import OwnedShards
from fallpulley.shards.shard import Shard
from fallpulley.shares.messages import (
    CONTROLLER_ABSENT,
    CONVERGED,
    MOVING,
    UNRECONCILED,
    WAITING_FOR_TASKS,
    ErrorResponse,
    SetShares,
    ShardState,
    SharesResponse,
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
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult, ignore_result
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A write that has not gone out by then is refused.
MAX_WRITE_WAIT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
# Blocks are compared with their shares so often within a report interval.
RECONCILE_INTERVALS = 0.25


class SharesService(Extension):
    """The only part of the package that the controller knows."""

    operator_path = "/shares"
    balances_shards = True

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        writer: ShardWriter,
        jobs: JobService,
        owned: OwnedShards,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.jobs = jobs
        self.owned = owned
        self.table = ShareTable()
        self.reconciler = Reconciler(context, registry, writer)
        self.policy = Policy(context.settings.operators.shares)
        labels = {context.controller_id, *(seed.controller_id for seed in context.settings.peers)}
        self.controllers = sorted(labels)
        self._next_look = float("-inf")
        self._unmet: list[Move] = []  # as of the answer that is being made

    # -- the record ------------------------------------------------------------------------

    def watches(self, key: str) -> bool:
        """The record of shares."""
        return key == SHARES_KEY

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """The record as the watch brings it."""
        if value is None:
            self.table = ShareTable()
            return
        try:
            self.table = msgspec.json.decode(value, type=ShareTable)
        except msgspec.MsgspecError:
            log.error("state broken record key=%s", SHARES_KEY)
            return
        log.info("shares revision=%d controllers=%d", self.table.revision, len(self.table.shares))

    def _situation(self) -> Situation:
        fleet = sum(self.reconciler.processors(label) for label in self.registry.shards)
        return Situation(self.controllers, self.jobs.teams, self.registry.team_shards, fleet)

    # -- what others ask -------------------------------------------------------------------

    def shard_of_team(self, team: str) -> str | None:
        """The block for a team's new jobs; None where no share names the team."""
        for label, share in self.table.shares.items():
            if team in share.teams and label in self.registry.shards:
                return label
        return None

    def shards_to_open(self) -> list[str]:
        """Blocks of controllers that have a share, are there, and have no block yet."""
        return [
            label
            for label, share in self.table.shares.items()
            if (share.weight > 0 or share.floor > 0)
            and label not in self.registry.shards
            and label in self.registry.sessions
        ]

    def shard_for_rental(self, asked_for: str) -> str:
        """New machines go to the block furthest below its share."""
        if not self.table.shares:
            return asked_for
        found = self._targets()
        short = {label: found.wanted[label] - found.actual[label] for label in found.actual}
        return max(short, key=lambda label: (short[label], label == asked_for), default=asked_for)

    # -- operators' requests ---------------------------------------------------------------

    def on_operator_request(self, request: OperatorRequest) -> None:
        """`GET /shares` and `POST /shares` on the mesh address."""
        pending_response = request.pending_response
        if request.method == "GET":
            self.watch.when_current(
                lambda ok: self._respond_with_shares(pending_response, ok), self.context.now
            )
        elif request.method == "POST":
            self._set(pending_response, request.body)
        else:
            self.context.respond(pending_response, 405)

    def _respond_with_shares(self, pending_response: Any, ok: bool) -> None:
        """Also without a fresh look: the answer tells its age."""
        self.context.respond(pending_response, 200, msgspec.json.encode(self.answer()))

    def _set(self, pending_response: Any, body: bytes) -> None:
        try:
            request = msgspec.json.decode(body, type=SetShares)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._respond_error(pending_response, 400, "malformed", str(error))
            return

        def current(ok: bool) -> None:
            if ok:
                self._change(pending_response, request)
            else:
                self._respond_unavailable(pending_response)

        self.watch.when_current(current, self.context.now)

    def _change(self, pending_response: Any, request: SetShares) -> None:
        try:
            after = change(self.table, request, self._situation())
        except ConflictError as error:
            self._respond_error(pending_response, 409, "conflict", str(error), error.revision)
            return
        except RefusedError as error:
            self._respond_error(pending_response, 422, "refused", str(error))
            return
        if after is self.table:
            self._respond_with_shares(
                pending_response, True
            )  # carried out before, and its answer was lost
            return
        self._write(pending_response, request, after)

    def _write(self, pending_response: Any, request: SetShares, after: ShareTable) -> None:
        value = msgspec.json.encode(after)
        if len(value) > self.context.record_format.value_bytes:
            self._respond_error(pending_response, 422, "refused", "too long for a record")
            return

        def on_result(result: WriteResult) -> None:
            if not result.refused:
                # Looked at again whatever came: who was first is what the record says.
                self.watch.when_current(
                    lambda ok: self._respond_with_outcome(pending_response, request, ok),
                    self.context.now,
                )
            else:
                self._respond_unavailable(pending_response)

        expires_at = self.context.now + MAX_WRITE_WAIT_SECONDS
        changes = [Change(SHARES_KEY, value)]
        conditions = {SHARES_KEY: self.watch.mod_revision(SHARES_KEY)}
        self.context.state_client.write(
            Write(conditions, changes, on_result, RequestPriority.ACCEPT, expires_at=expires_at)
        )

    def _respond_with_outcome(self, pending_response: Any, request: SetShares, ok: bool) -> None:
        if done_before(self.table, request.operation) is not None:
            self._respond_with_shares(pending_response, True)
        elif ok:
            reason = f"the shares have revision {self.table.revision}"
            self._respond_error(pending_response, 409, "conflict", reason, self.table.revision)
        else:
            self._respond_unavailable(pending_response)

    def _respond_error(
        self,
        pending_response: Any,
        status: int,
        error: str,
        reason: str,
        revision: int | None = None,
    ) -> None:
        body = msgspec.json.encode(ErrorResponse(error, reason, revision))
        self.context.respond(pending_response, status, body)

    def _respond_unavailable(self, pending_response: Any) -> None:
        body = msgspec.json.encode(ErrorResponse("unavailable", "state service out of reach"))
        self.context.respond(pending_response, 503, body, RETRY_AFTER_SECONDS)

    # -- time ------------------------------------------------------------------------------

    def on_shards_checked(self) -> None:
        """Bring held blocks towards their shares; as the leader, follow the policy."""
        now = self.context.now
        if now < self._next_look or not self._ready():
            return
        self._next_look = now + RECONCILE_INTERVALS * self.context.timing.report_s
        found = self._targets()
        for shard in self.owned.shards.values():
            if self.session.is_live() and not shard.unreconciled:
                self.reconciler.reconcile(shard, found)
        if self.leadership.term is not None:
            self._follow_policy()

    def _ready(self) -> bool:
        return bool(self.table.shares) and self.watch.ready and bool(self.registry.machine_types)

    def _busy(self) -> set[str]:
        return {label for label, jobs in self.jobs.open_by_shard.items() if jobs}

    def _targets(self) -> Targets:
        return self.reconciler.targets(self.table, self._busy())

    def _follow_policy(self) -> None:
        wished = self.policy.wished(self.context.now, self.table, self._policy_input)
        if wished is None:
            return
        operation = f"policy-{self.context.incarnation}-{self.table.revision}"
        request = SetShares(wished, operation[-64:], self.table.revision)
        try:
            after = change(self.table, request, self._situation())
        except (RefusedError, ConflictError) as error:
            log.info("share policy refused why=%s", error)
            return
        log.info("share policy sets weights=%s", {k: s.weight for k, s in wished.items()})
        self.context.state_client.write(
            Write(
                {SHARES_KEY: self.watch.mod_revision(SHARES_KEY)},
                [Change(SHARES_KEY, msgspec.json.encode(after))],
                ignore_result,
                RequestPriority.PROGRESS,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )

    def _policy_input(self) -> PolicyInput:
        load = {}
        backlog = {}
        for label in {*self.controllers, *self.registry.shards}:
            by_priority = self.jobs.estimated_work_by_priority(label)
            there = label in self.registry.shards
            processors = self.reconciler.processors(label) if there else 0.0
            backlog[label] = by_priority
            load[label] = sum(by_priority.values()) / max(1.0, processors)
        return PolicyInput(load, backlog, self.context.wall_time / 3600 % 24)

    # -- what is shown ---------------------------------------------------------------------

    def answer(self) -> SharesResponse:
        """The shares and the blocks as seen here."""
        found = self._targets()
        self._unmet = self.reconciler.unmet(found) if self.table.shares else []
        shards = [self._shard_state(label, found) for label in sorted(self.registry.shards)]
        missing = [
            ShardState(label, "", 0.0, 0.0, 0, CONTROLLER_ABSENT)
            for label in self.table.shares
            if label not in self.registry.shards
        ]
        converged = all(shard.state == CONVERGED for shard in [*shards, *missing])
        return SharesResponse(
            self.context.controller_id,
            self.table.revision,
            self.table.shares,
            [*shards, *missing],
            round(self.context.now - self.watch.fresh_at, 3),
            converged,
        )

    def _shard_state(self, label: str, found: Targets) -> ShardState:
        record, _ = self.registry.shards[label]
        shard = self.owned.shards.get(label)
        draining = (
            sum(m.scale_in.draining for m in shard.machines.values()) if shard is not None else None
        )
        return ShardState(
            label,
            record.owner,
            round(found.wanted[label], 1) if self.table.shares else None,
            found.actual[label],
            len(record.machines),
            self._state_of(label, shard, draining),
            draining,
        )

    def _state_of(self, label: str, shard: Shard | None, draining: int | None) -> str:
        if not any(label in (move.giver, move.taker) for move in self._unmet):
            return CONVERGED
        record, _ = self.registry.shards[label]
        if not self.registry.owner_alive(record):
            return CONTROLLER_ABSENT
        if shard is not None and shard.unreconciled:
            return UNRECONCILED
        if draining:
            return WAITING_FOR_TASKS
        return MOVING
