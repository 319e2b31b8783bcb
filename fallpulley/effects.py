"""What the owner of the state is told (commands) and what it asks for (effects).

Network tasks post commands and carry out effects; only the owner decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

# How a finished call comes back: status (None: no answer, outcome unknown), body, sent at.
ResponseHandler = Callable[[int | None, bytes, float], None]
# The status of a call whose answer was longer than this process can take; HTTP has no such one.
RESPONSE_TOO_LONG = 0


class Request(msgspec.Struct):
    """A request that reached this controller; `ticket` takes its answer."""

    pending_response: Any
    method: str
    path: str
    body: bytes


class OperatorRequest(msgspec.Struct):
    """A request of an operator's tool on the mesh address."""

    pending_response: Any
    method: str
    path: str
    body: bytes


class CallCompleted(msgspec.Struct):
    """The outcome of a `Call`."""

    on_response: ResponseHandler
    status: int | None
    body: bytes
    sent_at: float


class PeerMessage(msgspec.Struct):
    """A message of another controller, still encoded."""

    body: bytes


Command = Request | OperatorRequest | CallCompleted | PeerMessage


class SendResponse(msgspec.Struct):
    pending_response: Any
    status: int
    body: bytes = b""
    retry_after: float | None = None


class HttpCall(msgspec.Struct):
    """An HTTP request to the state service, the cloud, a worker or a peer."""

    address: str
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: ResponseHandler


Effect = SendResponse | HttpCall
