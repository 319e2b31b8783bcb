"""The index of job records: the state of every job, and the open jobs of each shard."""

from __future__ import annotations

import msgspec

from fallpulley.jobs.messages import JobRecord, JobState, Submission

JOB_PREFIX = "live/job/"

# Constants, since enum members are looked up slowly: these are used for every job record.
_OPEN, _DONE, _CANCELLED = JobState.OPEN, JobState.DONE, JobState.CANCELLED


class JobEntry(msgspec.Struct):
    """The content of a job's record as last read, and the record's revision."""

    state: JobState
    shard_id: str
    task_count: int
    mod_revision: int
    submitted_at_ms: int = 0
    record: JobRecord | None = None  # None once the job has ended
    finished_at_ms: int = 0  # 0: unknown, or the job is not done

    @property
    def spec(self) -> Submission | None:
        """The job's specification; None once the job has ended."""
        return None if self.record is None else self.record.spec

    def cancelled_record(self) -> JobRecord:
        """Return the record to be written when this job is cancelled."""
        return JobRecord(self.shard_id, self.submitted_at_ms, self.task_count, _CANCELLED)


class JobIndex:
    """All jobs by id, and the ids of the open ones by shard."""

    def __init__(self) -> None:
        self.entries: dict[str, JobEntry] = {}
        self.open_job_ids_by_shard: dict[str, set[str]] = {}
        # Job id -> numbers of completed and running tasks, as last reported. They may be out of
        # date, so they are used only in responses to users and in estimates of work.
        self.task_counts: dict[str, tuple[int, int]] = {}

    def put(self, job_id: str, record: JobRecord, mod_revision: int) -> JobEntry:
        """Store a job's record in place of an earlier one and return its entry."""
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
        open_job_ids = self.open_job_ids_by_shard.setdefault(record.shard_id, set())
        if is_open:
            open_job_ids.add(job_id)
        else:
            open_job_ids.discard(job_id)
            self.task_counts.pop(job_id, None)
        return entry

    def mark_cancelled(self, job_id: str, entry: JobEntry) -> None:
        """Treat a job as cancelled, though its stored record does not say so yet."""
        entry.state, entry.record = _CANCELLED, None
        self.open_job_ids_by_shard.get(entry.shard_id, set()).discard(job_id)
        self.task_counts.pop(job_id, None)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether the job is known to be cancelled."""
        entry = self.entries.get(job_id)
        return entry is not None and entry.state is _CANCELLED

    def finished_at_ms(self, job_id: str) -> int | None:
        """Return when a job was done, in ms since the epoch; None if it is not known to be done.

        If the record of a done job does not hold the time, this is the time of its submission.
        """
        entry = self.entries.get(job_id)
        if entry is None or entry.state is not _DONE:
            return None
        return entry.finished_at_ms or entry.submitted_at_ms
