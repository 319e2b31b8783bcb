"""Requests to the state service, within this controller's share of its budgets.

Priority: lease renewals, accepts and cancels, progress, reads. Waiting writes are grouped into
transactions; each carries the stamps it was decided on, so late or repeated ones do nothing.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import IntEnum

import msgspec

from fallpulley.effects import ANSWER_TOO_LONG, Call, Done, Effect

log = logging.getLogger(__name__)

TXN_BYTES = 60 * 1024  # of the 64 KiB a transaction may take, leaving room for its frame
# The service counts over all controllers; clocks and delays make shares overlap a little.
SHARE_USED = 0.92


class RequestPriority(IntEnum):
    RENEWAL = 0
    ACCEPT = 1
    PROGRESS = 2
    READ = 3


# Share of the saved-up budget that requests of a priority leave to those before them, so that
# a renewal or an accept never waits for a burst of lesser ones to be earned back.
KEPT_BACK = {RequestPriority.PROGRESS: 0.4, RequestPriority.READ: 0.2}

# Outcome of a write: 200, 409 (a stamp differed), 503 (not executed), 400, None (unknown).
Written = Callable[[int | None, int], None]


class Change(msgspec.Struct):
    """A `set` with its encoded value, or a `drop`."""

    key: str
    value: bytes | None
    tenure: int | None = None

    def wire(self) -> dict[str, object]:
        if self.value is None:
            return {"drop": self.key}
        entry: dict[str, object] = {"set": self.key, "v": msgspec.Raw(self.value)}
        if self.tenure is not None:
            entry["tenure"] = self.tenure
        return entry


class Write(msgspec.Struct):
    conditions: dict[str, int]
    changes: list[Change]
    written: Written
    priority: RequestPriority = RequestPriority.ACCEPT
    alone: bool = False
    expires_at: float = float("inf")

    def size(self) -> int:
        size = sum(len(key) + 40 for key in self.conditions)
        return size + sum(len(c.key) + len(c.value or b"") + 40 for c in self.changes)


class _TxnReply(msgspec.Struct):
    ledger: int = 0
    failed: list[str] = []


class _Read(msgspec.Struct):
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    done: Done
    expires_at: float


class Bucket:
    """Tokens for one budget: `rate` a second, saving up at most one second's worth."""

    def __init__(self, rate: float) -> None:
        self.equal_rate = rate  # where every controller takes the same
        self.share = 1.0  # of the equal rate
        self.rate = rate
        self.most = max(rate, 1.0)
        self.tokens = self.most
        self.at: float | None = None

    def lower(self, rate: float) -> None:
        self.equal_rate = min(self.equal_rate, rate)
        self.take_share(self.share)

    def take_share(self, share: float) -> None:
        """More or less than the equal rate: the shares of all controllers add up."""
        self.share = share
        self.rate = self.equal_rate * share
        self.most = max(self.rate, 1.0)
        self.tokens = min(self.tokens, self.most)

    def refill(self, now: float) -> None:
        if self.at is not None:
            self.tokens = min(self.most, self.tokens + (now - self.at) * self.rate)
        self.at = now


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
        self.requests = Bucket(rps * SHARE_USED)
        self.changes = Bucket(write_rps * SHARE_USED)
        self.emit = emit
        self.in_flight = 0
        self._writes: dict[RequestPriority, deque[Write]] = {
            priority: deque() for priority in RequestPriority
        }
        self._reads: dict[RequestPriority, deque[_Read]] = {
            priority: deque() for priority in RequestPriority
        }
        self.timeout_s = 1.5
        # Values above this size are refused once the limits to come have come, and who is to know.
        self.small_bytes = float("inf")
        self.on_limits: Callable[[], None] = _nobody
        # Limits to come, by rates of requests and changes: taken once the service shows them.
        self._to_come: tuple[float, float] | None = None

    def expect_limits(self, rps: float, write_rps: float) -> None:
        """From now on a 429 may mean that these hold."""
        self._to_come = (rps * SHARE_USED, write_rps * SHARE_USED)

    def _too_many(self) -> None:
        """The service refused for its rate: others used more than their shares, or the limits to
        come have come."""
        if self._to_come is not None:
            rps, write_rps = self._to_come
            if write_rps < self.changes.equal_rate or rps < self.requests.equal_rate:
                log.info("state limits have come rps=%.1f write_rps=%.1f", rps, write_rps)
            self.requests.lower(rps)
            self.changes.lower(write_rps)
        self.changes.tokens = min(self.changes.tokens, 0.0)

    def write(self, write: Write) -> None:
        self._writes[write.priority].append(write)

    def waiting_changes(self, priority: RequestPriority) -> int:
        return sum(len(write.changes) for write in self._writes[priority])

    def read(
        self,
        path: str,
        done: Done,
        priority: RequestPriority = RequestPriority.READ,
        method: str = "GET",
        body: bytes | None = None,
        timeout_s: float | None = None,
        expires_at: float = float("inf"),
    ) -> None:
        """Any request that is not a transaction."""
        entry = _Read(method, path, body, timeout_s or self.timeout_s, done, expires_at)
        self._reads[priority].append(entry)

    def pump(self, now: float) -> None:
        """Send what the budgets allow, most urgent first."""
        self.requests.refill(now)
        self.changes.refill(now)
        for priority in RequestPriority:
            reads = self._reads[priority]
            writes = self._writes[priority]
            while reads and reads[0].expires_at < now:
                reads.popleft().done(503, b"", now)
            while writes and writes[0].expires_at < now:
                writes.popleft().written(503, 0)
            keep = KEPT_BACK.get(priority, 0.0)
            least = max(1.0, keep * self.requests.most)
            while reads and self.requests.tokens >= least:
                self.requests.tokens -= 1
                read = reads.popleft()
                self.emit(
                    Call(self.address, read.method, read.path, read.body, read.timeout_s, read.done)
                )
            while writes and self.requests.tokens >= least:
                group = self._group(writes, keep * self.changes.most)
                if not group:
                    break
                self.requests.tokens -= 1
                self._send(group)

    def _group(self, writes: deque[Write], keep: float) -> list[Write]:
        """Take the writes that fit one transaction and the change budget."""
        group: list[Write] = []
        ops = conditions = size = 0
        keys: set[str] = set()
        while writes:
            write = writes[0]
            count = len(write.changes)
            touched = set(write.conditions) | {c.key for c in write.changes}
            if group and (
                write.alone
                or ops + count > self.txn_ops
                or conditions + len(write.conditions) > 4 * self.txn_ops
                or size + write.size() > TXN_BYTES
                or touched & keys
            ):
                break
            # A write larger than the saved-up budget goes when the bucket is full.
            if self.changes.tokens - keep < min(count, self.changes.most * 0.5):
                break
            self.changes.tokens -= count
            group.append(writes.popleft())
            ops += count
            conditions += len(write.conditions)
            size += write.size()
            keys |= touched
            if write.alone:
                break
        return group

    def _send(self, group: list[Write]) -> None:
        body = msgspec.json.encode(
            {
                "if": [
                    {"k": key, "stamp": stamp}
                    for write in group
                    for key, stamp in write.conditions.items()
                ],
                "then": [change.wire() for write in group for change in write.changes],
            }
        )

        def done(status: int | None, answer: bytes, sent_at: float) -> None:
            self._settle(group, status, answer)

        self.emit(Call(self.address, "POST", "/txn", body, self.timeout_s, done))

    def _settle(self, group: list[Write], status: int | None, answer: bytes) -> None:
        reply = _TxnReply()
        if status == ANSWER_TOO_LONG:
            status = None
        if status in (200, 409):
            try:
                reply = msgspec.json.decode(answer, type=_TxnReply)
            except msgspec.MsgspecError:
                status = None
        if status == 409 and len(group) > 1:
            failed = set(reply.failed)
            again = [write for write in group if not failed & set(write.conditions)]
            for write in reversed(again):
                self._writes[write.priority].appendleft(write)
            for write in group:
                if failed & set(write.conditions):
                    write.written(409, 0)
            return
        if status == 429:
            # Not carried out: again, in its place, once the budget allows.
            self._too_many()
            for write in reversed(group):
                self._writes[write.priority].appendleft(write)
            return
        values = (change.value or b"" for write in group for change in write.changes)
        if status == 400 and any(len(value) > self.small_bytes for value in values):
            self.on_limits()
        if status == 400 and len(group) > 1:
            for write in reversed(group):
                write.alone = True
                self._writes[write.priority].appendleft(write)
            return
        if status not in (200, 409, 400, None):
            status = 503
        for write in group:
            write.written(status, reply.ledger)
