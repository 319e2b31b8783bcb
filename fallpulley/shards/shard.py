"""A shard that this controller owns: its machines, its open jobs, and which tasks run where.

In memory only. After a failover all of it is rebuilt from the machines' own heartbeats; until
each machine of the shard has sent one with our token or is confirmed empty, tasks of jobs
accepted before may still be running somewhere and are not started.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

from fallpulley.context import ControllerContext
from fallpulley.jobs.messages import JobKind, JobRecord
from fallpulley.jobs.open_job import OpenJob
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.placement.estimate import Corrections, run_estimate
from fallpulley.placement.plan import Booking
from fallpulley.records.shard_record import MachineEntry, ShardRecord
from fallpulley.shards.attempt_numbers import AttemptNumbers
from fallpulley.shards.decisions import IGNORED_DECISIONS, DecisionSink
from fallpulley.timing import CLOCK_DRIFT
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import TaskState

log = logging.getLogger(__name__)

# Read for every task or job: a member of an enum takes ten times as long to look up.
_EXITED = TaskState.EXITED
_SERVICE = JobKind.SERVICE

# A machine on which so many different jobs failed, and that completed less, is faulty.
FAULTY_MACHINE_JOBS = 3
# A service runs until it is cancelled; it is booked for so many worker leases at a time.
SERVICE_LEASES = 60.0


class TeamUsage(NamedTuple):
    """What the tasks of a team take, summed up."""

    cpus: float
    gpus: float


class Shard:
    """The state of one owned shard, from its acquisition until another controller owns it."""

    def __init__(
        self,
        context: ControllerContext,
        shard_id: str,
        record: ShardRecord,
        mod_revision: int,
        fresh: bool,
    ):
        """`record` and `mod_revision`: what made this controller the owner; `fresh`: nobody owned
        the shard before."""
        self.context = context
        self.shard_id = shard_id

        # The record, and how the shard was acquired.
        self.record = record
        self.fencing_token = mod_revision  # of the newest record
        self.acquired_revision = mod_revision
        self.acquired_at = context.now
        self.acquired_by_failover = not fresh
        # The record needs a newer revision, to raise machines' tokens and to count attempts with.
        self.needs_new_revision = False

        # Machines by machine_id, at first in the record's order; an extension may rearrange them.
        self.machines = {
            machine_id: Machine(machine_id, entry, mod_revision, context.now)
            for machine_id, entry in record.machines.items()
        }
        self.last_heartbeat_at = float("-inf")  # of any machine
        # Machines whose occupancy flags are to be compared with what they may hold now.
        self.occupancy_due: dict[str, None] = dict.fromkeys(self.machines)
        # Machines that may hold tasks we do not know of.
        self.unreconciled = {
            machine_id for machine_id, entry in record.machines.items() if entry.occupied
        }
        # Machines whose heartbeats come without showing that our responses reach them.
        self.unacknowledged: set[str] = set()

        # Jobs, and what is planned for them.
        self.jobs: dict[str, OpenJob] = {}
        self.progress_loaded = fresh  # the jobs' stored progress has been read
        self.bookings: dict[str, list[Booking]] = {}  # tasks to start now, by machine
        self.needs_replan = True
        self.attempt_numbers = AttemptNumbers(mod_revision)
        self.corrections = Corrections()

        self.decisions: DecisionSink = IGNORED_DECISIONS

    @property
    def first_attempt(self) -> int:
        """Attempts of this owner have this number or a higher one."""
        return self.attempt_numbers.first

    # -- jobs ------------------------------------------------------------------------------

    def add_job(
        self, job_id: str, record: JobRecord, mod_revision: int, node: DependencyNode | None
    ) -> None:
        """An open job is to run here; `node`: its place in a pipeline, if it has one."""
        if record.spec is None:
            return
        self.jobs[job_id] = OpenJob(job_id, record, record.spec, mod_revision, node)
        self.needs_replan = True

    def is_unreconciled(self, job: OpenJob) -> bool:
        """Whether tasks of the job may be running that we do not know of."""
        if not self.unreconciled and self.progress_loaded:
            return False
        return job.mod_revision <= self.acquired_revision

    def runs(self) -> Iterator[TaskRun]:
        """All attempts that are not confirmed gone, by machine."""
        for machine in self.machines.values():
            yield from machine.runs.values()

    def team_usage(self, team: str) -> TeamUsage:
        """What the tasks of a team take, counting all that are not confirmed gone."""
        cpus = gpus = 0.0
        for job in self.jobs.values():
            if job.spec.team == team:
                cpus += job.resources.cpus * len(job.runs)
                gpus += job.resources.gpus * len(job.runs)
        return TeamUsage(cpus, gpus)

    def has_unknown_tasks(self) -> bool:
        """Whether a machine has tasks of no open job: most likely of one that has ended, so that
        no record says what they take, or for which team."""
        return any(
            status.state is not _EXITED and task_id not in machine.runs
            for machine in self.machines.values()
            for task_id, status in machine.tasks.items()
        )

    def estimate_run_s(self, job: OpenJob) -> float:
        """How long a task of the job runs, in seconds, without its image fetch."""
        if job.spec.kind is _SERVICE:
            return SERVICE_LEASES * self.context.timing.lease_s
        corrected_s = job.spec.estimated_run_s * self.corrections.factor(job.spec.job_class)
        return run_estimate(corrected_s, job.run_times.tasks, job.run_times.total_s)

    # -- machines --------------------------------------------------------------------------

    def apply_record(self, record: ShardRecord, mod_revision: int) -> None:
        """A newer record of the shard: machines came or left."""
        self.record = record
        self.fencing_token = mod_revision
        self.needs_new_revision = False
        for machine_id in sorted(self.machines.keys() - record.machines.keys()):
            self._remove_machine(machine_id)
        if len(self.machines) < len(record.machines):
            # In the record's order: a set's would differ from run to run.
            for machine_id in [
                machine_id for machine_id in record.machines if machine_id not in self.machines
            ]:
                self._add_machine(machine_id, record.machines[machine_id])
        for machine_id in self.unacknowledged:
            if self.machines[machine_id].fencing.fenced:
                self.machines[machine_id].fencing.advance_token(mod_revision)
        self.needs_replan = True

    def _remove_machine(self, machine_id: str) -> None:
        machine = self.machines.pop(machine_id)
        self.drop_runs(machine, "left shard")
        self.unreconciled.discard(machine_id)
        self.unacknowledged.discard(machine_id)
        self.decisions.machine_released(machine_id)

    def _add_machine(self, machine_id: str, entry: MachineEntry) -> None:
        self.machines[machine_id] = Machine(machine_id, entry, self.fencing_token, self.context.now)
        self.occupancy_due[machine_id] = None
        log.info(
            "machine granted machine=%s shard=%s token=%d",
            machine_id,
            self.shard_id,
            self.fencing_token,
        )
        self.decisions.machine_granted(machine_id)

    def confirm_gone(self, machine_id: str) -> None:
        """The cloud has confirmed that the machine is gone, and all of its tasks with it."""
        if machine_id in self.unreconciled:
            log.info("machine confirmed gone machine=%s shard=%s", machine_id, self.shard_id)
            self.unreconciled.discard(machine_id)
            self.needs_replan = True

    def previous_owners_expired(self) -> bool:
        """Whether the response windows of all previous owners have ended."""
        return (
            self.context.now
            > self.acquired_at + self.context.timing.response_window_s * CLOCK_DRIFT
        )

    # -- runs ------------------------------------------------------------------------------

    def drop_runs(self, machine: Machine, reason: str) -> None:
        """The machine is confirmed to hold no tasks any more."""
        if machine.runs:
            log.info(
                "tasks dropped machine=%s reason=%s count=%d",
                machine.machine_id,
                reason,
                len(machine.runs),
            )
        for run in list(machine.runs.values()):
            self.drop_run(run)
        machine.runs.clear()
        machine.tasks = {}
        machine.heartbeat.reported_tasks = []
        machine.snapshot = None
        self.needs_replan = True
        self.occupancy_due[machine.machine_id] = None

    def drop_run(self, run: TaskRun) -> None:
        """An attempt is confirmed gone: its task is to be started again."""
        job = self.jobs.get(run.job_id)
        if job is None or job.runs.get(run.task_index) is not run:
            return
        del job.runs[run.task_index]
        self.decisions.task_gone(run, "gone")
        job.requeue(run.task_index)
        self.needs_replan = True
        if job.cancelled and not job.runs:
            self.jobs.pop(job.job_id, None)
