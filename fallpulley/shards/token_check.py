"""Whether our commands reach a machine, by the fencing tokens that it reports."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat

log = logging.getLogger(__name__)


class TokenCheck:
    """Keeps the machines of one shard fenced or not, and acknowledged or not."""

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.context = context
        self.shard = shard

    def apply_token(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Apply the token that the machine reports; says whether the rest may be applied.

        It may once the machine has reported a token of ours. Until then it may be a late copy from
        before we owned the machine, which renews no lease and confirms nothing.
        """
        self._check_token(machine, heartbeat)
        if machine.fencing.fenced:
            return True
        machine.heartbeat.advance(heartbeat)
        machine.fencing.unfenced_heartbeat_at = self.context.now
        self.shard.occupancy_due[machine.machine_id] = None
        return False

    def require_new_token(self, machine: Machine) -> None:
        """Heartbeats come, but a command of ours did not take effect.

        Heartbeats alone confirm neither that our responses reach the machine nor that its lease
        goes on: it gets no task until it reports a token that it can have from us alone.
        """
        log.info("machine unacknowledged machine=%s", machine.machine_id)
        self._set_unacknowledged(machine)
        self.shard.needs_replan = True
        if not machine.fencing.advance_token(self.shard.fencing_token):
            self.shard.needs_new_revision = True

    def _check_token(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """The highest token that the machine has had shows whether anything of ours has reached it
        since its token was last raised."""
        if heartbeat.fencing_token >= machine.fencing.token:
            self._set_acknowledged(machine)
        elif not machine.fencing.fenced and machine.fencing.unacknowledged_since is None:
            self._set_unacknowledged(machine)

    def _set_acknowledged(self, machine: Machine) -> None:
        if not machine.fencing.fenced:
            machine.fencing.fenced = True
            self.shard.needs_replan = True
        if machine.fencing.unacknowledged_since is not None:
            machine.fencing.unacknowledged_since = None
            self.shard.unacknowledged.discard(machine.machine_id)
            self.shard.needs_replan = True

    def _set_unacknowledged(self, machine: Machine) -> None:
        machine.fencing.unacknowledged_since = self.context.now
        self.shard.unacknowledged.add(machine.machine_id)
