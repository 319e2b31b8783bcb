"""Users' requests: submissions, queries, cancels. Answers lean on durable records only."""

from __future__ import annotations

import logging
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
    RUNNING,
    SWEEP,
    WITHDRAWN,
    JobRecord,
    Stage,
    Submission,
    named_job,
    parse_submission,
)
from fallpulley.settings import Team
from fallpulley.state.lane import Change, Order, Write
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


class JobDesk:
    def __init__(self, core: Core, view: View, registry: Registry) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.known: dict[str, Known] = {}
        self.open_by_block: dict[str, set[str]] = {}
        self.counts: dict[str, tuple[int, int]] = {}  # done, running: for display
        self.teams: dict[str, Team] = {team.name: team for team in core.settings.facts.teams}

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
        )
        self.known[job] = known
        jobs = self.open_by_block.setdefault(record.block, set())
        if is_open:
            jobs.add(job)
        else:
            jobs.discard(job)
            self.counts.pop(job, None)
        return known

    def load(self, block: str) -> float:
        """Estimated work of a block's unfinished jobs, in processor-seconds."""
        work = 0.0
        for job in self.open_by_block.get(block, ()):
            record = self.known[job].record
            if record is not None and record.spec is not None:
                spec = record.spec
                left = spec.pieces - self.counts.get(job, (0, 0))[0]
                work += left * max(spec.cpus, 0.1) * spec.expect_s
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
        block = self._choose_block(spec)
        if block is None:
            self._refuse(ticket, "no block open yet")
            return
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
        """The open block with the least work for its machines; a limited team's own block."""
        if self.teams[spec.crew].limited and spec.crew in self.registry.homes:
            return self.registry.homes[spec.crew]
        best: tuple[float, str] | None = None
        for label, (record, _) in self.registry.blocks.items():
            size = sum(
                self.registry.types[entry.build].cpus
                for entry in record.machines.values()
                if entry.build in self.registry.types
            )
            entry = (self.load(label) / max(size, 1.0), label)
            if best is None or entry < best:
                best = entry
        return best[1] if best else None

    def _accept(self, ticket: Any, spec: Submission, block: str) -> None:
        key = JOBS + spec.uid
        value = msgspec.json.encode(
            JobRecord(block, round(self.core.wall * 1000), spec.pieces, OPEN, spec)
        )
        if len(value) > self.core.settings.facts.state.value_kb * 1024 * 0.95:
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
                body = msgspec.json.encode(Stage(spec.uid, PENDING))
                self.core.answer(ticket, 201, body)
            elif status == 409:
                self._reject_or_retry(ticket, spec)
            else:
                self._refuse(ticket, "state service did not answer")

        self.core.lane.write(
            Write(
                conditions,
                changes,
                written,
                Order.ACCEPT,
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
                self.core.answer(ticket, 200, msgspec.json.encode(Stage(job, WITHDRAWN)))
            elif status == 409 and tries > 0:
                self.abort(ticket, job, tries - 1)
            else:
                self._refuse(ticket, "not decided, ask again")

        self.core.lane.write(
            Write(
                {key: known.stamp},
                [Change(key, value)],
                written,
                Order.ACCEPT,
                expires_at=self.core.now + WRITE_WAIT_S,
            )
        )
