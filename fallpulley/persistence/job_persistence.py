"""Durable writes of the completed tasks, completions and cancellations of owned shards' jobs."""

from __future__ import annotations

import base64
import logging
from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.jobs.completion import chunk_capacity, chunk_name
from fallpulley.jobs.job_index import JOB_PREFIX, JobEntry
from fallpulley.jobs.job_writes import (
    MAX_BACKGROUND_WAIT_SECONDS,
    write_in_background,
    write_interactive,
)
from fallpulley.jobs.messages import JobRecord, JobState, Progress
from fallpulley.jobs.open_job import OpenJob
from fallpulley.jobs.stored_progress import ProgressItem, progress_key
from fallpulley.persistence.progress_loading import ProgressLoader
from fallpulley.shards.shard import Shard
from fallpulley.state.transactions import Change, RequestPriority, WriteResult

log = logging.getLogger(__name__)

# Delay between a task's completion and the write of its job's progress, in heartbeat intervals.
# Most jobs finish sooner; their final record makes a progress write unnecessary.
PROGRESS_DELAY_HEARTBEAT_INTERVALS = 4.0
# No further progress is queued while this many changes of its priority are waiting to be sent.
MAX_QUEUED_CHANGES = 4
# Maximum number of chunks of one job's progress that are written at a time.
MAX_CHUNKS_AT_ONCE = 4
# Delay before the final write of a job is repeated, in seconds.
COMPLETION_RETRY_SECONDS = 0.3


