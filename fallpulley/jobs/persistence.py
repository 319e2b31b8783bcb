"""Makes durable what a held block's machines report: completed tasks, and ends of jobs."""

from __future__ import annotations

import base64
import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.jobs.messages import JOB_ID, JobRecord, JobState, Progress
from fallpulley.jobs.open_job import OpenJob, chunk_name, chunk_tasks, is_chunk_name
from fallpulley.jobs.service import JOB_PREFIX, JobEntry
from fallpulley.shards.shard import Shard
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult

log = logging.getLogger(__name__)

PROGRESS_PREFIX = "prog/"
PAGE_SIZE = 400
# Completed tasks wait this many report intervals before their progress is written: most jobs
# end sooner, and their last record alone says it all.
PROGRESS_REPORTS = 4.0


class _Item(msgspec.Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    key: str
    value: Progress
    mod_revision: int


class _Page(msgspec.Struct, rename={"items": "pairs"}):
    items: list[_Item]
    has_next: bool = False


class JobPersistence:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.first_format_chunk_tasks = chunk_tasks(context.settings.facts.state.value_kb)
        self.chunk_tasks = chunk_tasks(context.record_format.strictest_limits.value_kb)
        self._loading_shards: set[int] = set()
        self._cancellations_pending: set[str] = set()  # records under way

    def tick(self, shard: Shard, cancelled_with_dependencies: dict[str, JobEntry]) -> None:
        """`derived`: jobs of the block that are withdrawn with others; their records follow."""
        for job_id, entry in cancelled_with_dependencies.items():
            if self.context.state_client.queued_changes(RequestPriority.PROGRESS) >= 4:
                break
            self._write_dependent_cancellation(job_id, entry)
        if not shard.progress_loaded:
            self._load_progress(shard)
            return
        now = self.context.now
        age = PROGRESS_REPORTS * self.context.timing.report_s
        for job in shard.jobs.values():
            if job.cancelled:
                continue
            if job.finished:
                if not job.final_write_pending and now >= job.retry_at:
                    self._write_completion(shard, job)
            elif (
                job.unsaved_since is not None
                and not job.progress_write_pending
                and now > job.unsaved_since + age
                and self.context.state_client.queued_changes(RequestPriority.PROGRESS) < 4
            ):
                self._write_progress(job)

    def _write_dependent_cancellation(self, job: str, entry: JobEntry) -> None:
        if job in self._cancellations_pending:
            return
        self._cancellations_pending.add(job)
        key = JOB_PREFIX + job
        value = msgspec.json.encode(
            JobRecord(entry.shard_id, entry.submitted_at_ms, entry.task_count, JobState.CANCELLED)
        )

        def on_result(result: WriteResult) -> None:
            self._cancellations_pending.discard(job)

        self.context.state_client.write(
            Write(
                {key: entry.mod_revision},
                [Change(key, value)],
                on_result,
                RequestPriority.PROGRESS,
                expires_at=self.context.now + 5.0,
            )
        )

    def _write_completion(self, shard: Shard, job: OpenJob) -> None:
        """Every task is done: the record says so before anybody else does."""
        job.final_write_pending = True
        key = JOB_PREFIX + job.job_id
        record = job.record
        finished_at_ms = round(self.context.wall_time * 1000)
        value = msgspec.json.encode(
            JobRecord(
                record.shard_id,
                record.submitted_at_ms,
                record.task_count,
                JobState.DONE,
                finished_at_ms=finished_at_ms,
            )
        )
        changes = [Change(key, value)]
        conditions = {key: job.mod_revision}
        # As many progress values as the transaction holds; what is left of them harms nothing.
        for name, mod_revision in list(job.progress_revisions.items())[
            : self.context.record_format.txn_ops - 1
        ]:
            conditions[f"{PROGRESS_PREFIX}{job.job_id}/{name}"] = mod_revision
            changes.append(Change(f"{PROGRESS_PREFIX}{job.job_id}/{name}", None))

        def on_result(result: WriteResult) -> None:
            log.info(
                "job done job=%s status=%s term=%d", job.job_id, result.status, shard.fencing_token
            )
            if result.conflicted and job.progress_revisions:
                # A late progress write got in between: leave the values, the end counts.
                job.progress_revisions.clear()
            if not result.committed:
                # The watch shows the record if the write got through after all.
                job.retry_at = self.context.now + 0.3
                job.final_write_pending = False

        self.context.state_client.write(
            Write(
                conditions,
                changes,
                on_result,
                RequestPriority.ACCEPT,
                expires_at=self.context.now + 2.0,
            )
        )

    def _write_progress(self, job: OpenJob) -> None:
        newer = self.context.record_format.compact
        tasks = self.chunk_tasks if newer else self.first_format_chunk_tasks
        job.unsaved_since = None
        for number in job.unsaved_chunks(tasks)[:4]:
            self._write_chunk(job, number, tasks, chunk_name(number, tasks, newer))

    def _write_chunk(self, job: OpenJob, number: int, tasks: int, name: str) -> None:
        job.progress_write_pending = True
        key = f"{PROGRESS_PREFIX}{job.job_id}/{name}"
        content = job.chunk_bytes(number, tasks)
        value = msgspec.json.encode(Progress(base64.b64encode(content).decode()))

        def on_result(result: WriteResult) -> None:
            job.progress_write_pending = False
            if result.committed:
                job.progress_revisions[name] = result.revision
                job.mark_chunk_durable(number, tasks, content)
                return
            if job.unsaved_since is None:
                job.unsaved_since = self.context.now
            if result.conflicted or result.unknown:
                self._reload_chunk(job, name)

        self.context.state_client.write(
            Write(
                {key: job.progress_revisions.get(name, 0)},
                [Change(key, value)],
                on_result,
                RequestPriority.PROGRESS,
                expires_at=self.context.now + 5.0,
            )
        )

    def _reload_chunk(self, job: OpenJob, name: str) -> None:
        """Somebody's write, perhaps our own late one, changed the value: merge it."""
        job.progress_write_pending = True
        path = f"/store/{PROGRESS_PREFIX}{job.job_id}/{name}"

        def on_response(response: Response) -> None:
            job.progress_write_pending = False
            if response.status == 404:
                job.progress_revisions.pop(name, None)
            elif response.ok:
                try:
                    item = msgspec.json.decode(response.body, type=_Item)
                except msgspec.MsgspecError:
                    return
                job.merge_chunk(
                    name, self.first_format_chunk_tasks, item.value.bits, item.mod_revision
                )

        self.context.state_client.request(
            path, on_response, RequestPriority.PROGRESS, expires_at=self.context.now + 5.0
        )

    # -- after a takeover ------------------------------------------------------------------

    def _load_progress(self, shard: Shard) -> None:
        if id(shard) in self._loading_shards:
            return
        self._loading_shards.add(id(shard))
        self._load_page(shard, "")

    def _load_page(self, shard: Shard, after: str) -> None:
        path = f"/store?under={PROGRESS_PREFIX}&page={PAGE_SIZE}" + (
            f"&after={after}" if after else ""
        )

        def on_response(response: Response) -> None:
            page: _Page | None = None
            if response.ok:
                try:
                    page = msgspec.json.decode(response.body, type=_Page)
                except msgspec.MsgspecError:
                    log.error("state broken progress page")
            if page is None:
                self._loading_shards.discard(id(shard))
                return
            for item in page.items:
                self._merge_progress(shard, item)
            if page.has_next and page.items:
                self._load_page(shard, page.items[-1].key)
                return
            self._loading_shards.discard(id(shard))
            shard.progress_loaded = True
            shard.needs_replan = True
            log.info("progress loaded block=%s jobs=%d", shard.shard_id, len(shard.jobs))

        self.context.state_client.request(
            path, on_response, RequestPriority.PROGRESS, timeout_s=5.0
        )

    def _merge_progress(self, shard: Shard, item: _Item) -> None:
        job_id, _, name = item.key[len(PROGRESS_PREFIX) :].rpartition("/")
        job = shard.jobs.get(job_id)
        if job is not None and JOB_ID.fullmatch(job_id) and is_chunk_name(name):
            job.merge_chunk(name, self.first_format_chunk_tasks, item.value.bits, item.mod_revision)
