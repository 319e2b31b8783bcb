"""What all parts of one controller share: its settings, identity, clock and outbox."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.effects import Effect, HttpCall, ResponseHandler, SendResponse
from fallpulley.records.formats import RecordFormat
from fallpulley.settings import Settings
from fallpulley.state.client import StateClient
from fallpulley.timing import timing_of


class ControllerContext:
    """One for each process. `now` and `wall_time` stand still within one step of the owner."""

    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.controller_id = settings.controller_id
        self.incarnation = incarnation
        self.clock = clock  # steady, in seconds
        self.now = 0.0  # by the steady clock
        self.wall_time = 0.0  # seconds since the epoch
        self.outbox: list[Effect] = []
        self.timing = timing_of(settings)
        limits = settings.facts.state
        nodes = max(settings.facts.nodes, 1)
        self.state_client = StateClient(
            settings.endpoints.state,
            limits.rps / nodes,
            limits.write_rps / nodes,
            # Transactions as small as they will have to be: all formats allow it.
            limits.strictest().txn_ops,
            self.outbox.append,
        )
        self.record_format = RecordFormat(limits, nodes, self.state_client)

    def respond(
        self,
        pending_response: object,
        status: int,
        body: bytes = b"",
        retry_after: float | None = None,
    ) -> None:
        """Answer a request; `retry_after` in seconds."""
        self.outbox.append(SendResponse(pending_response, status, body, retry_after))

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_response: ResponseHandler,
    ) -> None:
        """Send an HTTP request; its outcome comes to `on_response` in a later step."""
        self.outbox.append(HttpCall(address, method, path, body, timeout_s, on_response))
