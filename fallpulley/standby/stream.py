"""The owner's side: sends the log of its decisions to each follower.

A follower is sent one message at a time and the next one when it has acknowledged: a slow one
costs the owner nothing, and is sent a snapshot once the log has dropped the entries it needs.
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

# Entries in a message: packed, some 10 KiB.
MAX_BATCH_ENTRIES = 500
# A message that is not acknowledged is sent again after so many batch intervals.
RESEND_BATCHES = 4.0
# Without new entries, messages go out at this multiple of the batch interval: they show the
# follower that there are none.
IDLE_BATCHES = 4.0
# A follower that never responded, of an older version perhaps, is asked at this multiple.
UNRESPONSIVE_BATCHES = 20.0


class StreamLimits(msgspec.Struct, frozen=True):
    """Bounds of a stream, derived from the settings."""

    batch_s: float  # the batch interval
    log_entries: int  # kept for followers that are behind
    bytes_per_s: float  # of payloads, to all followers


class FollowerPosition(msgspec.Struct):
    """How far a follower is, as far as the owner knows, and what it is being sent."""

    last: int = NO_REPLICA  # the last entry acknowledged
    responded: bool = False  # at least once
    sent_at: float = float("-inf")  # by the monotonic clock
    in_flight: bool = False  # a message has not been acknowledged yet
    parts: list[Snapshot] = []  # of the snapshot that is being sent
    parts_last: int = 0  # the newest entry that the snapshot includes
    next_part: int = 0


class OutgoingMessage(NamedTuple):
    """A message, and the controller that gets it."""

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
        """`controller_id` and `incarnation` are the owner's, `followers` controllers."""
        self.shard = shard
        self.controller_id = controller_id
        self.incarnation = incarnation
        self.limits = limits
        self.log = DecisionLog(limits.log_entries)
        self.positions = {follower: FollowerPosition() for follower in followers}
        self.take_snapshot: Callable[[Shard], list[Snapshot]] = snapshot_parts
        self.sent_bytes = 0  # of payloads, to all followers
        self._bucket = TokenBucket(limits.bytes_per_s)

    @property
    def token(self) -> int:
        """The revision at which the shard was acquired: the same for as long as it is owned."""
        return self.shard.acquired_revision

    def next_messages(self, now: float) -> list[OutgoingMessage]:
        """The messages to send now, within the limit of bytes a second."""
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

    def on_follower_session(self, follower: str) -> None:
        """A follower has a new process: it is asked for its position at once."""
        if follower in self.positions:
            self.positions[follower] = FollowerPosition()

    def lag_by_follower(self) -> dict[str, int]:
        """Entries that each follower has not acknowledged; all, where it has no replica."""
        return {
            follower: self.log.last - max(0, position.last)
            for follower, position in self.positions.items()
        }

    # -- sending ---------------------------------------------------------------------------

    def _interval_s(self, position: FollowerPosition) -> float:
        """The time between the last message and the next one."""
        if not position.in_flight:
            if self._has_more(position):
                return 0.0
            idle = not position.parts and position.last == self.log.last
            return (IDLE_BATCHES if idle else 1.0) * self.limits.batch_s
        batches = RESEND_BATCHES if position.responded else UNRESPONSIVE_BATCHES
        return batches * self.limits.batch_s

    def _has_more(self, position: FollowerPosition) -> bool:
        """More waits than a message holds: the next one is sent as soon as the last is
        acknowledged, within the limit of bytes. At one message an interval, the owner of a fleet of
        thousands decided more than the stream carried, and its snapshots were out of date before
        their last part."""
        if position.parts:
            return position.next_part > 0
        return 0 <= position.last < self.log.last - MAX_BATCH_ENTRIES

    def _next_message(self, position: FollowerPosition) -> ReplicationMessage:
        return self._snapshot_part(position) if position.parts else self._log_batch(position)

    def _log_batch(self, position: FollowerPosition) -> LogBatch:
        entries_dropped = position.last + 1 < self.log.first
        if position.last < 0 or entries_dropped:
            payload = pack([])
        else:
            payload = pack(self.log.entries_from(position.last + 1, MAX_BATCH_ENTRIES))
        return LogBatch(
            FORMAT,
            self.controller_id,
            self.incarnation,
            self.shard.shard_id,
            self.token,
            max(position.last, 0) + 1,
            self.log.last,
            {follower: other.last for follower, other in self.positions.items()},
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
            position.parts_last,
            position.next_part,
            len(position.parts),
            checksum_of(payload),
            payload,
        )

    # -- acknowledgements ------------------------------------------------------------------

    def on_acknowledgement(self, message: Acknowledgement) -> None:
        """Update a follower's position, if it follows under the token of this stream."""
        position = self.positions.get(message.controller_id)
        if position is None or message.token != self.token:
            return
        if message.snapshot_part <= NO_PART_NEEDED:
            self._on_entries_acknowledged(position, message.last)
        else:
            self._on_part_needed(position, message.snapshot_part)

    def _on_entries_acknowledged(self, position: FollowerPosition, last: int) -> None:
        if position.parts and last < position.parts_last and not position.next_part:
            return  # from before the snapshot that is being sent
        position.responded, position.in_flight = True, False
        # Also where parts of a snapshot have come: the follower has dropped them, for they were of
        # another one. The same part was once sent again and again, and never needed.
        position.parts = []
        position.last = max(position.last, last)
        if position.last + 1 < self.log.first:
            self._begin_snapshot(position)

    def _on_part_needed(self, position: FollowerPosition, part: int) -> None:
        """The follower needs this part of the snapshot; part 0: of any snapshot."""
        position.responded, position.in_flight = True, False
        position.last = NO_REPLICA
        restarted = part == 0 and position.next_part > 0
        if not position.parts or restarted or part >= len(position.parts):
            self._begin_snapshot(position)
        else:
            position.next_part = part

    def _begin_snapshot(self, position: FollowerPosition) -> None:
        position.parts = self.take_snapshot(self.shard)
        position.parts_last = self.log.last
        position.next_part = 0
