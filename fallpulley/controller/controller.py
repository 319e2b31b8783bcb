"""The controller, which takes commands in batches and returns effects.

No I/O happens here: `serve` submits what arrives and carries out the effects.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.controller.wiring import build_components
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
    """Holds all state of one controller process.

    The state changes only in `step`, in one thread and one batch at a time.
    """

    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        """Build all components of the controller.

        `incarnation` differs between any two processes; `clock` is monotonic, in seconds.
        """
        self.components = build_components(settings, incarnation, clock)

    def step(self, batch: list[Command], now: float, wall_time: float) -> list[Effect]:
        """Handle a batch of commands, do the work that is due, and return the effects.

        `now` is in seconds of the monotonic clock, `wall_time` in seconds since the epoch.
        """
        context = self.components.context
        context.now, context.wall_time = now, wall_time
        self.components.health.on_step()
        for command in batch:
            self._handle_safely(command)
        for action in (
            self.components.cancellation_announcer.announce,
            self.components.periodic.run,
            self.components.periodic.plan,
            self.components.heartbeats.respond_to_deferred,
        ):
            try:
                action()
            except Exception:
                # The next step tries again; ending the process would cause a failover.
                log.exception("step failed action=%s", action.__qualname__)
        context.state_client.send_queued(now)
        effects, context.outbox[:] = list(context.outbox), []
        return effects

    def _handle_safely(self, command: Command) -> None:
        try:
            self._handle(command)
        except Exception:
            # One faulty message must not end the process or lose the rest of the batch.
            log.exception("command failed command=%s", type(command).__name__)
            if isinstance(command, Request | OperatorRequest):
                self.components.context.respond(
                    command.pending_response, 503, INTERNAL_ERROR, RETRY_AFTER_SECONDS
                )

    def _handle(self, command: Command) -> None:
        if isinstance(command, CallCompleted):
            command.on_response(command.response)
        elif isinstance(command, PeerMessage):
            self.components.peer_messages.handle(command.body)
        elif isinstance(command, OperatorRequest):
            self.components.router.handle_operator_request(command)
        else:
            self.components.router.handle(command)
