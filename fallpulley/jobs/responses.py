"""Responses about jobs. They rely on durable records only."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.job_index import JobEntry, JobIndex
from fallpulley.jobs.messages import FINAL_STATES, JobState, JobStatus
from fallpulley.state.watch_cache import WatchCache

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
        """Respond with the state of a job as its entry has it."""
        self.send_status(pending_response, self._status(job_id, entry))

    def send_unavailable(self, pending_response: PendingResponse, reason: str) -> None:
        """Nothing is decided: the user may ask again after a while."""
        body = msgspec.json.encode({"error": reason})
        self.context.respond(
            pending_response, HTTPStatus.SERVICE_UNAVAILABLE, body, RETRY_AFTER_SECONDS
        )

    def send_error(self, pending_response: PendingResponse, http_status: int, reason: str) -> None:
        """The request cannot be carried out, now or later."""
        self.context.respond(pending_response, http_status, msgspec.json.encode({"error": reason}))

    def send_no_such_job(self, pending_response: PendingResponse) -> None:
        """No job of this id was ever accepted."""
        self.send_error(pending_response, HTTPStatus.NOT_FOUND, "no such job")

    def when_current(
        self,
        pending_response: PendingResponse,
        job_id: str,
        on_missing: Callable[[], None],
        on_open: Callable[[JobEntry], None] | None = None,
        unavailable_reason: str = STATE_SERVICE_UNREACHABLE,
    ) -> None:
        """Respond with the job's state by a copy of the records read from now on.

        A final state never changes, so it is sent even if that read fails; else the response is
        then "unavailable". `on_missing` is called if the job was never accepted, `on_open` if it is
        open (None: its state is sent).
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
