"""The owner of all state of one controller: takes commands in batches, returns effects.

No I/O happens here: `serve` submits what arrives and carries out what is asked for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.controller.wiring import build_parts
from fallpulley.effects import (
    CallCompleted,
    Command,
    Effect,
    OperatorRequest,
    PeerMessage,
    Request,
)
from fallpulley.settings import Settings

log = logging.getLogger(__name__)

INTERNAL_ERROR = b'{"error":"internal"}'
RETRY_AFTER_SECONDS = 1.0


class Controller:
    """Everything that changes state happens in `step`, in one thread, one batch at a time."""

    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        """`incarnation` differs between any two processes; `clock` is steady, in seconds."""
        self.parts = build_parts(settings, incarnation, clock)

    def step(self, batch: list[Command], now: float, wall_time: float) -> list[Effect]:
        """Take a batch of commands, and what is due; returns what to carry out.

        `now` by the steady clock, `wall_time` in seconds since the epoch.
        """
        context = self.parts.context
        context.now, context.wall_time = now, wall_time
        self.parts.health.on_step()
        for command in batch:
            self._handle_safely(command)
        for action in (
            self.parts.cancellations.announce,
            self.parts.periodic.run,
            self.parts.periodic.plan,
            self.parts.heartbeats.respond_to_deferred,
        ):
            try:
                action()
            except Exception:
                # The next step tries again; an end of the process would cost a failover.
                log.exception("step failed action=%s", action.__qualname__)
        context.state_client.send_queued(now)
        effects, context.outbox[:] = list(context.outbox), []
        return effects

    def _handle_safely(self, command: Command) -> None:
        try:
            self._handle(command)
        except Exception:
            # One broken message must not end the process or lose the rest of the batch.
            log.exception("command failed command=%s", type(command).__name__)
            if isinstance(command, Request | OperatorRequest):
                self.parts.context.respond(
                    command.pending_response, 503, INTERNAL_ERROR, RETRY_AFTER_SECONDS
                )

    def _handle(self, command: Command) -> None:
        if isinstance(command, CallCompleted):
            command.on_response(command.response)
        elif isinstance(command, PeerMessage):
            self.parts.peer_messages.handle(command.body)
        elif isinstance(command, OperatorRequest):
            self.parts.router.handle_operator_request(command)
        else:
            self.parts.router.handle(command)
