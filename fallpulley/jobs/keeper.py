"""Makes durable what a held block's machines report: completed tasks, and ends of jobs."""

from __future__ import annotations

import base64
import logging

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.core import Core
from fallpulley.jobs.desk import JOBS
from fallpulley.jobs.messages import DONE, JOB_ID, JobRecord, Progress
from fallpulley.jobs.open import OpenJob, chunk_tasks
from fallpulley.state.lane import Change, Order, Write

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


class JobKeeper:
    def __init__(self, core: Core) -> None:
        self.core = core
        self.chunk = chunk_tasks(core.settings.facts.state.value_kb)
        self._loading: set[int] = set()

    def tick(self, held: HeldBlock) -> None:
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
                and self.core.lane.waiting_changes(Order.PROGRESS) < 4
            ):
                self._save(job)

    def _finish(self, held: HeldBlock, job: OpenJob) -> None:
        """Every task is done: the record says so before anybody else does."""
        job.ending = True
        key = JOBS + job.job
        record = job.record
        value = msgspec.json.encode(JobRecord(record.block, record.at_ms, record.pieces, DONE))
        changes = [Change(key, value)]
        conditions = {key: job.stamp}
        for number, stamp in job.ledger.items():
            conditions[f"{PROGRESS}{job.job}/{number}"] = stamp
            changes.append(Change(f"{PROGRESS}{job.job}/{number}", None))

        def written(status: int | None, ledger: int) -> None:
            log.info("job done job=%s status=%s term=%d", job.job, status, held.token)
            if status == 409 and job.ledger:
                # A late progress write got in between: leave the values, the end counts.
                job.ledger.clear()
            if status != 200:
                # The watch shows the record if the write got through after all.
                job.retry_at = self.core.now + 0.3
                job.ending = False

        self.core.lane.write(
            Write(conditions, changes, written, Order.ACCEPT, expires_at=self.core.now + 2.0)
        )

    def _save(self, job: OpenJob) -> None:
        chunks = job.dirty_chunks(self.chunk)
        job.unsaved_since = None
        for number in chunks[:4]:
            self._save_chunk(job, number)

    def _save_chunk(self, job: OpenJob, number: int) -> None:
        job.saving = True
        key = f"{PROGRESS}{job.job}/{number}"
        content = job.chunk(number, self.chunk)
        value = msgspec.json.encode(Progress(base64.b64encode(content).decode()))

        def written(status: int | None, ledger: int) -> None:
            job.saving = False
            if status == 200:
                job.ledger[number] = ledger
                job.saved(number, self.chunk, content)
                return
            if job.unsaved_since is None:
                job.unsaved_since = self.core.now
            if status in (409, None):
                self._reread(job, number)

        self.core.lane.write(
            Write(
                {key: job.ledger.get(number, 0)},
                [Change(key, value)],
                written,
                Order.PROGRESS,
                expires_at=self.core.now + 5.0,
            )
        )

    def _reread(self, job: OpenJob, number: int) -> None:
        """Somebody's write, perhaps our own late one, changed the value: merge it."""
        job.saving = True
        path = f"/store/{PROGRESS}{job.job}/{number}"

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            job.saving = False
            if status == 404:
                job.ledger.pop(number, None)
            elif status == 200:
                try:
                    pair = msgspec.json.decode(body, type=_Pair)
                except msgspec.MsgspecError:
                    return
                job.restore(number, self.chunk, pair.v.bits, pair.stamp, self.core.now)

        self.core.lane.read(path, done, Order.PROGRESS, expires_at=self.core.now + 5.0)

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

        self.core.lane.read(path, done, Order.PROGRESS, timeout_s=5.0)

    def _restore(self, held: HeldBlock, pair: _Pair) -> None:
        name, _, number = pair.k[len(PROGRESS) :].rpartition("/")
        job = held.jobs.get(name)
        if job is not None and JOB_ID.fullmatch(name) and number.isdigit():
            job.restore(int(number), self.chunk, pair.v.bits, pair.stamp, self.core.now)
