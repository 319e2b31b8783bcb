"""A block this controller holds: its machines, its open jobs, and what runs where.

In memory only. After a takeover all of it is rebuilt from the machines' own reports; until
each machine of the block has reported under our token or is proved empty, tasks of jobs
accepted before the takeover may still be running somewhere and are not started.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

import msgspec

from fallpulley.blocks.attempts import AttemptNumbers
from fallpulley.blocks.decisions import IGNORED_DECISIONS, DecisionSink
from fallpulley.blocks.fencing import Fencing
from fallpulley.blocks.messages import BlockRecord, MachineEntry
from fallpulley.blocks.silence import LeaseWatch
from fallpulley.core import DRIFT, Core
from fallpulley.jobs.messages import ENSEMBLE, SERVICE, JobRecord, split_piece
from fallpulley.jobs.open import OpenJob
from fallpulley.jobs.pipelines import Node
from fallpulley.placement.estimate import Corrections, run_estimate
from fallpulley.placement.plan import Booking
from fallpulley.workers.machine import Machine, Outcome, Run, absorb
from fallpulley.workers.messages import ENDED, RUNNING, Direct, Order, PieceState, Report

log = logging.getLogger(__name__)

# A machine on which so many different jobs failed, and that completed less, is faulty.
FAULTY_JOBS = 3
# A worker counts a higher token as a change once in half a lease.
PROMPT_LEASES = 0.5
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
            host: Machine(host, entry, stamp, core.now) for host, entry in record.machines.items()
        }
        # Machines that may hold tasks we do not know of.
        self.unproven = {host for host, entry in record.machines.items() if entry.used}
        self.taken_over = not fresh
        self.loaded = fresh  # progress values have been read
        self.jobs: dict[str, OpenJob] = {}
        self.booked: dict[str, list[Booking]] = {}
        self.dirty = True
        self.attempts = AttemptNumbers(stamp)
        self.fencing = Fencing(self)
        self.leases = LeaseWatch()
        self.heard_at = float("-inf")  # when any machine last checked in
        self.touch = False  # a newer stamp of the record is wanted, to raise tokens with
        # Machines whose marks in the record are to follow what they may hold now.
        self.marks_due: dict[str, None] = dict.fromkeys(self.machines)
        self.unhearing: set[str] = set()  # machines that do not show that they hear us
        self.corrections = Corrections()
        self.decisions: DecisionSink = IGNORED_DECISIONS

    @property
    def first_attempt(self) -> int:
        """Attempts of this holder have this number or a higher one."""
        return self.attempts.first

    # -- jobs ------------------------------------------------------------------------------

    def add_job(self, job: str, record: JobRecord, stamp: int, node: Node | None) -> None:
        """`node`: its place in a pipeline, if it has one."""
        if record.spec is None:
            return
        self.jobs[job] = OpenJob(job, record, record.spec, stamp, node)
        self.dirty = True

    def doubtful(self, job: OpenJob) -> bool:
        """Tasks of this job may be running where we cannot see them."""
        if not self.unproven and self.loaded:
            return False
        return job.stamp <= self.taken_stamp

    def end_job(self, job: OpenJob, withdrawn: bool) -> None:
        """The record is final: nothing of the job may start or go on."""
        job.withdrawn = True
        self.dirty = True
        for run in list(job.runs.values()):
            self.stop(run, 0.0)
        if not job.runs:
            self.jobs.pop(job.job, None)
        log.info("job ended job=%s withdrawn=%s runs=%d", job.job, withdrawn, len(job.runs))

    def runs(self) -> Iterator[Run]:
        for machine in self.machines.values():
            yield from machine.runs.values()

    def usage(self, team: str) -> tuple[float, float]:
        """What a team's tasks use, counting all that are not proved gone."""
        cpus = cards = 0.0
        for job in self.jobs.values():
            if job.spec.crew == team:
                cpus += job.need[0] * len(job.runs)
                cards += job.need[1] * len(job.runs)
        return cpus, cards

    def has_unaccounted_tasks(self) -> bool:
        """A machine has tasks that no open job of ours accounts for: of a job that has ended,
        most likely, whose record no longer says what they take, or for whom."""
        return any(
            piece.stage != ENDED and name not in machine.runs
            for machine in self.machines.values()
            for name, piece in machine.pieces.items()
        )

    def estimate(self, job: OpenJob) -> float:
        if job.spec.shape == SERVICE:
            return SERVICE_LEASES * self.core.lease_s
        corrected = job.spec.expect_s * self.corrections.factor(job.spec.jobclass)
        return run_estimate(corrected, job.observed, job.observed_s)

    # -- machines --------------------------------------------------------------------------

    def update(self, record: BlockRecord, stamp: int) -> None:
        """A newer record of the block we hold: machines came or went."""
        self.record = record
        self.token = stamp
        self.touch = False
        for host in sorted(self.machines.keys() - record.machines.keys()):
            machine = self.machines.pop(host)
            self.lose_runs(machine, "left")
            self.unproven.discard(host)
            self.unhearing.discard(host)
            self.decisions.machine_released(host)
        if len(self.machines) < len(record.machines):
            # In the record's order: a set's would differ from run to run.
            for host in [host for host in record.machines if host not in self.machines]:
                self._gain(host, record.machines[host])
        for host in self.unhearing:
            if self.machines[host].settled:
                self.machines[host].raise_token(stamp)
        self.dirty = True

    def _gain(self, host: str, entry: MachineEntry) -> None:
        self.machines[host] = Machine(host, entry, self.token, self.core.now)
        self.marks_due[host] = None
        log.info("machine granted machine=%s block=%s term=%d", host, self.label, self.token)
        self.decisions.machine_granted(host)

    def lose_runs(self, machine: Machine, why: str) -> None:
        """The machine's tasks are proved gone."""
        if machine.runs:
            log.info("tasks gone machine=%s why=%s tasks=%d", machine.host, why, len(machine.runs))
        for run in list(machine.runs.values()):
            self._gone(run)
        machine.runs.clear()
        machine.pieces = {}
        machine.reported = []
        machine.slot = None
        self.dirty = True
        self.marks_due[machine.host] = None

    def stop_broken(self) -> None:
        """What is left of an ensemble that lost a task makes room for all to start anew."""
        for job in self.jobs.values():
            if not job.broken:
                continue
            if not job.runs:
                job.broken = False
                self.dirty = True
            for run in job.runs.values():
                if run.stopping is None:
                    self.stop(run, job.spec.stow_s)

    def settle_silent(self, fresh_at: float) -> None:
        """Machines whose lease is certainly over hold nothing any more.

        A machine that left us may be answered by a new holder while we, cut off from the state
        service, still serve the rest. Its lease is over only if it ran out before our last look
        at the records (`fresh_at`), which showed the block as ours.
        """
        until = min(self.core.now, fresh_at)
        for host in self.leases.due(until):
            machine = self.machines.get(host)
            if machine is None or not (machine.up or machine.runs):
                continue
            if until > self._lease_over_at(machine):
                self._fall_silent(machine)
            else:
                self._watch_lease(machine)
        if self.unproven and until > self.empty_at:
            # Our own answers renew leases too, even of machines that have not reported since.
            empty = {
                host
                for host in self.unproven
                if until > self.machines[host].replied_at + self.core.lease_over_s
            }
            if empty:
                log.info("machines proved empty block=%s n=%d", self.label, len(empty))
                self.unproven -= empty
                self.dirty = True

    def _lease_over_at(self, machine: Machine) -> float:
        # A check-in that is about to be answered counts as answered: its reply goes out
        # after this look, and renews the lease.
        last = max(machine.replied_at, machine.heard_at)
        if not machine.up:
            # Its tasks are known from answers of `/do` alone, which renew no lease; a former
            # holder's answers may have.
            return max(last + self.core.lease_over_s, self.empty_at)
        return last + self.core.lease_over_s

    def _watch_lease(self, machine: Machine) -> None:
        if machine.up or machine.runs:
            self.leases.watch(machine.host, self._lease_over_at(machine))

    def _fall_silent(self, machine: Machine) -> None:
        log.info("machine silent machine=%s", machine.host)
        machine.up = False
        machine.images.clear()
        self.decisions.machine_reachable(machine.host, False)
        self.lose_runs(machine, "lease")

    def proved_empty(self, host: str) -> None:
        """The cloud has confirmed that the machine is gone."""
        if host in self.unproven:
            log.info("machine proved gone machine=%s block=%s", host, self.label)
            self.unproven.discard(host)
            self.dirty = True

    def formers_silent(self) -> bool:
        """The answer window of every earlier holder is over."""
        return self.core.now > self.taken_at + self.core.window_s * DRIFT

    def old_holders_ended(self) -> None:
        """The earlier holders' processes are gone: they answer nobody from now on."""
        self.empty_at = min(self.empty_at, self.core.now + self.core.lease_over_s)
        self.leases.clear()
        for machine in self.machines.values():
            self._watch_lease(machine)

    def take_report(self, machine: Machine, report: Report, checkin: bool) -> bool:
        """Take in a report; False when it is not newer than what we know."""
        newer = self._absorb(machine, report, checkin)
        if newer:
            self._watch_lease(machine)
        return newer

    def _absorb(self, machine: Machine, report: Report, checkin: bool) -> bool:
        now = self.core.now
        if not machine.newer(report):
            return False
        if machine.same(report):
            machine.tick = report.tick
            self._note_up(machine, checkin)
            return True
        machine.slot = None
        was_usable = machine.usable
        self._hears(machine, report)
        if not machine.settled:
            # Perhaps a late copy from before we had it: this renews nothing and proves nothing.
            machine.shift, machine.tick = report.shift, report.tick
            machine.unfenced_at = now
            self.marks_due[machine.host] = None
            return True
        outcome = absorb(machine, report, now, checkin)
        if checkin:
            self._note_up(machine, checkin)
        if outcome.missed and machine.deaf_since is None:
            self._doubt_hearing(machine)
        self._act(machine, outcome)
        if self.unproven and machine.host in self.unproven:
            self.unproven.discard(machine.host)
            if not self.unproven:
                log.info("block settled block=%s term=%d", self.label, self.token)
            self.dirty = True
        if machine.usable != was_usable:
            self.dirty = True
            self.marks_due[machine.host] = None
        if machine.recall_at is not None:
            self._recall(machine)
        return True

    def _hears(self, machine: Machine, report: Report) -> None:
        """Its highest token shows whether it has heard us since we last raised it."""
        if report.baton >= machine.token:
            if not machine.settled:
                machine.settled = True
                self.dirty = True
            if machine.deaf_since is not None:
                machine.deaf_since = None
                self.unhearing.discard(machine.host)
                self.dirty = True
        elif not machine.settled and machine.deaf_since is None:
            machine.deaf_since = self.core.now
            self.unhearing.add(machine.host)

    def _doubt_hearing(self, machine: Machine) -> None:
        """Its reports come, but an order of ours did not take. Reports alone prove neither that
        it hears us nor that its lease goes on: it gets no task until it reports with a token
        that it can have from us alone."""
        log.info("machine hears nothing machine=%s", machine.host)
        machine.deaf_since = self.core.now
        self.unhearing.add(machine.host)
        self.dirty = True
        if not machine.raise_token(self.token):
            self.touch = True

    def _note_up(self, machine: Machine, checkin: bool) -> None:
        if checkin:
            if not machine.up:
                self.dirty = True
                self.marks_due[machine.host] = None
                log.info("machine up machine=%s shift=%d", machine.host, machine.shift)
                self.decisions.machine_reachable(machine.host, True)
            machine.up = machine.ever_up = True
            machine.heard_at = self.heard_at = self.core.now

    def _act(self, machine: Machine, outcome: Outcome) -> None:
        now = self.core.now
        for run in outcome.vanished:
            self._gone(run)
            if run.seen:
                log.info("task vanished task=%s machine=%s", run.piece, run.host)
        for ended, piece in outcome.ended:
            self._ended(machine, ended, piece)
        for run in outcome.began:
            job = self.jobs.get(run.job)
            if job is not None:
                machine.fetching.pop(job.spec.kit, None)
            log.debug("task began task=%s machine=%s", run.piece, run.host)
        for piece in outcome.has_unaccounted_tasks:
            self._on_unaccounted(machine, piece)
        if outcome.vanished or outcome.ended:
            self.dirty = True
        if machine.empty:
            if machine.idle_since is None:
                machine.idle_since = now
        else:
            machine.idle_since = None

    def _ended(self, machine: Machine, run: Run | None, piece: PieceState) -> None:
        named = split_piece(piece.piece)
        job = self.jobs.get(named[0]) if named else None
        if named is None or job is None:
            return
        if run is not None:
            job.runs.pop(run.index, None)
            self.decisions.task_left(run, piece.cause or "")
        if piece.cause == "done":
            if job.mark_done(named[1], self.core.now):
                log.debug("task done task=%s machine=%s", piece.piece, machine.host)
                self._learn(machine, job, run)
        elif run is not None:
            log.info(
                "task ended task=%s machine=%s cause=%s", piece.piece, machine.host, piece.cause
            )
            job.put_back(run.index)
            if piece.cause == "error":
                job.failed(machine.host, self.core.now, self.core.lease_s)
                machine.failed_jobs.add(job.job)
            elif piece.cause in ("full", "in_use", "unknown"):
                machine.refuse_until = self.core.now + self.core.report_s
        if job.withdrawn and not job.runs:
            self.jobs.pop(job.job, None)

    def _learn(self, machine: Machine, job: OpenJob, run: Run | None) -> None:
        machine.completed += 1
        if run is None or run.running_at is None or job.spec.shape == SERVICE:
            return
        took = max(0.1, self.core.now - run.running_at)
        expected = self.estimate(job)
        machine.learn_speed(took / expected)
        job.observed += 1
        job.observed_s += took
        jobclass = job.spec.jobclass
        self.corrections.learn(jobclass, job.spec.expect_s, took)
        self.decisions.run_time_learned(job.job, job.observed, job.observed_s)
        self.decisions.class_learned(jobclass, self.corrections.factor(jobclass))

    def _on_unaccounted(self, machine: Machine, piece: PieceState) -> None:
        """A task on the machine that we did not start in this life: keep it or stop it."""
        named = split_piece(piece.piece)
        job = self.jobs.get(named[0]) if named else None
        if (
            named is None
            or job is None
            or job.withdrawn
            or named[1] >= job.spec.pieces
            or job.is_done(named[1])
            or named[1] in job.runs
            or piece.piece in machine.runs
        ):
            return  # stopped with the next orders
        run = Run(
            job.job,
            named[1],
            piece.attempt,
            machine.host,
            self.core.now,
            self.estimate(job),
            job.need,
            seen=True,
            stage=piece.stage,
            running_at=self.core.now if piece.stage == RUNNING else None,
        )
        job.runs[run.index] = run
        machine.runs[run.piece] = run
        self.decisions.task_started(run)
        self.dirty = True
        log.info("task adopted task=%s machine=%s", run.piece, machine.host)

    def _gone(self, run: Run) -> None:
        job = self.jobs.get(run.job)
        if job is None or job.runs.get(run.index) is not run:
            return
        del job.runs[run.index]
        self.decisions.task_left(run, "gone")
        job.put_back(run.index)
        self.dirty = True
        if job.withdrawn and not job.runs:
            self.jobs.pop(job.job, None)

    def _recall(self, machine: Machine) -> None:
        """The cloud takes the machine: tasks that cannot finish leave it while they can save."""
        left = (machine.recall_at or 0.0) - self.core.now
        for run in machine.runs.values():
            job = self.jobs.get(run.job)
            if job is None or run.stopping is not None:
                continue
            spent = self.core.now - (run.running_at or self.core.now)
            if run.running_at is not None and run.estimate_s - spent < left - 1.0:
                continue
            saves = job.spec.bookmark_s > 0
            if saves and left > job.spec.stow_s + 2 * self.core.report_s:
                continue  # there is time for more work before saving
            self.stop(run, left if saves else 0.0)

    # -- commands --------------------------------------------------------------------------

    def start(
        self, machine: Machine, job: OpenJob, booking: Booking, estimate_s: float
    ) -> Order | None:
        """The order that starts a booked task; None where no attempt may be made now."""
        if job.spec.shape != ENSEMBLE or not job.runs:
            self.touch = self.touch or self.attempts.wants_stamp
            attempt = self.attempts.next(self.token)
            if attempt is None:
                return None
            job.attempt = attempt
        # The tasks of an ensemble find each other by their common attempt.
        run = Run(
            job.job,
            booking.index,
            job.attempt,
            machine.host,
            self.core.now,
            estimate_s,
            job.need,
        )
        job.runs[booking.index] = run
        machine.runs[run.piece] = run
        self.decisions.task_started(run)
        machine.ordered = True
        machine.slot = None
        log.debug("task ordered task=%s machine=%s", run.piece, machine.host)
        machine.idle_since = None
        return Order("run", run.piece, run.attempt)

    def stop(self, run: Run, windup_s: float) -> None:
        """Stop with the next orders, and directly now if the machine can be reached."""
        run.stopping = windup_s
        self.decisions.task_stopped(run)
        machine = self.machines.get(run.host)
        if machine is not None:
            machine.slot = None
        if machine is not None and run.seen and machine.entry.addr:
            self.direct(machine, [Order("stop", run.piece, run.attempt, windup_s)])

    def preempt(self, host: str, pieces: list[str]) -> None:
        """Stop tasks at once to make room: what they did since their last save is lost."""
        machine = self.machines[host]
        machine.slot = None
        orders = []
        for name in pieces:
            run = machine.runs[name]
            run.stopping = 0.0
            self.decisions.task_stopped(run)
            orders.append(Order("stop", run.piece, run.attempt, 0.0))
            log.info("task preempted task=%s machine=%s", run.piece, host)
        if machine.entry.addr:
            self.direct(machine, orders)

    def prompt_report(self, machine: Machine) -> None:
        """Make a machine with a booked task report now: a higher token counts as a change, but
        only once in half a lease."""
        now = self.core.now
        if now < machine.prompted_at + PROMPT_LEASES * self.core.lease_s or not machine.entry.addr:
            return
        if machine.raise_token(self.token):
            machine.prompted_at = now
            self.direct(machine, [])

    def direct(
        self,
        machine: Machine,
        orders: list[Order],
        answered: Callable[[int | None], None] | None = None,
    ) -> None:
        """Command a machine at its address; `answered` is told the outcome first."""

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            if answered is not None:
                answered(status)
            self._direct_answer(machine, status, body)

        message = msgspec.json.encode(Direct(machine.token, machine.shift or 1, orders))
        self.core.call(machine.entry.addr, "POST", "/do", message, 1.5, done)

    def _direct_answer(self, machine: Machine, status: int | None, body: bytes) -> None:
        if status not in (200, 409) or self.machines.get(machine.host) is not machine:
            return
        try:
            report = msgspec.json.decode(body, type=Report)
        except msgspec.MsgspecError:
            return
        if report.host != machine.host:
            return
        if status == 200:
            self.take_report(machine, report, checkin=False)
        elif not machine.settled and report.shift > machine.shift:
            machine.shift = report.shift
            machine.fence_at = float("-inf")

    def orders(self, machine: Machine) -> list[Order]:
        """Clears and stops for a check-in's reply."""
        orders: list[Order] = []
        for name, piece in machine.pieces.items():
            if piece.stage == ENDED:
                named = split_piece(name)
                job = self.jobs.get(named[0]) if named else None
                if self._clearable(job, named, piece):
                    orders.append(Order("clear", name, piece.attempt))
                continue
            run = machine.runs.get(name)
            if run is None or run.attempt != piece.attempt:
                orders.append(Order("stop", name, piece.attempt, 0.0))
            elif run.stopping is not None:
                orders.append(Order("stop", name, piece.attempt, run.stopping))
        return orders

    def _clearable(
        self, job: OpenJob | None, named: tuple[str, int] | None, piece: PieceState
    ) -> bool:
        """The end is durable, or of no use; and we never repeat an attempt's `run`."""
        if job is None or named is None or piece.cause != "done" or job.withdrawn:
            return True
        return named[1] < job.spec.pieces and job.is_durable(named[1])
