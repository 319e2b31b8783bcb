"""What all parts of a controller share: settings, identity, clock, outbox, state client."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.effects import Effect, HttpCall, PendingResponse, ResponseHandler, SendResponse
from fallpulley.record_format import RecordFormat
from fallpulley.settings import Settings
from fallpulley.state.client import StateClient
from fallpulley.timing import timing_of


class ControllerContext:
    """The shared context of one controller process.

    `now` and `wall_time` are set once at the start of each step and stay the same throughout it.
    """

    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.controller_id = settings.controller_id
        self.incarnation = incarnation
        self.clock = clock  # monotonic, in seconds
        self.now = 0.0  # seconds of the monotonic clock
        self.wall_time = 0.0  # seconds since the epoch
        self.outbox: list[Effect] = []
        self.timing = timing_of(settings)
        limits = settings.facts.state
        nodes = max(settings.facts.nodes, 1)
        self.state_client = StateClient(
            settings.endpoints.state,
            limits.rps / nodes,
            limits.write_rps / nodes,
            # The strictest of present and announced limits: every record format allows it.
            limits.strictest().txn_ops,
            self.outbox.append,
        )
        self.record_format = RecordFormat(limits, nodes, self.state_client)

    def respond(
        self,
        pending_response: PendingResponse,
        status: int,
        body: bytes = b"",
        retry_after: float | None = None,
    ) -> None:
        """Add the response to a request to the outbox; `retry_after` in seconds."""
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
        """Add an HTTP request to the outbox; `on_response` gets its outcome in a later step."""
        self.outbox.append(HttpCall(address, method, path, body, timeout_s, on_response))
