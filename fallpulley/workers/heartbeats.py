"""Machines' check-ins: whom to send them to, and the orders that go out with the answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.membership.leadership import Leadership
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned import OwnedShards
from fallpulley.shards.shard import Shard
from fallpulley.state.watch_cache import WatchCache
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import (
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    TaskCommand,
    parse_heartbeat,
)

log = logging.getLogger(__name__)

# A machine of a block just taken over is answered so often before it must have shown our token.
MAX_UNFENCED_RESPONSES = 3
# A machine with room waits so long for the next plan to answer its report: without, room that a
# task has just left stood idle until the next report.
DEFER_INTERVALS = 0.25
# A check-in of a machine being granted waits for the record, not longer than this.
PARK_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0


class DeferredHeartbeat(msgspec.Struct):
    """A check-in of a machine of ours, to be answered after the next plan."""

    pending_response: Any
    agent: ShardAgent
    machine: Machine
    newer: bool  # its report was newer than what we knew
    deadline_at: float


class ParkedHeartbeat(msgspec.Struct):
    """A check-in of a machine that is being granted to a block."""

    pending_response: Any
    heartbeat: Heartbeat
    deadline_at: float


class HeartbeatHandler:
    """Takes check-ins and answers them; `serving`: within the answer window."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        leadership: Leadership,
        writer: ShardWriter,
        provider: MachineProvider,
        owned: OwnedShards,
        serving: Callable[[], bool],
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.owned = owned
        self.is_serving = serving
        self.deferred: list[DeferredHeartbeat] = []  # in the order in which they came
        self._arrived: list[DeferredHeartbeat] = []  # since the last answers
        self._recheck_deferred = True
        self._parked: list[ParkedHeartbeat] = []

    def handle(self, pending_response: Any, body: bytes) -> None:
        """`POST /checkin`."""
        heartbeat = parse_heartbeat(body)
        if heartbeat is None:
            self.context.respond(pending_response, 400, b'{"error":"malformed"}')
            return
        self._route(pending_response, heartbeat, self.context.now + PARK_SECONDS)

    def _respond_unavailable(self, pending_response: Any) -> None:
        """The machine tries the next controller."""
        self.context.respond(pending_response, 503, b"", RETRY_AFTER_SECONDS)

    def _route(self, pending_response: Any, heartbeat: Heartbeat, deadline_at: float) -> None:
        if not self.watch.loaded or not self.is_serving():
            self._respond_unavailable(pending_response)
            return
        label = self.registry.shard_of_machine.get(heartbeat.machine_id)
        if label is None:
            self._handle_unknown_machine(pending_response, heartbeat, deadline_at)
            return
        agent = self.owned.agents.get(label)
        if agent is None:
            self._redirect(pending_response, self.registry.owner_of(label))
            return
        shard = agent.shard
        machine = shard.machines.get(heartbeat.machine_id)
        if (
            machine is None
            or heartbeat.fencing_token > shard.fencing_token
            or machine.heartbeat.is_stale_copy(heartbeat)
        ):
            # Somebody with a higher token has spoken to it: our copy is behind. Or it is a late
            # copy of a report: an answer must not count as one that its lease goes on with.
            self._respond_unavailable(pending_response)
            return
        self._defer(pending_response, heartbeat, agent, machine)

    def _defer(
        self, pending_response: Any, heartbeat: Heartbeat, agent: ShardAgent, machine: Machine
    ) -> None:
        if heartbeat.fencing_token > machine.fencing.token:
            # Away and back between two looks of ours: to us it is a machine just granted.
            machine.fencing.token = agent.shard.fencing_token
            machine.fencing.fenced = False
        newer = agent.intake.handle(machine, heartbeat, is_heartbeat=True)
        if heartbeat.address:
            self.writer.addresses[heartbeat.machine_id] = heartbeat.address
        until = self.context.now + DEFER_INTERVALS * self.context.timing.report_s
        self._arrived.append(DeferredHeartbeat(pending_response, agent, machine, newer, until))

    def _redirect(self, pending_response: Any, owner: str | None) -> None:
        if owner is None or owner == self.context.controller_id:
            self._respond_unavailable(pending_response)
            return
        self.context.respond(pending_response, 421, msgspec.json.encode(Redirect(owner)))

    def _handle_unknown_machine(
        self, pending_response: Any, heartbeat: Heartbeat, deadline_at: float
    ) -> None:
        """Only the leader grants machines to blocks."""
        leader = self.registry.leader
        if self.leadership.term is None:
            self._redirect(pending_response, leader[0].controller_id if leader else None)
            return
        coming = self.writer.is_being_added(heartbeat.machine_id)
        if not coming and heartbeat.machine_id in self.provider.listed_machines:
            # Only with the cloud's word: the report may be a late copy of a machine long gone.
            coming = self.provider.adopt(
                heartbeat.machine_id,
                heartbeat.address,
                heartbeat.machine_type,
                heartbeat.zone,
                heartbeat.spot,
            )
        if coming and self.context.now < deadline_at:
            self._parked.append(ParkedHeartbeat(pending_response, heartbeat, deadline_at))
            return
        self._respond_unavailable(pending_response)

    def retry_parked(self) -> None:
        """Look again at machines that were being granted."""
        parked, self._parked = self._parked, []
        for deferred in parked:
            known = deferred.heartbeat.machine_id in self.registry.shard_of_machine
            if known or self.context.now >= deferred.deadline_at:
                self._route(deferred.pending_response, deferred.heartbeat, deferred.deadline_at)
            else:
                self._parked.append(deferred)

    # -- answers ---------------------------------------------------------------------------

    def recheck_deferred(self) -> None:
        """Plans or occupancy flags have changed what deferred heartbeats wait for."""
        self._recheck_deferred = True

    def respond_to_deferred(self) -> None:
        """Answer the check-ins that need not wait any longer for a plan or a mark.

        Between two plans and looks at marks those that waited before go on waiting until their
        time is over: they came in that order.
        """
        recheck, self._recheck_deferred = self._recheck_deferred, False
        if not recheck:
            now = self.context.now
            overdue = next((n for n, c in enumerate(self.deferred) if c.deadline_at > now), None)
            self._respond_to(self.deferred[:overdue])
            self.deferred = [] if overdue is None else self.deferred[overdue:]
        else:
            self._arrived, self.deferred = self.deferred + self._arrived, []
        arrived, self._arrived = self._arrived, []
        self.deferred += self._respond_to(arrived)

    def _respond_to(self, heartbeats: list[DeferredHeartbeat]) -> list[DeferredHeartbeat]:
        """Answer those that need not wait; returns the others."""
        waiting = []
        for deferred in heartbeats:
            if self._must_wait(deferred):
                waiting.append(deferred)
            elif self._may_respond(deferred):
                self._respond(deferred)
            else:
                self._respond_unavailable(deferred.pending_response)
        return waiting

    def _must_wait(self, deferred: DeferredHeartbeat) -> bool:
        machine = deferred.machine
        unplanned = (
            deferred.agent.shard.needs_replan or not machine.marked_occupied
        )  # the next plan, or its mark
        in_time = self.context.now < deferred.deadline_at
        return unplanned and in_time and machine.usable and not machine.full

    def _may_respond(self, deferred: DeferredHeartbeat) -> bool:
        shard, machine = deferred.agent.shard, deferred.machine
        if (
            self.owned.shards.get(shard.shard_id) is not shard
            or machine.machine_id not in shard.machines
        ):
            return False
        if not self.is_serving():
            return False  # looked at again: one that waited may have outlived the window
        if machine.machine_id not in shard.unreconciled or machine.fencing.fenced:
            return True
        # It may hold tasks and has not shown that it hears us. An answer may renew its lease, so
        # it gets a few only: a machine that hears nothing would put off the proof that it is
        # empty, and every job accepted before, for ever.
        if machine.fencing.unfenced_responses >= MAX_UNFENCED_RESPONSES:
            return False
        machine.fencing.unfenced_responses += 1
        return True

    def _respond(self, deferred: DeferredHeartbeat) -> None:
        shard, machine = deferred.agent.shard, deferred.machine
        commands: list[TaskCommand] = []
        if machine.fencing.fenced:
            # Also when an answer of `/do` has overtaken the report: the reply renews the
            # lease, so it carries what is to stop.
            commands = deferred.agent.commands.pending_commands(machine)
            # The mark by the newest copy of the record, not by the last look over all marks.
            used = machine.marked_occupied and self.writer.is_occupied(
                shard.shard_id, machine.machine_id
            )
            if deferred.newer and machine.usable and used and self.watch.ready:
                commands += self._start_commands(deferred.agent, machine)
        machine.heartbeat.responded_at = self.context.now
        body = msgspec.json.encode(HeartbeatResponse(machine.fencing.token, commands))
        self.context.respond(deferred.pending_response, 200, body)

    def _start_commands(self, agent: ShardAgent, machine: Machine) -> list[TaskCommand]:
        """The tasks booked on the machine from now on."""
        commands = []
        shard = agent.shard
        for booking in shard.bookings.pop(machine.machine_id, ()):
            job = shard.jobs.get(booking.job_id)
            if (
                job is None
                or job.cancelled
                or booking.task_index in job.runs
                or job.is_completed(booking.task_index)
            ):
                continue
            command = agent.commands.start(machine, job, booking, shard.estimate_run_s(job))
            if command is None:
                break
            commands.append(command)
            self._record_image(shard, machine, job.spec.image, job.spec.image_gb)
        return commands

    def _record_image(self, shard: Shard, machine: Machine, image: str, size_gb: float) -> None:
        machine_type = self.registry.machine_types.get(machine.entry.machine_type)
        if machine_type is None:
            return
        if image not in machine.images.cached:
            begin = max([self.context.now, *machine.images.fetching.values()])
            machine.images.fetching[image] = begin + size_gb / max(
                machine_type.fetch_gb_per_s, 1e-3
            )
            shard.decisions.image_cached(machine.machine_id, image, size_gb)
        machine.images.add(image, size_gb, machine_type.cache_gb)
