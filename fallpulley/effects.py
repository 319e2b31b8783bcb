"""The interface between the controller and its process: commands come in, effects go out.

Network callbacks queue commands; the controller's loop handles them in batches and returns
effects, which the process carries out. Only the controller decides anything.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import msgspec

# The status of a call whose response was longer than this process accepts; no HTTP status is 0.
RESPONSE_TOO_LONG = 0


class PendingResponse(Protocol):
    """Accepts the response to one request; a second response is ignored."""

    def __call__(self, status: int, body: bytes, retry_after: float | None, /) -> None:
        """Send the response. `retry_after` in seconds; None sends no such header."""


class Response(msgspec.Struct):
    """The response to an HTTP call of this controller."""

    status: int | None  # None: no response, so the outcome is unknown
    body: bytes
    sent_at: float  # when the call was sent, in seconds of the monotonic clock

    @property
    def ok(self) -> bool:
        """The request was carried out."""
        return self.status == HTTPStatus.OK


ResponseHandler = Callable[[Response], None]


def ignore_response(response: Response) -> None:
    """The handler of calls whose outcome does not matter."""


class Request(msgspec.Struct):
    """A request that reached this controller on its public address."""

    pending_response: PendingResponse
    method: str
    path: str
    body: bytes


class OperatorRequest(msgspec.Struct):
    """A request from an operator's tool, received on the mesh address."""

    pending_response: PendingResponse
    method: str
    path: str
    body: bytes


class CallCompleted(msgspec.Struct):
    """The outcome of an `HttpCall`, to be passed to its handler."""

    on_response: ResponseHandler
    status: int | None  # as in `Response`
    body: bytes
    sent_at: float

    @property
    def response(self) -> Response:
        """The outcome in the form that the handler takes."""
        return Response(self.status, self.body, self.sent_at)


class PeerMessage(msgspec.Struct):
    """A message from another controller, still encoded."""

    body: bytes


Command = Request | OperatorRequest | CallCompleted | PeerMessage


class SendResponse(msgspec.Struct):
    """The response to a `Request` or an `OperatorRequest`."""

    pending_response: PendingResponse
    status: int
    body: bytes = b""
    retry_after: float | None = None  # seconds


class HttpCall(msgspec.Struct):
    """An HTTP request to the state service, the cloud, a machine or a peer."""

    address: str
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: ResponseHandler


Effect = SendResponse | HttpCall
