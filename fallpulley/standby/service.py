"""The extension that replicates owned shards, and follows those that other controllers own."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.context import ControllerContext
from fallpulley.extensions import Extension
from fallpulley.records.registry import Registry
from fallpulley.records.shard_record import OwnerProcess
from fallpulley.shards.shard import Shard
from fallpulley.standby.failover import ExpectedTasks, apply_replica, log_comparison
from fallpulley.standby.follower import FollowedShard, Follower, ShardOwner
from fallpulley.standby.messages import (
    NO_REPLICA,
    Acknowledgement,
    FollowerResponse,
    Replaced,
    ReplicationMessage,
    decode,
    encode,
)
from fallpulley.standby.stream import ShardStream, StreamLimits

log = logging.getLogger(__name__)

# A log keeps as many entries as all machines that there are sockets for make in so many heartbeats.
LOG_HEARTBEATS = 8.0
# Of a controller's share of a core, what sending may use, and what a byte costs in core-seconds:
# measured on the simulated controllers, rounded up (docs/standby.md).
SEND_CORE_SHARE = 0.02
CORE_SECONDS_PER_BYTE = 4e-8
# A follower that others are ahead of waits for this share of a session before it claims the lead.
YIELD_SESSIONS = 0.15
# Messages due are looked for each time this part of a batch interval has passed.
CHECK_BATCHES = 0.25
# A replica that lags for so many batch intervals is logged, once.
LAG_BATCHES = 10.0
# The state of each stream is logged every so many batch intervals.
STATUS_BATCHES = 60.0

# Sends a message to a peer by its controller_id.
SendMessage = Callable[[str, bytes], None]


class Standby(Extension):
    """Warm standby of one controller."""

    peer_message_prefix = b'["standby_'

    def __init__(self, context: ControllerContext, registry: Registry, send: SendMessage) -> None:
        self.context = context
        self.registry = registry
        self.limits = _limits_of(context)
        self.follower = Follower(context.controller_id, self._owner_of)
        self.streams: dict[str, ShardStream] = {}  # by owned shard
        self.expected: dict[str, ExpectedTasks] = {}  # by owned shard that had a replica
        self._send = send
        self._logged_replaced: set[str] = set()  # shards of which it was logged
        self._logged_lagging: set[str] = set()
        self._next_check_at = float("-inf")  # by the monotonic clock
        self._next_status_at = float("-inf")

    def _owner_of(self, shard_id: str) -> ShardOwner | None:
        entry = self.registry.shards.get(shard_id)
        if entry is None:
            return None
        record, mod_revision = entry
        return ShardOwner(record.owner, record.incarnation, mod_revision)

    # -- events of the controller ----------------------------------------------------------

    def on_shard_acquired(self, shard: Shard, previous: OwnerProcess | None) -> None:
        """Use the replica, if it is of the previous owner, and begin a stream to the followers."""
        followed = self.follower.shards.pop(shard.shard_id, None)
        self._logged_replaced.discard(shard.shard_id)
        self.expected.pop(shard.shard_id, None)
        if followed is not None and followed.replica is not None:
            if previous == OwnerProcess(followed.owner, followed.incarnation):
                self.expected[shard.shard_id] = apply_replica(shard, followed.replica)
        elif previous is not None:
            log.info("failover without replica shard=%s", shard.shard_id)
        followers = [peer.controller_id for peer in self.context.settings.peers]
        stream = ShardStream(
            shard, self.context.controller_id, self.context.incarnation, followers, self.limits
        )
        shard.decisions = stream.log
        self.streams[shard.shard_id] = stream

    def on_shard_lost(self, shard_id: str) -> None:
        """End the stream: another controller owns the shard."""
        self.streams.pop(shard_id, None)
        self.expected.pop(shard_id, None)

    def on_session_began(self, controller_id: str) -> None:
        """A new process of a follower has no replica."""
        for stream in self.streams.values():
            stream.on_follower_session(controller_id)

    # -- messages --------------------------------------------------------------------------

    def on_peer_message(self, body: bytes) -> None:
        """A message of an owner to its follower, or of a follower to the owner."""
        message = decode(body)
        if message is None:
            self.follower.count_malformed()
        elif isinstance(message, Acknowledgement):
            self._on_acknowledgement(message)
        elif isinstance(message, Replaced):
            self._on_replaced(message)
        else:
            response = self._handle_replication(message)
            if response is not None:
                self._send(message.controller_id, encode(response))

    def _handle_replication(self, message: ReplicationMessage) -> FollowerResponse | None:
        stream = self.streams.get(message.shard_id)
        if stream is not None and message.token <= stream.token:
            # This controller owns the shard: the sender was replaced and does not know it yet.
            return Replaced(self.context.controller_id, message.shard_id, stream.token)
        return self.follower.handle(message, self.context.now)

    def _on_acknowledgement(self, message: Acknowledgement) -> None:
        stream = self.streams.get(message.shard_id)
        if stream is not None:
            stream.on_acknowledgement(message)

    def _on_replaced(self, message: Replaced) -> None:
        """It is logged, no more, also where the records as last seen do not show it yet: they
        decide, and until they do the response window holds."""
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
        """Send the messages that are due, and log how far replicas are behind."""
        now = self.context.now
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_BATCHES * self.limits.batch_s
        for stream in self.streams.values():
            for follower, message in stream.next_messages(now):
                self._send(follower, encode(message))
        if now >= self._next_status_at:
            self._next_status_at = now + STATUS_BATCHES * self.limits.batch_s
            self._log_status()
        for shard_id, followed in self.follower.shards.items():
            self._log_lag(shard_id, followed)
        for shard_id, expected in self.expected.items():
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
                stream.log.last,
                stream.sent_bytes,
                ",".join(f"{follower}:{lag}" for follower, lag in lags.items()),
            )

    def _log_lag(self, shard_id: str, followed: FollowedShard) -> None:
        since = followed.behind_since
        behind_s = self.context.now - since if since is not None else 0.0
        if behind_s > LAG_BATCHES * self.limits.batch_s:
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

    def hold_off_s(self) -> float:
        """How long to leave the lead to a controller whose replica is fresher, in seconds; this
        one claims it in the end whether or not that one has a session."""
        for shard_id, (record, _) in self.registry.shards.items():
            if not self.registry.owner_alive(record) and self._others_fresher(shard_id):
                return YIELD_SESSIONS * self.context.timing.session_s
        return 0.0

    def _others_fresher(self, shard_id: str) -> bool:
        """Another controller with a session has a fresher replica, or may have one while there is
        none here: a process that had just begun had no replica, and yet it once was faster than all
        others."""
        others = self.registry.sessions.keys() - {self.context.controller_id}
        followed = self.follower.shards.get(shard_id)
        if followed is None or followed.replica is None:
            return bool(others)
        last = followed.replica.last
        return any(followed.positions.get(other, NO_REPLICA) > last for other in others)


def _limits_of(context: ControllerContext) -> StreamLimits:
    limits = context.settings.facts.machine_limits
    return StreamLimits(
        context.settings.operators.standby.batch_s,
        int(LOG_HEARTBEATS * limits.sockets),
        limits.core_share * SEND_CORE_SHARE / CORE_SECONDS_PER_BYTE,
    )
