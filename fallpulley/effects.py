"""What the owner of the state is told (commands) and what it asks for (effects).

Network tasks post commands and carry out effects; only the owner decides.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

# The status of a call whose response was longer than this process can take; HTTP has no such one.
RESPONSE_TOO_LONG = 0


class Response(msgspec.Struct):
    """How a call ended."""

    status: int | None  # None: no response, so the outcome is unknown
    body: bytes
    sent_at: float  # when the call was sent, by the steady clock

    @property
    def ok(self) -> bool:
        """The request was carried out."""
        return self.status == HTTPStatus.OK


ResponseHandler = Callable[[Response], None]


def ignore_response(response: Response) -> None:
    """For calls of which nothing depends on the outcome."""


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

    @property
    def response(self) -> Response:
        """What the handler takes."""
        return Response(self.status, self.body, self.sent_at)


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
