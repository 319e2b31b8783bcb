"""Makes durable what a held block's machines report: completed tasks, and ends of jobs."""

from __future__ import annotations

import base64
import logging

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.core import Core
from fallpulley.jobs.messages import DONE, JOB_ID, WITHDRAWN, JobRecord, Progress
from fallpulley.jobs.open import OpenJob, chunk_name, chunk_tasks, is_chunk
from fallpulley.jobs.service import JOBS, Known
from fallpulley.state.client import Change, Priority, Write

log = logging.getLogger(__name__)

PROGRESS = "prog/"
PAGE = 400
# Completed tasks wait this many report intervals before their progress is written: most jobs
# end sooner, and their last record alone says it all.
PROGRESS_REPORTS = 4.0


class _Pair(msgspec.Struct):
    k: str
    v: Progress
    stamp: int


class _Page(msgspec.Struct):
    pairs: list[_Pair]
    has_next: bool = False


class JobPersistence:
    def __init__(self, core: Core) -> None:
        self.core = core
        self.older_chunk = chunk_tasks(core.settings.facts.state.value_kb)
        self.newer_chunk = chunk_tasks(core.lesser.value_kb)
        self._loading: set[int] = set()
        self._withdrawing: set[str] = set()  # records under way

    def tick(self, held: HeldBlock, derived: dict[str, Known]) -> None:
        """`derived`: jobs of the block that are withdrawn with others; their records follow."""
        for uid, known in derived.items():
            if self.core.state.waiting_changes(Priority.PROGRESS) >= 4:
                break
            self._record_withdrawn(uid, known)
        if not held.loaded:
            self._load(held)
            return
        now = self.core.now
        age = PROGRESS_REPORTS * self.core.report_s
        for job in held.jobs.values():
            if job.withdrawn:
                continue
            if job.finished:
                if not job.ending and now >= job.retry_at:
                    self._finish(held, job)
            elif (
                job.unsaved_since is not None
                and not job.saving
                and now > job.unsaved_since + age
                and self.core.state.waiting_changes(Priority.PROGRESS) < 4
            ):
                self._save(job)

    def _record_withdrawn(self, job: str, known: Known) -> None:
        if job in self._withdrawing:
            return
        self._withdrawing.add(job)
        key = JOBS + job
        value = msgspec.json.encode(JobRecord(known.block, known.at_ms, known.pieces, WITHDRAWN))

        def written(status: int | None, ledger: int) -> None:
            self._withdrawing.discard(job)

        self.core.state.write(
            Write(
                {key: known.stamp},
                [Change(key, value)],
                written,
                Priority.PROGRESS,
                expires_at=self.core.now + 5.0,
            )
        )

    def _finish(self, held: HeldBlock, job: OpenJob) -> None:
        """Every task is done: the record says so before anybody else does."""
        job.ending = True
        key = JOBS + job.job
        record = job.record
        end_ms = round(self.core.wall * 1000)
        value = msgspec.json.encode(
            JobRecord(record.block, record.at_ms, record.pieces, DONE, end_ms=end_ms)
        )
        changes = [Change(key, value)]
        conditions = {key: job.stamp}
        # As many progress values as the transaction holds; what is left of them harms nothing.
        for name, stamp in list(job.ledger.items())[: self.core.txn_ops - 1]:
            conditions[f"{PROGRESS}{job.job}/{name}"] = stamp
            changes.append(Change(f"{PROGRESS}{job.job}/{name}", None))

        def written(status: int | None, ledger: int) -> None:
            log.info("job done job=%s status=%s term=%d", job.job, status, held.token)
            if status == 409 and job.ledger:
                # A late progress write got in between: leave the values, the end counts.
                job.ledger.clear()
            if status != 200:
                # The watch shows the record if the write got through after all.
                job.retry_at = self.core.now + 0.3
                job.ending = False

        self.core.state.write(
            Write(conditions, changes, written, Priority.ACCEPT, expires_at=self.core.now + 2.0)
        )

    def _save(self, job: OpenJob) -> None:
        newer = self.core.newer_format
        tasks = self.newer_chunk if newer else self.older_chunk
        job.unsaved_since = None
        for number in job.dirty_chunks(tasks)[:4]:
            self._save_chunk(job, number, tasks, chunk_name(number, tasks, newer))

    def _save_chunk(self, job: OpenJob, number: int, tasks: int, name: str) -> None:
        job.saving = True
        key = f"{PROGRESS}{job.job}/{name}"
        content = job.chunk(number, tasks)
        value = msgspec.json.encode(Progress(base64.b64encode(content).decode()))

        def written(status: int | None, ledger: int) -> None:
            job.saving = False
            if status == 200:
                job.ledger[name] = ledger
                job.saved(number, tasks, content)
                return
            if job.unsaved_since is None:
                job.unsaved_since = self.core.now
            if status in (409, None):
                self._reread(job, name)

        self.core.state.write(
            Write(
                {key: job.ledger.get(name, 0)},
                [Change(key, value)],
                written,
                Priority.PROGRESS,
                expires_at=self.core.now + 5.0,
            )
        )

    def _reread(self, job: OpenJob, name: str) -> None:
        """Somebody's write, perhaps our own late one, changed the value: merge it."""
        job.saving = True
        path = f"/store/{PROGRESS}{job.job}/{name}"

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            job.saving = False
            if status == 404:
                job.ledger.pop(name, None)
            elif status == 200:
                try:
                    pair = msgspec.json.decode(body, type=_Pair)
                except msgspec.MsgspecError:
                    return
                job.restore(name, self.older_chunk, pair.v.bits, pair.stamp)

        self.core.state.read(path, done, Priority.PROGRESS, expires_at=self.core.now + 5.0)

    # -- after a takeover ------------------------------------------------------------------

    def _load(self, held: HeldBlock) -> None:
        if id(held) in self._loading:
            return
        self._loading.add(id(held))
        self._page(held, "")

    def _page(self, held: HeldBlock, after: str) -> None:
        path = f"/store?under={PROGRESS}&page={PAGE}" + (f"&after={after}" if after else "")

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            page: _Page | None = None
            if status == 200:
                try:
                    page = msgspec.json.decode(body, type=_Page)
                except msgspec.MsgspecError:
                    log.error("state broken progress page")
            if page is None:
                self._loading.discard(id(held))
                return
            for pair in page.pairs:
                self._restore(held, pair)
            if page.has_next and page.pairs:
                self._page(held, page.pairs[-1].k)
                return
            self._loading.discard(id(held))
            held.loaded = True
            held.dirty = True
            log.info("progress loaded block=%s jobs=%d", held.label, len(held.jobs))

        self.core.state.read(path, done, Priority.PROGRESS, timeout_s=5.0)

    def _restore(self, held: HeldBlock, pair: _Pair) -> None:
        uid, _, name = pair.k[len(PROGRESS) :].rpartition("/")
        job = held.jobs.get(uid)
        if job is not None and JOB_ID.fullmatch(uid) and is_chunk(name):
            job.restore(name, self.older_chunk, pair.v.bits, pair.stamp)
