"""Users' requests: submissions, queries, cancels. Answers lean on durable records only."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.jobs.messages import (
    FINAL_STATES,
    JOB_ID,
    PRIORITY_LEVELS,
    JobKind,
    JobRecord,
    JobState,
    JobStatus,
    Priority,
    Submission,
    job_id_of,
    parse_submission,
)
from fallpulley.jobs.pipelines import DependencyNode, Pipelines
from fallpulley.records.registry import TEAM_PREFIX, Registry
from fallpulley.records.shard_record import TeamShard
from fallpulley.settings import Team
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

JOB_PREFIX = "live/job/"
# A write that has not gone out by then is refused: its user would ask again anyway.
MAX_WRITE_WAIT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
MAX_CANCEL_ATTEMPTS = 3


class JobEntry(msgspec.Struct):
    """A job record as last seen."""

    state: JobState
    shard_id: str
    task_count: int
    mod_revision: int
    submitted_at_ms: int = 0
    record: JobRecord | None = None  # open jobs only
    finished_at_ms: int = 0


class JobService:
    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        shard_of_team: Callable[[str], str | None],
    ) -> None:
        """`shard_of_team`: the shard for a team's new jobs; None: whichever has the least work."""
        self.context = context
        self.watch = watch
        self.registry = registry
        self.entries: dict[str, JobEntry] = {}
        self.open_by_shard: dict[str, set[str]] = {}
        self.task_counts: dict[str, tuple[int, int]] = {}  # done, running: for display
        self.teams: dict[str, Team] = {team.name: team for team in context.settings.facts.teams}
        self.pipelines = Pipelines(self._finished_at_ms, self._is_cancelled)
        # Withdrawn because a job that they need is; block -> jobs whose own record does not say so.
        self.cancelled_with_dependencies: dict[str, dict[str, JobEntry]] = {}
        # Jobs that others' records have made ready, withdrawn or more urgent, for the owner to act.
        self.affected_jobs: set[str] = set()
        self.shard_of_team = shard_of_team
        self.newly_cancelled: list[str] = []  # cancellations just made durable here

    # -- records ---------------------------------------------------------------------------

    def take_affected_jobs(self) -> set[str]:
        """Jobs for which others' records have changed what holds, since the last call."""
        affected, self.affected_jobs = self.affected_jobs, set()
        return affected

    def take_newly_cancelled(self) -> list[str]:
        """Jobs whose cancellation was made durable here since the last call."""
        newly_cancelled, self.newly_cancelled = self.newly_cancelled, []
        return newly_cancelled

    def on_record(self, job_id: str, value: bytes | None, mod_revision: int) -> JobEntry | None:
        """A job's record as the watch brings it; returns what is known of it now."""
        if value is None:
            return None
        try:
            record = msgspec.json.decode(value, type=JobRecord)
        except msgspec.MsgspecError:
            log.error("state broken record job=%s", job_id)
            return None
        is_open = record.state == JobState.OPEN
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
        job_ids = self.open_by_shard.setdefault(record.shard_id, set())
        if is_open:
            job_ids.add(job_id)
        else:
            job_ids.discard(job_id)
            self.task_counts.pop(job_id, None)
            self.cancelled_with_dependencies.get(record.shard_id, {}).pop(job_id, None)
        self._update_pipelines(job_id, entry)
        return entry

    # -- pipelines -------------------------------------------------------------------------

    def _finished_at_ms(self, job_id: str) -> int | None:
        entry = self.entries.get(job_id)
        if entry is None or entry.state != JobState.DONE:
            return None
        return entry.finished_at_ms or entry.submitted_at_ms

    def _is_cancelled(self, job_id: str) -> bool:
        entry = self.entries.get(job_id)
        return entry is not None and entry.state == JobState.CANCELLED

    def _update_pipelines(self, job_id: str, entry: JobEntry) -> None:
        """What a job's record means for those that it awaits, and for those that await it."""
        record = entry.record
        if record is not None and record.spec is not None:
            spec = record.spec
            if not spec.depends_on and job_id not in self.pipelines.dependents:
                return
            for name in spec.depends_on or ():
                self._add_dependency_node(name)
            log.info("job awaits job=%s others=%s", job_id, ",".join(spec.depends_on or ()))
            changes = self.pipelines.add_job(
                job_id, spec.depends_on or [], self._node_of(entry, spec)
            )
        elif entry.state == JobState.DONE:
            changes = self.pipelines.complete_job(
                job_id, entry.finished_at_ms or round(self.context.wall_time * 1000)
            )
        elif entry.state == JobState.CANCELLED:
            changes = self.pipelines.cancel_job(job_id)
        else:
            return
        for name in changes.ready:
            log.info("job ready job=%s after=%s", name, job_id)
        for name in changes.cancelled:
            self._cancel_with_dependency(name, job_id)
        self.affected_jobs.update(changes.ready, changes.cancelled, changes.more_urgent)

    def _add_dependency_node(self, job_id: str) -> None:
        """A job that is awaited takes part in its pipeline, though it awaits none itself."""
        entry = self.entries.get(job_id)
        if entry is not None and entry.record is not None and entry.record.spec is not None:
            self.pipelines.add_dependency(job_id, self._node_of(entry, entry.record.spec))

    def _node_of(self, entry: JobEntry, spec: Submission) -> DependencyNode:
        """A job as it stands alone, without those that need it."""
        priority_level = PRIORITY_LEVELS[spec.priority]
        deadline_at = (
            entry.submitted_at_ms / 1000 + spec.deadline_s
            if spec.deadline_s is not None
            else math.inf
        )
        return DependencyNode(
            entry.submitted_at_ms,
            priority_level,
            self._task_s(spec),
            own_deadline_at=deadline_at,
            priority_level=priority_level,
            deadline_at=deadline_at,
        )

    def _task_s(self, spec: Submission) -> float:
        """A task's estimated fetch and run time (T 3-1: transfer cost and mean run time)."""
        rates = [kind.fetch_gb_per_s for kind in self.registry.machine_types.values()]
        rate = sum(rates) / len(rates) if rates else 0.0
        return spec.estimated_run_s + (spec.image_gb / rate if rate > 0 else 0.0)

    def _cancel_with_dependency(self, job_id: str, dependency: str) -> None:
        entry = self.entries.get(job_id)
        if entry is None or entry.state != JobState.OPEN:
            return
        log.info("job withdrawn with job=%s cause=%s", job_id, dependency)
        entry.state, entry.record = JobState.CANCELLED, None
        self.open_by_shard.get(entry.shard_id, set()).discard(job_id)
        self.task_counts.pop(job_id, None)
        self.cancelled_with_dependencies.setdefault(entry.shard_id, {})[job_id] = entry

    def estimated_work(self, shard_id: str) -> float:
        """Estimated work of a block's unfinished jobs, in processor-seconds."""
        return sum(self.estimated_work_by_priority(shard_id).values())

    def estimated_work_by_priority(self, shard_id: str) -> dict[Priority, float]:
        """The same by the jobs' own priorities. Jobs that await others are no work yet."""
        work = dict.fromkeys(PRIORITY_LEVELS, 0.0)
        for job_id in self.open_by_shard.get(shard_id, ()):
            record = self.entries[job_id].record
            node = self.pipelines.node(job_id)
            if node is not None and node.unfinished_dependencies:
                continue
            if record is not None and record.spec is not None:
                spec = record.spec
                left = spec.task_count - self.task_counts.get(job_id, (0, 0))[0]
                work[spec.priority] += left * max(spec.cpus, 0.1) * spec.estimated_run_s
        return work

    # -- answers ---------------------------------------------------------------------------

    def _respond_with_state(
        self, pending_response: Any, job_id: str, entry: JobEntry, status: int = 200
    ) -> None:
        state = JobStatus(job_id, entry.state)
        if entry.state == JobState.DONE:
            state.done, state.running = entry.task_count, 0
        elif entry.state == JobState.OPEN:
            state.done, state.running = self.task_counts.get(job_id, (0, 0))
            state.state = JobState.RUNNING if state.running else JobState.PENDING
        self.context.respond(pending_response, status, msgspec.json.encode(state))

    def _respond_unavailable(
        self, pending_response: Any, why: str, retry_s: float = RETRY_AFTER_SECONDS
    ) -> None:
        body = msgspec.json.encode({"error": why})
        self.context.respond(pending_response, 503, body, retry_s)

    def _respond_error(self, pending_response: Any, status: int, why: str) -> None:
        self.context.respond(pending_response, status, msgspec.json.encode({"error": why}))

    def query(self, pending_response: Any, job_id: str) -> None:
        """`GET /work/{id}`: a final state from memory, else after a round begun from now on."""
        if not JOB_ID.fullmatch(job_id):
            self._respond_error(pending_response, 404, "no such job")
            return
        entry = self.entries.get(job_id)
        if entry is not None and entry.state in FINAL_STATES:
            self._respond_with_state(pending_response, job_id, entry)
            return

        def on_current(ok: bool) -> None:
            found = self.entries.get(job_id)
            if found is not None and (ok or found.state in FINAL_STATES):
                self._respond_with_state(pending_response, job_id, found)
            elif not ok:
                self._respond_unavailable(pending_response, "state service out of reach")
            else:
                self._respond_error(pending_response, 404, "no such job")

        self.watch.when_current(on_current, self.context.now)

    # -- submissions -----------------------------------------------------------------------

    def submit(self, pending_response: Any, body: bytes) -> None:
        spec = parse_submission(body)
        if isinstance(spec, str):
            log.info("submission malformed why=%s", spec)
            job_id = job_id_of(body)
            if job_id is None:
                self._respond_error(pending_response, 400, spec)
            elif job_id in self.entries:
                self.query(pending_response, job_id)
            else:
                self._respond_error_unless_accepted(pending_response, job_id, spec, 400)
            return
        entry = self.entries.get(spec.job_id)
        if entry is not None:
            self.query(pending_response, spec.job_id)
            return
        if not self.registry.machine_types or not self.watch.ready:
            self._respond_unavailable(pending_response, "machine types not known yet")
            return
        why = self.why_never_runs(spec)
        if why is not None:
            self._respond_error_unless_accepted(pending_response, spec.job_id, why)
            return
        if spec.depends_on and not self.context.record_format.compact:
            # An older controller would start it at once.
            self._respond_unavailable(pending_response, "not every controller knows pipelines yet")
            return
        if all(name in self.entries for name in spec.depends_on or ()):
            self._assign_shard(pending_response, spec)
            return

        def on_current(ok: bool) -> None:
            found = self.entries.get(spec.job_id)
            if found is not None and (ok or found.state in FINAL_STATES):
                self._respond_with_state(pending_response, spec.job_id, found)
            elif not ok:
                self._respond_unavailable(pending_response, "state service out of reach")
            elif all(name in self.entries for name in spec.depends_on or ()):
                self._assign_shard(pending_response, spec)
            else:
                self._respond_error(pending_response, 422, "awaits a job that was never accepted")

        self.watch.when_current(on_current, self.context.now)

    def _assign_shard(self, pending_response: Any, spec: Submission) -> None:
        """All that it awaits was accepted: into a block with it."""
        shard_id = self._choose_shard(spec)
        if shard_id is None:
            self._respond_unavailable(pending_response, "no block open yet")
            return
        if spec.depends_on is not None:
            # Done never goes back: what is done need not stand in the record.
            depends_on = [
                a for a in dict.fromkeys(spec.depends_on) if self.entries[a].state != JobState.DONE
            ]
            spec = msgspec.structs.replace(spec, depends_on=depends_on or None)
        self._write_acceptance(pending_response, spec, shard_id)

    def _respond_error_unless_accepted(
        self, pending_response: Any, job_id: str, why: str, status: int = 422
    ) -> None:
        """An accepted job never gets 400 or 422, whatever a repeat of it holds."""

        def on_current(ok: bool) -> None:
            found = self.entries.get(job_id)
            if found is not None and (ok or found.state in FINAL_STATES):
                self._respond_with_state(pending_response, job_id, found)
            elif ok:
                self._respond_error(pending_response, status, why)
            else:
                self._respond_unavailable(pending_response, "state service out of reach")

        self.watch.when_current(on_current, self.context.now)

    def why_never_runs(self, spec: Submission) -> str | None:
        """Why a job can never run, or None."""
        team = self.teams.get(spec.team)
        if team is None:
            return "unknown team"
        for kind in self.registry.machine_types.values():
            if (
                (spec.machine_types is None or kind.name in spec.machine_types)
                and (spec.zone is None or spec.zone in kind.zones)
                and spec.cpus <= kind.cpus
                and spec.gpus <= kind.gpus
                and spec.memory_gb <= kind.memory_gb
            ):
                break
        else:
            return "a task fits no allowed machine type"
        together = 1 if spec.kind == JobKind.ARRAY else spec.task_count
        if (team.cpus_max > 0 and together * spec.cpus > team.cpus_max) or (
            team.gpus_max > 0 and together * spec.gpus > team.gpus_max
        ):
            return "the job needs more than the team's limit"
        return None

    def _choose_shard(self, spec: Submission) -> str | None:
        """The open block with the least work for the machines that the job may use; a limited
        team's own block."""
        if self.teams[spec.team].limited and spec.team in self.registry.team_shards:
            return self.registry.team_shards[spec.team]
        assigned = self.shard_of_team(spec.team)
        if assigned is not None:
            return assigned
        shards = self.registry.shards
        if len(shards) < 2:
            return next(iter(shards), None)
        return min(shards, key=lambda shard_id: self._relative_load(spec, shard_id))

    def _relative_load(self, spec: Submission, shard_id: str) -> tuple[bool, float, str]:
        """Seconds of work for each processor that the job may use; last where it may use none. A
        block that had nothing but spot machines once got urgent jobs that may not run on them."""
        usable = sum(
            cpus
            for (type_name, zone, spot), cpus in self.registry.processors_by_shape(shard_id).items()
            if (spec.allow_spot or not spot)
            and (spec.machine_types is None or type_name in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
        )
        return usable == 0, self.estimated_work(shard_id) / max(usable, 1.0), shard_id

    def _write_acceptance(self, pending_response: Any, spec: Submission, shard_id: str) -> None:
        key = JOB_PREFIX + spec.job_id
        value = msgspec.json.encode(
            JobRecord(
                shard_id, round(self.context.wall_time * 1000), spec.task_count, JobState.OPEN, spec
            )
        )
        if len(value) > self.context.record_format.value_bytes:
            self._respond_error(pending_response, 400, "too long")
            return
        conditions = {key: 0}
        changes = [Change(key, value)]
        if self.teams[spec.team].limited:
            team_key = TEAM_PREFIX + spec.team
            conditions[team_key] = self.watch.mod_revision(team_key)
            if spec.team not in self.registry.team_shards:
                changes.append(Change(team_key, msgspec.json.encode(TeamShard(shard_id))))

        def on_result(result: WriteResult) -> None:
            if result.committed:
                log.info(
                    "job accepted job=%s block=%s tasks=%d class=%s",
                    spec.job_id,
                    shard_id,
                    spec.task_count,
                    spec.job_class,
                )
                cancelled = any(self._is_cancelled(name) for name in spec.depends_on or ())
                body = msgspec.json.encode(
                    JobStatus(spec.job_id, JobState.CANCELLED if cancelled else JobState.PENDING)
                )
                self.context.respond(pending_response, 201, body)
            elif result.conflicted:
                self._respond_after_conflict(pending_response, spec)
            else:
                self._respond_unavailable(pending_response, "state service did not answer")

        self.context.state_client.write(
            Write(
                conditions,
                changes,
                on_result,
                RequestPriority.ACCEPT,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )

    def _respond_after_conflict(self, pending_response: Any, spec: Submission) -> None:
        """The record exists: accepted before, here or elsewhere. Say its current state."""

        def on_current(ok: bool) -> None:
            found = self.entries.get(spec.job_id)
            if found is not None and (ok or found.state in FINAL_STATES):
                self._respond_with_state(pending_response, spec.job_id, found)
            else:
                self._respond_unavailable(pending_response, "not decided, ask again")

        self.watch.when_current(on_current, self.context.now)

    # -- cancels ---------------------------------------------------------------------------

    def cancel(
        self, pending_response: Any, job_id: str, attempts_left: int = MAX_CANCEL_ATTEMPTS
    ) -> None:
        if not JOB_ID.fullmatch(job_id):
            self._respond_error(pending_response, 404, "no such job")
            return

        def on_current(ok: bool) -> None:
            found = self.entries.get(job_id)
            if found is not None and found.state in FINAL_STATES:
                self._respond_with_state(pending_response, job_id, found)
            elif not ok:
                self._respond_unavailable(pending_response, "state service out of reach")
            elif found is None:
                self._respond_error(pending_response, 404, "no such job")
            else:
                self._write_cancellation(pending_response, job_id, found, attempts_left)

        entry = self.entries.get(job_id)
        if (
            entry is not None
            and entry.state == JobState.OPEN
            and attempts_left == MAX_CANCEL_ATTEMPTS
        ):
            # The write's own condition says whether this is still the newest state.
            self._write_cancellation(pending_response, job_id, entry, attempts_left)
        elif entry is not None and entry.state in FINAL_STATES:
            self._respond_with_state(pending_response, job_id, entry)
        else:
            self.watch.when_current(on_current, self.context.now)

    def _write_cancellation(
        self, pending_response: Any, job_id: str, entry: JobEntry, attempts_left: int
    ) -> None:
        key = JOB_PREFIX + job_id
        value = msgspec.json.encode(
            JobRecord(entry.shard_id, entry.submitted_at_ms, entry.task_count, JobState.CANCELLED)
        )

        def on_result(result: WriteResult) -> None:
            if result.committed:
                log.info("job withdrawn job=%s", job_id)
                self.newly_cancelled.append(job_id)
                self.context.respond(
                    pending_response,
                    200,
                    msgspec.json.encode(JobStatus(job_id, JobState.CANCELLED)),
                )
            elif result.conflicted and attempts_left > 0:
                self.cancel(pending_response, job_id, attempts_left - 1)
            else:
                self._respond_unavailable(pending_response, "not decided, ask again")

        self.context.state_client.write(
            Write(
                {key: entry.mod_revision},
                [Change(key, value)],
                on_result,
                RequestPriority.ACCEPT,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )
