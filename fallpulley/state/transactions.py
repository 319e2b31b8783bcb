"""Conditional writes to the state service, and their grouping into transactions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from http import HTTPStatus

import msgspec

# Estimated bytes of all conditions and changes in a transaction. The service allows 64 KiB, which
# must also hold the JSON around them.
MAX_TRANSACTION_BYTES = 60 * 1024
# A transaction may hold this many conditions for each change that it may hold.
MAX_CONDITIONS_PER_CHANGE = 4
# Bytes of one encoded condition or change besides its key and value: field names, separators and
# numbers.
ENTRY_OVERHEAD_BYTES = 40


class RequestPriority(IntEnum):
    """Order in which requests are sent when the budgets do not allow all; lower values first."""

    RENEWAL = 0
    INTERACTIVE = 1
    BACKGROUND = 2
    READ = 3


class WriteResult(msgspec.Struct, frozen=True):
    """The outcome of a write."""

    # 200 (committed), 409 (a condition failed), 400 (invalid) or 503 (not carried out); None: the
    # outcome is unknown, and the write may still be carried out later.
    status: int | None
    revision: int = 0  # revision of the store that the write produced; 0 unless it was committed

    @property
    def committed(self) -> bool:
        """Whether all changes of the write are durable."""
        return self.status == HTTPStatus.OK

    @property
    def conflicted(self) -> bool:
        """Whether a condition of the write failed."""
        return self.status == HTTPStatus.CONFLICT

    @property
    def invalid(self) -> bool:
        """Whether the write was malformed or its lease had expired."""
        return self.status == HTTPStatus.BAD_REQUEST

    @property
    def unknown(self) -> bool:
        """Whether no response came: the write may have been or may yet be carried out."""
        return self.status is None

    @property
    def refused(self) -> bool:
        """Whether the write was not carried out, for another reason than a failed condition."""
        return not (self.committed or self.conflicted or self.unknown)


WriteCallback = Callable[[WriteResult], None]


def ignore_result(result: WriteResult) -> None:
    """Do nothing: the callback of a write whose outcome is learned from the watch."""


class Change(msgspec.Struct):
    """The new value of a key, or its deletion."""

    key: str
    value: bytes | None  # encoded as JSON; None deletes the key
    lease_id: int | None = None  # the key is deleted when this lease expires

    def to_wire(self) -> dict[str, object]:
        """Return the change as an entry of an encoded transaction."""
        if self.value is None:
            return {"drop": self.key}
        entry: dict[str, object] = {"set": self.key, "v": msgspec.Raw(self.value)}
        if self.lease_id is not None:
            entry["tenure"] = self.lease_id
        return entry


def values_size(changes: Iterable[Change]) -> int:
    """Return the total size of the changes' values, in bytes; deletions have none."""
    return sum(len(change.value or b"") for change in changes)


class Write(msgspec.Struct):
    """Changes that are carried out all or not at all, and only if all conditions hold.

    Because of its conditions, a write that arrives late or twice changes nothing.
    """

    # By key: the `mod_revision` that the key must have; 0: the key must not exist.
    conditions: dict[str, int]
    changes: list[Change]
    on_result: WriteCallback  # called once
    priority: RequestPriority = RequestPriority.INTERACTIVE
    isolated: bool = False  # sent in a transaction of its own
    # Time after which the write is refused if it is still queued (monotonic clock, in seconds).
    expires_at: float = float("inf")

    def estimated_bytes(self) -> int:
        """Return an upper bound of the encoded size in bytes.

        It holds for keys without characters that JSON escapes.
        """
        size = sum(len(key) + ENTRY_OVERHEAD_BYTES for key in self.conditions)
        return size + sum(
            len(change.key) + len(change.value or b"") + ENTRY_OVERHEAD_BYTES
            for change in self.changes
        )

    def keys(self) -> set[str]:
        """Return all keys that have a condition or are changed."""
        return set(self.conditions) | {change.key for change in self.changes}


class TransactionResponse(msgspec.Struct, rename={"revision": "ledger"}):
    """The response to a transaction that was committed or whose conditions failed."""

    revision: int = 0  # revision of the store that the transaction produced
    failed: list[str] = []  # keys whose condition failed


class Transaction:
    """Writes that are sent as one transaction."""

    def __init__(self, max_changes: int) -> None:
        """Create an empty transaction; `max_changes`: how many changes it may hold."""
        self.writes: list[Write] = []
        self._max_changes = max_changes
        self._change_count = 0
        self._condition_count = 0
        self._estimated_bytes = 0
        self._keys: set[str] = set()

    def has_room_for(self, write: Write) -> bool:
        """Return whether `write` may be added; the first one may, whatever its size."""
        if not self.writes:
            return True
        if write.isolated or self.writes[0].isolated:
            return False
        max_conditions = MAX_CONDITIONS_PER_CHANGE * self._max_changes
        return (
            self._change_count + len(write.changes) <= self._max_changes
            and self._condition_count + len(write.conditions) <= max_conditions
            and self._estimated_bytes + write.estimated_bytes() <= MAX_TRANSACTION_BYTES
            and self._keys.isdisjoint(write.keys())
        )

    def add(self, write: Write) -> None:
        """Add a write for which `has_room_for` returned True."""
        self.writes.append(write)
        self._change_count += len(write.changes)
        self._condition_count += len(write.conditions)
        self._estimated_bytes += write.estimated_bytes()
        self._keys |= write.keys()

    def encode(self) -> bytes:
        """Return the body of the request to the state service."""
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
