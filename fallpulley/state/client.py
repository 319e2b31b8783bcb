"""Requests to the state service, within this controller's share of its budgets.

Priority: lease renewals, accepts and cancels, progress, reads. Waiting writes are grouped into
transactions; each carries the stamps it was decided on, so late or repeated ones do nothing.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from http import HTTPStatus

import msgspec

from fallpulley.effects import RESPONSE_TOO_LONG, Effect, HttpCall, Response, ResponseHandler

log = logging.getLogger(__name__)

MAX_TRANSACTION_BYTES = (
    60 * 1024
)  # of the 64 KiB a transaction may take, leaving room for its frame
# The service counts over all controllers; clocks and delays make shares overlap a little.
BUDGET_SHARE_USED = 0.92


class RequestPriority(IntEnum):
    RENEWAL = 0
    ACCEPT = 1
    PROGRESS = 2
    READ = 3


# Share of the saved-up budget that requests of a priority leave to those before them, so that
# a renewal or an accept never waits for a burst of lesser ones to be earned back.
RESERVED_SHARE = {RequestPriority.PROGRESS: 0.4, RequestPriority.READ: 0.2}


class WriteResult(msgspec.Struct, frozen=True):
    """How a write ended."""

    # 200, 409 (a condition failed), 400 (invalid), 503 (not carried out); None: unknown, it may
    # still be carried out later.
    status: int | None
    revision: int = 0  # of the store, where it was committed

    @property
    def committed(self) -> bool:
        """All of its changes are durable."""
        return self.status == HTTPStatus.OK

    @property
    def conflicted(self) -> bool:
        """One of its conditions failed."""
        return self.status == HTTPStatus.CONFLICT

    @property
    def invalid(self) -> bool:
        """It was malformed, or its lease has expired."""
        return self.status == HTTPStatus.BAD_REQUEST

    @property
    def unknown(self) -> bool:
        """No response: it may be carried out, now or later."""
        return self.status is None

    @property
    def refused(self) -> bool:
        """It was not carried out, and not for a failed condition."""
        return not (self.committed or self.conflicted or self.unknown)


WriteCallback = Callable[[WriteResult], None]


def ignore_result(result: WriteResult) -> None:
    """For writes of which the watch shows the outcome."""


class Change(msgspec.Struct):
    """A `set` with its encoded value, or a `drop`."""

    key: str
    value: bytes | None
    lease_id: int | None = None

    def to_wire(self) -> dict[str, object]:
        if self.value is None:
            return {"drop": self.key}
        entry: dict[str, object] = {"set": self.key, "v": msgspec.Raw(self.value)}
        if self.lease_id is not None:
            entry["tenure"] = self.lease_id
        return entry


class Write(msgspec.Struct):
    conditions: dict[str, int]
    changes: list[Change]
    on_result: WriteCallback
    priority: RequestPriority = RequestPriority.ACCEPT
    isolated: bool = False
    expires_at: float = float("inf")

    def encoded_size(self) -> int:
        size = sum(len(key) + 40 for key in self.conditions)
        return size + sum(len(c.key) + len(c.value or b"") + 40 for c in self.changes)


class _TransactionResponse(msgspec.Struct, rename={"revision": "ledger"}):
    revision: int = 0
    failed: list[str] = []


class _QueuedRequest(msgspec.Struct):
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: ResponseHandler
    expires_at: float


class TokenBucket:
    """Tokens for one budget: `rate` a second, saving up at most one second's worth."""

    def __init__(self, rate: float) -> None:
        self.equal_rate = rate  # where every controller takes the same
        self.share = 1.0  # of the equal rate
        self.rate = rate
        self.capacity = max(rate, 1.0)
        self.tokens = self.capacity
        self.refilled_at: float | None = None

    def lower_rate(self, rate: float) -> None:
        self.equal_rate = min(self.equal_rate, rate)
        self.set_share(self.share)

    def set_share(self, share: float) -> None:
        """More or less than the equal rate: the shares of all controllers add up."""
        self.share = share
        self.rate = self.equal_rate * share
        self.capacity = max(self.rate, 1.0)
        self.tokens = min(self.tokens, self.capacity)

    def refill(self, now: float) -> None:
        if self.refilled_at is not None:
            self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now


def _nobody() -> None:
    pass


