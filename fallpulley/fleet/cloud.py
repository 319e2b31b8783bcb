"""Rate-limited calls to the cloud's API."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response, ResponseHandler
from fallpulley.state.token_bucket import TokenBucket

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 3.0
# Share of the call rate allowed by the cloud (`facts.cloud.rps`) that is used.
USED_RATE_SHARE = 0.9


class CloudClient:
    """Sends calls to the cloud as long as the budget has tokens for them."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.budget = TokenBucket(context.settings.facts.cloud.rps * USED_RATE_SHARE)

    def call(
        self, method: str, path: str, body: bytes | None, on_response: ResponseHandler
    ) -> bool:
        """Send a call; return False, with nothing sent, if the budget has no token for it."""
        if self.budget.tokens < 1:
            return False
        self.budget.tokens -= 1
        self.context.call(
            self.context.settings.endpoints.cloud,
            method,
            path,
            body,
            CALL_TIMEOUT_SECONDS,
            on_response,
        )
        return True


def decode_ok(response: Response, expected: type[T]) -> T | None:
    """Return the decoded body, or None if the call failed or the body is malformed."""
    if not response.ok:
        return None
    try:
        return msgspec.json.decode(response.body, type=expected)
    except msgspec.MsgspecError:
        return None
