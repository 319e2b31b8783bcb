"""Users' requests: submissions, queries, cancels. Answers lean on durable records only."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import msgspec

from fallpulley.blocks.messages import TeamHome
from fallpulley.blocks.registry import TEAMS, Registry
from fallpulley.core import Core
from fallpulley.jobs.messages import (
    DONE,
    FINAL,
    JOB_ID,
    OPEN,
    PENDING,
    RANKS,
    RUNNING,
    SWEEP,
    WITHDRAWN,
    JobRecord,
    Stage,
    Submission,
    named_job,
    parse_submission,
)
from fallpulley.jobs.pipelines import Node, Pipelines
from fallpulley.settings import Team
from fallpulley.state.client import Change, Priority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

JOBS = "live/job/"
# A write that has not gone out by then is refused: its user would ask again anyway.
WRITE_WAIT_S = 2.0
RETRY_S = 1.0
CANCEL_TRIES = 3


class Known(msgspec.Struct):
    """A job record as last seen."""

    stage: str
    block: str
    pieces: int
    stamp: int
    at_ms: int = 0
    record: JobRecord | None = None  # open jobs only
    end_ms: int = 0


class JobService:
    def __init__(self, core: Core, view: View, registry: Registry) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.known: dict[str, Known] = {}
        self.open_by_block: dict[str, set[str]] = {}
        self.counts: dict[str, tuple[int, int]] = {}  # done, running: for display
        self.teams: dict[str, Team] = {team.name: team for team in core.settings.facts.teams}
        self.pipelines = Pipelines(self._ended_ms, self._is_withdrawn)
        # Withdrawn because a job that they need is; block -> jobs whose own record does not say so.
        self.derived: dict[str, dict[str, Known]] = {}
        # Jobs that others' records have made ready, withdrawn or more urgent, for the owner to act.
        self.touched: set[str] = set()
        # The block that a team's new jobs go to; None: whichever has the least work.
        self.block_of_team: Callable[[str], str | None] = lambda team: None
        self.called_off: list[str] = []  # cancellations just made durable here

    # -- records ---------------------------------------------------------------------------

    def on_record(self, job: str, value: bytes | None, stamp: int) -> Known | None:
        """A job's record as the watch brings it; returns what is known of it now."""
        if value is None:
            return None
        try:
            record = msgspec.json.decode(value, type=JobRecord)
        except msgspec.MsgspecError:
            log.error("state broken record job=%s", job)
            return None
        is_open = record.stage == OPEN
        known = Known(
            record.stage,
            record.block,
            record.pieces,
            stamp,
            record.at_ms,
            record if is_open else None,
            record.end_ms,
        )
        self.known[job] = known
        jobs = self.open_by_block.setdefault(record.block, set())
        if is_open:
            jobs.add(job)
        else:
            jobs.discard(job)
            self.counts.pop(job, None)
            self.derived.get(record.block, {}).pop(job, None)
        self._follow(job, known)
        return known

    # -- pipelines -------------------------------------------------------------------------

    def _ended_ms(self, job: str) -> int | None:
        known = self.known.get(job)
        if known is None or known.stage != DONE:
            return None
        return known.end_ms or known.at_ms

    def _is_withdrawn(self, job: str) -> bool:
        known = self.known.get(job)
        return known is not None and known.stage == WITHDRAWN

    def _follow(self, job: str, known: Known) -> None:
        """What a job's record means for those that it awaits, and for those that await it."""
        record = known.record
        if record is not None and record.spec is not None:
            spec = record.spec
            if not spec.awaits and job not in self.pipelines.needed_by:
                return
            for name in spec.awaits or ():
                self._join(name)
            log.info("job awaits job=%s others=%s", job, ",".join(spec.awaits or ()))
            changes = self.pipelines.opened(job, spec.awaits or [], self._node_of(known, spec))
        elif known.stage == DONE:
            changes = self.pipelines.done(job, known.end_ms or round(self.core.wall * 1000))
        elif known.stage == WITHDRAWN:
            changes = self.pipelines.withdrawn(job)
        else:
            return
        for name in changes.ready:
            log.info("job ready job=%s after=%s", name, job)
        for name in changes.withdrawn:
            self._derive_withdrawn(name, job)
        self.touched.update(changes.ready, changes.withdrawn, changes.lifted)

    def _join(self, job: str) -> None:
        """A job that is awaited takes part in its pipeline, though it awaits none itself."""
        known = self.known.get(job)
        if known is not None and known.record is not None and known.record.spec is not None:
            self.pipelines.awaited(job, self._node_of(known, known.record.spec))

    def _node_of(self, known: Known, spec: Submission) -> Node:
        """A job as it stands alone, without those that need it."""
        rank = RANKS[spec.rank]
        due_at = known.at_ms / 1000 + spec.due_s if spec.due_s is not None else math.inf
        return Node(
            known.at_ms, rank, self._length_s(spec), own_due_at=due_at, rank=rank, due_at=due_at
        )

    def _length_s(self, spec: Submission) -> float:
        """A task's estimated fetch and run time (T 3-1: transfer cost and mean run time)."""
        rates = [kind.fetch_gb_per_s for kind in self.registry.types.values()]
        rate = sum(rates) / len(rates) if rates else 0.0
        return spec.expect_s + (spec.size_gb / rate if rate > 0 else 0.0)

    def _derive_withdrawn(self, job: str, cause: str) -> None:
        known = self.known.get(job)
        if known is None or known.stage != OPEN:
            return
        log.info("job withdrawn with job=%s cause=%s", job, cause)
        known.stage, known.record = WITHDRAWN, None
        self.open_by_block.get(known.block, set()).discard(job)
        self.counts.pop(job, None)
        self.derived.setdefault(known.block, {})[job] = known

    def load(self, block: str) -> float:
        """Estimated work of a block's unfinished jobs, in processor-seconds."""
        return sum(self.load_by_priority(block).values())

    def load_by_priority(self, block: str) -> dict[str, float]:
        """The same by the jobs' own priorities. Jobs that await others are no work yet."""
        work = dict.fromkeys(RANKS, 0.0)
        for job in self.open_by_block.get(block, ()):
            record = self.known[job].record
            node = self.pipelines.node(job)
            if node is not None and node.missing:
                continue
            if record is not None and record.spec is not None:
                spec = record.spec
                left = spec.pieces - self.counts.get(job, (0, 0))[0]
                work[spec.rank] += left * max(spec.cpus, 0.1) * spec.expect_s
        return work

    # -- answers ---------------------------------------------------------------------------

    def _answer_stage(self, ticket: Any, job: str, known: Known, status: int = 200) -> None:
        stage = Stage(job, known.stage)
        if known.stage == DONE:
            stage.done, stage.running = known.pieces, 0
        elif known.stage == OPEN:
            stage.done, stage.running = self.counts.get(job, (0, 0))
            stage.stage = RUNNING if stage.running else PENDING
        self.core.answer(ticket, status, msgspec.json.encode(stage))

    def _refuse(self, ticket: Any, why: str, retry_s: float = RETRY_S) -> None:
        body = msgspec.json.encode({"error": why})
        self.core.answer(ticket, 503, body, retry_s)

    def _reject(self, ticket: Any, status: int, why: str) -> None:
        self.core.answer(ticket, status, msgspec.json.encode({"error": why}))

    def query(self, ticket: Any, job: str) -> None:
        """`GET /work/{id}`: a final state from memory, else after a round begun from now on."""
        if not JOB_ID.fullmatch(job):
            self._reject(ticket, 404, "no such job")
            return
        known = self.known.get(job)
        if known is not None and known.stage in FINAL:
            self._answer_stage(ticket, job, known)
            return

        def current(ok: bool) -> None:
            found = self.known.get(job)
            if found is not None and (ok or found.stage in FINAL):
                self._answer_stage(ticket, job, found)
            elif not ok:
                self._refuse(ticket, "state service out of reach")
            else:
                self._reject(ticket, 404, "no such job")

        self.view.when_current(current, self.core.now)

    # -- submissions -----------------------------------------------------------------------

    def submit(self, ticket: Any, body: bytes) -> None:
        spec = parse_submission(body)
        if isinstance(spec, str):
            log.info("submission malformed why=%s", spec)
            uid = named_job(body)
            if uid is None:
                self._reject(ticket, 400, spec)
            elif uid in self.known:
                self.query(ticket, uid)
            else:
                self._reject_unless_known(ticket, uid, spec, 400)
            return
        known = self.known.get(spec.uid)
        if known is not None:
            self.query(ticket, spec.uid)
            return
        if not self.registry.types or not self.view.ready:
            self._refuse(ticket, "machine types not known yet")
            return
        why = self.never_runs(spec)
        if why is not None:
            self._reject_unless_known(ticket, spec.uid, why)
            return
        if spec.awaits and not self.core.newer_format:
            # An older controller would start it at once.
            self._refuse(ticket, "not every controller knows pipelines yet")
            return
        if all(name in self.known for name in spec.awaits or ()):
            self._admit(ticket, spec)
            return

        def current(ok: bool) -> None:
            found = self.known.get(spec.uid)
            if found is not None and (ok or found.stage in FINAL):
                self._answer_stage(ticket, spec.uid, found)
            elif not ok:
                self._refuse(ticket, "state service out of reach")
            elif all(name in self.known for name in spec.awaits or ()):
                self._admit(ticket, spec)
            else:
                self._reject(ticket, 422, "awaits a job that was never accepted")

        self.view.when_current(current, self.core.now)

    def _admit(self, ticket: Any, spec: Submission) -> None:
        """All that it awaits was accepted: into a block with it."""
        block = self._choose_block(spec)
        if block is None:
            self._refuse(ticket, "no block open yet")
            return
        if spec.awaits is not None:
            # Done never goes back: what is done need not stand in the record.
            awaits = [a for a in dict.fromkeys(spec.awaits) if self.known[a].stage != DONE]
            spec = msgspec.structs.replace(spec, awaits=awaits or None)
        self._accept(ticket, spec, block)

    def _reject_unless_known(self, ticket: Any, job: str, why: str, status: int = 422) -> None:
        """An accepted job never gets 400 or 422, whatever a repeat of it holds."""

        def current(ok: bool) -> None:
            found = self.known.get(job)
            if found is not None and (ok or found.stage in FINAL):
                self._answer_stage(ticket, job, found)
            elif ok:
                self._reject(ticket, status, why)
            else:
                self._refuse(ticket, "state service out of reach")

        self.view.when_current(current, self.core.now)

    def never_runs(self, spec: Submission) -> str | None:
        """Why a job can never run, or None."""
        team = self.teams.get(spec.crew)
        if team is None:
            return "unknown team"
        for kind in self.registry.types.values():
            if (
                (spec.builds is None or kind.label in spec.builds)
                and (spec.hall is None or spec.hall in kind.halls)
                and spec.cpus <= kind.cpus
                and spec.cards <= kind.cards
                and spec.mem_gb <= kind.mem_gb
            ):
                break
        else:
            return "a task fits no allowed machine type"
        together = 1 if spec.shape == SWEEP else spec.pieces
        if (team.cpus_max > 0 and together * spec.cpus > team.cpus_max) or (
            team.gpus_max > 0 and together * spec.cards > team.gpus_max
        ):
            return "the job needs more than the team's limit"
        return None

    def _choose_block(self, spec: Submission) -> str | None:
        """The open block with the least work for the machines that the job may use; a limited
        team's own block."""
        if self.teams[spec.crew].limited and spec.crew in self.registry.homes:
            return self.registry.homes[spec.crew]
        assigned = self.block_of_team(spec.crew)
        if assigned is not None:
            return assigned
        blocks = self.registry.blocks
        if len(blocks) < 2:
            return next(iter(blocks), None)
        return min(blocks, key=lambda label: self._crowding(spec, label))

    def _crowding(self, spec: Submission, label: str) -> tuple[bool, float, str]:
        """Seconds of work for each processor that the job may use; last where it may use none. A
        block that had nothing but spot machines once got urgent jobs that may not run on them."""
        usable = sum(
            cpus
            for (build, zone, spot), cpus in self.registry.kinds(label).items()
            if (spec.loaners or not spot)
            and (spec.builds is None or build in spec.builds)
            and (spec.hall is None or zone == spec.hall)
        )
        return usable == 0, self.load(label) / max(usable, 1.0), label

    def _accept(self, ticket: Any, spec: Submission, block: str) -> None:
        key = JOBS + spec.uid
        value = msgspec.json.encode(
            JobRecord(block, round(self.core.wall * 1000), spec.pieces, OPEN, spec)
        )
        if len(value) > self.core.value_bytes:
            self._reject(ticket, 400, "too long")
            return
        conditions = {key: 0}
        changes = [Change(key, value)]
        if self.teams[spec.crew].limited:
            home = TEAMS + spec.crew
            conditions[home] = self.view.stamp(home)
            if spec.crew not in self.registry.homes:
                changes.append(Change(home, msgspec.json.encode(TeamHome(block))))

        def written(status: int | None, ledger: int) -> None:
            if status == 200:
                log.info(
                    "job accepted job=%s block=%s tasks=%d class=%s",
                    spec.uid,
                    block,
                    spec.pieces,
                    spec.jobclass,
                )
                lost = any(self._is_withdrawn(name) for name in spec.awaits or ())
                body = msgspec.json.encode(Stage(spec.uid, WITHDRAWN if lost else PENDING))
                self.core.answer(ticket, 201, body)
            elif status == 409:
                self._reject_or_retry(ticket, spec)
            else:
                self._refuse(ticket, "state service did not answer")

        self.core.state.write(
            Write(
                conditions,
                changes,
                written,
                Priority.ACCEPT,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )

    def _reject_or_retry(self, ticket: Any, spec: Submission) -> None:
        """The record exists: accepted before, here or elsewhere. Say its current state."""

        def current(ok: bool) -> None:
            found = self.known.get(spec.uid)
            if found is not None and (ok or found.stage in FINAL):
                self._answer_stage(ticket, spec.uid, found)
            else:
                self._refuse(ticket, "not decided, ask again")

        self.view.when_current(current, self.core.now)

    # -- cancels ---------------------------------------------------------------------------

    def abort(self, ticket: Any, job: str, tries: int = CANCEL_TRIES) -> None:
        if not JOB_ID.fullmatch(job):
            self._reject(ticket, 404, "no such job")
            return

        def current(ok: bool) -> None:
            found = self.known.get(job)
            if found is not None and found.stage in FINAL:
                self._answer_stage(ticket, job, found)
            elif not ok:
                self._refuse(ticket, "state service out of reach")
            elif found is None:
                self._reject(ticket, 404, "no such job")
            else:
                self._withdraw(ticket, job, found, tries)

        known = self.known.get(job)
        if known is not None and known.stage == OPEN and tries == CANCEL_TRIES:
            # The write's own condition says whether this is still the newest state.
            self._withdraw(ticket, job, known, tries)
        elif known is not None and known.stage in FINAL:
            self._answer_stage(ticket, job, known)
        else:
            self.view.when_current(current, self.core.now)

    def _withdraw(self, ticket: Any, job: str, known: Known, tries: int) -> None:
        key = JOBS + job
        value = msgspec.json.encode(JobRecord(known.block, known.at_ms, known.pieces, WITHDRAWN))

        def written(status: int | None, ledger: int) -> None:
            if status == 200:
                log.info("job withdrawn job=%s", job)
                self.called_off.append(job)
                self.core.answer(ticket, 200, msgspec.json.encode(Stage(job, WITHDRAWN)))
            elif status == 409 and tries > 0:
                self.abort(ticket, job, tries - 1)
            else:
                self._refuse(ticket, "not decided, ask again")

        self.core.state.write(
            Write(
                {key: known.stamp},
                [Change(key, value)],
                written,
                Priority.ACCEPT,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )
