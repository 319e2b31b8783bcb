"""Routing of heartbeats: to the machine's shard, to another controller, or to a later step."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.fleet.provider import MachineProvider
from fallpulley.heartbeats.deferral import DeferredHeartbeats
from fallpulley.heartbeats.responses import HeartbeatResponder
from fallpulley.membership.leadership import Leadership
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat, Redirect, parse_heartbeat

# How long a heartbeat waits at most for its machine to be granted to a shard.
GRANT_WAIT_SECONDS = 1.0
MALFORMED_BODY = b'{"error":"malformed"}'


class HeartbeatAwaitingGrant(msgspec.Struct):
    """A heartbeat that waits for its machine to be granted to a shard."""

    pending_response: PendingResponse
    heartbeat: Heartbeat
    deadline_at: float  # when the wait ends at the latest, in seconds of the monotonic clock


class HeartbeatHandler:
    """Handles `POST /checkin`.

    Heartbeats of owned machines are applied, and responded to later in the step or after the next
    plan. Heartbeats of machines that are being granted to a shard wait for that. All others are
    redirected or refused at once.
    """

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        leadership: Leadership,
        writer: ShardWriter,
        provider: MachineProvider,
        owned_shards: OwnedShards,
        responder: HeartbeatResponder,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.owned_shards = owned_shards
        self.responder = responder
        self.deferred = DeferredHeartbeats(context, responder)
        self._awaiting_grant: list[HeartbeatAwaitingGrant] = []

    def handle(self, pending_response: PendingResponse, body: bytes) -> None:
        """Route an encoded heartbeat, or refuse it if it is malformed."""
        heartbeat = parse_heartbeat(body)
        if heartbeat is None:
            self.context.respond(pending_response, HTTPStatus.BAD_REQUEST, MALFORMED_BODY)
            return
        self._route(pending_response, heartbeat, self.context.now + GRANT_WAIT_SECONDS)

    def retry_awaiting_grant(self) -> None:
        """Route the waiting heartbeats whose machines were granted, or whose wait has ended."""
        awaiting_grant, self._awaiting_grant = self._awaiting_grant, []
        for waiting in awaiting_grant:
            granted = waiting.heartbeat.machine_id in self.registry.shard_of_machine
            if granted or self.context.now >= waiting.deadline_at:
                self._route(waiting.pending_response, waiting.heartbeat, waiting.deadline_at)
            else:
                self._awaiting_grant.append(waiting)

    def recheck_deferred(self) -> None:
        """Check all deferred heartbeats again: plans or occupancy flags have changed."""
        self.deferred.recheck()

    def respond_to_deferred(self) -> None:
        """Respond to the heartbeats that need no longer wait for a plan or an occupancy flag."""
        self.deferred.respond()

    def _route(
        self, pending_response: PendingResponse, heartbeat: Heartbeat, deadline_at: float
    ) -> None:
        """Apply, redirect or refuse a heartbeat, or let it wait until `deadline_at` for a grant."""
        if not self.watch.loaded or not self.responder.may_respond_to_machines():
            self.responder.respond_unavailable(pending_response)
            return
        shard_id = self.registry.shard_of_machine.get(heartbeat.machine_id)
        if shard_id is None:
            self._handle_unknown_machine(pending_response, heartbeat, deadline_at)
            return
        agent = self.owned_shards.agents.get(shard_id)
        if agent is None:
            self._redirect(pending_response, self.registry.owner_of(shard_id))
            return
        shard = agent.shard
        machine = shard.machines.get(heartbeat.machine_id)
        if (
            machine is None
            or heartbeat.fencing_token > shard.fencing_token
            or machine.heartbeat.record_and_check_stale(heartbeat)
        ):
            # Either this controller's copy of the records is out of date, and another owner has
            # reached the machine with a higher token. Or the heartbeat is delayed or a duplicate:
            # a response to it must not be recorded as one that may have renewed the lease.
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
            # The machine left the shard and came back between two reads of the records by this
            # controller. It is treated as a machine that was just granted.
            machine.fencing.token = agent.shard.fencing_token
            machine.fencing.token_confirmed = False
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
        """Redirect, refuse or hold the heartbeat of a machine that belongs to no shard.

        Only the leader grants machines to shards.
        """
        if self.leadership.term is None:
            leader = self.registry.leader
            self._redirect(pending_response, leader[0].controller_id if leader else None)
            return
        if self._is_being_granted(heartbeat) and self.context.now < deadline_at:
            self._awaiting_grant.append(
                HeartbeatAwaitingGrant(pending_response, heartbeat, deadline_at)
            )
            return
        self.responder.respond_unavailable(pending_response)

    def _is_being_granted(self, heartbeat: Heartbeat) -> bool:
        """Return whether the machine is being added to a shard's record.

        If it is not, this tries to have it added, provided that the cloud lists it.
        """
        if self.writer.is_being_added(heartbeat.machine_id):
            return True
        if heartbeat.machine_id not in self.provider.listed_machines:
            # The heartbeat may be a delayed one, of a machine that was released long ago.
            return False
        return self.provider.adopt(
            heartbeat.machine_id,
            heartbeat.address,
            heartbeat.machine_type,
            heartbeat.zone,
            heartbeat.spot,
        )