class JobPersistence:
    """Writes completions, progress and dependent cancellations of an owned shard's jobs."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.first_format_tasks_per_chunk = chunk_capacity(context.settings.facts.state.value_kb)
        self.tasks_per_chunk = chunk_capacity(context.record_format.strictest_limits.value_kb)
        self._loader = ProgressLoader(context, self.first_format_tasks_per_chunk)
        self._cancellations_pending: set[str] = set()  # jobs whose cancellation is being written

    def tick(self, shard: Shard, cancelled_dependents: dict[str, JobEntry]) -> None:
        """Queue the writes that are due for an owned shard.

        Until the shard's stored progress is loaded, which this call starts if necessary, only
        dependent cancellations are written.

        `cancelled_dependents`: jobs of the shard that are cancelled because a job that they
        depend on is cancelled, and whose own records do not say so yet.
        """
        for job_id, entry in cancelled_dependents.items():
            if not self._may_queue_progress():
                break
            self._write_dependent_cancellation(job_id, entry)
        if not shard.progress_loaded:
            self._loader.load(shard)
            return
        now = self.context.now
        delay_s = PROGRESS_DELAY_HEARTBEAT_INTERVALS * self.context.timing.heartbeat_interval_s
        for job in shard.jobs.values():
            if job.ended:
                continue
            if job.all_tasks_completed:
                if not job.final_write_pending and now >= job.retry.not_before:
                    self._write_completion(shard, job)
            elif (
                job.progress.unsaved_since is not None
                and not job.progress.requests_in_flight
                and now > job.progress.unsaved_since + delay_s
                and self._may_queue_progress()
            ):
                self._write_progress(job)

    def _may_queue_progress(self) -> bool:
        queued = self.context.state_client.queued_changes(RequestPriority.BACKGROUND)
        return queued < MAX_QUEUED_CHANGES

    # -- completions and cancellations -----------------------------------------------------

    def _write_dependent_cancellation(self, job_id: str, entry: JobEntry) -> None:
        if job_id in self._cancellations_pending:
            return
        self._cancellations_pending.add(job_id)
        key = JOB_PREFIX + job_id

        def on_result(result: WriteResult) -> None:
            self._cancellations_pending.discard(job_id)

        value = msgspec.json.encode(entry.cancelled_record())
        write_in_background(self.context, key, entry.mod_revision, value, on_result)

    def _write_completion(self, shard: Shard, job: OpenJob) -> None:
        """Write the final record of a job whose tasks are all completed.

        No response reports the job as done before this record is durable.
        """
        job.final_write_pending = True
        key = JOB_PREFIX + job.job_id
        changes = [Change(key, self._completed_record(job.record))]
        conditions = {key: job.mod_revision}
        # Delete as many progress values as the transaction can hold; those that remain do no harm.
        max_values = self.context.record_format.max_transaction_changes - 1
        for name, mod_revision in list(job.progress.mod_revisions.items())[:max_values]:
            chunk_key = progress_key(job.job_id, name)
            conditions[chunk_key] = mod_revision
            changes.append(Change(chunk_key, None))

        def on_result(result: WriteResult) -> None:
            log.info(
                "write of job completion ended job=%s status=%s token=%d",
                job.job_id,
                result.status,
                shard.fencing_token,
            )
            self._on_completion_result(job, result)

        write_interactive(self.context, conditions, changes, on_result)

    def _completed_record(self, record: JobRecord) -> bytes:
        return msgspec.json.encode(
            JobRecord(
                record.shard_id,
                record.submitted_at_ms,
                record.task_count,
                JobState.DONE,
                finished_at_ms=round(self.context.wall_time * 1000),
            )
        )

    def _on_completion_result(self, job: OpenJob, result: WriteResult) -> None:
        if result.conflicted and job.progress.mod_revisions:
            # A delayed progress write may have changed one of the values to be deleted. The next
            # attempt deletes none of them and is conditioned on the job's record alone.
            job.progress.mod_revisions.clear()
        if not result.committed:
            # If the write was applied after all, the watch delivers the new record.
            job.retry.not_before = self.context.now + COMPLETION_RETRY_SECONDS
            job.final_write_pending = False

    # -- progress --------------------------------------------------------------------------

    def _write_progress(self, job: OpenJob) -> None:
        compact = self.context.record_format.compact
        tasks_per_chunk = self.tasks_per_chunk if compact else self.first_format_tasks_per_chunk
        unsaved_chunks = job.progress.unsaved_chunks(tasks_per_chunk)
        if len(unsaved_chunks) <= MAX_CHUNKS_AT_ONCE:
            job.progress.unsaved_since = None
        for number in unsaved_chunks[:MAX_CHUNKS_AT_ONCE]:
            self._write_chunk(
                job, number, tasks_per_chunk, chunk_name(number, tasks_per_chunk, compact)
            )

    def _write_chunk(self, job: OpenJob, number: int, tasks_per_chunk: int, name: str) -> None:
        progress = job.progress
        progress.requests_in_flight += 1
        key = progress_key(job.job_id, name)
        content = progress.completed.chunk(number, tasks_per_chunk)
        value = msgspec.json.encode(Progress(base64.b64encode(content).decode()))

        def on_result(result: WriteResult) -> None:
            progress.requests_in_flight -= 1
            if result.committed:
                progress.mod_revisions[name] = result.revision
                progress.durable.replace_chunk(number, tasks_per_chunk, content)
                return
            if progress.unsaved_since is None:
                progress.unsaved_since = self.context.now
            if result.conflicted or result.unknown:
                self._reload_chunk(job, name)

        write_in_background(
            self.context, key, progress.mod_revisions.get(name, 0), value, on_result
        )

    def _reload_chunk(self, job: OpenJob, name: str) -> None:
        """Read and merge a stored chunk that another write, perhaps a delayed one, has changed."""
        progress = job.progress
        progress.requests_in_flight += 1

        def on_response(response: Response) -> None:
            progress.requests_in_flight -= 1
            if response.status == HTTPStatus.NOT_FOUND:
                progress.mod_revisions.pop(name, None)
            elif response.ok:
                try:
                    item = msgspec.json.decode(response.body, type=ProgressItem)
                except msgspec.MsgspecError:
                    return
                progress.merge_stored_chunk(
                    name, self.first_format_tasks_per_chunk, item.value.bits, item.mod_revision
                )

        self.context.state_client.request(
            f"/store/{progress_key(job.job_id, name)}",
            on_response,
            RequestPriority.BACKGROUND,
            expires_at=self.context.now + MAX_BACKGROUND_WAIT_SECONDS,
        )
