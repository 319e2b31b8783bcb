"""Conditional writes to the state service, and their grouping into transactions."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from http import HTTPStatus

import msgspec

# Of the 64 KiB that a transaction may have, leaving room for its frame.
MAX_TRANSACTION_BYTES = 60 * 1024
# The service allows so many conditions for each change that a transaction may hold.
MAX_CONDITIONS_PER_CHANGE = 4
# Names, separators and numbers around the key and value of one condition or change.
ENTRY_OVERHEAD_BYTES = 40


class RequestPriority(IntEnum):
    """What is sent first when the budgets do not allow everything; lower values go first."""

    RENEWAL = 0
    ACCEPT = 1
    PROGRESS = 2
    READ = 3


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
    """The callback of writes whose outcome the watch shows."""


class Change(msgspec.Struct):
    """The new value of a key, or its deletion."""

    key: str
    value: bytes | None  # encoded as JSON; None deletes the key
    lease_id: int | None = None  # the key is deleted when this lease expires

    def to_wire(self) -> dict[str, object]:
        """The change as a transaction holds it."""
        if self.value is None:
            return {"drop": self.key}
        entry: dict[str, object] = {"set": self.key, "v": msgspec.Raw(self.value)}
        if self.lease_id is not None:
            entry["tenure"] = self.lease_id
        return entry


class Write(msgspec.Struct):
    """Changes that are carried out together, if all conditions hold.

    Because of its conditions a write that arrives late or twice changes nothing.
    """

    conditions: dict[str, int]  # key -> the mod revision that it must have; 0: it must not exist
    changes: list[Change]
    on_result: WriteCallback  # called once
    priority: RequestPriority = RequestPriority.ACCEPT
    isolated: bool = False  # never shares a transaction with another write
    expires_at: float = float("inf")  # if not sent by then, it is refused

    def estimated_bytes(self) -> int:
        """An upper bound of its encoded length, for keys without characters to escape."""
        size = sum(len(key) + ENTRY_OVERHEAD_BYTES for key in self.conditions)
        return size + sum(
            len(change.key) + len(change.value or b"") + ENTRY_OVERHEAD_BYTES
            for change in self.changes
        )

    def keys(self) -> set[str]:
        """Every key that it reads or changes."""
        return set(self.conditions) | {change.key for change in self.changes}


class TransactionResponse(msgspec.Struct, rename={"revision": "ledger"}):
    """The response to a transaction that was committed or in conflict."""

    revision: int = 0
    failed: list[str] = []  # keys whose condition did not hold


class Transaction:
    """Writes that are sent as one transaction; `max_changes` bounds their changes."""

    def __init__(self, max_changes: int) -> None:
        self.writes: list[Write] = []
        self._max_changes = max_changes
        self._changes = 0
        self._conditions = 0
        self._bytes = 0
        self._keys: set[str] = set()

    def has_room_for(self, write: Write) -> bool:
        """Whether `write` may be added. A single write always may, whatever its size."""
        if not self.writes:
            return True
        if write.isolated or self.writes[0].isolated:
            return False
        max_conditions = MAX_CONDITIONS_PER_CHANGE * self._max_changes
        return (
            self._changes + len(write.changes) <= self._max_changes
            and self._conditions + len(write.conditions) <= max_conditions
            and self._bytes + write.estimated_bytes() <= MAX_TRANSACTION_BYTES
            and self._keys.isdisjoint(write.keys())
        )

    def add(self, write: Write) -> None:
        """Add a write that there is room for."""
        self.writes.append(write)
        self._changes += len(write.changes)
        self._conditions += len(write.conditions)
        self._bytes += write.estimated_bytes()
        self._keys |= write.keys()

    def encode(self) -> bytes:
        """The body of the request."""
        return msgspec.json.encode(
            {
                "if": [
                    {"k": key, "stamp": mod_revision}
                    for write in self.writes
                    for key, mod_revision in write.conditions.items()
                ],
                "then": [change.to_wire() for write in self.writes for change in write.changes],
            }
        )