class StateClient:
    def __init__(
        self,
        address: str,
        rps: float,
        write_rps: float,
        txn_ops: int,
        emit: Callable[[Effect], None],
    ) -> None:
        self.address = address
        self.txn_ops = txn_ops
        self.request_budget = TokenBucket(rps * BUDGET_SHARE_USED)
        self.change_budget = TokenBucket(write_rps * BUDGET_SHARE_USED)
        self.emit = emit
        self.in_flight = 0
        self._writes: dict[RequestPriority, deque[Write]] = {
            priority: deque() for priority in RequestPriority
        }
        self._reads: dict[RequestPriority, deque[_QueuedRequest]] = {
            priority: deque() for priority in RequestPriority
        }
        self.timeout_s = 1.5
        # Values above this size are refused once the limits to come have come, and who is to know.
        self.future_value_bytes = float("inf")
        self.on_future_limits: Callable[[], None] = _nobody
        # Limits to come, by rates of requests and changes: taken once the service shows them.
        self._future_rates: tuple[float, float] | None = None

    def expect_lower_rates(self, rps: float, write_rps: float) -> None:
        """From now on a 429 may mean that these hold."""
        self._future_rates = (rps * BUDGET_SHARE_USED, write_rps * BUDGET_SHARE_USED)

    def _on_rate_limited(self) -> None:
        """The service refused for its rate: others used more than their shares, or the limits to
        come have come."""
        if self._future_rates is not None:
            rps, write_rps = self._future_rates
            if write_rps < self.change_budget.equal_rate or rps < self.request_budget.equal_rate:
                log.info("state limits have come rps=%.1f write_rps=%.1f", rps, write_rps)
            self.request_budget.lower_rate(rps)
            self.change_budget.lower_rate(write_rps)
        self.change_budget.tokens = min(self.change_budget.tokens, 0.0)

    def write(self, write: Write) -> None:
        self._writes[write.priority].append(write)

    def queued_changes(self, priority: RequestPriority) -> int:
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
        """Any request that is not a transaction."""
        entry = _QueuedRequest(
            method, path, body, timeout_s or self.timeout_s, on_response, expires_at
        )
        self._reads[priority].append(entry)

    def send_queued(self, now: float) -> None:
        """Send what the budgets allow, most urgent first."""
        self.request_budget.refill(now)
        self.change_budget.refill(now)
        for priority in RequestPriority:
            reads = self._reads[priority]
            writes = self._writes[priority]
            while reads and reads[0].expires_at < now:
                reads.popleft().on_response(Response(503, b"", now))
            while writes and writes[0].expires_at < now:
                writes.popleft().on_result(WriteResult(503))
            keep = RESERVED_SHARE.get(priority, 0.0)
            least = max(1.0, keep * self.request_budget.capacity)
            while reads and self.request_budget.tokens >= least:
                self.request_budget.tokens -= 1
                read = reads.popleft()
                self.emit(
                    HttpCall(
                        self.address,
                        read.method,
                        read.path,
                        read.body,
                        read.timeout_s,
                        read.on_response,
                    )
                )
            while writes and self.request_budget.tokens >= least:
                group = self._next_group(writes, keep * self.change_budget.capacity)
                if not group:
                    break
                self.request_budget.tokens -= 1
                self._send_transaction(group)

    def _next_group(self, writes: deque[Write], keep: float) -> list[Write]:
        """Take the writes that fit one transaction and the change budget."""
        group: list[Write] = []
        ops = conditions = size = 0
        keys: set[str] = set()
        while writes:
            write = writes[0]
            count = len(write.changes)
            touched = set(write.conditions) | {c.key for c in write.changes}
            if group and (
                write.isolated
                or ops + count > self.txn_ops
                or conditions + len(write.conditions) > 4 * self.txn_ops
                or size + write.encoded_size() > MAX_TRANSACTION_BYTES
                or touched & keys
            ):
                break
            # A write larger than the saved-up budget goes when the bucket is full.
            if self.change_budget.tokens - keep < min(count, self.change_budget.capacity * 0.5):
                break
            self.change_budget.tokens -= count
            group.append(writes.popleft())
            ops += count
            conditions += len(write.conditions)
            size += write.encoded_size()
            keys |= touched
            if write.isolated:
                break
        return group

    def _send_transaction(self, group: list[Write]) -> None:
        body = msgspec.json.encode(
            {
                "if": [
                    {"k": key, "stamp": mod_revision}
                    for write in group
                    for key, mod_revision in write.conditions.items()
                ],
                "then": [change.to_wire() for write in group for change in write.changes],
            }
        )

        def on_response(response: Response) -> None:
            self._on_transaction_response(group, response.status, response.body)

        self.emit(HttpCall(self.address, "POST", "/txn", body, self.timeout_s, on_response))

    def _on_transaction_response(
        self, group: list[Write], status: int | None, answer: bytes
    ) -> None:
        reply = _TransactionResponse()
        if status == RESPONSE_TOO_LONG:
            status = None
        if status in (200, 409):
            try:
                reply = msgspec.json.decode(answer, type=_TransactionResponse)
            except msgspec.MsgspecError:
                status = None
        if status == 409 and len(group) > 1:
            failed = set(reply.failed)
            again = [write for write in group if not failed & set(write.conditions)]
            for write in reversed(again):
                self._writes[write.priority].appendleft(write)
            for write in group:
                if failed & set(write.conditions):
                    write.on_result(WriteResult(409))
            return
        if status == 429:
            # Not carried out: again, in its place, once the budget allows.
            self._on_rate_limited()
            for write in reversed(group):
                self._writes[write.priority].appendleft(write)
            return
        values = (change.value or b"" for write in group for change in write.changes)
        if status == 400 and any(len(value) > self.future_value_bytes for value in values):
            self.on_future_limits()
        if status == 400 and len(group) > 1:
            for write in reversed(group):
                write.isolated = True
                self._writes[write.priority].appendleft(write)
            return
        if status not in (200, 409, 400, None):
            status = 503
        for write in group:
            write.on_result(WriteResult(status, reply.revision))
