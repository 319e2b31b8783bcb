"""Acceptance of jobs that users submit.

Submissions are idempotent: the response to a repeated one is the state of the accepted job.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.job_index import JOB_PREFIX, JobIndex
from fallpulley.jobs.job_writes import write_interactive
from fallpulley.jobs.messages import (
    JobRecord,
    JobState,
    JobStatus,
    Submission,
    SubmissionError,
    decode_job_id,
    parse_submission,
)
from fallpulley.jobs.queries import JobQueries
from fallpulley.jobs.responses import NOT_DECIDED, JobResponder
from fallpulley.jobs.shard_chooser import JobShardChooser
from fallpulley.jobs.validation import rejection_reason
from fallpulley.settings import Team
from fallpulley.shared_records.keys import TEAM_PREFIX
from fallpulley.shared_records.messages import TeamShard
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)


class JobAdmission:
    """Handles `POST /work`: validates a submission, chooses a shard and writes the job's record."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        index: JobIndex,
        teams: Mapping[str, Team],
        shard_chooser: JobShardChooser,
        queries: JobQueries,
        responder: JobResponder,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.index = index
        self.teams = teams
        self.shard_chooser = shard_chooser
        self.queries = queries
        self.responder = responder

    def submit(self, pending_response: PendingResponse, body: bytes) -> None:
        """Accept a job, or respond with its state if it was accepted before, or with an error."""
        try:
            spec = parse_submission(body)
        except SubmissionError as error:
            log.info("submission malformed reason=%s", error)
            self._reject_malformed(pending_response, decode_job_id(body), str(error))
            return
        if spec.job_id in self.index.entries:
            self.queries.query(pending_response, spec.job_id)
            return
        if not self.registry.machine_types or not self.watch.ready:
            self.responder.send_unavailable(pending_response, "machine types not known yet")
            return
        team, machine_types = self.teams.get(spec.team), self.registry.machine_types.values()
        reason = rejection_reason(spec, team, machine_types)
        if reason is not None:
            self._reject_unless_accepted(
                pending_response, spec.job_id, HTTPStatus.UNPROCESSABLE_ENTITY, reason
            )
            return
        if spec.depends_on and not self.context.record_format.compact:
            # A controller of an older version would start the job without regard to dependencies.
            self.responder.send_unavailable(
                pending_response, "not every controller knows pipelines yet"
            )
            return
        self._accept_with_dependencies(pending_response, spec)

    # -- rejections ------------------------------------------------------------------------

    def _reject_malformed(
        self, pending_response: PendingResponse, job_id: str | None, reason: str
    ) -> None:
        if job_id is None:
            self.responder.send_error(pending_response, HTTPStatus.BAD_REQUEST, reason)
        elif job_id in self.index.entries:
            self.queries.query(pending_response, job_id)
        else:
            self._reject_unless_accepted(pending_response, job_id, HTTPStatus.BAD_REQUEST, reason)

    def _reject_unless_accepted(
        self, pending_response: PendingResponse, job_id: str, http_status: int, reason: str
    ) -> None:
        """Respond with an error, or with the job's state if it was accepted before.

        An accepted job never gets 400 or 422, whatever a repeated submission of it contains.
        """
        self.responder.respond_when_current(
            pending_response,
            job_id,
            lambda: self.responder.send_error(pending_response, http_status, reason),
        )

    # -- acceptance ------------------------------------------------------------------------

    def _accept_with_dependencies(
        self, pending_response: PendingResponse, spec: Submission
    ) -> None:
        """Accept a job if all its dependencies were accepted, by this controller or another."""
        if self._dependencies_accepted(spec):
            self._accept(pending_response, spec)
            return

        def on_missing() -> None:
            if self._dependencies_accepted(spec):
                self._accept(pending_response, spec)
            else:
                self.responder.send_error(
                    pending_response,
                    HTTPStatus.UNPROCESSABLE_ENTITY,
                    "awaits a job that was never accepted",
                )

        self.responder.respond_when_current(pending_response, spec.job_id, on_missing)

    def _dependencies_accepted(self, spec: Submission) -> bool:
        return all(job_id in self.index.entries for job_id in spec.depends_on or ())

    def _accept(self, pending_response: PendingResponse, spec: Submission) -> None:
        """Choose a shard for the job and write the job's record."""
        if not self._try_write_record(pending_response, spec):
            # Either the job is too large, or this controller's copy of the records is old: the job
            # may be known already, and dependencies that are done since need no space.
            self.responder.respond_when_current(
                pending_response,
                spec.job_id,
                on_missing=lambda: self._accept_or_reject_as_too_long(pending_response, spec),
            )

    def _accept_or_reject_as_too_long(
        self, pending_response: PendingResponse, spec: Submission
    ) -> None:
        """Accept a job that no controller has accepted by a read that was just made, or reject it.

        It is rejected if its record is still too long for the state service.
        """
        if not self._try_write_record(pending_response, spec):
            self.responder.send_error(pending_response, HTTPStatus.BAD_REQUEST, "too long")

    def _try_write_record(self, pending_response: PendingResponse, spec: Submission) -> bool:
        """Write the job's record; return False, without a response, if the record is too long.

        Responds "unavailable" if there is no shard yet.
        """
        shard_id = self.shard_chooser.choose(spec)
        if shard_id is None:
            self.responder.send_unavailable(pending_response, "no block open yet")
            return True
        spec = self._without_done_dependencies(spec)
        value = msgspec.json.encode(
            JobRecord(
                shard_id, round(self.context.wall_time * 1000), spec.task_count, JobState.OPEN, spec
            )
        )
        if len(value) > self.context.record_format.max_value_bytes:
            return False
        self._write_acceptance(pending_response, spec, shard_id, value)
        return True

    def _without_done_dependencies(self, spec: Submission) -> Submission:
        """Return the specification without dependencies that are done and without duplicates.

        Since done is a final state, the record need not hold these.
        """
        if spec.depends_on is None:
            return spec
        depends_on = [
            job_id
            for job_id in dict.fromkeys(spec.depends_on)
            if self.index.entries[job_id].state is not JobState.DONE
        ]
        return msgspec.structs.replace(spec, depends_on=depends_on or None)

    def _write_acceptance(
        self, pending_response: PendingResponse, spec: Submission, shard_id: str, value: bytes
    ) -> None:
        """Write the job's record unless it exists, and respond with the outcome.

        For a team with a limit, also write which shard has the team's jobs, unless it is stored:
        all of them must belong to one shard, which enforces the limit.
        """
        key = JOB_PREFIX + spec.job_id
        conditions = {key: 0}
        changes = [Change(key, value)]
        if self.teams[spec.team].limited:
            team_key = TEAM_PREFIX + spec.team
            conditions[team_key] = self.watch.mod_revision(team_key)
            if spec.team not in self.registry.team_shards:
                changes.append(Change(team_key, msgspec.json.encode(TeamShard(shard_id))))

        def on_result(result: WriteResult) -> None:
            if result.committed:
                self._on_accepted(pending_response, spec, shard_id)
            elif result.conflicted:
                # Usually the job's record exists: this controller or another accepted it before.
                self._respond_after_conflict(pending_response, spec.job_id)
            else:
                self.responder.send_unavailable(pending_response, "state service did not answer")

        write_interactive(self.context, conditions, changes, on_result)

    def _on_accepted(
        self, pending_response: PendingResponse, spec: Submission, shard_id: str
    ) -> None:
        log.info(
            "job accepted job=%s shard=%s tasks=%d class=%s",
            spec.job_id,
            shard_id,
            spec.task_count,
            spec.job_class,
        )
        cancelled = any(self.index.is_cancelled(job_id) for job_id in spec.depends_on or ())
        state = JobState.CANCELLED if cancelled else JobState.PENDING
        self.responder.send_status(
            pending_response, JobStatus(spec.job_id, state), HTTPStatus.CREATED
        )

    def _respond_after_conflict(self, pending_response: PendingResponse, job_id: str) -> None:
        """Respond with the job's state if it was accepted before, or that nothing was decided."""
        self.responder.respond_when_current(
            pending_response,
            job_id,
            on_missing=lambda: self.responder.send_unavailable(pending_response, NOT_DECIDED),
            unavailable_reason=NOT_DECIDED,
        )
