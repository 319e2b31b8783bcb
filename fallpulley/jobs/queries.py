"""Users' queries for the state of a job."""

from __future__ import annotations

from fallpulley.effects import PendingResponse
from fallpulley.jobs.job_index import JobIndex
from fallpulley.jobs.messages import FINAL_STATES, JOB_ID_PATTERN
from fallpulley.jobs.responses import JobResponder


class JobQueries:
    """Handles `GET /work/{id}`."""

    def __init__(self, index: JobIndex, responder: JobResponder) -> None:
        self.index = index
        self.responder = responder

    def query(self, pending_response: PendingResponse, job_id: str) -> None:
        """Respond with the state of a job, or with 404 if it was never accepted.

        A final state is taken from memory. Any other state is sent only after a read of the records
        that starts now, so that it is current.
        """
        if not JOB_ID_PATTERN.fullmatch(job_id):
            self.responder.send_no_such_job(pending_response)
            return
        entry = self.index.entries.get(job_id)
        if entry is not None and entry.state in FINAL_STATES:
            self.responder.send_state(pending_response, job_id, entry)
            return
        self.responder.respond_when_current(
            pending_response, job_id, lambda: self.responder.send_no_such_job(pending_response)
        )
