"""The owner's side of replication: sends the log of a shard's decisions to each follower.

The owner sends a follower one message at a time, and the next one after the acknowledgement. A slow
follower therefore takes up no further resources of the owner; once the log has dropped entries that
the follower needs, the follower gets a snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from fallpulley.shards.shard import Shard
from fallpulley.standby.decision_log import DecisionLog
from fallpulley.standby.messages import (
    FORMAT,
    NO_PART_NEEDED,
    NO_REPLICA,
    Acknowledgement,
    LogBatch,
    ReplicationMessage,
    SnapshotPart,
    checksum_of,
    pack,
)
from fallpulley.standby.replica import Snapshot
from fallpulley.standby.snapshot import snapshot_parts
from fallpulley.state.token_bucket import TokenBucket

# Most entries in one message: about 10 KiB when compressed.
MAX_BATCH_ENTRIES = 500
# Time until a message that was not acknowledged is sent again, in batch intervals.
RESEND_INTERVAL_BATCHES = 4.0
# Time between messages while there are no new entries, in batch intervals. These messages show the
# follower that it is up to date.
IDLE_INTERVAL_BATCHES = 4.0
# Time between messages to a follower that has never responded, in batch intervals. Such a follower
# may run an older version or have no standby.
UNRESPONSIVE_INTERVAL_BATCHES = 20.0


class StreamLimits(msgspec.Struct, frozen=True):
    """Limits of a stream, derived from the settings."""

    batch_s: float  # batch interval: time between two messages to a follower, in seconds
    log_entries: int  # most entries that the log keeps for followers that are behind
    bytes_per_s: float  # payload bytes per second, to all followers together


class FollowerPosition(msgspec.Struct):
    """What the owner knows of a follower's replica, and what it is sending to the follower."""

    acknowledged_number: int = NO_REPLICA  # number of the last entry acknowledged
    responded: bool = False  # whether the follower's process has ever responded
    sent_at: float = float("-inf")  # time of the last message, in seconds of the monotonic clock
    in_flight: bool = False  # whether the last message is not acknowledged yet
    parts: list[Snapshot] = []  # of the snapshot being sent; empty: none is
    snapshot_number: int = 0  # number of the last entry that the snapshot includes
    next_part: int = 0  # index of the snapshot part to send next


class OutgoingMessage(NamedTuple):
    """A message, and the controller_id of the follower to send it to."""

    follower: str
    message: ReplicationMessage


