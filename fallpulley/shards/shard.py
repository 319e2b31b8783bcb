"""A shard that this controller owns: its machines, its open jobs, and which tasks run where.

All of this is in memory only, and is rebuilt from the machines' heartbeats after a failover. Until
each machine of the shard has reported this owner's fencing token or is confirmed to hold no tasks,
tasks of jobs accepted before the failover may still be running somewhere, and are not started.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.messages import JobKind, JobRecord
from fallpulley.jobs.open_job import OpenJob
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.placement.estimate import Corrections, estimate_run_time
from fallpulley.placement.plan import Booking
from fallpulley.shards.attempt_numbers import AttemptNumbers
from fallpulley.shards.decisions import NULL_DECISION_SINK, DecisionSink
from fallpulley.shared_records.shard_record import MachineEntry, ShardRecord
from fallpulley.timing import CLOCK_DRIFT
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import TaskState

log = logging.getLogger(__name__)

# Bound to module names because they are read for every task or job: looking up a member of an
# enum takes ten times as long.
_EXITED = TaskState.EXITED
_SERVICE = JobKind.SERVICE

# A machine is faulty if tasks of this many different jobs failed on it, and it completed few tasks
# in comparison.
FAULTY_MACHINE_JOBS = 3
# Assumed run time of a service, in worker leases: it runs until it is cancelled, and is booked for
# this long at a time.
SERVICE_LEASES = 60.0


class TeamUsage(NamedTuple):
    """The processors and GPUs that all tasks of a team take together."""

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
        never_owned: bool,
    ) -> None:
        """Create the state of a shard that was just acquired.

        Args:
            context: The context of this controller.
            shard_id: The shard.
            record: The record that made this controller the owner.
            mod_revision: The revision of that record.
            never_owned: Whether the shard had no owner before.
        """
        self.context = context
        self.shard_id = shard_id

        # The record, and how the shard was acquired.
        self.record = record
        self.fencing_token = mod_revision  # the revision of the newest record
        self.acquired_revision = mod_revision
        self.acquired_at = context.now
        self.acquired_by_failover = not never_owned
        # Whether the record is to be written again, because a newer revision is needed to raise the
        # machines' tokens or to issue attempt numbers.
        self.needs_new_revision = False

        # By machine_id, at first in the record's order; an extension may change the order.
        self.machines = {
            machine_id: Machine(machine_id, entry, mod_revision, context.now)
            for machine_id, entry in record.machines.items()
        }
        self.last_heartbeat_at = float("-inf")  # when any machine last sent one
        # Machines whose occupancy flags are to be compared with whether they may hold tasks now; a
        # dict keeps them in order.
        self.occupancy_due: dict[str, None] = dict.fromkeys(self.machines)
        # Machines that may hold tasks that this owner does not know of.
        self.unreconciled = {
            machine_id for machine_id, entry in record.machines.items() if entry.occupied
        }
        # Machines whose heartbeats arrive, but do not show that this owner's responses reach them.
        self.unacknowledged: set[str] = set()

        # Jobs, and what is planned for them.
        self.jobs: dict[str, OpenJob] = {}
        self.progress_loaded = never_owned  # whether the jobs' stored progress has been read
        self.bookings: dict[str, list[Booking]] = {}  # tasks to start now, by machine_id
        self.needs_replan = True
        self.attempt_numbers = AttemptNumbers(mod_revision)
        self.corrections = Corrections()

        self.decisions: DecisionSink = NULL_DECISION_SINK

    @property
    def first_attempt(self) -> int:
        """Lower bound of the attempt numbers that this owner issues."""
        return self.attempt_numbers.first

    # -- jobs ------------------------------------------------------------------------------

    def add_job(
        self, job_id: str, record: JobRecord, mod_revision: int, node: DependencyNode | None
    ) -> None:
        """Add an open job that is to run in this shard, unless its record has no specification.

        `node` is the job's place in a pipeline, None if it belongs to none.
        """
        if record.spec is None:
            return
        self.jobs[job_id] = OpenJob(job_id, record, record.spec, mod_revision, node)
        self.needs_replan = True

    def is_unreconciled(self, job: OpenJob) -> bool:
        """Return whether tasks of the job may be running that this owner does not know of."""
        if not self.unreconciled and self.progress_loaded:
            return False
        return job.mod_revision <= self.acquired_revision

    def runs(self) -> Iterator[TaskRun]:
        """Yield all attempts that are not confirmed gone, machine by machine."""
        for machine in self.machines.values():
            yield from machine.runs.values()

    def team_usage(self, team: str) -> TeamUsage:
        """Return what a team's tasks take, counting all attempts that are not confirmed gone."""
        cpus = gpus = 0.0
        for job in self.jobs.values():
            if job.spec.team == team:
                cpus += job.resources.cpus * len(job.runs)
                gpus += job.resources.gpus * len(job.runs)
        return TeamUsage(cpus, gpus)

    def has_unknown_tasks(self) -> bool:
        """Return whether a machine has a task that is not an attempt known to this owner.

        Most likely its job has ended, so that its resources and its team are no longer recorded.
        """
        return any(
            status.state is not _EXITED and task_id not in machine.runs
            for machine in self.machines.values()
            for task_id, status in machine.tasks.items()
        )

    def estimate_run_s(self, job: OpenJob) -> float:
        """Return the estimated run time of a task, in seconds, without its image fetch."""
        if job.spec.kind is _SERVICE:
            return SERVICE_LEASES * self.context.timing.lease_s
        corrected_s = job.spec.estimated_run_s * self.corrections.factor(job.spec.job_class)
        return estimate_run_time(
            corrected_s, job.run_times.observed_tasks, job.run_times.observed_run_s
        )

    # -- machines --------------------------------------------------------------------------

    def apply_record(self, record: ShardRecord, mod_revision: int) -> None:
        """Apply a newer record of the shard, in which machines were added or removed."""
        self.record = record
        self.fencing_token = mod_revision
        self.needs_new_revision = False
        for machine_id in sorted(self.machines.keys() - record.machines.keys()):
            self._remove_machine(machine_id)
        if len(self.machines) < len(record.machines):
            # Added in the record's order; the order of a set would differ from run to run.
            for machine_id in [
                machine_id for machine_id in record.machines if machine_id not in self.machines
            ]:
                self._add_machine(machine_id, record.machines[machine_id])
        for machine_id in self.unacknowledged:
            if self.machines[machine_id].fencing.token_confirmed:
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
            "machine granted to shard machine=%s shard=%s token=%d",
            machine_id,
            self.shard_id,
            self.fencing_token,
        )
        self.decisions.machine_granted(machine_id)

    def confirm_gone(self, machine_id: str) -> None:
        """Record that the machine and all of its tasks are gone, as the cloud has confirmed."""
        if machine_id in self.unreconciled:
            log.info(
                "cloud confirmed that the machine is gone machine=%s shard=%s",
                machine_id,
                self.shard_id,
            )
            self.unreconciled.discard(machine_id)
            self.needs_replan = True

    def previous_owners_expired(self) -> bool:
        """Return whether the response windows of all previous owners have ended."""
        return (
            self.context.now
            > self.acquired_at + self.context.timing.response_window_s * CLOCK_DRIFT
        )

    # -- runs ------------------------------------------------------------------------------

    def drop_runs(self, machine: Machine, reason: str) -> None:
        """Drop all attempts on a machine that is confirmed to hold no tasks any more."""
        if machine.runs:
            log.info(
                "attempts on machine confirmed gone machine=%s reason=%s count=%d",
                machine.machine_id,
                reason,
                len(machine.runs),
            )
        for run in list(machine.runs.values()):
            self.drop_run(run)
        machine.runs.clear()
        machine.tasks = {}
        machine.heartbeat.reported_tasks = []
        machine.placement_snapshot = None
        self.needs_replan = True
        self.occupancy_due[machine.machine_id] = None

    def drop_run(self, run: TaskRun) -> None:
        """Drop an attempt that is confirmed gone, and requeue its task."""
        job = self.jobs.get(run.job_id)
        if job is None or job.runs.get(run.task_index) is not run:
            return
        del job.runs[run.task_index]
        self.decisions.task_ended(run, "gone")
        job.requeue(run.task_index)
        self.needs_replan = True
        if job.ended and not job.runs:
            self.jobs.pop(job.job_id, None)
