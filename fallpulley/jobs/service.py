"""All that a controller does about jobs apart from running them, behind one interface."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.admission import JobAdmission
from fallpulley.jobs.cancellation import JobCancellation
from fallpulley.jobs.dependencies import DependencyTracker
from fallpulley.jobs.job_index import JobEntry, JobIndex
from fallpulley.jobs.messages import JobRecord, Priority
from fallpulley.jobs.pipelines import Pipelines
from fallpulley.jobs.queries import JobQueries
from fallpulley.jobs.responses import JobResponder
from fallpulley.jobs.shard_choice import ShardChooser
from fallpulley.jobs.work_estimate import estimated_work_by_priority
from fallpulley.records.registry import Registry
from fallpulley.settings import Team
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)


class JobService:
    """Users' submissions, queries and cancellations, and the index of job records behind them."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        shard_of_team: Callable[[str], str | None],
    ) -> None:
        """`shard_of_team`: the shard for a team's new jobs; None: whichever has the least work."""
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
            ShardChooser(registry, self.teams, shard_of_team, self.estimated_work),
            self._queries,
            responder,
        )

    # -- users' requests -------------------------------------------------------------------

    def submit(self, pending_response: PendingResponse, body: bytes) -> None:
        """`POST /work`."""
        self._admission.submit(pending_response, body)

    def query(self, pending_response: PendingResponse, job_id: str) -> None:
        """`GET /work/{id}`."""
        self._queries.query(pending_response, job_id)

    def cancel(self, pending_response: PendingResponse, job_id: str) -> None:
        """`POST /work/{id}/abort`."""
        self._cancellation.cancel(pending_response, job_id)

    def drain_newly_cancelled(self) -> list[str]:
        """Jobs whose cancellation was made durable here since the last call."""
        return self._cancellation.drain_newly_cancelled()

    # -- records ---------------------------------------------------------------------------

    @property
    def entries(self) -> dict[str, JobEntry]:
        """Every job's record as last read, by job id."""
        return self._index.entries

    @property
    def open_by_shard(self) -> dict[str, set[str]]:
        """Ids of open jobs by shard id."""
        return self._index.open_by_shard

    @property
    def task_counts(self) -> dict[str, tuple[int, int]]:
        """Completed and running tasks of open jobs, as their owners last said: for display."""
        return self._index.task_counts

    def on_record(self, job_id: str, value: bytes | None, mod_revision: int) -> JobEntry | None:
        """A job's record as the watch brings it; returns its new entry, None if there is none."""
        if value is None:
            return None
        try:
            record = msgspec.json.decode(value, type=JobRecord)
        except msgspec.MsgspecError:
            log.error("job record malformed job=%s", job_id)
            return None
        entry = self._index.put(job_id, record, mod_revision)
        self._dependencies.on_entry(job_id, entry)
        return entry

    # -- dependencies ----------------------------------------------------------------------

    @property
    def pipelines(self) -> Pipelines:
        """The graph of dependencies between unfinished jobs."""
        return self._dependencies.pipelines

    @property
    def cancelled_with_dependencies(self) -> dict[str, dict[str, JobEntry]]:
        """Jobs by shard that are cancelled because one that they depend on is.

        Their own records do not say so yet.
        """
        return self._dependencies.cancelled_by_shard

    def drain_affected_jobs(self) -> set[str]:
        """Jobs that others' records made ready, cancelled or more urgent since the last call."""
        return self._dependencies.drain_affected_jobs()

    # -- work ------------------------------------------------------------------------------

    def estimated_work(self, shard_id: str) -> float:
        """Estimated work of a shard's unfinished jobs, in processor-seconds."""
        return sum(self.estimated_work_by_priority(shard_id).values())

    def estimated_work_by_priority(self, shard_id: str) -> dict[Priority, float]:
        """The same by the jobs' own priorities. Jobs that wait for others are no work yet."""
        return estimated_work_by_priority(self._index, self.pipelines, shard_id)
