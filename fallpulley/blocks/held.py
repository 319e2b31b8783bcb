"""A block this controller holds: its machines, its open jobs, and what runs where.

In memory only. After a takeover all of it is rebuilt from the machines' own reports; until
each machine of the block has reported under our token or is proved empty, tasks of jobs
accepted before the takeover may still be running somewhere and are not started.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

from fallpulley.blocks.attempts import AttemptNumbers
from fallpulley.blocks.commands import MachineCommands
from fallpulley.blocks.decisions import IGNORED_DECISIONS, DecisionSink
from fallpulley.blocks.fencing import Fencing
from fallpulley.blocks.intake import HeartbeatIntake
from fallpulley.blocks.messages import BlockRecord, MachineEntry
from fallpulley.blocks.silence import LeaseWatch
from fallpulley.core import DRIFT, Core
from fallpulley.jobs.messages import JobKind, JobRecord
from fallpulley.jobs.open import OpenJob
from fallpulley.jobs.pipelines import DependencyNode
from fallpulley.placement.estimate import Corrections, run_estimate
from fallpulley.placement.plan import Booking
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import TaskState

log = logging.getLogger(__name__)

# A machine on which so many different jobs failed, and that completed less, is faulty.
FAULTY_JOBS = 3
# A service runs until it is cancelled; it is booked for so many worker leases at a time.
SERVICE_LEASES = 60.0


class HeldBlock:
    def __init__(self, core: Core, label: str, record: BlockRecord, stamp: int, fresh: bool):
        self.core = core
        self.label = label
        self.record = record
        self.token = stamp
        self.taken_stamp = stamp
        self.taken_at = core.now
        # Earlier holders may answer their machines until their windows end; a machine that
        # cannot be reached is empty a lease later.
        self.empty_at = core.now + core.window_s + core.lease_over_s
        self.machines = {
            machine_id: Machine(machine_id, entry, stamp, core.now)
            for machine_id, entry in record.machines.items()
        }
        # Machines that may hold tasks we do not know of.
        self.unconfirmed = {
            machine_id for machine_id, entry in record.machines.items() if entry.occupied
        }
        self.taken_over = not fresh
        self.loaded = fresh  # progress values have been read
        self.jobs: dict[str, OpenJob] = {}
        self.booked: dict[str, list[Booking]] = {}
        self.dirty = True
        self.attempts = AttemptNumbers(stamp)
        self.fencing = Fencing(self)
        self.leases = LeaseWatch()
        self.commands = MachineCommands(self)
        self.intake = HeartbeatIntake(self)
        self.heard_at = float("-inf")  # when any machine last checked in
        self.touch = False  # a newer stamp of the record is wanted, to raise tokens with
        # Machines whose marks in the record are to follow what they may hold now.
        self.marks_due: dict[str, None] = dict.fromkeys(self.machines)
        self.unacknowledged: set[str] = set()  # machines that do not show that they hear us
        self.corrections = Corrections()
        self.decisions: DecisionSink = IGNORED_DECISIONS

    @property
    def first_attempt(self) -> int:
        """Attempts of this holder have this number or a higher one."""
        return self.attempts.first

    # -- jobs ------------------------------------------------------------------------------

    def add_job(self, job: str, record: JobRecord, stamp: int, node: DependencyNode | None) -> None:
        """`node`: its place in a pipeline, if it has one."""
        if record.spec is None:
            return
        self.jobs[job] = OpenJob(job, record, record.spec, stamp, node)
        self.dirty = True

    def doubtful(self, job: OpenJob) -> bool:
        """Tasks of this job may be running where we cannot see them."""
        if not self.unconfirmed and self.loaded:
            return False
        return job.mod_revision <= self.taken_stamp

    def end_job(self, job: OpenJob, withdrawn: bool) -> None:
        """The record is final: nothing of the job may start or go on."""
        job.cancelled = True
        self.dirty = True
        for run in list(job.runs.values()):
            self.commands.stop(run, 0.0)
        if not job.runs:
            self.jobs.pop(job.job_id, None)
        log.info("job ended job=%s withdrawn=%s runs=%d", job.job_id, withdrawn, len(job.runs))

    def runs(self) -> Iterator[TaskRun]:
        for machine in self.machines.values():
            yield from machine.runs.values()

    def usage(self, team: str) -> tuple[float, float]:
        """What a team's tasks use, counting all that are not proved gone."""
        cpus = gpus = 0.0
        for job in self.jobs.values():
            if job.spec.team == team:
                cpus += job.resources[0] * len(job.runs)
                gpus += job.resources[1] * len(job.runs)
        return cpus, gpus

    def has_unaccounted_tasks(self) -> bool:
        """A machine has tasks that no open job of ours accounts for: of a job that has ended,
        most likely, whose record no longer says what they take, or for whom."""
        return any(
            status.state != TaskState.EXITED and name not in machine.runs
            for machine in self.machines.values()
            for name, status in machine.tasks.items()
        )

    def estimate(self, job: OpenJob) -> float:
        if job.spec.kind == JobKind.SERVICE:
            return SERVICE_LEASES * self.core.lease_s
        corrected = job.spec.estimated_run_s * self.corrections.factor(job.spec.job_class)
        return run_estimate(corrected, job.observed_tasks, job.observed_run_s)

    # -- machines --------------------------------------------------------------------------

    def update(self, record: BlockRecord, stamp: int) -> None:
        """A newer record of the block we hold: machines came or went."""
        self.record = record
        self.token = stamp
        self.touch = False
        for machine_id in sorted(self.machines.keys() - record.machines.keys()):
            machine = self.machines.pop(machine_id)
            self.lose_runs(machine, "left")
            self.unconfirmed.discard(machine_id)
            self.unacknowledged.discard(machine_id)
            self.decisions.machine_released(machine_id)
        if len(self.machines) < len(record.machines):
            # In the record's order: a set's would differ from run to run.
            for machine_id in [
                machine_id for machine_id in record.machines if machine_id not in self.machines
            ]:
                self._gain(machine_id, record.machines[machine_id])
        for machine_id in self.unacknowledged:
            if self.machines[machine_id].fenced:
                self.machines[machine_id].advance_token(stamp)
        self.dirty = True

    def _gain(self, machine_id: str, entry: MachineEntry) -> None:
        self.machines[machine_id] = Machine(machine_id, entry, self.token, self.core.now)
        self.marks_due[machine_id] = None
        log.info("machine granted machine=%s block=%s term=%d", machine_id, self.label, self.token)
        self.decisions.machine_granted(machine_id)

    def lose_runs(self, machine: Machine, why: str) -> None:
        """The machine's tasks are proved gone."""
        if machine.runs:
            log.info(
                "tasks gone machine=%s why=%s tasks=%d", machine.machine_id, why, len(machine.runs)
            )
        for run in list(machine.runs.values()):
            self.lose_run(run)
        machine.runs.clear()
        machine.tasks = {}
        machine.reported_tasks = []
        machine.snapshot = None
        self.dirty = True
        self.marks_due[machine.machine_id] = None

    def stop_broken(self) -> None:
        """What is left of an ensemble that lost a task makes room for all to start anew."""
        for job in self.jobs.values():
            if not job.gang_restarting:
                continue
            if not job.runs:
                job.gang_restarting = False
                self.dirty = True
            for run in job.runs.values():
                if run.stop_grace_s is None:
                    self.commands.stop(run, job.spec.checkpoint_save_s)

    def expire_leases(self, fresh_at: float) -> None:
        """Machines whose lease is certainly over hold nothing any more.

        A machine that left us may be answered by a new holder while we, cut off from the state
        service, still serve the rest. Its lease is over only if it ran out before our last look
        at the records (`fresh_at`), which showed the block as ours.
        """
        until = min(self.core.now, fresh_at)
        for machine_id in self.leases.due(until):
            machine = self.machines.get(machine_id)
            if machine is None or not (machine.online or machine.runs):
                continue
            if until > self._lease_over_at(machine):
                self._fall_silent(machine)
            else:
                self.watch_lease(machine)
        if self.unconfirmed and until > self.empty_at:
            # Our own answers renew leases too, even of machines that have not reported since.
            empty = {
                machine_id
                for machine_id in self.unconfirmed
                if until > self.machines[machine_id].last_response_at + self.core.lease_over_s
            }
            if empty:
                log.info("machines proved empty block=%s n=%d", self.label, len(empty))
                self.unconfirmed -= empty
                self.dirty = True

    def _lease_over_at(self, machine: Machine) -> float:
        # A check-in that is about to be answered counts as answered: its reply goes out
        # after this look, and renews the lease.
        last = max(machine.last_response_at, machine.last_heartbeat_at)
        if not machine.online:
            # Its tasks are known from answers of `/do` alone, which renew no lease; a former
            # holder's answers may have.
            return max(last + self.core.lease_over_s, self.empty_at)
        return last + self.core.lease_over_s

    def watch_lease(self, machine: Machine) -> None:
        """Look at the machine again once its lease may be over."""
        if machine.online or machine.runs:
            self.leases.watch(machine.machine_id, self._lease_over_at(machine))

    def _fall_silent(self, machine: Machine) -> None:
        log.info("machine silent machine=%s", machine.machine_id)
        machine.online = False
        machine.images.clear()
        self.decisions.machine_reachable(machine.machine_id, False)
        self.lose_runs(machine, "lease")

    def confirm_empty(self, machine_id: str) -> None:
        """The cloud has confirmed that the machine is gone."""
        if machine_id in self.unconfirmed:
            log.info("machine proved gone machine=%s block=%s", machine_id, self.label)
            self.unconfirmed.discard(machine_id)
            self.dirty = True

    def formers_silent(self) -> bool:
        """The answer window of every earlier holder is over."""
        return self.core.now > self.taken_at + self.core.window_s * DRIFT

    def old_holders_ended(self) -> None:
        """The earlier holders' processes are gone: they answer nobody from now on."""
        self.empty_at = min(self.empty_at, self.core.now + self.core.lease_over_s)
        self.leases.clear()
        for machine in self.machines.values():
            self.watch_lease(machine)

    def lose_run(self, run: TaskRun) -> None:
        """An attempt is proved gone: its task is to be started again."""
        job = self.jobs.get(run.job_id)
        if job is None or job.runs.get(run.task_index) is not run:
            return
        del job.runs[run.task_index]
        self.decisions.task_left(run, "gone")
        job.requeue(run.task_index)
        self.dirty = True
        if job.cancelled and not job.runs:
            self.jobs.pop(job.job_id, None)
