"""The context that a controller's components share: settings, clock, outbox and state client."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.effects import Effect, HttpCall, PendingResponse, ResponseHandler, SendResponse
from fallpulley.record_format import RecordFormat
from fallpulley.settings import Settings
from fallpulley.state.client import StateClient
from fallpulley.timing import derive_timing


class ControllerContext:
    """The context shared by all components of one controller process.

    `now` and `wall_time` are set once, at the start of each step.
    """

    def __init__(self, settings: Settings, incarnation: str, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.controller_id = settings.controller_id
        self.incarnation = incarnation
        self.clock = clock  # reads the monotonic clock, in seconds
        self.now = 0.0  # start of the step, in seconds of the monotonic clock
        self.wall_time = 0.0  # start of the step, in seconds since the Unix epoch
        self.outbox: list[Effect] = []
        self.timing = derive_timing(settings)
        limits = settings.facts.state
        controller_count = max(settings.facts.nodes, 1)
        self.state_client = StateClient(
            settings.endpoints.state,
            limits.rps / controller_count,
            limits.write_rps / controller_count,
            # The lower of the present and the announced limit: valid for every record format.
            limits.strictest().txn_ops,
            self.outbox.append,
        )
        self.record_format = RecordFormat(limits, controller_count, self.state_client)

    def respond(
        self,
        pending_response: PendingResponse,
        status: int,
        body: bytes = b"",
        retry_after: float | None = None,
    ) -> None:
        """Add the response to a request to the outbox; `retry_after` is in seconds."""
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
