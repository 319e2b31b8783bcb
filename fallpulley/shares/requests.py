"""Handles operators' requests `GET /shares` and `POST /shares`, received on the mesh address."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from fallpulley.controller_access import ControllerAccess
from fallpulley.effects import OperatorRequest
from fallpulley.shares.messages import ErrorResponse, SetShares, SharesResponse, ShareTable
from fallpulley.shares.record import ShareRecord
from fallpulley.shares.table import (
    ConflictError,
    RefusedError,
    apply_request,
    revision_of_operation,
)
from fallpulley.state.transactions import RequestPriority, WriteResult

# Time until clients should repeat a request, if the state service is unavailable.
RETRY_AFTER_SECONDS = 1.0


class ShareRequests:
    """Responds to each request after checking whether the watch cache is current."""

    def __init__(
        self,
        access: ControllerAccess,
        record: ShareRecord,
        current_shares: Callable[[], SharesResponse],
    ) -> None:
        self._access = access
        self._record = record
        self._current_shares = current_shares

    def handle(self, request: OperatorRequest) -> None:
        """Respond to a request, in this step or in a later one."""
        if request.method == "GET":
            self._when_current(lambda current: self._respond_with_shares(request))
        elif request.method == "POST":
            self._handle_set(request)
        else:
            self._access.context.respond(
                request.pending_response, HTTPStatus.METHOD_NOT_ALLOWED.value
            )

    def _when_current(self, on_checked: Callable[[bool], None]) -> None:
        """Call `on_checked` with whether the watch cache is at least as new as this call."""
        self._access.watch.when_current(on_checked, self._access.context.now)

    # -- setting shares --------------------------------------------------------------------

    def _handle_set(self, request: OperatorRequest) -> None:
        try:
            set_shares = msgspec.json.decode(request.body, type=SetShares)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._respond_error(request, HTTPStatus.BAD_REQUEST, "malformed", str(error))
            return

        def on_checked(current: bool) -> None:
            if current:
                self._apply(request, set_shares)
            else:
                self._respond_unavailable(request)

        self._when_current(on_checked)

    def _apply(self, request: OperatorRequest, set_shares: SetShares) -> None:
        try:
            table = apply_request(self._record.table, set_shares, self._record.deployment())
        except ConflictError as error:
            self._respond_conflict(request, str(error), error.revision)
            return
        except RefusedError as error:
            self._respond_refused(request, str(error))
            return
        if table is self._record.table:
            # The request was already carried out; the client repeats it since it got no response.
            self._respond_with_shares(request)
            return
        self._write(request, set_shares, table)

    def _write(self, request: OperatorRequest, set_shares: SetShares, table: ShareTable) -> None:
        value = msgspec.json.encode(table)
        if len(value) > self._access.context.record_format.max_value_bytes:
            self._respond_refused(request, "too long for a record")
            return

        def on_result(result: WriteResult) -> None:
            if result.refused:
                self._respond_unavailable(request)
            else:
                # Even if the result of the write is unknown or a conflict, the record shows whether
                # this change was made.
                self._when_current(
                    lambda current: self._respond_with_outcome(request, set_shares, current)
                )

        self._record.write(value, on_result, RequestPriority.INTERACTIVE)

    def _respond_with_outcome(
        self, request: OperatorRequest, set_shares: SetShares, current: bool
    ) -> None:
        table = self._record.table
        if revision_of_operation(table, set_shares.operation) is not None:
            self._respond_with_shares(request)
        elif current:
            reason = f"the shares have revision {table.revision}"
            self._respond_conflict(request, reason, table.revision)
        else:
            self._respond_unavailable(request)

    # -- responses -------------------------------------------------------------------------

    def _respond_with_shares(self, request: OperatorRequest) -> None:
        """Respond with the shares even if the watch cache may be stale: its age is in the body."""
        body = msgspec.json.encode(self._current_shares())
        self._access.context.respond(request.pending_response, HTTPStatus.OK.value, body)

    def _respond_conflict(self, request: OperatorRequest, reason: str, revision: int) -> None:
        self._respond_error(request, HTTPStatus.CONFLICT, "conflict", reason, revision)

    def _respond_refused(self, request: OperatorRequest, reason: str) -> None:
        self._respond_error(request, HTTPStatus.UNPROCESSABLE_ENTITY, "refused", reason)

    def _respond_error(
        self,
        request: OperatorRequest,
        status: HTTPStatus,
        error: str,
        reason: str,
        revision: int | None = None,
    ) -> None:
        body = msgspec.json.encode(ErrorResponse(error, reason, revision))
        self._access.context.respond(request.pending_response, status.value, body)

    def _respond_unavailable(self, request: OperatorRequest) -> None:
        body = msgspec.json.encode(ErrorResponse("unavailable", "state service out of reach"))
        self._access.context.respond(
            request.pending_response,
            HTTPStatus.SERVICE_UNAVAILABLE.value,
            body,
            RETRY_AFTER_SECONDS,
        )
