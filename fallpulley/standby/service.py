"""The warm-standby extension: replicates owned shards and follows those of other controllers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extension
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import OwnerProcess
from fallpulley.standby.failover import ExpectedTasks, apply_replica, log_comparison
from fallpulley.standby.follower import FollowedShard, Follower, ShardOwner
from fallpulley.standby.messages import (
    NO_REPLICA,
    Acknowledgement,
    FollowerResponse,
    OwnerReplaced,
    ReplicationMessage,
    decode,
    encode,
)
from fallpulley.standby.stream import ShardStream, StreamLimits

log = logging.getLogger(__name__)

# Number of heartbeats whose entries a log keeps: one entry per heartbeat and machine, for as many
# machines as the controller has sockets.
LOG_HEARTBEATS = 8.0
# Share of the controller's allowance of processor time (`core_share`) that sending may use.
SEND_CORE_SHARE = 0.02
# Processor time that sending takes per payload byte, in core-seconds: measured on simulated
# controllers and rounded up (docs/standby.md).
CORE_SECONDS_PER_BYTE = 4e-8
# How long a controller lets others with newer replicas claim a vacant leadership before it claims
# it itself, as a share of a session.
CLAIM_DELAY_SESSIONS = 0.15
# Time between two checks for messages that are due, in batch intervals.
CHECK_INTERVAL_BATCHES = 0.25
# A replica that has been behind for more than this many batch intervals is logged as lagging, once
# until it has caught up.
LAG_LOG_BATCHES = 10.0
# Time between two log lines on the status of a stream, in batch intervals.
STATUS_INTERVAL_BATCHES = 60.0

# Sends the body of a message to a controller by its controller_id.
SendMessage = Callable[[str, bytes], None]


class StandbyService(Extension):
    """Replication of one controller: the streams it sends and the replicas it keeps."""

    peer_message_prefix = b'["standby_'

    def __init__(self, context: ControllerContext, registry: Registry, send: SendMessage) -> None:
        self.context = context
        self.registry = registry
        self.limits = _stream_limits(context)
        self.follower = Follower(context.controller_id, self._owner_of)
        self.streams: dict[str, ShardStream] = {}  # by shard_id of the owned shard
        # By shard_id; only owned shards that were acquired with a usable replica.
        self.expected_tasks: dict[str, ExpectedTasks] = {}
        self._send = send
        # Shards for which it was logged that this controller was replaced as their owner.
        self._logged_replaced: set[str] = set()
        self._logged_lagging: set[str] = set()  # followed shards logged as lagging
        # In seconds of the monotonic clock.
        self._next_check_at = float("-inf")
        self._next_status_at = float("-inf")

    def _owner_of(self, shard_id: str) -> ShardOwner | None:
        entry = self.registry.shards.get(shard_id)
        if entry is None:
            return None
        record, mod_revision = entry
        return ShardOwner(record.owner, record.incarnation, mod_revision)

    # -- ownership and sessions ------------------------------------------------------------

    def on_shard_acquired(self, shard: Shard, previous: OwnerProcess | None) -> None:
        """Apply the replica if it is the previous owner's, and start a stream to the followers."""
        followed = self.follower.shards.pop(shard.shard_id, None)
        self._logged_replaced.discard(shard.shard_id)
        self.expected_tasks.pop(shard.shard_id, None)
        if followed is not None and followed.replica is not None:
            if previous == OwnerProcess(followed.owner, followed.incarnation):
                self.expected_tasks[shard.shard_id] = apply_replica(shard, followed.replica)
        elif previous is not None:
            log.info("failover without replica shard=%s", shard.shard_id)
        followers = [peer.controller_id for peer in self.context.settings.peers]
        stream = ShardStream(
            shard, self.context.controller_id, self.context.incarnation, followers, self.limits
        )
        shard.decisions = stream.log
        self.streams[shard.shard_id] = stream

    def on_shard_lost(self, shard_id: str) -> None:
        """End the stream of a shard that another controller owns now."""
        self.streams.pop(shard_id, None)
        self.expected_tasks.pop(shard_id, None)

    def on_session_began(self, controller_id: str) -> None:
        """Handle the start of a controller's new process, which has no replica."""
        for stream in self.streams.values():
            stream.on_follower_restarted(controller_id)

    # -- messages --------------------------------------------------------------------------

    def on_peer_message(self, body: bytes) -> None:
        """Handle a message from a shard's owner to a follower, or from a follower to the owner."""
        message = decode(body)
        if message is None:
            self.follower.count_malformed()
        elif isinstance(message, Acknowledgement):
            self._on_acknowledgement(message)
        elif isinstance(message, OwnerReplaced):
            self._on_owner_replaced(message)
        else:
            response = self._handle_replication(message)
            if response is not None:
                self._send(message.controller_id, encode(response))

    def _handle_replication(self, message: ReplicationMessage) -> FollowerResponse | None:
        stream = self.streams.get(message.shard_id)
        if stream is not None and message.token <= stream.token:
            # This controller owns the shard; the sender does not know yet that it was replaced.
            return OwnerReplaced(self.context.controller_id, message.shard_id, stream.token)
        return self.follower.handle(message, self.context.now)

    def _on_acknowledgement(self, message: Acknowledgement) -> None:
        stream = self.streams.get(message.shard_id)
        if stream is not None:
            stream.on_acknowledgement(message)

    def _on_owner_replaced(self, message: OwnerReplaced) -> None:
        """Log that, according to another controller, this one was replaced as a shard's owner.

        Nothing else follows from the message: only the records decide who owns a shard. Until this
        controller sees the new record, its response window limits how long it goes on responding.
        """
        stream = self.streams.get(message.shard_id)
        if stream is None or message.token <= stream.token:
            return
        if message.shard_id in self._logged_replaced:
            return
        self._logged_replaced.add(message.shard_id)
        log.info(
            "owner replaced shard=%s token=%d new_token=%d from=%s",
            message.shard_id,
            stream.token,
            message.token,
            message.controller_id,
        )

    # -- time ------------------------------------------------------------------------------

    def on_step(self) -> None:
        """Send the messages that are due, and log the state of streams and replicas."""
        now = self.context.now
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_BATCHES * self.limits.batch_s
        for stream in self.streams.values():
            for follower, message in stream.next_messages(now):
                self._send(follower, encode(message))
        if now >= self._next_status_at:
            self._next_status_at = now + STATUS_INTERVAL_BATCHES * self.limits.batch_s
            self._log_status()
        for shard_id, followed in self.follower.shards.items():
            self._log_lag(shard_id, followed)
        for shard_id, expected in self.expected_tasks.items():
            shard = self.streams[shard_id].shard
            if not expected.compared and not shard.unreconciled:
                log_comparison(shard, expected)

    def _log_status(self) -> None:
        for shard_id, stream in self.streams.items():
            lags = stream.lag_by_follower()
            log.info(
                "replication status shard=%s token=%d entries=%d bytes=%d lags=%s",
                shard_id,
                stream.token,
                stream.log.last_number,
                stream.sent_bytes,
                ",".join(f"{follower}:{lag}" for follower, lag in lags.items()),
            )

    def _log_lag(self, shard_id: str, followed: FollowedShard) -> None:
        since = followed.behind_since
        behind_s = self.context.now - since if since is not None else 0.0
        if behind_s > LAG_LOG_BATCHES * self.limits.batch_s:
            if shard_id not in self._logged_lagging:
                self._logged_lagging.add(shard_id)
                log.info(
                    "replica lagging shard=%s entries=%d seconds=%.1f",
                    shard_id,
                    self.follower.lag(followed),
                    behind_s,
                )
        elif shard_id in self._logged_lagging and since is None:
            self._logged_lagging.discard(shard_id)
            log.info("replica caught up shard=%s", shard_id)

    # -- leadership ------------------------------------------------------------------------

    def leader_claim_delay_s(self) -> float:
        """Return how long to let others with newer replicas claim the leadership, in seconds.

        After that time this controller claims the leadership even if those others have sessions.
        """
        for shard_id, (record, _) in self.registry.shards.items():
            if not self.registry.is_owner_alive(record) and self._others_newer(shard_id):
                return CLAIM_DELAY_SESSIONS * self.context.timing.session_s
        return 0.0

    def _others_newer(self, shard_id: str) -> bool:
        """Return whether another controller with a session has, or may have, a newer replica.

        Without a replica of its own, this controller assumes that the others have one. A process
        that had just started, without any replica, once claimed the leadership before all others.
        """
        others = self.registry.sessions.keys() - {self.context.controller_id}
        followed = self.follower.shards.get(shard_id)
        if followed is None or followed.replica is None:
            return bool(others)
        last_number = followed.replica.last_number
        return any(followed.positions.get(other, NO_REPLICA) > last_number for other in others)


def _stream_limits(context: ControllerContext) -> StreamLimits:
    limits = context.settings.facts.machine_limits
    return StreamLimits(
        context.settings.operators.standby.batch_s,
        int(LOG_HEARTBEATS * limits.sockets),
        limits.core_share * SEND_CORE_SHARE / CORE_SECONDS_PER_BYTE,
    )
