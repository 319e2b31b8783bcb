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
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.decisions import IGNORED_DECISIONS, DecisionSink
from fallpulley.shards.fencing import Fencing
from fallpulley.shards.heartbeat_intake import HeartbeatIntake
from fallpulley.shards.lease_watch import LeaseWatch
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
        # Earlier holders may answer their machines until their windows end; a machine that
        # cannot be reached is empty a lease later.
        self.unreachable_empty_at = (
            context.now + context.timing.response_window_s + context.timing.lease_expiry_s
        )
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
        self.fencing = Fencing(self)
        self.lease_expiry = LeaseWatch()
        self.commands = MachineCommands(self)
        self.intake = HeartbeatIntake(self)
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

    def end_job(self, job: OpenJob, withdrawn: bool) -> None:
        """The record is final: nothing of the job may start or go on."""
        job.cancelled = True
        self.needs_replan = True
        for run in list(job.runs.values()):
            self.commands.stop(run, 0.0)
        if not job.runs:
            self.jobs.pop(job.job_id, None)
        log.info("job ended job=%s withdrawn=%s runs=%d", job.job_id, withdrawn, len(job.runs))

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
        return run_estimate(corrected, job.observed_tasks, job.observed_run_s)

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

    def stop_broken_gangs(self) -> None:
        """What is left of an ensemble that lost a task makes room for all to start anew."""
        for job in self.jobs.values():
            if not job.gang_restarting:
                continue
            if not job.runs:
                job.gang_restarting = False
                self.needs_replan = True
            for run in job.runs.values():
                if run.stop_grace_s is None:
                    self.commands.stop(run, job.spec.checkpoint_save_s)

    def expire_leases(self, fresh_at: float) -> None:
        """Machines whose lease is certainly over hold nothing any more.

        A machine that left us may be answered by a new holder while we, cut off from the state
        service, still serve the rest. Its lease is over only if it ran out before our last look
        at the records (`fresh_at`), which showed the block as ours.
        """
        until = min(self.context.now, fresh_at)
        for machine_id in self.lease_expiry.due(until):
            machine = self.machines.get(machine_id)
            if machine is None or not (machine.heartbeat.online or machine.runs):
                continue
            if until > self._lease_expires_at(machine):
                self._on_lease_expired(machine)
            else:
                self.watch_lease(machine)
        if self.unreconciled and until > self.unreachable_empty_at:
            # Our own answers renew leases too, even of machines that have not reported since.
            empty = {
                machine_id
                for machine_id in self.unreconciled
                if until
                > self.machines[machine_id].heartbeat.responded_at
                + self.context.timing.lease_expiry_s
            }
            if empty:
                log.info("machines proved empty block=%s n=%d", self.shard_id, len(empty))
                self.unreconciled -= empty
                self.needs_replan = True

    def _lease_expires_at(self, machine: Machine) -> float:
        # A check-in that is about to be answered counts as answered: its reply goes out
        # after this look, and renews the lease.
        last = max(machine.heartbeat.responded_at, machine.heartbeat.received_at)
        if not machine.heartbeat.online:
            # Its tasks are known from answers of `/do` alone, which renew no lease; a former
            # holder's answers may have.
            return max(last + self.context.timing.lease_expiry_s, self.unreachable_empty_at)
        return last + self.context.timing.lease_expiry_s

    def watch_lease(self, machine: Machine) -> None:
        """Look at the machine again once its lease may be over."""
        if machine.heartbeat.online or machine.runs:
            self.lease_expiry.watch(machine.machine_id, self._lease_expires_at(machine))

    def _on_lease_expired(self, machine: Machine) -> None:
        log.info("machine silent machine=%s", machine.machine_id)
        machine.heartbeat.online = False
        machine.images.cached.clear()
        self.decisions.machine_reachability_changed(machine.machine_id, False)
        self.drop_runs(machine, "lease")

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

    def on_previous_owners_ended(self) -> None:
        """The earlier holders' processes are gone: they answer nobody from now on."""
        self.unreachable_empty_at = min(
            self.unreachable_empty_at, self.context.now + self.context.timing.lease_expiry_s
        )
        self.lease_expiry.clear()
        for machine in self.machines.values():
            self.watch_lease(machine)

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
