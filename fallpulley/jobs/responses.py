"""Responses to users about jobs, based only on durable records."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.job_index import JobEntry, JobIndex
from fallpulley.jobs.messages import FINAL_STATES, JobState, JobStatus
from fallpulley.state.watch_cache import WatchCache

# The Retry-After header of responses that ask the user to try again.
RETRY_AFTER_SECONDS = 1.0

STATE_SERVICE_UNREACHABLE = "state service out of reach"
NOT_DECIDED = "not decided, ask again"


class JobResponder:
    """Responds to users' requests with a job's state or an error."""

    def __init__(self, context: ControllerContext, watch: WatchCache, index: JobIndex) -> None:
        self.context = context
        self.watch = watch
        self.index = index

    def send_status(
        self,
        pending_response: PendingResponse,
        status: JobStatus,
        http_status: int = HTTPStatus.OK,
    ) -> None:
        """Respond with a job's status."""
        self.context.respond(pending_response, http_status, msgspec.json.encode(status))

    def send_state(self, pending_response: PendingResponse, job_id: str, entry: JobEntry) -> None:
        """Respond with the state of a job according to its entry."""
        self.send_status(pending_response, self._status(job_id, entry))

    def send_unavailable(self, pending_response: PendingResponse, reason: str) -> None:
        """Respond that nothing was decided and that the user may try again after a pause."""
        body = msgspec.json.encode({"error": reason})
        self.context.respond(
            pending_response, HTTPStatus.SERVICE_UNAVAILABLE, body, RETRY_AFTER_SECONDS
        )

    def send_error(self, pending_response: PendingResponse, http_status: int, reason: str) -> None:
        """Respond that the request cannot be carried out, now or later."""
        self.context.respond(pending_response, http_status, msgspec.json.encode({"error": reason}))

    def send_no_such_job(self, pending_response: PendingResponse) -> None:
        """Respond that no job with this id was ever accepted."""
        self.send_error(pending_response, HTTPStatus.NOT_FOUND, "no such job")

    def respond_when_current(
        self,
        pending_response: PendingResponse,
        job_id: str,
        on_missing: Callable[[], None],
        on_open: Callable[[JobEntry], None] | None = None,
        unavailable_reason: str = STATE_SERVICE_UNREACHABLE,
    ) -> None:
        """Respond about a job after a read of the records that starts now, so that it is current.

        A final state never changes, so it is sent even if the read fails. Otherwise, the response
        after a failed read is "unavailable".

        Args:
            pending_response: Takes the response.
            job_id: The job's id.
            on_missing: Called if the job was never accepted.
            on_open: Called with the job's entry if it is open; if None, its state is sent.
            unavailable_reason: The reason in the response after a failed read.
        """

        def on_current(is_current: bool) -> None:
            entry = self.index.entries.get(job_id)
            if entry is not None and entry.state in FINAL_STATES:
                self.send_state(pending_response, job_id, entry)
            elif not is_current:
                self.send_unavailable(pending_response, unavailable_reason)
            elif entry is None:
                on_missing()
            elif on_open is not None:
                on_open(entry)
            else:
                self.send_state(pending_response, job_id, entry)

        self.watch.when_current(on_current, self.context.now)

    def _status(self, job_id: str, entry: JobEntry) -> JobStatus:
        if entry.state is JobState.DONE:
            return JobStatus(job_id, entry.state, entry.task_count, 0)
        if entry.state is JobState.OPEN:
            completed, running = self.index.task_counts.get(job_id, (0, 0))
            state = JobState.RUNNING if running else JobState.PENDING
            return JobStatus(job_id, state, completed, running)
        return JobStatus(job_id, entry.state)
