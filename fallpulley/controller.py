"""The owner of all state of one controller: takes commands in batches, returns effects.

No I/O happens here. `serve` posts what arrives and carries out what is asked for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from fallpulley.blocks.balance import BlockBalance
from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.marks import UsedMarks
from fallpulley.blocks.messages import Former
from fallpulley.blocks.registry import FORMAT, SESSIONS, SHARES, Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.blocks.shares import write_share
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.effects import Command, Effect, OperatorRequest, PeerMessage, Request, Result
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.messages import JobState
from fallpulley.jobs.persistence import JobPersistence
from fallpulley.jobs.service import JOB_PREFIX, JobEntry, JobService
from fallpulley.mesh.counts import CountsInTurn
from fallpulley.mesh.messages import CalledOff, MachineRequest
from fallpulley.mesh.peers import HEARTBEAT_S, Peers
from fallpulley.placement.planner import Planner
from fallpulley.settings import Settings
from fallpulley.state.view import View
from fallpulley.workers.checkins import HeartbeatHandler

if TYPE_CHECKING:
    from fallpulley.duties.service import DutiesService
    from fallpulley.shares.service import SharesService
    from fallpulley.standby.service import Standby

log = logging.getLogger(__name__)

# How messages between standbys begin.
STANDBY_TAGS = b'["standby_'
# A watch returns at least so often within a session: its return proves the copy fresh.
HOLDS_PER_SESSION = 3.0
# Machines, jobs and records are looked over so often within a report interval.
TICK_REPORTS = 1.0 / 15.0
# The record's marks are compared with the machines when something changed that they tell of, and
# else every so many report intervals: at every tick it took a tenth of a holder's time.
MARK_REPORTS = 0.5

# A controller that could read nothing for so long after its start calls that an outage.
NEVER_READ_HEARTBEATS = 4.0
# Without state service and peers for so many heartbeats, a controller calls itself cut off.
ALONE_HEARTBEATS = 5.0


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
        self.planner = Planner(core, self.registry, self.jobs)
        self.marks = UsedMarks(core, self.writer)
        self.balance = BlockBalance(
            core,
            self.registry,
            self.session,
            self.leadership,
            self.writer,
            self.provider,
            self.jobs,
            self.peers,
        )
        self.checkins = HeartbeatHandler(
            core,
            self.view,
            self.registry,
            self.leadership,
            self.writer,
            self.provider,
            self.held,
            self.serving,
        )
        self.shares = self._start_shares()
        self.duties = self._start_duties()
        self._formers: dict[str, list[Former]] = {}  # block -> holders before us
        # Cancelled by word of a peer, while our copy of their records is from before.
        self._called_off: set[str] = set()
        self._started_at = 0.0
        self._machine_requests: dict[str, list[MachineRequest]] = {}  # by block
        self._counts_in_turn = CountsInTurn()
        self._next_tick = float("-inf")
        self._marks_at = float("-inf")
        self._look_again = True  # plans or marks have changed what check-ins wait for

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
                if isinstance(command, Request | OperatorRequest):
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
        elif isinstance(command, OperatorRequest):
            self._operators_request(command)
        else:
            self._request(command)

    def _request(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        pending_response, method = request.ticket, request.method
        answer = self.core.answer
        if path == "/checkin":
            if method != "POST":
                answer(pending_response, 405)
            else:
                self.checkins.handle(pending_response, request.body)
        elif path == "/up":
            if method not in ("GET", "HEAD"):
                answer(pending_response, 405)
            else:
                answer(pending_response, 200 if self.healthy() else 503)
        elif path == "/work":
            if method != "POST":
                answer(pending_response, 405)
            else:
                self.jobs.submit(pending_response, request.body)
        elif path.startswith("/work/"):
            job, _, verb = path[len("/work/") :].partition("/")
            if verb == "" and method == "GET":
                self.jobs.query(pending_response, job)
            elif verb == "abort" and method == "POST":
                self.jobs.cancel(pending_response, job)
            elif verb in ("", "abort"):
                answer(pending_response, 405)
            else:
                answer(pending_response, 404)
        else:
            answer(pending_response, 404)

    def _operators_request(self, request: OperatorRequest) -> None:
        path = request.path.partition("?")[0]
        if path == "/shares" and self.shares is not None:
            self.shares.request(request)
        else:
            self.core.answer(request.ticket, 404)

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

    def _start_shares(self) -> SharesService | None:
        """Only a controller that is to have them loads what shares need."""
        if not self.core.settings.operators.shares.enabled:
            return None
        from fallpulley.shares.service import SharesService

        shares = SharesService(
            self.core,
            self.view,
            self.registry,
            self.session,
            self.leadership,
            self.writer,
            self.jobs,
            self.held,
        )
        self.jobs.block_of_team = shares.block_of_team
        self.leadership.blocks_to_open = shares.blocks_to_open
        self.provider.shard_for_rental = shares.block_for_rental
        return shares

    def _start_duties(self) -> DutiesService | None:
        """Only a controller that is to have them loads what duties need."""
        if not self.core.settings.operators.duties.enabled:
            return None
        from fallpulley.duties.service import DutiesService

        duties = DutiesService(
            self.core,
            self.view,
            self.registry,
            self.session,
            self.leadership,
            self.provider,
            self.held,
        )
        self.provider.action_guard = duties
        return duties

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
            if job in self.jobs.entries and self.jobs.entries[job].state == JobState.OPEN:
                self.jobs.task_counts[job] = (done, running)
        leader = self.registry.leader
        if leader is not None and heartbeat.boot == leader[0].boot:
            self.provider.target_sizes = heartbeat.targets
        if self.leadership.term is not None:
            for request in heartbeat.machine_requests:
                if request.block in self.registry.blocks and request.count > 0:
                    self.provider.scale_out(
                        request.block,
                        request.machine_type,
                        request.zone,
                        request.spot,
                        request.count,
                    )

    def _tell_called_off(self) -> None:
        """What has just been cancelled here goes to its block's holder, by record or by word."""
        jobs, self.jobs.newly_cancelled = self.jobs.newly_cancelled, []
        by_holder: dict[str, list[str]] = {}
        for job in jobs:
            entry = self.jobs.entries.get(job)
            holder = self.registry.holder_of(entry.block) if entry is not None else None
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
                if open_job is not None and not open_job.cancelled:
                    self._called_off.add(job)
                    held.end_job(open_job, True)

    def _add_job(self, held: HeldBlock, job: str, entry: JobEntry) -> None:
        if entry.record is not None and job not in self._called_off:
            held.add_job(job, entry.record, entry.mod_revision, self.jobs.pipelines.node(job))

    # -- shared records --------------------------------------------------------------------

    def _on_key(self, key: str, value: bytes | None, stamp: int) -> None:
        if key.startswith(JOB_PREFIX):
            self._on_job(key[len(JOB_PREFIX) :], value, stamp)
            return
        if key == SHARES:
            if self.shares is not None:
                self.shares.on_record(value)
            return
        if self.duties is not None and self.duties.knows(key):
            self.duties.on_key(key, value, stamp)
            return
        holders = {label: entry[0] for label, entry in self.registry.blocks.items()}
        block = self.registry.on_key(key, value, stamp)
        if block is not None:
            previous = holders.get(block)
            self._on_block(block, (previous.holder, previous.boot) if previous else None)
            self._share_writes()
        elif key.startswith(SESSIONS):
            self._check_old_holders()
            if value is not None and self.standby is not None:
                self.standby.session_began(key[len(SESSIONS) :])
        elif key == FORMAT:
            self.core.begin_format(self.registry.format)
            self._share_writes()

    def _on_job(self, job: str, value: bytes | None, stamp: int) -> None:
        if self.jobs.on_record(job, value, stamp) is None:
            return
        touched, self.jobs.affected_jobs = self.jobs.affected_jobs, set()
        for name in {job} | touched:
            self._settle_job(name)

    def _settle_job(self, job: str) -> None:
        """Bring what its block's holder has of a job up to its record, and to others' records."""
        entry = self.jobs.entries[job]
        held = self.held.get(entry.block)
        if held is None:
            return
        open_job = held.jobs.get(job)
        if entry.record is None:
            self._called_off.discard(job)
            if open_job is not None:
                held.end_job(open_job, entry.state == JobState.CANCELLED)
        elif open_job is None:
            self._add_job(held, job, entry)
        else:
            open_job.dependency_node = self.jobs.pipelines.node(job)
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
            if self.duties is not None:
                self.duties.block_held(held)
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
            self._add_job(held, job, self.jobs.entries[job])
        if self.duties is not None:
            self.duties.block_held(held)
        if self.standby is not None:
            self.standby.block_held(held, previous)
        self._check_old_holders()

    def _check_old_holders(self) -> None:
        """Once every former holder's process has ended, nobody else answers a block's machines."""
        core = self.core
        for label, held in self.held.items():
            formers = self._formers.get(label)
            if not held.unconfirmed or formers is None:
                continue
            if all(self.registry.ended(former, core.label, core.boot) for former in formers):
                held.old_holders_ended()
                del self._formers[label]

    # -- ticks -----------------------------------------------------------------------------

    def _tick(self) -> None:
        self.view.tick(self.core.now)
        self.session.tick()
        if self.standby is not None:
            self.standby.tick()
        self.checkins.retry_parked()
        # What looks at every machine and job runs by the clock, not with every batch.
        if self.core.now < self._next_tick:
            return
        self._next_tick = self.core.now + TICK_REPORTS * self.core.report_s
        self._look_again = True
        self.leadership.tick()
        term = self.leadership.term
        if self.duties is not None:
            self.duties.tick()
        if term is not None:
            self.provider.tick(term)
        marks_due = self.core.now >= self._marks_at
        if marks_due:
            self._marks_at = self.core.now + MARK_REPORTS * self.core.report_s
        for held in self.held.values():
            held.expire_leases(self.view.fresh_at)
            held.stop_broken()
            self.balance.give_if_unheard(held)
            if marks_due:
                self.marks.compare(held)
            elif held.marks_due:
                self.marks.follow(held)
            if held.unconfirmed:
                held.fencing.tick(self.writer.addresses)
            if held.formers_silent():
                self.writer.alone.add(held.label)
            if held.touch or (self.core.newer_format and held.label in self.registry.older):
                self.writer.touching.add(held.label)
            self.job_persistence.tick(
                held, self.jobs.cancelled_with_dependencies.get(held.label, {})
            )
            if self.session.live():
                if held.unconfirmed and term is not None:
                    self.autoscaler.confirm_unreachable_gone(held)
                machine_requests = self.autoscaler.tick(held, term is not None)
                if machine_requests:
                    self._machine_requests[held.label] = machine_requests
        if self.shares is not None:
            self.shares.tick()
        self.writer.tick()
        if self.peers.due():
            counts = self._counts()
            if term is not None:
                self.provider.target_sizes = self.balance.target_sizes()
            if self.shares is None:
                self.balance.hand_over(self.held)
            machine_requests = [
                request for block in self._machine_requests.values() for request in block
            ]
            self.peers.tick(self.fresh_s(), counts, machine_requests, self.provider.target_sizes)
            self._machine_requests = {}

    def _counts(self) -> list[tuple[str, int, int]]:
        counts = {}
        for held in self.held.values():
            for job in held.jobs.values():
                if not job.cancelled:
                    counts[job.job_id] = (job.completed_count, len(job.runs))
        self.jobs.task_counts.update(counts)
        return self._counts_in_turn.choose(counts)

    def _plan(self) -> None:
        if self.view.ready and self.planner.plan(self.held):
            self._look_again = True

    def _answer_checkins(self) -> None:
        look_again, self._look_again = self._look_again, False
        self.checkins.respond_to_deferred(look_again)
