"""Routes the heartbeats of machines: to their shard, to another controller, or to a later step."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.fleet.provider import MachineProvider
from fallpulley.heartbeats.deferral import DeferredHeartbeats
from fallpulley.heartbeats.responses import HeartbeatResponder
from fallpulley.membership.leadership import Leadership
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned import OwnedShards
from fallpulley.state.watch_cache import WatchCache
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat, Redirect, parse_heartbeat

# A heartbeat of a machine that is being granted waits for the record, not longer than this.
PARK_SECONDS = 1.0
MALFORMED = b'{"error":"malformed"}'


class ParkedHeartbeat(msgspec.Struct):
    """A heartbeat of a machine that is being granted to a shard."""

    pending_response: PendingResponse
    heartbeat: Heartbeat
    deadline_at: float  # by the steady clock


class HeartbeatHandler:
    """Handles `POST /checkin`: heartbeats of owned machines are applied and answered later in the
    step or after the next plan, others are redirected or refused at once."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        leadership: Leadership,
        writer: ShardWriter,
        provider: MachineProvider,
        owned: OwnedShards,
        is_serving: Callable[[], bool],
    ) -> None:
        """`is_serving`: whether this controller may respond, being within its response window."""
        self.context = context
        self.watch = watch
        self.registry = registry
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.owned = owned
        self.is_serving = is_serving
        self.responder = HeartbeatResponder(context, watch, registry, writer, owned, is_serving)
        self.deferred = DeferredHeartbeats(context, self.responder)
        self._parked: list[ParkedHeartbeat] = []

    def handle(self, pending_response: PendingResponse, body: bytes) -> None:
        """A heartbeat, still encoded."""
        heartbeat = parse_heartbeat(body)
        if heartbeat is None:
            self.context.respond(pending_response, HTTPStatus.BAD_REQUEST, MALFORMED)
            return
        self._route(pending_response, heartbeat, self.context.now + PARK_SECONDS)

    def retry_parked(self) -> None:
        """Route the heartbeats of machines that have been granted since, or waited too long."""
        parked, self._parked = self._parked, []
        for waiting in parked:
            granted = waiting.heartbeat.machine_id in self.registry.shard_of_machine
            if granted or self.context.now >= waiting.deadline_at:
                self._route(waiting.pending_response, waiting.heartbeat, waiting.deadline_at)
            else:
                self._parked.append(waiting)

    def recheck_deferred(self) -> None:
        """Plans or occupancy flags have changed what deferred heartbeats wait for."""
        self.deferred.recheck()

    def respond_to_deferred(self) -> None:
        """Answer the heartbeats that need not wait any longer for a plan or an occupancy flag."""
        self.deferred.respond()

    def _route(
        self, pending_response: PendingResponse, heartbeat: Heartbeat, deadline_at: float
    ) -> None:
        """`deadline_at`: until when the heartbeat may be parked."""
        if not self.watch.loaded or not self.is_serving():
            self.responder.respond_unavailable(pending_response)
            return
        shard_id = self.registry.shard_of_machine.get(heartbeat.machine_id)
        if shard_id is None:
            self._handle_unknown_machine(pending_response, heartbeat, deadline_at)
            return
        agent = self.owned.agents.get(shard_id)
        if agent is None:
            self._redirect(pending_response, self.registry.owner_of(shard_id))
            return
        shard = agent.shard
        machine = shard.machines.get(heartbeat.machine_id)
        if (
            machine is None
            or heartbeat.fencing_token > shard.fencing_token
            or machine.heartbeat.is_stale_copy(heartbeat)
        ):
            # An owner with a higher token has reached the machine: our copy of the records is
            # behind. Or it is a late copy of a heartbeat: its response must not count as one that
            # renews the machine's lease.
            self.responder.respond_unavailable(pending_response)
            return
        self._apply(pending_response, heartbeat, agent, machine)

    def _apply(
        self,
        pending_response: PendingResponse,
        heartbeat: Heartbeat,
        agent: ShardAgent,
        machine: Machine,
    ) -> None:
        """Apply the heartbeat to its shard, and defer the response."""
        if heartbeat.fencing_token > machine.fencing.token:
            # The machine left the shard and came back between two of our reads of the records: to
            # us it is a machine just granted.
            machine.fencing.token = agent.shard.fencing_token
            machine.fencing.fenced = False
        newer = agent.intake.handle_heartbeat(machine, heartbeat)
        if heartbeat.address:
            self.writer.addresses[heartbeat.machine_id] = heartbeat.address
        self.deferred.add(pending_response, agent, machine, newer)

    def _redirect(self, pending_response: PendingResponse, owner: str | None) -> None:
        if owner is None or owner == self.context.controller_id:
            self.responder.respond_unavailable(pending_response)
            return
        body = msgspec.json.encode(Redirect(owner))
        self.context.respond(pending_response, HTTPStatus.MISDIRECTED_REQUEST, body)

    def _handle_unknown_machine(
        self, pending_response: PendingResponse, heartbeat: Heartbeat, deadline_at: float
    ) -> None:
        """A machine of no shard: only the leader grants machines to shards."""
        if self.leadership.term is None:
            leader = self.registry.leader
            self._redirect(pending_response, leader[0].controller_id if leader else None)
            return
        if self._is_being_granted(heartbeat) and self.context.now < deadline_at:
            self._parked.append(ParkedHeartbeat(pending_response, heartbeat, deadline_at))
            return
        self.responder.respond_unavailable(pending_response)

    def _is_being_granted(self, heartbeat: Heartbeat) -> bool:
        """Whether a record with the machine is being written, or is from now on."""
        if self.writer.is_being_added(heartbeat.machine_id):
            return True
        if heartbeat.machine_id not in self.provider.listed_machines:
            # The heartbeat may be a late copy of a machine long released: the cloud has to list it.
            return False
        return self.provider.adopt(
            heartbeat.machine_id,
            heartbeat.address,
            heartbeat.machine_type,
            heartbeat.zone,
            heartbeat.spot,
        )
