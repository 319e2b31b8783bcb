"""Machines' check-ins: whom to send them to, and the orders that go out with the answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.registry import Registry
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.fleet.provider import MachineProvider
from fallpulley.state.view import View
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Foreman, Order, Orders, Report, parse_report

log = logging.getLogger(__name__)

# A machine of a block just taken over is answered so often before it must have shown our token.
UNFENCED_ANSWERS_MOST = 3
# A machine with room waits so long for the next plan to answer its report: without, room that a
# task has just left stood idle until the next report.
DEFER_REPORTS = 0.25
# A check-in of a machine being granted waits for the record, not longer than this.
PARK_S = 1.0
RETRY_S = 1.0


class DeferredCheckin(msgspec.Struct):
    """A check-in of a machine of ours, to be answered after the next plan."""

    ticket: Any
    held: HeldBlock
    machine: Machine
    newer: bool  # its report was newer than what we knew
    until: float


class ParkedCheckin(msgspec.Struct):
    """A check-in of a machine that is being granted to a block."""

    ticket: Any
    report: Report
    until: float


class CheckinHandler:
    """Takes check-ins and answers them; `serving`: within the answer window."""

    def __init__(
        self,
        core: Core,
        view: View,
        registry: Registry,
        leadership: Leadership,
        writer: BlockWriter,
        provider: MachineProvider,
        held: dict[str, HeldBlock],
        serving: Callable[[], bool],
    ) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.held = held
        self.serving = serving
        self.deferred: list[DeferredCheckin] = []  # in the order in which they came
        self._arrived: list[DeferredCheckin] = []  # since the last answers
        self._parked: list[ParkedCheckin] = []

    def take(self, ticket: Any, body: bytes) -> None:
        """`POST /checkin`."""
        report = parse_report(body)
        if report is None:
            self.core.answer(ticket, 400, b'{"error":"malformed"}')
            return
        self._route(ticket, report, self.core.now + PARK_S)

    def _refuse(self, ticket: Any) -> None:
        """The machine tries the next controller."""
        self.core.answer(ticket, 503, b"", RETRY_S)

    def _route(self, ticket: Any, report: Report, park_until: float) -> None:
        if not self.view.loaded or not self.serving():
            self._refuse(ticket)
            return
        label = self.registry.host_block.get(report.host)
        if label is None:
            self._unknown_machine(ticket, report, park_until)
            return
        held = self.held.get(label)
        if held is None:
            self._redirect(ticket, self.registry.holder_of(label))
            return
        machine = held.machines.get(report.host)
        if machine is None or report.baton > held.token or machine.is_copy(report):
            # Somebody with a higher token has spoken to it: our copy is behind. Or it is a late
            # copy of a report: an answer must not count as one that its lease goes on with.
            self._refuse(ticket)
            return
        self._defer(ticket, report, held, machine)

    def _defer(self, ticket: Any, report: Report, held: HeldBlock, machine: Machine) -> None:
        if report.baton > machine.token:
            # Away and back between two looks of ours: to us it is a machine just granted.
            machine.token = held.token
            machine.fenced = False
        newer = held.intake.take(machine, report, checkin=True)
        if report.addr:
            self.writer.addresses[report.host] = report.addr
        until = self.core.now + DEFER_REPORTS * self.core.report_s
        self._arrived.append(DeferredCheckin(ticket, held, machine, newer, until))

    def _redirect(self, ticket: Any, holder: str | None) -> None:
        if holder is None or holder == self.core.label:
            self._refuse(ticket)
            return
        self.core.answer(ticket, 421, msgspec.json.encode(Foreman(holder)))

    def _unknown_machine(self, ticket: Any, report: Report, park_until: float) -> None:
        """Only the leader grants machines to blocks."""
        leader = self.registry.leader
        if self.leadership.term is None:
            self._redirect(ticket, leader[0].label if leader else None)
            return
        coming = self.writer.coming(report.host)
        if not coming and report.host in self.provider.listed:
            # Only with the cloud's word: the report may be a late copy of a machine long gone.
            coming = self.provider.adopt(
                report.host, report.addr, report.build, report.hall, report.loaners
            )
        if coming and self.core.now < park_until:
            self._parked.append(ParkedCheckin(ticket, report, park_until))
            return
        self._refuse(ticket)

    def unpark(self) -> None:
        """Look again at machines that were being granted."""
        parked, self._parked = self._parked, []
        for checkin in parked:
            known = checkin.report.host in self.registry.host_block
            if known or self.core.now >= checkin.until:
                self._route(checkin.ticket, checkin.report, checkin.until)
            else:
                self._parked.append(checkin)

    # -- answers ---------------------------------------------------------------------------

    def answer_deferred(self, look_again: bool) -> None:
        """Answer the check-ins that need not wait any longer for a plan or a mark.

        Between two plans and looks at marks those that waited before go on waiting until their
        time is over: they came in that order.
        """
        if not look_again:
            now = self.core.now
            overdue = next((n for n, c in enumerate(self.deferred) if c.until > now), None)
            self._answer_some(self.deferred[:overdue])
            self.deferred = [] if overdue is None else self.deferred[overdue:]
        else:
            self._arrived, self.deferred = self.deferred + self._arrived, []
        arrived, self._arrived = self._arrived, []
        self.deferred += self._answer_some(arrived)

    def _answer_some(self, checkins: list[DeferredCheckin]) -> list[DeferredCheckin]:
        """Answer those that need not wait; returns the others."""
        waiting = []
        for checkin in checkins:
            if self._waits(checkin):
                waiting.append(checkin)
            elif self._may_answer(checkin):
                self._answer(checkin)
            else:
                self._refuse(checkin.ticket)
        return waiting

    def _waits(self, checkin: DeferredCheckin) -> bool:
        machine = checkin.machine
        unplanned = checkin.held.dirty or not machine.used  # the next plan, or its mark
        in_time = self.core.now < checkin.until
        return unplanned and in_time and machine.usable and not machine.full

    def _may_answer(self, checkin: DeferredCheckin) -> bool:
        held, machine = checkin.held, checkin.machine
        if self.held.get(held.label) is not held or machine.host not in held.machines:
            return False
        if not self.serving():
            return False  # looked at again: one that waited may have outlived the window
        if machine.host not in held.unconfirmed or machine.fenced:
            return True
        # It may hold tasks and has not shown that it hears us. An answer may renew its lease, so
        # it gets a few only: a machine that hears nothing would put off the proof that it is
        # empty, and every job accepted before, for ever.
        if machine.unfenced_answers >= UNFENCED_ANSWERS_MOST:
            return False
        machine.unfenced_answers += 1
        return True

    def _answer(self, checkin: DeferredCheckin) -> None:
        held, machine = checkin.held, checkin.machine
        orders: list[Order] = []
        if machine.fenced:
            # Also when an answer of `/do` has overtaken the report: the reply renews the
            # lease, so it carries what is to stop.
            orders = held.commands.orders(machine)
            # The mark by the newest copy of the record, not by the last look over all marks.
            used = machine.used and self.writer.used(held.label, machine.host)
            if checkin.newer and machine.usable and used and self.view.ready:
                orders += self._runs(held, machine)
        machine.replied_at = self.core.now
        body = msgspec.json.encode(Orders(machine.token, orders))
        self.core.answer(checkin.ticket, 200, body)

    def _runs(self, held: HeldBlock, machine: Machine) -> list[Order]:
        """The tasks booked on the machine from now on."""
        orders = []
        for booking in held.booked.pop(machine.host, ()):
            job = held.jobs.get(booking.job)
            if (
                job is None
                or job.cancelled
                or booking.index in job.runs
                or job.is_completed(booking.index)
            ):
                continue
            order = held.commands.start(machine, job, booking, held.estimate(job))
            if order is None:
                break
            orders.append(order)
            self._expect_image(held, machine, job.spec.image, job.spec.image_gb)
        return orders

    def _expect_image(self, held: HeldBlock, machine: Machine, image: str, size_gb: float) -> None:
        kind = self.registry.types.get(machine.entry.build)
        if kind is None:
            return
        if image not in machine.images:
            begin = max([self.core.now, *machine.fetching.values()])
            machine.fetching[image] = begin + size_gb / max(kind.fetch_gb_per_s, 1e-3)
            held.decisions.image_cached(machine.host, image, size_gb)
        machine.remember_image(image, size_gb, kind.cache_gb)
