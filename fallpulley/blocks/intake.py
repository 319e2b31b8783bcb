"""What a holder learns from the reports of its block's machines."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from fallpulley.jobs.messages import JobKind, parse_task_id
from fallpulley.jobs.open import OpenJob
from fallpulley.workers.machine import Machine, Outcome, Run, absorb
from fallpulley.workers.messages import RUNNING, PieceState, Report

if TYPE_CHECKING:
    from fallpulley.blocks.held import HeldBlock

log = logging.getLogger(__name__)


class ReportIntake:
    """Takes reports in, from check-ins and from answers to direct commands."""

    def __init__(self, held: HeldBlock) -> None:
        self.held = held
        self.core = held.core

    def take(self, machine: Machine, report: Report, checkin: bool) -> bool:
        """Take in a report; False when it is not newer than what we know."""
        newer = self._absorb(machine, report, checkin)
        if newer:
            self.held.watch_lease(machine)
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
        if not machine.fenced:
            # Perhaps a late copy from before we had it: this renews nothing and proves nothing.
            machine.shift, machine.tick = report.shift, report.tick
            machine.unfenced_at = now
            self.held.marks_due[machine.host] = None
            return True
        outcome = absorb(machine, report, now, checkin)
        if checkin:
            self._note_up(machine, checkin)
        if outcome.missed and machine.unacknowledged_since is None:
            self._doubt_hearing(machine)
        self._act(machine, outcome)
        if self.held.unconfirmed and machine.host in self.held.unconfirmed:
            self.held.unconfirmed.discard(machine.host)
            if not self.held.unconfirmed:
                log.info("block confirmed block=%s term=%d", self.held.label, self.held.token)
            self.held.dirty = True
        if machine.usable != was_usable:
            self.held.dirty = True
            self.held.marks_due[machine.host] = None
        if machine.recall_at is not None:
            self._recall(machine)
        return True

    def _hears(self, machine: Machine, report: Report) -> None:
        """Its highest token shows whether it has heard us since we last raised it."""
        if report.baton >= machine.token:
            if not machine.fenced:
                machine.fenced = True
                self.held.dirty = True
            if machine.unacknowledged_since is not None:
                machine.unacknowledged_since = None
                self.held.unacknowledged.discard(machine.host)
                self.held.dirty = True
        elif not machine.fenced and machine.unacknowledged_since is None:
            machine.unacknowledged_since = self.core.now
            self.held.unacknowledged.add(machine.host)

    def _doubt_hearing(self, machine: Machine) -> None:
        """Its reports come, but an order of ours did not take. Reports alone prove neither that
        it hears us nor that its lease goes on: it gets no task until it reports with a token
        that it can have from us alone."""
        log.info("machine hears nothing machine=%s", machine.host)
        machine.unacknowledged_since = self.core.now
        self.held.unacknowledged.add(machine.host)
        self.held.dirty = True
        if not machine.raise_token(self.held.token):
            self.held.touch = True

    def _note_up(self, machine: Machine, checkin: bool) -> None:
        if checkin:
            if not machine.up:
                self.held.dirty = True
                self.held.marks_due[machine.host] = None
                log.info("machine up machine=%s shift=%d", machine.host, machine.shift)
                self.held.decisions.machine_reachable(machine.host, True)
            machine.up = machine.ever_up = True
            machine.heard_at = self.held.heard_at = self.core.now

    def _act(self, machine: Machine, outcome: Outcome) -> None:
        now = self.core.now
        for run in outcome.vanished:
            self.held.lose_run(run)
            if run.seen:
                log.info("task vanished task=%s machine=%s", run.piece, run.host)
        for ended, piece in outcome.ended:
            self._ended(machine, ended, piece)
        for run in outcome.began:
            job = self.held.jobs.get(run.job)
            if job is not None:
                machine.fetching.pop(job.spec.image, None)
            log.debug("task began task=%s machine=%s", run.piece, run.host)
        for piece in outcome.has_unaccounted_tasks:
            self._on_unaccounted(machine, piece)
        if outcome.vanished or outcome.ended:
            self.held.dirty = True
        if machine.empty:
            if machine.idle_since is None:
                machine.idle_since = now
        else:
            machine.idle_since = None

    def _ended(self, machine: Machine, run: Run | None, piece: PieceState) -> None:
        named = parse_task_id(piece.piece)
        job = self.held.jobs.get(named[0]) if named else None
        if named is None or job is None:
            return
        if run is not None:
            job.runs.pop(run.index, None)
            self.held.decisions.task_left(run, piece.cause or "")
        if piece.cause == "done":
            if job.mark_completed(named[1], self.core.now):
                log.debug("task done task=%s machine=%s", piece.piece, machine.host)
                self._learn(machine, job, run)
        elif run is not None:
            log.info(
                "task ended task=%s machine=%s cause=%s", piece.piece, machine.host, piece.cause
            )
            job.requeue(run.index)
            if piece.cause == "error":
                job.record_failure(machine.host, self.core.now, self.core.lease_s)
                machine.failed_jobs.add(job.job_id)
            elif piece.cause in ("full", "in_use", "unknown"):
                machine.refuse_until = self.core.now + self.core.report_s
        if job.cancelled and not job.runs:
            self.held.jobs.pop(job.job_id, None)

    def _learn(self, machine: Machine, job: OpenJob, run: Run | None) -> None:
        machine.completed += 1
        if run is None or run.running_at is None or job.spec.kind == JobKind.SERVICE:
            return
        took = max(0.1, self.core.now - run.running_at)
        expected = self.held.estimate(job)
        machine.learn_speed(took / expected)
        job.observed_tasks += 1
        job.observed_run_s += took
        job_class = job.spec.job_class
        self.held.corrections.learn(job_class, job.spec.estimated_run_s, took)
        self.held.decisions.run_time_learned(job.job_id, job.observed_tasks, job.observed_run_s)
        self.held.decisions.class_learned(job_class, self.held.corrections.factor(job_class))

    def _on_unaccounted(self, machine: Machine, piece: PieceState) -> None:
        """A task on the machine that we did not start in this life: keep it or stop it."""
        named = parse_task_id(piece.piece)
        job = self.held.jobs.get(named[0]) if named else None
        if (
            named is None
            or job is None
            or job.cancelled
            or named[1] >= job.spec.task_count
            or job.is_completed(named[1])
            or named[1] in job.runs
            or piece.piece in machine.runs
        ):
            return  # stopped with the next orders
        run = Run(
            job.job_id,
            named[1],
            piece.attempt,
            machine.host,
            self.core.now,
            self.held.estimate(job),
            job.resources,
            seen=True,
            stage=piece.stage,
            running_at=self.core.now if piece.stage == RUNNING else None,
        )
        job.runs[run.index] = run
        machine.runs[run.piece] = run
        self.held.decisions.task_started(run)
        self.held.dirty = True
        log.info("task adopted task=%s machine=%s", run.piece, machine.host)

    def _recall(self, machine: Machine) -> None:
        """The cloud takes the machine: tasks that cannot finish leave it while they can save."""
        left = (machine.recall_at or 0.0) - self.core.now
        for run in machine.runs.values():
            job = self.held.jobs.get(run.job)
            if job is None or run.stopping is not None:
                continue
            spent = self.core.now - (run.running_at or self.core.now)
            if run.running_at is not None and run.estimate_s - spent < left - 1.0:
                continue
            saves = job.spec.checkpoint_interval_s > 0
            if saves and left > job.spec.checkpoint_save_s + 2 * self.core.report_s:
                continue  # there is time for more work before saving
            self.held.commands.stop(run, left if saves else 0.0)
