"""Checks by reported fencing tokens whether this owner's commands reach the machines."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat

log = logging.getLogger(__name__)


class TokenCheck:
    """Tracks which machines of one shard have confirmed the token, and which are unacknowledged.

    A machine confirms the token by reporting a token of this owner. The heartbeats of an
    unacknowledged machine arrive, but do not show that this owner's responses reach it.
    """

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.context = context
        self.shard = shard

    def apply_token(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Apply the token in a heartbeat; return whether the rest of it may be applied.

        It may once the machine has reported a token of this owner. Until then, the heartbeat may be
        a delayed one, sent before this controller owned the machine. It then shows neither that a
        lease was renewed nor which tasks the machine holds now.
        """
        self._check_token(machine, heartbeat)
        machine.fencing.reported_token = heartbeat.fencing_token
        if machine.fencing.token_confirmed:
            return True
        machine.heartbeat.advance(heartbeat)
        machine.fencing.unconfirmed_heartbeat_at = self.context.now
        self.shard.occupancy_due[machine.machine_id] = None
        return False

    def require_new_token(self, machine: Machine) -> None:
        """Give a machine no tasks until it reports a token that only this owner can have sent it.

        To be called if the machine's heartbeats arrive although a start command had no effect. The
        heartbeats alone confirm neither that responses reach the machine nor that its lease is
        renewed.
        """
        log.info(
            "start command had no effect; no tasks until a newer token is reported machine=%s",
            machine.machine_id,
        )
        self._set_unacknowledged(machine)
        self.shard.needs_replan = True
        if not machine.fencing.advance_token(self.shard.fencing_token):
            self.shard.needs_new_revision = True

    def _check_token(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Set whether the token is confirmed and the machine acknowledged, by the token reported.

        The token is the highest that the machine has received. It shows whether anything from this
        owner has reached the machine since its token was last raised. A machine that reports a
        lower token than before has restarted, and gets no tasks until it reports ours again.
        """
        token_lost = heartbeat.fencing_token < machine.fencing.reported_token
        if token_lost:
            machine.fencing.possibly_restarted_at = self.context.now
        if heartbeat.fencing_token >= machine.fencing.token:
            self._set_acknowledged(machine)
        elif machine.fencing.unacknowledged_since is None and (
            token_lost or not machine.fencing.token_confirmed
        ):
            self._set_unacknowledged(machine)

    def _set_acknowledged(self, machine: Machine) -> None:
        if not machine.fencing.token_confirmed:
            machine.fencing.token_confirmed = True
            self.shard.needs_replan = True
        if machine.fencing.unacknowledged_since is not None:
            machine.fencing.unacknowledged_since = None
            self.shard.unacknowledged.discard(machine.machine_id)
            self.shard.needs_replan = True

    def _set_unacknowledged(self, machine: Machine) -> None:
        machine.fencing.unacknowledged_since = self.context.now
        self.shard.unacknowledged.add(machine.machine_id)
