"""The interface to everything that a controller does about jobs except running them."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.admission import JobAdmission
from fallpulley.jobs.cancellation import JobCancellation
from fallpulley.jobs.dependencies import DependencyTracker
from fallpulley.jobs.job_index import JobEntry, JobIndex
from fallpulley.jobs.messages import JobRecord, Priority
from fallpulley.jobs.pipelines import Pipelines
from fallpulley.jobs.queries import JobQueries
from fallpulley.jobs.responses import JobResponder
from fallpulley.jobs.shard_chooser import JobShardChooser
from fallpulley.jobs.work_estimate import estimated_work_by_priority
from fallpulley.settings import Team
from fallpulley.shared_records.registry import Registry
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)


class JobService:
    """Handles users' submissions, queries and cancellations, and keeps the index of job records."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        shard_of_team: Callable[[str], str | None],
    ) -> None:
        """Create the service.

        Args:
            context: The controller's context.
            watch: The copy of the shared records.
            registry: The shards and their machines.
            shard_of_team: Returns the id of the shard for a team's new jobs; None if any shard may
                take them.
        """
        self.teams: dict[str, Team] = {team.name: team for team in context.settings.facts.teams}
        self._index = JobIndex()
        self._dependencies = DependencyTracker(context, registry, self._index)
        responder = JobResponder(context, watch, self._index)
        self._queries = JobQueries(self._index, responder)
        self._cancellation = JobCancellation(context, self._index, responder)
        self._admission = JobAdmission(
            context,
            watch,
            registry,
            self._index,
            self.teams,
            JobShardChooser(registry, self.teams, shard_of_team, self.estimated_work),
            self._queries,
            responder,
        )

    # -- users' requests -------------------------------------------------------------------

    def submit(self, pending_response: PendingResponse, body: bytes) -> None:
        """Handle `POST /work`: accept a job, or respond with the state of one accepted before."""
        self._admission.submit(pending_response, body)

    def query(self, pending_response: PendingResponse, job_id: str) -> None:
        """Handle `GET /work/{id}`: respond with the state of a job."""
        self._queries.query(pending_response, job_id)

    def cancel(self, pending_response: PendingResponse, job_id: str) -> None:
        """Handle `POST /work/{id}/abort`: cancel a job."""
        self._cancellation.cancel(pending_response, job_id)

    def drain_newly_cancelled(self) -> list[str]:
        """Return the jobs whose cancellations this controller made durable since the last call."""
        return self._cancellation.drain_newly_cancelled()

    # -- records ---------------------------------------------------------------------------

    @property
    def entries(self) -> dict[str, JobEntry]:
        """The entries of all jobs, as last read, by job id."""
        return self._index.entries

    @property
    def open_job_ids_by_shard(self) -> dict[str, set[str]]:
        """The ids of open jobs by shard id."""
        return self._index.open_job_ids_by_shard

    @property
    def task_counts(self) -> dict[str, tuple[int, int]]:
        """The numbers of completed and running tasks of open jobs by job id.

        The owners of the jobs' shards report them. They may be out of date, so they are used only
        in responses to users and in estimates of work.
        """
        return self._index.task_counts

    def on_record(self, job_id: str, value: bytes | None, mod_revision: int) -> JobEntry | None:
        """Apply a change of a job's record and return the job's new entry.

        Returns None, and changes nothing, if the record was deleted (`value` is None) or cannot be
        decoded.
        """
        if value is None:
            return None
        try:
            record = msgspec.json.decode(value, type=JobRecord)
        except msgspec.MsgspecError:
            log.error("job record cannot be decoded job=%s", job_id)
            return None
        entry = self._index.put(job_id, record, mod_revision)
        self._dependencies.on_entry(job_id, entry)
        return entry

    # -- dependencies ----------------------------------------------------------------------

    @property
    def pipelines(self) -> Pipelines:
        """The graph of dependencies between open jobs."""
        return self._dependencies.pipelines

    @property
    def cancelled_dependents(self) -> dict[str, dict[str, JobEntry]]:
        """The jobs that are cancelled because a dependency is: shard id -> job id -> entry.

        Their own stored records do not say so yet.
        """
        return self._dependencies.cancelled_dependents

    def drain_affected_jobs(self) -> set[str]:
        """Return the jobs that records of other jobs have affected since the last call."""
        return self._dependencies.drain_affected_jobs()

    # -- work ------------------------------------------------------------------------------

    def estimated_work(self, shard_id: str) -> float:
        """Return the estimated work left in a shard's open jobs, in processor-seconds."""
        return sum(self.estimated_work_by_priority(shard_id).values())

    def estimated_work_by_priority(self, shard_id: str) -> dict[Priority, float]:
        """Return the estimated work of a shard's open jobs, in processor-seconds by priority.

        Jobs whose dependencies are not all done do not count.
        """
        return estimated_work_by_priority(self._index, self.pipelines, shard_id)
