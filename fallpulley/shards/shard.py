"""A block this controller holds: its machines, its open jobs, and what runs where.

In memory only. After a takeover all of it is rebuilt from the machines' own reports; until
each machine of the block has reported under our token or is proved empty, tasks of jobs
accepted before the takeover may still be running somewhere and are not started.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

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

# A machine on which so many different jobs failed, and that completed less, is faulty.
FAULTY_MACHINE_JOBS = 3
# A service runs until it is cancelled; it is booked for so many worker leases at a time.
SERVICE_LEASES = 60.0


class Shard:
    def __init__(
        self,
        context: ControllerContext,
        shard_id: str,
        record: ShardRecord,
        mod_revision: int,
        fresh: bool,
    ):
        self.context = context
        self.shard_id = shard_id
        self.record = record
        self.fencing_token = mod_revision
        self.acquired_revision = mod_revision
        self.acquired_at = context.now
        self.machines = {
            machine_id: Machine(machine_id, entry, mod_revision, context.now)
            for machine_id, entry in record.machines.items()
        }
        # Machines that may hold tasks we do not know of.
        self.unreconciled = {
            machine_id for machine_id, entry in record.machines.items() if entry.occupied
        }
        self.acquired_by_failover = not fresh
        self.progress_loaded = fresh  # progress values have been read
        self.jobs: dict[str, OpenJob] = {}
        self.bookings: dict[str, list[Booking]] = {}
        self.needs_replan = True
        self.attempt_numbers = AttemptNumbers(mod_revision)
        self.last_heartbeat_at = float("-inf")  # when any machine last checked in
        self.needs_new_revision = (
            False  # a newer stamp of the record is wanted, to raise tokens with
        )
        # Machines whose marks in the record are to follow what they may hold now.
        self.occupancy_due: dict[str, None] = dict.fromkeys(self.machines)
        self.unacknowledged: set[str] = set()  # machines that do not show that they hear us
        self.corrections = Corrections()
        self.decisions: DecisionSink = IGNORED_DECISIONS

    @property
    def first_attempt(self) -> int:
        """Attempts of this holder have this number or a higher one."""
        return self.attempt_numbers.first

    # -- jobs ------------------------------------------------------------------------------

    def add_job(
        self, job: str, record: JobRecord, mod_revision: int, node: DependencyNode | None
    ) -> None:
        """`node`: its place in a pipeline, if it has one."""
        if record.spec is None:
            return
        self.jobs[job] = OpenJob(job, record, record.spec, mod_revision, node)
        self.needs_replan = True

    def is_unreconciled(self, job: OpenJob) -> bool:
        """Tasks of this job may be running where we cannot see them."""
        if not self.unreconciled and self.progress_loaded:
            return False
        return job.mod_revision <= self.acquired_revision

    def runs(self) -> Iterator[TaskRun]:
        for machine in self.machines.values():
            yield from machine.runs.values()

    def team_usage(self, team: str) -> tuple[float, float]:
        """What a team's tasks use, counting all that are not proved gone."""
        cpus = gpus = 0.0
        for job in self.jobs.values():
            if job.spec.team == team:
                cpus += job.resources.cpus * len(job.runs)
                gpus += job.resources.gpus * len(job.runs)
        return cpus, gpus

    def has_unknown_tasks(self) -> bool:
        """A machine has tasks that no open job of ours accounts for: of a job that has ended,
        most likely, whose record no longer says what they take, or for whom."""
        return any(
            status.state != TaskState.EXITED and name not in machine.runs
            for machine in self.machines.values()
            for name, status in machine.tasks.items()
        )

    def estimate_run_s(self, job: OpenJob) -> float:
        if job.spec.kind == JobKind.SERVICE:
            return SERVICE_LEASES * self.context.timing.lease_s
        corrected = job.spec.estimated_run_s * self.corrections.factor(job.spec.job_class)
        return run_estimate(corrected, job.run_times.tasks, job.run_times.total_s)

    # -- machines --------------------------------------------------------------------------

    def apply_record(self, record: ShardRecord, mod_revision: int) -> None:
        """A newer record of the block we hold: machines came or went."""
        self.record = record
        self.fencing_token = mod_revision
        self.needs_new_revision = False
        for machine_id in sorted(self.machines.keys() - record.machines.keys()):
            machine = self.machines.pop(machine_id)
            self.drop_runs(machine, "left")
            self.unreconciled.discard(machine_id)
            self.unacknowledged.discard(machine_id)
            self.decisions.machine_released(machine_id)
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

    def _add_machine(self, machine_id: str, entry: MachineEntry) -> None:
        self.machines[machine_id] = Machine(machine_id, entry, self.fencing_token, self.context.now)
        self.occupancy_due[machine_id] = None
        log.info(
            "machine granted machine=%s block=%s term=%d",
            machine_id,
            self.shard_id,
            self.fencing_token,
        )
        self.decisions.machine_granted(machine_id)

    def drop_runs(self, machine: Machine, why: str) -> None:
        """The machine's tasks are proved gone."""
        if machine.runs:
            log.info(
                "tasks gone machine=%s why=%s tasks=%d", machine.machine_id, why, len(machine.runs)
            )
        for run in list(machine.runs.values()):
            self.drop_run(run)
        machine.runs.clear()
        machine.tasks = {}
        machine.heartbeat.reported_tasks = []
        machine.snapshot = None
        self.needs_replan = True
        self.occupancy_due[machine.machine_id] = None

    def confirm_gone(self, machine_id: str) -> None:
        """The cloud has confirmed that the machine is gone."""
        if machine_id in self.unreconciled:
            log.info("machine proved gone machine=%s block=%s", machine_id, self.shard_id)
            self.unreconciled.discard(machine_id)
            self.needs_replan = True

    def previous_owners_expired(self) -> bool:
        """The answer window of every earlier holder is over."""
        return (
            self.context.now
            > self.acquired_at + self.context.timing.response_window_s * CLOCK_DRIFT
        )

    def drop_run(self, run: TaskRun) -> None:
        """An attempt is proved gone: its task is to be started again."""
        job = self.jobs.get(run.job_id)
        if job is None or job.runs.get(run.task_index) is not run:
            return
        del job.runs[run.task_index]
        self.decisions.task_gone(run, "gone")
        job.requeue(run.task_index)
        self.needs_replan = True
        if job.cancelled and not job.runs:
            self.jobs.pop(job.job_id, None)
