"""The owner of all state of one controller: takes commands in batches, returns effects.

No I/O happens here. `serve` posts what arrives and carries out what is asked for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.messages import NEWER_FORMAT, Former
from fallpulley.blocks.registry import BLOCKS, FORMAT, SESSIONS, Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.blocks.shares import target_sizes, write_share
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.effects import Command, Effect, PeerMessage, Request, Result
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.messages import OPEN, WITHDRAWN
from fallpulley.jobs.persistence import JobPersistence
from fallpulley.jobs.service import JOBS, JobService, Known
from fallpulley.mesh.messages import CalledOff, MachineRequest
from fallpulley.mesh.peers import HEARTBEAT_S, Peers
from fallpulley.placement.queue import plan_block
from fallpulley.settings import Settings
from fallpulley.state.view import View
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Foreman, Order, Orders, Report, parse_report

if TYPE_CHECKING:
    from fallpulley.standby.service import Standby

log = logging.getLogger(__name__)

# How messages between standbys begin.
STANDBY_TAGS = b'["standby_'
# A watch returns at least so often within a session: its return proves the copy fresh.
HOLDS_PER_SESSION = 3.0
# Machines, jobs and records are looked over so often within a report interval.
TICK_REPORTS = 1.0 / 15.0
# The next plan waits so many times what the last one took: a twentieth of the time is for
# planning. Where that would be longer than a part of a report interval, room would stand idle for
# what it saves: then up to a fifth of the time is.
PLAN_SHARE, PLAN_SHARE_LEAST = 20.0, 4.0
PLAN_REPORTS_MOST = 0.15
# The record's marks are compared with the machines when something changed that they tell of, and
# else every so many report intervals: at every tick it took a tenth of a holder's time.
MARK_REPORTS = 0.5
# A machine of a block just taken over is answered so often before it must have shown our token.
UNFENCED_ANSWERS_MOST = 3
# A machine with room waits so long for the next plan to answer its report: without, room that a
# task has just left stood idle until the next report.
DEFER_REPORTS = 0.25
# Plans lie at least so many report intervals apart: what comes between is planned together.
PLAN_REPORTS = 1.0 / 20.0
# A machine whose next report is due within this share of an interval need not be prompted.
PROMPT_REPORTS = 0.25
# Estimates run out while nothing happens: plan again at least every so many reports.
REPLAN_REPORTS = 1.0
# A check-in of a machine being granted waits for the record, not longer than this.
PARK_S = 1.0

# A controller that could read nothing for so long after its start calls that an outage.
NEVER_READ_HEARTBEATS = 4.0
# Without state service and peers for so many heartbeats, a controller calls itself cut off.
ALONE_HEARTBEATS = 5.0
# A holder that hears none of its machines for this share of their lease gives its block away.
DEAF_LEASES = 0.4


class Controller:
    def __init__(self, settings: Settings, boot: str, clock: Callable[[], float]) -> None:
        self.core = Core(settings, boot, clock)
        core = self.core
        nodes = max(1, settings.facts.nodes)
        # Looks at the changes may use half of this controller's share of the requests.
        spacing_s = max(0.05, 2.0 * nodes / settings.facts.state.rps)
        self.view = View(core.state, self._on_key, core.session_s / HOLDS_PER_SESSION, spacing_s)
        self.registry = Registry()
        self.jobs = JobService(core, self.view, self.registry)
        self.session = SessionLease(core, self.view)
        self.leadership = Leadership(core, self.view, self.registry, self.session)
        self.writer = BlockWriter(core, self.view, self.registry)
        self.provider = MachineProvider(core, self.view, self.registry, self.writer)
        self.autoscaler = Autoscaler(core, self.registry, self.writer, self.provider)
        self.job_persistence = JobPersistence(core)
        self.peers = Peers(core)
        self.standby = self._start_standby()
        self.held: dict[str, HeldBlock] = {}
        self._formers: dict[str, list[Former]] = {}  # block -> holders before us
        # Check-ins to be answered: ticket, block, machine, newer report, until when to wait.
        self._checkins: list[tuple[Any, HeldBlock, Machine, bool, float]] = []
        # Cancelled by word of a peer, while our copy of their records is from before.
        self._called_off: set[str] = set()
        self._started_at = 0.0
        self._parked: list[tuple[Any, Report, float]] = []
        self._machine_requests: dict[str, list[MachineRequest]] = {}  # by block
        self._plan_ready_at = float("-inf")
        self._replan_at = float("-inf")
        self._next_tick = float("-inf")
        self._marks_at = float("-inf")

    # -- the batch -------------------------------------------------------------------------

    def step(self, batch: list[Command], now: float, wall: float) -> list[Effect]:
        core = self.core
        core.now, core.wall = now, wall
        if self._started_at == 0.0:
            self._started_at = now
        for command in batch:
            try:
                self._take(command)
            except Exception:
                # One broken message must not end the process or lose the rest of the batch.
                log.exception("command failed %s", type(command).__name__)
                if isinstance(command, Request):
                    core.answer(command.ticket, 503, b'{"error":"internal"}', 1.0)
        for part in (self._tell_called_off, self._tick, self._plan, self._answer_checkins):
            try:
                part()
            except Exception:
                # The next batch tries again; an end of the process would cost a takeover.
                log.exception("step failed %s", part.__name__)
        core.state.pump(now)
        effects, core.effects[:] = list(core.effects), []
        return effects

    def _take(self, command: Command) -> None:
        if isinstance(command, Result):
            command.done(command.status, command.body, command.sent_at)
        elif isinstance(command, PeerMessage):
            self._peer(command.body)
        else:
            self._request(command)

    def _request(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        ticket, method = request.ticket, request.method
        answer = self.core.answer
        if path == "/checkin":
            if method != "POST":
                answer(ticket, 405)
            else:
                self._checkin(ticket, request.body)
        elif path == "/up":
            if method not in ("GET", "HEAD"):
                answer(ticket, 405)
            else:
                answer(ticket, 200 if self.healthy() else 503)
        elif path == "/work":
            if method != "POST":
                answer(ticket, 405)
            else:
                self.jobs.submit(ticket, request.body)
        elif path.startswith("/work/"):
            job, _, verb = path[len("/work/") :].partition("/")
            if verb == "" and method == "GET":
                self.jobs.query(ticket, job)
            elif verb == "abort" and method == "POST":
                self.jobs.abort(ticket, job)
            elif verb in ("", "abort"):
                answer(ticket, 405)
            else:
                answer(ticket, 404)
        else:
            answer(ticket, 404)

    def fresh_s(self) -> float:
        return self.core.now - self.view.fresh_at

    def healthy(self) -> bool:
        """All but a controller that alone has lost the state service can take requests.

        One that reaches neither the state service nor any peer cannot tell an outage from being
        cut off: users are better served by others. In an outage seen by all, peers are heard.
        """
        core = self.core
        last = max(self.view.fresh_at, self._started_at)
        if (
            core.settings.seeds
            and core.now - last > ALONE_HEARTBEATS * HEARTBEAT_S
            and self.peers.none()
        ):
            return False
        if self.view.ready:
            return not self.peers.left_behind(self.view.fresh_at)
        # Nothing read yet: healthy only if nobody else can read either.
        waited = core.now - self._started_at > NEVER_READ_HEARTBEATS * HEARTBEAT_S
        return waited and not self.peers.left_behind(self._started_at - HEARTBEAT_S)

    def serving(self) -> bool:
        """Within the answer window: nobody can have proved our machines empty yet."""
        last = min(self.session.renewed_at, self.view.fresh_at)
        return self.core.now < last + self.core.window_s

    def _start_standby(self) -> Standby | None:
        """Only a controller that is to have one loads what a standby needs."""
        if not self.core.settings.operators.standby.enabled:
            return None
        from fallpulley.standby.service import Standby

        standby = Standby(self.core, self.registry, self.peers.send)
        self.leadership.hold_off_s = standby.hold_off_s
        return standby

    def _peer(self, body: bytes) -> None:
        if body.startswith(STANDBY_TAGS):
            if self.standby is not None:
                self.standby.take(body)
            return
        heartbeat = self.peers.take(body)
        if isinstance(heartbeat, CalledOff):
            self._call_off(heartbeat.jobs)
            return
        if heartbeat is None:
            return
        for job, done, running in heartbeat.counts:
            if job in self.jobs.known and self.jobs.known[job].stage == OPEN:
                self.jobs.counts[job] = (done, running)
        leader = self.registry.leader
        if leader is not None and heartbeat.boot == leader[0].boot:
            self.provider.targets = heartbeat.targets
        if self.leadership.term is not None:
            for request in heartbeat.machine_requests:
                if request.block in self.registry.blocks and request.number > 0:
                    self.provider.rent(
                        request.block, request.build, request.zone, request.spot, request.number
                    )

    def _tell_called_off(self) -> None:
        """What has just been cancelled here goes to its block's holder, by record or by word."""
        jobs, self.jobs.called_off = self.jobs.called_off, []
        by_holder: dict[str, list[str]] = {}
        for job in jobs:
            known = self.jobs.known.get(job)
            holder = self.registry.holder_of(known.block) if known is not None else None
            if holder == self.core.label:
                self._call_off([job])
            elif holder is not None:
                by_holder.setdefault(holder, []).append(job)
        for holder, told in by_holder.items():
            self.peers.tell(holder, told)

    def _call_off(self, jobs: list[str]) -> None:
        """The cancellation is durable, so it holds whatever our own copy still shows."""
        for job in jobs:
            for held in self.held.values():
                open_job = held.jobs.get(job)
                if open_job is not None and not open_job.withdrawn:
                    self._called_off.add(job)
                    held.end_job(open_job, True)

    def _add_job(self, held: HeldBlock, job: str, known: Known) -> None:
        if known.record is not None and job not in self._called_off:
            held.add_job(job, known.record, known.stamp, self.jobs.pipelines.node(job))

    # -- shared records --------------------------------------------------------------------

    def _on_key(self, key: str, value: bytes | None, stamp: int) -> None:
        if key.startswith(JOBS):
            self._on_job(key[len(JOBS) :], value, stamp)
            return
        previous = None
        if key.startswith(BLOCKS):
            entry = self.registry.blocks.get(key[len(BLOCKS) :])
            previous = (entry[0].holder, entry[0].boot) if entry else None
        self.registry.on_key(key, value, stamp)
        if key.startswith(BLOCKS):
            self._on_block(key[len(BLOCKS) :], previous)
            self._share_writes()
        elif key.startswith(SESSIONS):
            self._check_old_holders()
        elif key == FORMAT and self.registry.format >= NEWER_FORMAT:
            self.core.begin_newer_format()
            self._share_writes()

    def _on_job(self, job: str, value: bytes | None, stamp: int) -> None:
        if self.jobs.on_record(job, value, stamp) is None:
            return
        touched, self.jobs.touched = self.jobs.touched, set()
        for name in {job} | touched:
            self._settle_job(name)

    def _settle_job(self, job: str) -> None:
        """Bring what its block's holder has of a job up to its record, and to others' records."""
        known = self.jobs.known[job]
        held = self.held.get(known.block)
        if held is None:
            return
        open_job = held.jobs.get(job)
        if known.record is None:
            self._called_off.discard(job)
            if open_job is not None:
                held.end_job(open_job, known.stage == WITHDRAWN)
        elif open_job is None:
            self._add_job(held, job, known)
        else:
            open_job.node = self.jobs.pipelines.node(job)
            held.dirty = True

    def _share_writes(self) -> None:
        """Holders write most. A version in production that knows equal shares alone may run until
        the newer format begins."""
        if not self.core.newer_format:
            return
        holders = {record.holder for record, _ in self.registry.blocks.values()}
        nodes = max(1, self.core.settings.facts.nodes)
        self.core.state.changes.take_share(write_share(self.core.label, holders, nodes))

    def _on_block(self, label: str, previous: tuple[str, str] | None) -> None:
        core = self.core
        entry = self.registry.blocks.get(label)
        held = self.held.get(label)
        ours = entry is not None and (entry[0].holder, entry[0].boot) == (core.label, core.boot)
        if not ours or entry is None:
            if held is not None:
                log.info("block lost block=%s term=%d", label, held.token)
                del self.held[label]
                self.writer.drop_block(label)
                if self.standby is not None:
                    self.standby.block_lost(label)
            return
        record, stamp = entry
        if held is not None:
            held.update(record, stamp)
            return
        held = HeldBlock(core, label, record, stamp, fresh=previous is None)
        self.held[label] = held
        self._formers[label] = record.earlier
        log.info(
            "block held block=%s term=%d machines=%d from=%s",
            label,
            stamp,
            len(record.machines),
            previous,
        )
        for job in self.jobs.open_by_block.get(label, ()):
            self._add_job(held, job, self.jobs.known[job])
        if self.standby is not None:
            self.standby.block_held(held, previous)
        self._check_old_holders()

    def _check_old_holders(self) -> None:
        """Once every former holder's process has ended, nobody else answers a block's machines."""
        core = self.core
        for label, held in self.held.items():
            formers = self._formers.get(label)
            if not held.unproven or formers is None:
                continue
            if all(self.registry.ended(former, core.label, core.boot) for former in formers):
                held.old_holders_ended()
                del self._formers[label]

    # -- check-ins -------------------------------------------------------------------------

    def _checkin(self, ticket: Any, body: bytes) -> None:
        report = parse_report(body)
        if report is None:
            self.core.answer(ticket, 400, b'{"error":"malformed"}')
            return
        self._route(ticket, report, self.core.now + PARK_S)

    def _route(self, ticket: Any, report: Report, park_until: float) -> None:
        core = self.core
        if not self.view.loaded or not self.serving():
            core.answer(ticket, 503, b"", 1.0)
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
            core.answer(ticket, 503, b"", 1.0)
            return
        if report.baton > machine.token:
            # Away and back between two looks of ours: to us it is a machine just granted.
            machine.token = held.token
            machine.settled = False
        newer = held.take_report(machine, report, checkin=True)
        if report.addr:
            self.writer.addresses[report.host] = report.addr
        until = core.now + DEFER_REPORTS * core.report_s
        self._checkins.append((ticket, held, machine, newer, until))

    def _redirect(self, ticket: Any, holder: str | None) -> None:
        if holder is None or holder == self.core.label:
            self.core.answer(ticket, 503, b"", 1.0)
            return
        self.core.answer(ticket, 421, msgspec.json.encode(Foreman(holder)))

    def _unknown_machine(self, ticket: Any, report: Report, park_until: float) -> None:
        """Only the leader grants machines to blocks."""
        core = self.core
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
        if coming and core.now < park_until:
            self._parked.append((ticket, report, park_until))
            return
        core.answer(ticket, 503, b"", 1.0)

    def _unpark(self) -> None:
        parked, self._parked = self._parked, []
        for ticket, report, until in parked:
            if report.host in self.registry.host_block or self.core.now >= until:
                self._route(ticket, report, until)
            else:
                self._parked.append((ticket, report, until))

    def _answer_checkins(self) -> None:
        checkins, self._checkins = self._checkins, []
        for entry in checkins:
            ticket, held, machine, newer, until = entry
            waits = held.dirty or not machine.used  # for the next plan, or for its mark
            if waits and self.core.now < until and machine.usable and not machine.full:
                self._checkins.append(entry)
                continue
            gone = self.held.get(held.label) is not held or machine.host not in held.machines
            if gone or not self.serving():
                # Looked at again: one that waited for the plan may have outlived the window.
                self.core.answer(ticket, 503, b"", 1.0)
                continue
            if machine.host in held.unproven and not machine.settled:
                # It may hold tasks and has not shown that it hears us. An answer may renew its
                # lease, so it gets a few only: a machine that hears nothing would put off the
                # proof that it is empty, and every job accepted before, for ever.
                if machine.unfenced_answers >= UNFENCED_ANSWERS_MOST:
                    self.core.answer(ticket, 503, b"", 1.0)
                    continue
                machine.unfenced_answers += 1
            orders: list[Order] = []
            if machine.settled:
                # Also when an answer of `/do` has overtaken the report: the reply renews the
                # lease, so it carries what is to stop.
                orders = held.orders(machine)
                # The mark by the newest copy of the record, not by the last look over all marks.
                used = machine.used and self.writer.used(held.label, machine.host)
                if newer and machine.usable and used and self.view.ready:
                    orders += self._runs(held, machine)
            machine.replied_at = self.core.now
            body = msgspec.json.encode(Orders(machine.token, orders))
            self.core.answer(ticket, 200, body)

    def _runs(self, held: HeldBlock, machine: Machine) -> list[Order]:
        """The tasks booked on the machine from now on."""
        orders = []
        for booking in held.booked.pop(machine.host, ()):
            job = held.jobs.get(booking.job)
            if (
                job is None
                or job.withdrawn
                or booking.index in job.runs
                or job.is_done(booking.index)
            ):
                continue
            orders.append(held.start(machine, job, booking, held.estimate(job)))
            self._expect_image(held, machine, job.spec.kit, job.spec.size_gb)
        return orders

    def _expect_image(self, held: HeldBlock, machine: Machine, image: str, size_gb: float) -> None:
        kind = self.registry.types.get(machine.entry.build)
        if kind is None:
            return
        if image not in machine.images:
            now = self.core.now
            begin = max([now, *machine.fetching.values()])
            machine.fetching[image] = begin + size_gb / max(kind.fetch_gb_per_s, 1e-3)
            held.decisions.image_cached(machine.host, image, size_gb)
        machine.remember_image(image, size_gb, kind.cache_gb)

    # -- ticks -----------------------------------------------------------------------------

    def _tick(self) -> None:
        self.view.tick(self.core.now)
        self.session.tick()
        if self.standby is not None:
            self.standby.tick()
        if self._parked:
            self._unpark()
        # What looks at every machine and job runs by the clock, not with every batch.
        if self.core.now < self._next_tick:
            return
        self._next_tick = self.core.now + TICK_REPORTS * self.core.report_s
        self.leadership.tick()
        term = self.leadership.term
        if term is not None:
            self.provider.tick(term)
        marks_due = self.core.now >= self._marks_at
        if marks_due:
            self._marks_at = self.core.now + MARK_REPORTS * self.core.report_s
        for held in self.held.values():
            held.settle_silent(self.view.fresh_at)
            held.stop_broken()
            self._give_if_deaf(held)
            if held.marks_due or marks_due:
                self._mark_used(held)
            if held.unproven:
                held.fence(self.writer.addresses)
            if held.formers_silent():
                self.writer.alone.add(held.label)
            if held.touch or (self.core.newer_format and held.label in self.registry.older):
                self.writer.touching.add(held.label)
            self.job_persistence.tick(held, self.jobs.derived.get(held.label, {}))
            if self.session.live():
                if held.unproven and term is not None:
                    self.autoscaler.prove(held)
                machine_requests = self.autoscaler.tick(held, term is not None)
                if machine_requests:
                    self._machine_requests[held.label] = machine_requests
        self.writer.tick()
        if self.peers.due():
            counts = self._counts()
            if term is not None:
                self.provider.targets = self._target_sizes()
            self._hand_over()
            machine_requests = [
                request for block in self._machine_requests.values() for request in block
            ]
            self.peers.tick(self.fresh_s(), counts, machine_requests, self.provider.targets)
            self._machine_requests = {}

    def _give_if_deaf(self, held: HeldBlock) -> None:
        """No machine reaches us any more, but the state service and a peer do: the peer may be
        heard by them, and if so in time for their leases."""
        heard = [m.heard_at for m in held.machines.values() if m.up]
        now = self.core.now
        if not heard or not self.session.live():
            return
        if now - max(heard) < DEAF_LEASES * self.core.lease_s:
            return
        peers = sorted(
            label
            for label in self.registry.sessions
            if label != self.core.label and self.peers.recent(label)
        )
        if peers:
            self.leadership.give(held.label, peers[held.token % len(peers)])

    def _target_sizes(self) -> dict[str, int]:
        blocks = self.registry.blocks
        if len(blocks) < 2:
            return {}
        work = {label: self.jobs.load(label) for label in blocks}
        machines = sum(len(record.machines) for record, _ in blocks.values())
        return target_sizes(work, machines, self.leadership.per_block)

    def _hand_over(self) -> None:
        """Give an idle machine to the block furthest below its target, while ours is above."""
        targets = self.provider.targets
        if not targets or not self.session.live():
            return
        sizes = {label: len(entry[0].machines) for label, entry in self.registry.blocks.items()}
        for label, held in self.held.items():
            short = {b: targets[b] - n for b, n in sizes.items() if b in targets and b != label}
            to = max(short, key=lambda block: (short[block], block), default=None)
            if label not in targets or to is None or short[to] < 1:
                continue
            if sizes[label] - targets[label] < 1 or self.writer.handing.get(label):
                continue
            idle = [m for m in held.machines.values() if m.usable and m.empty]
            if idle:
                machine = max(idle, key=lambda m: m.idle_since or 0.0)
                log.info("machine handed over machine=%s from=%s to=%s", machine.host, label, to)
                machine.leaving = True
                held.booked.pop(machine.host, None)
                held.dirty = True
                self.writer.hand_over(label, machine.host, to)

    def _mark_used(self, held: HeldBlock) -> None:
        """Keep the record's marks of machines that may hold tasks."""
        for host, machine in held.machines.items():
            entry = held.record.machines.get(host)
            if entry is None:
                continue
            wished = self.writer.marks.get(held.label, {}).get(host, entry.used)
            knocks = self.core.now < machine.unfenced_at + self.core.lease_s
            may_hold = machine.up or bool(machine.runs) or host in held.unproven or knocks
            if (machine.usable or knocks) and not wished:
                self._mark(held, host, True)
            elif not may_hold and wished and machine.got_at < self.core.now:
                self._mark(held, host, False)
            if machine.leaving and not self.writer.leaving(held.label, host):
                machine.leaving = False  # its move was called off
                held.dirty = True
            used = self.writer.used(held.label, host)
            if used != machine.used:
                machine.used = used
                held.dirty = True
        # A mark on its way counts once the writer has seen it in the record: look again then.
        held.marks_due = bool(self.writer.marks.get(held.label))

    def _mark(self, held: HeldBlock, host: str, used: bool) -> None:
        self.writer.mark(held.label, host, used)
        held.decisions.machine_marked(host, used)

    def _prompt_reports(self, held: HeldBlock) -> None:
        """Machines with new bookings are asked to report now instead of when it is their turn."""
        soon = self.core.now + PROMPT_REPORTS * self.core.report_s
        for host in held.booked:
            machine = held.machines.get(host)
            if machine is not None and machine.heard_at + self.core.report_s > soon:
                held.prompt_report(machine)

    def _counts(self) -> list[tuple[str, int, int]]:
        counts = []
        for held in self.held.values():
            for job in held.jobs.values():
                if not job.withdrawn:
                    entry = (job.done, len(job.runs))
                    self.jobs.counts[job.job] = entry
                    counts.append((job.job, *entry))
        return counts

    def _plan(self) -> None:
        now = self.core.now
        if now < self._plan_ready_at:
            return
        replan = now >= self._replan_at
        began = self.core.clock()
        planned = False
        for held in self.held.values():
            if not (held.dirty or replan) or not self.view.ready:
                continue
            planned = True
            held.dirty = False
            decision = plan_block(held, self.core, self.registry, self.jobs.teams)
            held.booked = decision.starts
            for stop in decision.stops:
                held.preempt(stop.host, stop.pieces)
            self._prompt_reports(held)
        if planned:
            took = self.core.clock() - began
            report_s = self.core.report_s
            wait_s = min(took * PLAN_SHARE, PLAN_REPORTS_MOST * report_s)
            wait_s = max(wait_s, took * PLAN_SHARE_LEAST, PLAN_REPORTS * report_s)
            self._plan_ready_at = now + wait_s
            self._replan_at = now + REPLAN_REPORTS * self.core.report_s
