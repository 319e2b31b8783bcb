"""The owner of all state of one controller: takes commands in batches, returns effects.

No I/O happens here. `serve` posts what arrives and carries out what is asked for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.balancing.shard_sizes import change_share
from fallpulley.context import ControllerContext
from fallpulley.effects import CallCompleted, Command, Effect, OperatorRequest, PeerMessage, Request
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.messages import JobState
from fallpulley.jobs.persistence import JobPersistence
from fallpulley.jobs.service import JOB_PREFIX, JobEntry, JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.messages import Cancellations, MachineRequest
from fallpulley.mesh.peers import HEARTBEAT_SECONDS, Peers
from fallpulley.mesh.task_counts import TaskCountRotation
from fallpulley.placement.planner import Planner
from fallpulley.records.registry import FORMAT_KEY, SESSION_PREFIX, SHARES_KEY, Registry
from fallpulley.records.shard_record import PreviousOwner
from fallpulley.records.writer import ShardWriter
from fallpulley.settings import Settings
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.shard import Shard
from fallpulley.state.watch_cache import WatchCache
from fallpulley.workers.heartbeats import HeartbeatHandler

if TYPE_CHECKING:
    from fallpulley.duties.service import DutiesService
    from fallpulley.shares.service import SharesService
    from fallpulley.standby.service import Standby

log = logging.getLogger(__name__)

# How messages between standbys begin.
STANDBY_TAG_PREFIX = b'["standby_'
# A watch returns at least so often within a session: its return proves the copy fresh.
WATCHES_PER_SESSION = 3.0
# Machines, jobs and records are looked over so often within a report interval.
TICK_INTERVALS = 1.0 / 15.0
# The record's marks are compared with the machines when something changed that they tell of, and
# else every so many report intervals: at every tick it took a tenth of a holder's time.
OCCUPANCY_INTERVALS = 0.5

# A controller that could read nothing for so long after its start calls that an outage.
NEVER_READ_HEARTBEATS = 4.0
# Without state service and peers for so many heartbeats, a controller calls itself cut off.
ISOLATED_HEARTBEATS = 5.0


class Controller:
    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        self.context = ControllerContext(settings, incarnation, clock)
        context = self.context
        nodes = max(1, settings.facts.nodes)
        # Looks at the changes may use half of this controller's share of the requests.
        spacing_s = max(0.05, 2.0 * nodes / settings.facts.state.rps)
        self.watch = WatchCache(
            context.state_client,
            self._on_key_changed,
            context.timing.session_s / WATCHES_PER_SESSION,
            spacing_s,
        )
        self.registry = Registry()
        self.jobs = JobService(context, self.watch, self.registry)
        self.session = SessionLease(context, self.watch)
        self.leadership = Leadership(context, self.watch, self.registry, self.session)
        self.writer = ShardWriter(context, self.watch, self.registry)
        self.provider = MachineProvider(context, self.watch, self.registry, self.writer)
        self.autoscaler = Autoscaler(context, self.registry, self.writer, self.provider)
        self.job_persistence = JobPersistence(context)
        self.peers = Peers(context)
        self.standby = self._start_standby()
        self.shards: dict[str, Shard] = {}
        self.planner = Planner(context, self.registry, self.jobs)
        self.occupancy = OccupancyFlags(context, self.writer)
        self.balancer = ShardBalancer(
            context,
            self.registry,
            self.session,
            self.leadership,
            self.writer,
            self.provider,
            self.jobs,
            self.peers,
        )
        self.heartbeats = HeartbeatHandler(
            context,
            self.watch,
            self.registry,
            self.leadership,
            self.writer,
            self.provider,
            self.shards,
            self.is_serving,
        )
        self.shares = self._start_shares()
        self.duties = self._start_duties()
        self._previous_owners: dict[str, list[PreviousOwner]] = {}  # block -> holders before us
        # Cancelled by word of a peer, while our copy of their records is from before.
        self._cancelled: set[str] = set()
        self._started_at = 0.0
        self._machine_requests: dict[str, list[MachineRequest]] = {}  # by block
        self._counts_in_turn = TaskCountRotation()
        self._next_tick = float("-inf")
        self._next_occupancy_at = float("-inf")
        self._recheck_deferred = True  # plans or marks have changed what check-ins wait for

    # -- the batch -------------------------------------------------------------------------

    def step(self, batch: list[Command], now: float, wall_time: float) -> list[Effect]:
        context = self.context
        context.now, context.wall_time = now, wall_time
        if self._started_at == 0.0:
            self._started_at = now
        for command in batch:
            try:
                self._handle_command(command)
            except Exception:
                # One broken message must not end the process or lose the rest of the batch.
                log.exception("command failed %s", type(command).__name__)
                if isinstance(command, Request | OperatorRequest):
                    context.respond(command.pending_response, 503, b'{"error":"internal"}', 1.0)
        for part in (
            self._announce_cancellations,
            self._tick,
            self._plan,
            self._respond_to_deferred,
        ):
            try:
                part()
            except Exception:
                # The next batch tries again; an end of the process would cost a takeover.
                log.exception("step failed %s", part.__name__)
        context.state_client.send_queued(now)
        effects, context.outbox[:] = list(context.outbox), []
        return effects

    def _handle_command(self, command: Command) -> None:
        if isinstance(command, CallCompleted):
            command.on_response(command.response)
        elif isinstance(command, PeerMessage):
            self._handle_peer_message(command.body)
        elif isinstance(command, OperatorRequest):
            self._handle_operator_request(command)
        else:
            self._route_request(command)

    def _route_request(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        pending_response, method = request.pending_response, request.method
        answer = self.context.respond
        if path == "/checkin":
            if method != "POST":
                answer(pending_response, 405)
            else:
                self.heartbeats.handle(pending_response, request.body)
        elif path == "/up":
            if method not in ("GET", "HEAD"):
                answer(pending_response, 405)
            else:
                answer(pending_response, 200 if self.is_healthy() else 503)
        elif path == "/work":
            if method != "POST":
                answer(pending_response, 405)
            else:
                self.jobs.submit(pending_response, request.body)
        elif path.startswith("/work/"):
            job, _, action = path[len("/work/") :].partition("/")
            if action == "" and method == "GET":
                self.jobs.query(pending_response, job)
            elif action == "abort" and method == "POST":
                self.jobs.cancel(pending_response, job)
            elif action in ("", "abort"):
                answer(pending_response, 405)
            else:
                answer(pending_response, 404)
        else:
            answer(pending_response, 404)

    def _handle_operator_request(self, request: OperatorRequest) -> None:
        path = request.path.partition("?")[0]
        if path == "/shares" and self.shares is not None:
            self.shares.request(request)
        else:
            self.context.respond(request.pending_response, 404)

    def staleness_s(self) -> float:
        return self.context.now - self.watch.fresh_at

    def is_healthy(self) -> bool:
        """All but a controller that alone has lost the state service can take requests.

        One that reaches neither the state service nor any peer cannot tell an outage from being
        cut off: users are better served by others. In an outage seen by all, peers are heard.
        """
        context = self.context
        last = max(self.watch.fresh_at, self._started_at)
        if (
            context.settings.peers
            and context.now - last > ISOLATED_HEARTBEATS * HEARTBEAT_SECONDS
            and self.peers.has_no_live_peer()
        ):
            return False
        if self.watch.ready:
            return not self.peers.is_stale(self.watch.fresh_at)
        # Nothing read yet: healthy only if nobody else can read either.
        waited = context.now - self._started_at > NEVER_READ_HEARTBEATS * HEARTBEAT_SECONDS
        return waited and not self.peers.is_stale(self._started_at - HEARTBEAT_SECONDS)

    def is_serving(self) -> bool:
        """Within the answer window: nobody can have proved our machines empty yet."""
        last = min(self.session.renewed_at, self.watch.fresh_at)
        return self.context.now < last + self.context.timing.response_window_s

    def _start_standby(self) -> Standby | None:
        """Only a controller that is to have one loads what a standby needs."""
        if not self.context.settings.operators.standby.enabled:
            return None
        from fallpulley.standby.service import Standby

        standby = Standby(self.context, self.registry, self.peers.send)
        self.leadership.hold_off_s = standby.hold_off_s
        return standby

    def _start_shares(self) -> SharesService | None:
        """Only a controller that is to have them loads what shares need."""
        if not self.context.settings.operators.shares.enabled:
            return None
        from fallpulley.shares.service import SharesService

        shares = SharesService(
            self.context,
            self.watch,
            self.registry,
            self.session,
            self.leadership,
            self.writer,
            self.jobs,
            self.shards,
        )
        self.jobs.shard_of_team = shares.shard_of_team
        self.leadership.shards_to_open = shares.shards_to_open
        self.provider.shard_for_rental = shares.shard_for_rental
        return shares

    def _start_duties(self) -> DutiesService | None:
        """Only a controller that is to have them loads what duties need."""
        if not self.context.settings.operators.duties.enabled:
            return None
        from fallpulley.duties.service import DutiesService

        duties = DutiesService(
            self.context,
            self.watch,
            self.registry,
            self.session,
            self.leadership,
            self.provider,
            self.shards,
        )
        self.provider.action_guard = duties
        return duties

    def _handle_peer_message(self, body: bytes) -> None:
        if body.startswith(STANDBY_TAG_PREFIX):
            if self.standby is not None:
                self.standby.receive(body)
            return
        heartbeat = self.peers.receive(body)
        if isinstance(heartbeat, Cancellations):
            self._stop_cancelled(heartbeat.job_ids)
            return
        if heartbeat is None:
            return
        for job, completed, running in heartbeat.task_counts:
            if job in self.jobs.entries and self.jobs.entries[job].state == JobState.OPEN:
                self.jobs.task_counts[job] = (completed, running)
        leader = self.registry.leader
        if leader is not None and heartbeat.incarnation == leader[0].incarnation:
            self.provider.target_sizes = heartbeat.target_sizes
        if self.leadership.term is not None:
            for request in heartbeat.machine_requests:
                if request.shard_id in self.registry.shards and request.count > 0:
                    self.provider.scale_out(
                        request.shard_id,
                        request.machine_type,
                        request.zone,
                        request.spot,
                        request.count,
                    )

    def _announce_cancellations(self) -> None:
        """What has just been cancelled here goes to its block's holder, by record or by word."""
        jobs, self.jobs.newly_cancelled = self.jobs.newly_cancelled, []
        by_owner: dict[str, list[str]] = {}
        for job in jobs:
            entry = self.jobs.entries.get(job)
            owner = self.registry.owner_of(entry.shard_id) if entry is not None else None
            if owner == self.context.controller_id:
                self._stop_cancelled([job])
            elif owner is not None:
                by_owner.setdefault(owner, []).append(job)
        for owner, cancelled_ids in by_owner.items():
            self.peers.send_cancellations(owner, cancelled_ids)

    def _stop_cancelled(self, jobs: list[str]) -> None:
        """The cancellation is durable, so it holds whatever our own copy still shows."""
        for job in jobs:
            for shard in self.shards.values():
                open_job = shard.jobs.get(job)
                if open_job is not None and not open_job.cancelled:
                    self._cancelled.add(job)
                    shard.end_job(open_job, True)

    def _add_job(self, shard: Shard, job: str, entry: JobEntry) -> None:
        if entry.record is not None and job not in self._cancelled:
            shard.add_job(job, entry.record, entry.mod_revision, self.jobs.pipelines.node(job))

    # -- shared records --------------------------------------------------------------------

    def _on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if key.startswith(JOB_PREFIX):
            self._on_job_record(key[len(JOB_PREFIX) :], value, mod_revision)
            return
        if key == SHARES_KEY:
            if self.shares is not None:
                self.shares.on_record(value)
            return
        if self.duties is not None and self.duties.owns_key(key):
            self.duties.on_key_changed(key, value, mod_revision)
            return
        owners = {controller_id: entry[0] for controller_id, entry in self.registry.shards.items()}
        shard_id = self.registry.on_key_changed(key, value, mod_revision)
        if shard_id is not None:
            previous = owners.get(shard_id)
            self._on_shard_changed(
                shard_id, (previous.owner, previous.incarnation) if previous else None
            )
            self._update_change_share()
        elif key.startswith(SESSION_PREFIX):
            self._check_previous_owners()
            if value is not None and self.standby is not None:
                self.standby.session_began(key[len(SESSION_PREFIX) :])
        elif key == FORMAT_KEY:
            self.context.record_format.adopt(self.registry.record_format)
            self._update_change_share()

    def _on_job_record(self, job: str, value: bytes | None, mod_revision: int) -> None:
        if self.jobs.on_record(job, value, mod_revision) is None:
            return
        affected, self.jobs.affected_jobs = self.jobs.affected_jobs, set()
        for name in {job} | affected:
            self._sync_job(name)

    def _sync_job(self, job: str) -> None:
        """Bring what its block's holder has of a job up to its record, and to others' records."""
        entry = self.jobs.entries[job]
        shard = self.shards.get(entry.shard_id)
        if shard is None:
            return
        open_job = shard.jobs.get(job)
        if entry.record is None:
            self._cancelled.discard(job)
            if open_job is not None:
                shard.end_job(open_job, entry.state == JobState.CANCELLED)
        elif open_job is None:
            self._add_job(shard, job, entry)
        else:
            open_job.dependency_node = self.jobs.pipelines.node(job)
            shard.needs_replan = True

    def _update_change_share(self) -> None:
        """Holders write most. A version in production that knows equal shares alone may run until
        the newer format begins."""
        if not self.context.record_format.compact:
            return
        owners = {record.owner for record, _ in self.registry.shards.values()}
        nodes = max(1, self.context.settings.facts.nodes)
        self.context.state_client.change_budget.set_share(
            change_share(self.context.controller_id, owners, nodes)
        )

    def _on_shard_changed(self, controller_id: str, previous: tuple[str, str] | None) -> None:
        context = self.context
        entry = self.registry.shards.get(controller_id)
        shard = self.shards.get(controller_id)
        ours = entry is not None and (entry[0].owner, entry[0].incarnation) == (
            context.controller_id,
            context.incarnation,
        )
        if not ours or entry is None:
            if shard is not None:
                log.info("block lost block=%s term=%d", controller_id, shard.fencing_token)
                del self.shards[controller_id]
                self.writer.forget_shard(controller_id)
                if self.standby is not None:
                    self.standby.shard_lost(controller_id)
            return
        record, mod_revision = entry
        if shard is not None:
            shard.apply_record(record, mod_revision)
            if self.duties is not None:
                self.duties.shard_acquired(shard)
            return
        shard = Shard(context, controller_id, record, mod_revision, fresh=previous is None)
        self.shards[controller_id] = shard
        self._previous_owners[controller_id] = record.previous_owners
        log.info(
            "block held block=%s term=%d machines=%d from=%s",
            controller_id,
            mod_revision,
            len(record.machines),
            previous,
        )
        for job in self.jobs.open_by_shard.get(controller_id, ()):
            self._add_job(shard, job, self.jobs.entries[job])
        if self.duties is not None:
            self.duties.shard_acquired(shard)
        if self.standby is not None:
            self.standby.shard_acquired(shard, previous)
        self._check_previous_owners()

    def _check_previous_owners(self) -> None:
        """Once every former holder's process has ended, nobody else answers a block's machines."""
        context = self.context
        for controller_id, shard in self.shards.items():
            previous_owners = self._previous_owners.get(controller_id)
            if not shard.unreconciled or previous_owners is None:
                continue
            if all(
                self.registry.has_ended(previous, context.controller_id, context.incarnation)
                for previous in previous_owners
            ):
                shard.on_previous_owners_ended()
                del self._previous_owners[controller_id]

    # -- ticks -----------------------------------------------------------------------------

    def _tick(self) -> None:
        self.watch.tick(self.context.now)
        self.session.tick()
        if self.standby is not None:
            self.standby.tick()
        self.heartbeats.retry_parked()
        # What looks at every machine and job runs by the clock, not with every batch.
        if self.context.now < self._next_tick:
            return
        self._next_tick = self.context.now + TICK_INTERVALS * self.context.timing.report_s
        self._recheck_deferred = True
        self.leadership.tick()
        term = self.leadership.term
        if self.duties is not None:
            self.duties.tick()
        if term is not None:
            self.provider.tick(term)
        marks_due = self.context.now >= self._next_occupancy_at
        if marks_due:
            self._next_occupancy_at = (
                self.context.now + OCCUPANCY_INTERVALS * self.context.timing.report_s
            )
        for shard in self.shards.values():
            shard.expire_leases(self.watch.fresh_at)
            shard.stop_broken_gangs()
            self.balancer.hand_off_if_unheard(shard)
            if marks_due:
                self.occupancy.update_all(shard)
            elif shard.occupancy_due:
                self.occupancy.update_due(shard)
            if shard.unreconciled:
                shard.fencing.tick(self.writer.addresses)
            if shard.previous_owners_expired():
                self.writer.sole_owners.add(shard.shard_id)
            if shard.needs_new_revision or (
                self.context.record_format.compact
                and shard.shard_id in self.registry.first_format_shards
            ):
                self.writer.needs_new_revision.add(shard.shard_id)
            self.job_persistence.tick(
                shard, self.jobs.cancelled_with_dependencies.get(shard.shard_id, {})
            )
            if self.session.is_live():
                if shard.unreconciled and term is not None:
                    self.autoscaler.confirm_unreachable_gone(shard)
                machine_requests = self.autoscaler.tick(shard, term is not None)
                if machine_requests:
                    self._machine_requests[shard.shard_id] = machine_requests
        if self.shares is not None:
            self.shares.tick()
        self.writer.tick()
        if self.peers.is_due():
            counts = self._counts()
            if term is not None:
                self.provider.target_sizes = self.balancer.target_sizes()
            if self.shares is None:
                self.balancer.rebalance(self.shards)
            machine_requests = [
                request for shard_id in self._machine_requests.values() for request in shard_id
            ]
            self.peers.tick(
                self.staleness_s(), counts, machine_requests, self.provider.target_sizes
            )
            self._machine_requests = {}

    def _counts(self) -> list[tuple[str, int, int]]:
        counts = {}
        for shard in self.shards.values():
            for job in shard.jobs.values():
                if not job.cancelled:
                    counts[job.job_id] = (job.completed_count, len(job.runs))
        self.jobs.task_counts.update(counts)
        return self._counts_in_turn.next_entries(counts)

    def _plan(self) -> None:
        if self.watch.ready and self.planner.plan(self.shards):
            self._recheck_deferred = True

    def _respond_to_deferred(self) -> None:
        look_again, self._recheck_deferred = self._recheck_deferred, False
        self.heartbeats.respond_to_deferred(look_again)
