"""Requests to the state service, within this controller's share of the service's rate limits.

The most urgent requests are sent first: lease renewals, then accepted and cancelled jobs, then
progress, then reads. Queued writes are grouped into transactions.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec

from fallpulley.effects import RESPONSE_TOO_LONG, Effect, HttpCall, Response, ResponseHandler
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.state.transactions import (
    RequestPriority,
    Transaction,
    TransactionResponse,
    Write,
    WriteResult,
)

log = logging.getLogger(__name__)

# All priorities, most urgent first. A tuple, because iterating over the enum takes longer and
# this is done in every step.
_PRIORITIES = tuple(RequestPriority)

# Share of this controller's rates that is used. The service counts the requests of all controllers
# together, and differing clocks and delays make the controllers' shares overlap a little.
BUDGET_SHARE_USED = 0.92
# Share of a bucket's capacity that requests of a priority leave to more urgent ones, so that a
# lease renewal or an accepted job never waits until the tokens that a burst of less urgent
# requests has spent are refilled.
RESERVED_SHARE = {RequestPriority.BACKGROUND: 0.4, RequestPriority.READ: 0.2}
# Share of the change bucket's capacity that is enough to send any write; a smaller write needs only
# one token for each of its changes. Without this, a write with more changes than the capacity would
# never be sent.
MAX_REQUIRED_SHARE = 0.5
# Timeout of transactions, and of requests that are queued without one.
REQUEST_TIMEOUT_SECONDS = 1.5


class _QueuedRequest(msgspec.Struct):
    """A queued request that is not a transaction."""

    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: ResponseHandler
    # Time after which the request is refused if it is still queued (monotonic clock, in seconds).
    expires_at: float


def _ignore_future_limits() -> None:
    """Do nothing: the handler in a deployment without future limits."""


class StateClient:
    """Queues requests and writes by priority and sends them as the rate limits allow."""

    def __init__(
        self,
        address: str,
        request_rate: float,
        change_rate: float,
        max_transaction_changes: int,
        emit: Callable[[Effect], None],
    ) -> None:
        """Create a client with empty queues.

        Args:
            address: the state service, as host:port.
            request_rate: requests a second that this controller may send.
            change_rate: changes a second that this controller may write.
            max_transaction_changes: how many changes one transaction may hold.
            emit: called with each HTTP call to be sent.
        """
        self.address = address
        self.max_transaction_changes = max_transaction_changes
        self.request_budget = TokenBucket(request_rate * BUDGET_SHARE_USED)
        self.change_budget = TokenBucket(change_rate * BUDGET_SHARE_USED)
        self.emit = emit
        self.timeout_s = REQUEST_TIMEOUT_SECONDS
        # Size in bytes above which the service refuses values once its future limits hold. A
        # refused write with a larger value shows that they do: `on_future_limits` is called.
        self.future_max_value_bytes = float("inf")
        self.on_future_limits: Callable[[], None] = _ignore_future_limits
        # Rates of requests and changes a second that hold in future. They are adopted when the
        # service first refuses a transaction for its rate.
        self._future_rates: tuple[float, float] | None = None
        self._writes: dict[RequestPriority, deque[Write]] = {
            priority: deque() for priority in RequestPriority
        }
        self._requests: dict[RequestPriority, deque[_QueuedRequest]] = {
            priority: deque() for priority in RequestPriority
        }

    # -- queueing --------------------------------------------------------------------------

    def write(self, write: Write) -> None:
        """Queue a write. Its callback is called once with the result."""
        self._writes[write.priority].append(write)

    def queued_changes(self, priority: RequestPriority) -> int:
        """Return the number of queued changes of this priority."""
        return sum(len(write.changes) for write in self._writes[priority])

    def request(
        self,
        path: str,
        on_response: ResponseHandler,
        priority: RequestPriority = RequestPriority.READ,
        method: str = "GET",
        body: bytes | None = None,
        timeout_s: float | None = None,
        expires_at: float = float("inf"),
    ) -> None:
        """Queue a request that is not a transaction.

        A request that is not sent by `expires_at` (monotonic clock, in seconds) is not sent at
        all: its handler gets status 503. `timeout_s` None: the client's timeout.
        """
        entry = _QueuedRequest(
            method, path, body, timeout_s or self.timeout_s, on_response, expires_at
        )
        self._requests[priority].append(entry)

    def _requeue(self, writes: Iterable[Write]) -> None:
        """Put writes that were not carried out back at the head of their queues, in order."""
        for write in reversed(list(writes)):
            self._writes[write.priority].appendleft(write)

    # -- sending ---------------------------------------------------------------------------

    def send_queued(self, now: float) -> None:
        """Send what the budgets allow, most urgent first; `now`: monotonic clock, in seconds."""
        self.request_budget.refill(now)
        self.change_budget.refill(now)
        for priority in _PRIORITIES:
            if not self._requests[priority] and not self._writes[priority]:
                continue
            self._refuse_expired(priority, now)
            reserved_share = RESERVED_SHARE.get(priority, 0.0)
            min_tokens = max(1.0, reserved_share * self.request_budget.capacity)
            self._send_requests(self._requests[priority], min_tokens)
            reserved_changes = reserved_share * self.change_budget.capacity
            self._send_writes(self._writes[priority], min_tokens, reserved_changes)

    def _refuse_expired(self, priority: RequestPriority, now: float) -> None:
        """Refuse expired requests and writes at the head of their queues."""
        requests = self._requests[priority]
        while requests and requests[0].expires_at < now:
            requests.popleft().on_response(Response(HTTPStatus.SERVICE_UNAVAILABLE, b"", now))
        writes = self._writes[priority]
        while writes and writes[0].expires_at < now:
            writes.popleft().on_result(WriteResult(HTTPStatus.SERVICE_UNAVAILABLE))

    def _send_requests(self, requests: deque[_QueuedRequest], min_tokens: float) -> None:
        while requests and self.request_budget.tokens >= min_tokens:
            self.request_budget.tokens -= 1
            request = requests.popleft()
            self.emit(
                HttpCall(
                    self.address,
                    request.method,
                    request.path,
                    request.body,
                    request.timeout_s,
                    request.on_response,
                )
            )

    def _send_writes(
        self, writes: deque[Write], min_tokens: float, reserved_changes: float
    ) -> None:
        while writes and self.request_budget.tokens >= min_tokens:
            transaction = self._next_transaction(writes, reserved_changes)
            if not transaction.writes:
                break
            self.request_budget.tokens -= 1
            self._send_transaction(transaction)

    def _next_transaction(self, writes: deque[Write], reserved_changes: float) -> Transaction:
        """Take from the queue the writes that fit one transaction and the change budget."""
        transaction = Transaction(self.max_transaction_changes)
        while writes and transaction.has_room_for(writes[0]):
            change_count = len(writes[0].changes)
            # A large write may make the balance of tokens negative; later ones wait for the refill.
            required = min(change_count, self.change_budget.capacity * MAX_REQUIRED_SHARE)
            if self.change_budget.tokens - reserved_changes < required:
                break
            self.change_budget.tokens -= change_count
            transaction.add(writes.popleft())
        return transaction

    def _send_transaction(self, transaction: Transaction) -> None:
        def on_response(response: Response) -> None:
            self._on_transaction_response(transaction.writes, response)

        body = transaction.encode()
        self.emit(HttpCall(self.address, "POST", "/txn", body, self.timeout_s, on_response))

    # -- responses -------------------------------------------------------------------------

    def _on_transaction_response(self, writes: list[Write], response: Response) -> None:
        status, decoded = _decode_response(response)
        if status == HTTPStatus.CONFLICT and len(writes) > 1:
            self._on_conflict_in_group(writes, set(decoded.failed))
        elif status == HTTPStatus.TOO_MANY_REQUESTS:
            # Not carried out: sent again, in the same order, once the budget allows.
            self._on_rate_limited()
            self._requeue(writes)
        elif status == HTTPStatus.BAD_REQUEST:
            self._on_invalid(writes)
        else:
            if status not in (HTTPStatus.OK, HTTPStatus.CONFLICT, None):
                status = HTTPStatus.SERVICE_UNAVAILABLE
            _finish(writes, WriteResult(status, decoded.revision))

    def _on_conflict_in_group(self, writes: list[Write], failed_keys: set[str]) -> None:
        """Finish the writes whose conditions failed and send the others again.

        No write of the transaction was carried out.
        """
        conflicted = [write for write in writes if failed_keys & set(write.conditions)]
        self._requeue(write for write in writes if not failed_keys & set(write.conditions))
        _finish(conflicted, WriteResult(HTTPStatus.CONFLICT))

    def _on_invalid(self, writes: list[Write]) -> None:
        """Finish a single invalid write.

        Of several writes it is not known which is invalid: each is sent again by itself.
        """
        values = (change.value or b"" for write in writes for change in write.changes)
        if any(len(value) > self.future_max_value_bytes for value in values):
            self.on_future_limits()
        if len(writes) > 1:
            for write in writes:
                write.isolated = True
            self._requeue(writes)
        else:
            _finish(writes, WriteResult(HTTPStatus.BAD_REQUEST))

    # -- rates -----------------------------------------------------------------------------

    def expect_lower_rates(self, request_rate: float, change_rate: float) -> None:
        """Adopt these rates, a second, when the service next responds with status 429."""
        self._future_rates = (request_rate * BUDGET_SHARE_USED, change_rate * BUDGET_SHARE_USED)

    def _on_rate_limited(self) -> None:
        """Slow down after status 429.

        Either other controllers used more than their shares, or announced limits came into force.
        """
        if self._future_rates is not None:
            self._adopt_future_rates(*self._future_rates)
        self.change_budget.tokens = min(self.change_budget.tokens, 0.0)

    def _adopt_future_rates(self, request_rate: float, change_rate: float) -> None:
        if (
            change_rate < self.change_budget.base_rate
            or request_rate < self.request_budget.base_rate
        ):
            log.info(
                "state service rate limits lowered rps=%.1f write_rps=%.1f",
                request_rate,
                change_rate,
            )
        self.request_budget.lower_rate(request_rate)
        self.change_budget.lower_rate(change_rate)


def _decode_response(response: Response) -> tuple[int | None, TransactionResponse]:
    """Return the status, and the body where the status is 200 or 409.

    The status is None where the outcome is unknown.
    """
    if response.status == RESPONSE_TOO_LONG:
        return None, TransactionResponse()
    if response.status in (HTTPStatus.OK, HTTPStatus.CONFLICT):
        try:
            return response.status, msgspec.json.decode(response.body, type=TransactionResponse)
        except msgspec.MsgspecError:
            return None, TransactionResponse()
    return response.status, TransactionResponse()


def _finish(writes: Iterable[Write], result: WriteResult) -> None:
    """Call the writes' callbacks with the result."""
    for write in writes:
        write.on_result(result)