class ShardStream:
    """Replicates the log of one owned shard to its followers."""

    def __init__(
        self,
        shard: Shard,
        controller_id: str,
        incarnation: str,
        followers: Iterable[str],
        limits: StreamLimits,
    ) -> None:
        """Start an empty log for a shard that was just acquired.

        `controller_id` and `incarnation` are the owner's; `followers` are controller_ids.
        """
        self.shard = shard
        self.controller_id = controller_id
        self.incarnation = incarnation
        self.limits = limits
        self.log = DecisionLog(limits.log_entries)
        self.positions = {follower: FollowerPosition() for follower in followers}
        self.take_snapshot: Callable[[Shard], list[Snapshot]] = snapshot_parts
        self.sent_bytes = 0  # payload bytes sent to all followers
        self._bucket = TokenBucket(limits.bytes_per_s)

    @property
    def token(self) -> int:
        """The revision at which the shard was acquired.

        It stays the same for as long as this controller owns the shard.
        """
        return self.shard.acquired_revision

    def next_messages(self, now: float) -> list[OutgoingMessage]:
        """Return the messages to send at `now`, within the limit of bytes per second.

        `now` is in seconds of the monotonic clock.
        """
        self._bucket.refill(now)
        messages = []
        for follower, position in self.positions.items():
            if self._bucket.tokens <= 0:
                break
            if now < position.sent_at + self._interval_s(position):
                continue
            message = self._next_message(position)
            self._bucket.tokens -= len(message.payload)
            self.sent_bytes += len(message.payload)
            position.sent_at = now
            position.in_flight = True
            messages.append(OutgoingMessage(follower, message))
        return messages

    def on_follower_restarted(self, follower: str) -> None:
        """Reset the position of a follower that has a new process.

        The next message is sent at once and asks the follower for its position.
        """
        if follower in self.positions:
            self.positions[follower] = FollowerPosition()

    def lag_by_follower(self) -> dict[str, int]:
        """Return how many entries each follower has not acknowledged.

        For a follower without a replica that is the number of all entries.
        """
        return {
            follower: self.log.last_number - max(0, position.acknowledged_number)
            for follower, position in self.positions.items()
        }

    # -- sending ---------------------------------------------------------------------------

    def _interval_s(self, position: FollowerPosition) -> float:
        """Return the least time between the last message and the next one, in seconds."""
        if not position.in_flight:
            if self._has_more(position):
                return 0.0
            idle = not position.parts and position.acknowledged_number == self.log.last_number
            return (IDLE_INTERVAL_BATCHES if idle else 1.0) * self.limits.batch_s
        batches = RESEND_INTERVAL_BATCHES if position.responded else UNRESPONSIVE_INTERVAL_BATCHES
        return batches * self.limits.batch_s

    def _has_more(self, position: FollowerPosition) -> bool:
        """Return whether more is left to send than fits into one message.

        If so, the next message is sent as soon as the last one is acknowledged, within the limit of
        bytes per second. With only one message per interval, the owner of thousands of machines
        made decisions faster than the stream carried them, and a snapshot was out of date before
        its last part was sent.
        """
        if position.parts:
            return position.next_part > 0
        return 0 <= position.acknowledged_number < self.log.last_number - MAX_BATCH_ENTRIES

    def _next_message(self, position: FollowerPosition) -> ReplicationMessage:
        return self._snapshot_part(position) if position.parts else self._log_batch(position)

    def _log_batch(self, position: FollowerPosition) -> LogBatch:
        entries_dropped = position.acknowledged_number + 1 < self.log.first_number
        if position.acknowledged_number < 0 or entries_dropped:
            payload = pack([])
        else:
            payload = pack(
                self.log.entries_from(position.acknowledged_number + 1, MAX_BATCH_ENTRIES)
            )
        return LogBatch(
            FORMAT,
            self.controller_id,
            self.incarnation,
            self.shard.shard_id,
            self.token,
            max(position.acknowledged_number, 0) + 1,
            self.log.last_number,
            {follower: other.acknowledged_number for follower, other in self.positions.items()},
            checksum_of(payload),
            payload,
        )

    def _snapshot_part(self, position: FollowerPosition) -> SnapshotPart:
        payload = pack(position.parts[position.next_part])
        return SnapshotPart(
            FORMAT,
            self.controller_id,
            self.incarnation,
            self.shard.shard_id,
            self.token,
            position.snapshot_number,
            position.next_part,
            len(position.parts),
            checksum_of(payload),
            payload,
        )

    # -- acknowledgements ------------------------------------------------------------------

    def on_acknowledgement(self, message: Acknowledgement) -> None:
        """Update the position of a follower, unless it acknowledges another owner's messages."""
        position = self.positions.get(message.controller_id)
        if position is None or message.token != self.token:
            return
        if message.needed_part <= NO_PART_NEEDED:
            self._on_entries_acknowledged(position, message.last_number)
        else:
            self._on_part_needed(position, message.needed_part)

    def _on_entries_acknowledged(self, position: FollowerPosition, last_number: int) -> None:
        if position.parts and last_number < position.snapshot_number and not position.next_part:
            return  # sent before the follower received any part of the current snapshot
        position.responded, position.in_flight = True, False
        # Stop sending the snapshot, even after some of its parts were received: the follower has
        # discarded those parts because they belonged to another snapshot. Without this, the owner
        # kept resending one part that the follower never needed.
        position.parts = []
        position.acknowledged_number = max(position.acknowledged_number, last_number)
        if position.acknowledged_number + 1 < self.log.first_number:
            self._start_snapshot(position)

    def _on_part_needed(self, position: FollowerPosition, part_index: int) -> None:
        """Prepare to send the snapshot part that a follower needs next.

        A new snapshot is taken if none is being sent or if it has no such part. The same holds if
        the follower needs part 0 after later parts were sent: it starts over, and the part may be
        that of any snapshot.
        """
        position.responded, position.in_flight = True, False
        position.acknowledged_number = NO_REPLICA
        restarted = part_index == 0 and position.next_part > 0
        if not position.parts or restarted or part_index >= len(position.parts):
            self._start_snapshot(position)
        else:
            position.next_part = part_index

    def _start_snapshot(self, position: FollowerPosition) -> None:
        position.parts = self.take_snapshot(self.shard)
        position.snapshot_number = self.log.last_number
        position.next_part = 0
