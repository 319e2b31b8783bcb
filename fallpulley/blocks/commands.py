"""What a holder sends to the machines of its block."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from fallpulley.jobs.messages import JobKind, parse_task_id
from fallpulley.jobs.open import OpenJob
from fallpulley.placement.plan import Booking
from fallpulley.workers.machine import Machine, Run
from fallpulley.workers.messages import ENDED, Direct, Order, PieceState, Report

if TYPE_CHECKING:
    from fallpulley.blocks.held import HeldBlock

log = logging.getLogger(__name__)

# A worker counts a higher token as a change once in half a lease.
PROMPT_LEASES = 0.5


class MachineCommands:
    """Starts, stops and clears tasks, with check-ins' replies or directly."""

    def __init__(self, held: HeldBlock) -> None:
        self.held = held
        self.core = held.core

    def start(
        self, machine: Machine, job: OpenJob, booking: Booking, estimate_s: float
    ) -> Order | None:
        """The order that starts a booked task; None where no attempt may be made now."""
        if job.spec.kind != JobKind.GANG or not job.runs:
            self.held.touch = self.held.touch or self.held.attempts.wants_stamp
            attempt = self.held.attempts.next(self.held.token)
            if attempt is None:
                return None
            job.gang_attempt = attempt
        # The tasks of an ensemble find each other by their common attempt.
        run = Run(
            job.job_id,
            booking.index,
            job.gang_attempt,
            machine.host,
            self.core.now,
            estimate_s,
            job.resources,
        )
        job.runs[booking.index] = run
        machine.runs[run.piece] = run
        self.held.decisions.task_started(run)
        machine.ordered = True
        machine.slot = None
        log.debug("task ordered task=%s machine=%s", run.piece, machine.host)
        machine.idle_since = None
        return Order("run", run.piece, run.attempt)

    def stop(self, run: Run, windup_s: float) -> None:
        """Stop with the next orders, and directly now if the machine can be reached."""
        run.stopping = windup_s
        self.held.decisions.task_stopped(run)
        machine = self.held.machines.get(run.host)
        if machine is not None:
            machine.slot = None
        if machine is not None and run.seen and machine.entry.addr:
            self.direct(machine, [Order("stop", run.piece, run.attempt, windup_s)])

    def preempt(self, host: str, pieces: list[str]) -> None:
        """Stop tasks at once to make room: what they did since their last save is lost."""
        machine = self.held.machines[host]
        machine.slot = None
        orders = []
        for name in pieces:
            run = machine.runs[name]
            run.stopping = 0.0
            self.held.decisions.task_stopped(run)
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
        if machine.raise_token(self.held.token):
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
        if status not in (200, 409) or self.held.machines.get(machine.host) is not machine:
            return
        try:
            report = msgspec.json.decode(body, type=Report)
        except msgspec.MsgspecError:
            return
        if report.host != machine.host:
            return
        if status == 200:
            self.held.intake.take(machine, report, checkin=False)
        elif not machine.fenced and report.shift > machine.shift:
            machine.shift = report.shift
            machine.fence_at = float("-inf")

    def orders(self, machine: Machine) -> list[Order]:
        """Clears and stops for a check-in's reply."""
        orders: list[Order] = []
        for name, piece in machine.pieces.items():
            if piece.stage == ENDED:
                named = parse_task_id(name)
                job = self.held.jobs.get(named[0]) if named else None
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
        if job is None or named is None or piece.cause != "done" or job.cancelled:
            return True
        return named[1] < job.spec.task_count and job.is_durable(named[1])
