"""The job records as last read: the state of every job, and the open jobs of each shard."""

from __future__ import annotations

import msgspec

from fallpulley.jobs.messages import JobRecord, JobState, Submission

JOB_PREFIX = "live/job/"

_OPEN, _DONE, _CANCELLED = JobState.OPEN, JobState.DONE, JobState.CANCELLED


class JobEntry(msgspec.Struct):
    """A job record as last read."""

    state: JobState
    shard_id: str
    task_count: int
    mod_revision: int
    submitted_at_ms: int = 0
    record: JobRecord | None = None  # open jobs only
    finished_at_ms: int = 0

    @property
    def spec(self) -> Submission | None:
        """The job's specification while it is open."""
        return None if self.record is None else self.record.spec

    def cancelled_record(self) -> JobRecord:
        """The record of this job once it is cancelled."""
        return JobRecord(self.shard_id, self.submitted_at_ms, self.task_count, _CANCELLED)


class JobIndex:
    """All jobs by their id, open ones also by shard."""

    def __init__(self) -> None:
        self.entries: dict[str, JobEntry] = {}
        self.open_by_shard: dict[str, set[str]] = {}
        self.task_counts: dict[str, tuple[int, int]] = {}  # completed, running: for display

    def put(self, job_id: str, record: JobRecord, mod_revision: int) -> JobEntry:
        """Enter a job's record in place of an earlier one."""
        is_open = record.state is _OPEN
        entry = JobEntry(
            record.state,
            record.shard_id,
            record.task_count,
            mod_revision,
            record.submitted_at_ms,
            record if is_open else None,
            record.finished_at_ms,
        )
        self.entries[job_id] = entry
        open_job_ids = self.open_by_shard.setdefault(record.shard_id, set())
        if is_open:
            open_job_ids.add(job_id)
        else:
            open_job_ids.discard(job_id)
            self.task_counts.pop(job_id, None)
        return entry

    def cancel(self, job_id: str, entry: JobEntry) -> None:
        """The job is cancelled though its own record does not say so yet."""
        entry.state, entry.record = _CANCELLED, None
        self.open_by_shard.get(entry.shard_id, set()).discard(job_id)
        self.task_counts.pop(job_id, None)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled."""
        entry = self.entries.get(job_id)
        return entry is not None and entry.state is _CANCELLED

    def finished_at_ms(self, job_id: str) -> int | None:
        """When a job was done, or its submission if its record doesn't say; None: not done."""
        entry = self.entries.get(job_id)
        if entry is None or entry.state is not _DONE:
            return None
        return entry.finished_at_ms or entry.submitted_at_ms
