"""Deferral of the responses to machines that the next plan may give tasks to."""

from __future__ import annotations

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.heartbeats.responses import HeartbeatResponder
from fallpulley.shards.agent import ShardAgent
from fallpulley.workers.machine import Machine

# How long the response to a machine with room waits for the next plan, in heartbeat intervals.
# Without the wait, resources that a task had just freed stayed idle until the next heartbeat.
DEFER_INTERVALS = 0.25


class DeferredHeartbeat(msgspec.Struct):
    """A heartbeat of an owned machine, which has been applied and is to be responded to."""

    pending_response: PendingResponse
    agent: ShardAgent
    machine: Machine
    newer: bool  # whether it was newer than the newest state known of the machine
    deadline_at: float  # latest time of the response, in seconds of the monotonic clock


class DeferredHeartbeats:
    """Heartbeats that wait for a plan or for an occupancy flag, in the order of arrival."""

    def __init__(self, context: ControllerContext, responder: HeartbeatResponder) -> None:
        self.context = context
        self.responder = responder
        # Heartbeats that were checked and have to wait longer, by ascending deadline.
        self.waiting: list[DeferredHeartbeat] = []
        # Heartbeats added since `respond` was last called.
        self._arrived: list[DeferredHeartbeat] = []
        self._recheck_waiting = True

    def add(
        self, pending_response: PendingResponse, agent: ShardAgent, machine: Machine, newer: bool
    ) -> None:
        """Add a heartbeat that has been applied.

        `newer` tells whether it was newer than the newest state known of the machine.
        """
        deadline_at = self.context.now + DEFER_INTERVALS * self.context.timing.heartbeat_interval_s
        self._arrived.append(
            DeferredHeartbeat(pending_response, agent, machine, newer, deadline_at)
        )

    def recheck(self) -> None:
        """Make `respond` check all waiting heartbeats, as plans or occupancy flags have changed."""
        self._recheck_waiting = True

    def respond(self) -> None:
        """Respond to the heartbeats that need not wait any longer.

        While neither plans nor occupancy flags change, the waiting ones go on waiting until their
        deadlines: only the overdue ones, which come first, and the new ones are checked.
        """
        recheck, self._recheck_waiting = self._recheck_waiting, False
        if not recheck:
            overdue = self._overdue_count()
            self._respond_to(self.waiting[:overdue])
            self.waiting = self.waiting[overdue:]
        else:
            self._arrived, self.waiting = self.waiting + self._arrived, []
        arrived, self._arrived = self._arrived, []
        self.waiting += self._respond_to(arrived)

    def _overdue_count(self) -> int:
        now = self.context.now
        for index, deferred in enumerate(self.waiting):
            if deferred.deadline_at > now:
                return index
        return len(self.waiting)

    def _respond_to(self, heartbeats: list[DeferredHeartbeat]) -> list[DeferredHeartbeat]:
        """Respond to the heartbeats that need not wait, and return the others."""
        still_waiting = []
        for deferred in heartbeats:
            if self._must_wait(deferred):
                still_waiting.append(deferred)
            else:
                self.responder.respond(
                    deferred.pending_response, deferred.agent, deferred.machine, deferred.newer
                )
        return still_waiting

    def _must_wait(self, deferred: DeferredHeartbeat) -> bool:
        machine = deferred.machine
        # The machine waits for the next plan, or for its occupancy flag to be in the record.
        unplanned = deferred.agent.shard.needs_replan or not machine.occupancy_flag
        in_time = self.context.now < deferred.deadline_at
        return unplanned and in_time and machine.usable and not machine.full
