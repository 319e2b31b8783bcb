"""The interface between the controller and its process: commands come in, effects go out.

Network callbacks queue commands. The process passes them to the controller in batches and carries
out the effects that the controller returns. All decisions are made by the controller.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import msgspec

# Replaces the status of a call whose response was longer than this process accepts; no HTTP status
# is 0.
RESPONSE_TOO_LONG = 0


class PendingResponse(Protocol):
    """Sends the response to one request; a second response is ignored."""

    def __call__(self, status: int, body: bytes, retry_after: float | None, /) -> None:
        """Send the response.

        `retry_after` is in seconds; None sends no `Retry-After` header.
        """


class Response(msgspec.Struct):
    """The response to an HTTP call of this controller."""

    status: int | None  # None if there was no response: the outcome is unknown
    body: bytes
    sent_at: float  # when the call was sent, in seconds of the monotonic clock

    @property
    def ok(self) -> bool:
        """Whether the request was carried out."""
        return self.status == HTTPStatus.OK


ResponseHandler = Callable[[Response], None]


def ignore_response(response: Response) -> None:
    """Ignore the outcome of a call."""


class Request(msgspec.Struct):
    """A request from a user or a worker, received on the public address."""

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
    """The outcome of an `HttpCall`, for its response handler."""

    on_response: ResponseHandler
    status: int | None  # as in `Response`
    body: bytes
    sent_at: float  # as in `Response`

    @property
    def response(self) -> Response:
        """The outcome as a `Response`, the argument of the response handler."""
        return Response(self.status, self.body, self.sent_at)


class PeerMessage(msgspec.Struct):
    """An encoded message from another controller."""

    body: bytes


Command = Request | OperatorRequest | CallCompleted | PeerMessage


class SendResponse(msgspec.Struct):
    """The response to a `Request` or an `OperatorRequest`."""

    pending_response: PendingResponse
    status: int
    body: bytes = b""
    retry_after: float | None = None  # seconds; None sends no such header


class HttpCall(msgspec.Struct):
    """An HTTP request to the state service, the cloud, a machine or a peer."""

    address: str
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: ResponseHandler


Effect = SendResponse | HttpCall
