"""Writes of the completed tasks of jobs whose progress takes several values."""

from __future__ import annotations

from http import HTTPStatus

from msgspec import convert

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.messages import JobRecord, Submission
from fallpulley.jobs.open_job import OpenJob
from fallpulley.persistence.job_persistence import MAX_CHUNKS_AT_ONCE, JobPersistence
from fallpulley.record_format import NEWEST_FORMAT
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import ShardRecord
from fallpulley.state.transactions import Write, WriteResult
from tests.simulated_cluster import controller_settings, job_spec

TASKS = 90_000
STATE = {"rps": 200.0, "write_rps": 90.0, "value_kb": 2.0, "txn_ops": 4}


class ProgressOfOneJob:
    """An owner with one large job, and the writes that it has queued."""

    def __init__(self) -> None:
        settings = controller_settings("node-0", state=STATE)
        self.context = ControllerContext(settings, "boot", lambda: self.context.now)
        self.context.record_format.adopt(NEWEST_FORMAT)
        self.writes: list[Write] = []
        self.context.state_client.write = self.writes.append  # type: ignore[method-assign]
        self.persistence = JobPersistence(self.context)
        self.shard = Shard(
            self.context, "b", ShardRecord("node-0", "boot", {}), 1, never_owned=True
        )
        spec = convert(job_spec(1, pieces=TASKS), Submission)
        self.job = OpenJob(spec.job_id, JobRecord("b", 0, TASKS, spec=spec), spec, 1)
        self.shard.jobs[spec.job_id] = self.job
        self.chunk_count = -(-TASKS // self.persistence.tasks_per_chunk)

    def complete_a_task_of_each_chunk(self) -> None:
        for number in range(self.chunk_count):
            index = number * self.persistence.tasks_per_chunk
            assert self.job.progress.record_completion(index, self.context.now)

    def queue_writes(self) -> list[Write]:
        """Let the time pass after which progress is written; return the writes queued then."""
        self.context.now += 60.0
        del self.writes[:]
        self.persistence.tick(self.shard, {})
        return list(self.writes)


def written_keys(writes: list[Write]) -> set[str]:
    return {change.key for write in writes for change in write.changes}


def test_all_chunks_are_saved_though_one_turn_writes_only_some_of_them() -> None:
    """Guards against completions that stay unsaved until the next task of their job completes."""
    progress = ProgressOfOneJob()
    assert progress.chunk_count > 2 * MAX_CHUNKS_AT_ONCE
    progress.complete_a_task_of_each_chunk()
    saved = 0
    for revision in range(2, 2 + progress.chunk_count):
        for write in progress.queue_writes():
            write.on_result(WriteResult(HTTPStatus.OK, revision))
            saved += 1
    assert saved == progress.chunk_count
    assert progress.job.progress.durable.count == progress.chunk_count


def test_next_writes_of_progress_wait_for_all_responses_of_the_last_ones() -> None:
    """Guards against a chunk written a second time, on a revision that its first write changes."""
    progress = ProgressOfOneJob()
    progress.complete_a_task_of_each_chunk()
    first, *others = progress.queue_writes()
    first.on_result(WriteResult(HTTPStatus.OK, 2))
    progress.job.progress.record_completion(1, progress.context.now)
    assert progress.queue_writes() == []
    for write in others:
        write.on_result(WriteResult(HTTPStatus.OK, 3))
    next_keys = written_keys(progress.queue_writes())
    assert next_keys.isdisjoint(written_keys(others))
    assert len(next_keys) == MAX_CHUNKS_AT_ONCE
