"""Warm standby of one controller: streams the blocks it holds, follows those that others hold."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.context import ControllerContext
from fallpulley.extensions import Extension
from fallpulley.records.registry import Registry
from fallpulley.records.shard_record import PreviousOwner
from fallpulley.shards.shard import Shard
from fallpulley.standby.follower import Followed, Follower, Owner
from fallpulley.standby.messages import (
    Acknowledgement,
    LogBatch,
    Replaced,
    SnapshotPart,
    decode,
    encode,
)
from fallpulley.standby.stream import Limits, ShardStream
from fallpulley.standby.takeover import Expected, compare, seed

log = logging.getLogger(__name__)

# A log holds as many entries as all machines that there are sockets for make in so many reports.
LOG_REPORTS = 8.0
# Of a controller's share of a core, what sending may take, at this cost of a byte: measured on
# the simulated controllers, rounded up (docs/standby.md).
SEND_SHARE, BYTE_S = 0.02, 4e-8
# A follower that others are ahead of waits so large a part of a session before it asks to lead.
YIELD_SESSIONS = 0.15
# A replica that lags for so many batch intervals is told in the log, once.
LAG_BATCHES = 10.0

# How a stream goes is told in the log every so many batch intervals.
STATUS_BATCHES = 60.0

# Sends a message to a peer by its label.
Send = Callable[[str, bytes], None]


class Standby(Extension):
    """The only part of the package that the controller knows."""

    peer_message_prefix = b'["standby_'

    def __init__(self, context: ControllerContext, registry: Registry, send: Send) -> None:
        self.context = context
        self.registry = registry
        self.send = send
        facts, settings = context.settings.facts, context.settings.operators.standby
        self.limits = Limits(
            settings.batch_s,
            int(LOG_REPORTS * facts.machine_limits.sockets),
            facts.machine_limits.core_share * SEND_SHARE / BYTE_S,
        )
        self.follower = Follower(context.controller_id, self._owner_of)
        self.streams: dict[str, ShardStream] = {}
        self.expected: dict[str, Expected] = {}
        self._replaced: set[str] = set()  # blocks whose replacement was told in the log
        self._lagging: set[str] = set()
        self._next_at = float("-inf")
        self._next_status = float("-inf")

    def _owner_of(self, shard_id: str) -> Owner | None:
        entry = self.registry.shards.get(shard_id)
        if entry is None:
            return None
        record, mod_revision = entry
        return Owner(record.owner, record.incarnation, mod_revision)

    # -- events of the controller ----------------------------------------------------------

    def on_shard_acquired(self, shard: Shard, previous: PreviousOwner | None) -> None:
        """The block is ours from now on. `previous`: label and process of its last holder."""
        followed = self.follower.shards.pop(shard.shard_id, None)
        self._replaced.discard(shard.shard_id)
        self.expected.pop(shard.shard_id, None)
        if followed is not None and followed.replica is not None:
            if previous == PreviousOwner(followed.owner, followed.incarnation):
                self.expected[shard.shard_id] = seed(shard, followed.replica)
        elif previous is not None:
            log.info("takeover without replica block=%s", shard.shard_id)
        followers = [seed.controller_id for seed in self.context.settings.peers]
        stream = ShardStream(
            shard, self.context.controller_id, self.context.incarnation, followers, self.limits
        )
        shard.decisions = stream.log
        self.streams[shard.shard_id] = stream

    def on_shard_lost(self, shard_id: str) -> None:
        """Somebody else holds it."""
        self.streams.pop(shard_id, None)
        self.expected.pop(shard_id, None)

    def on_session_began(self, controller_id: str) -> None:
        """The records show a new process of a controller."""
        for stream in self.streams.values():
            stream.follower_began(controller_id)

    def on_peer_message(self, body: bytes) -> None:
        """A message from a peer."""
        message = decode(body)
        if message is None:
            self.follower.dropped["malformed"] = self.follower.dropped.get("malformed", 0) + 1
        elif isinstance(message, Acknowledgement):
            self._on_acknowledgement(message)
        elif isinstance(message, Replaced):
            self._on_replaced(message)
        else:
            self._answer(message.controller_id, self._followed(message))

    def _followed(self, message: LogBatch | SnapshotPart) -> Acknowledgement | Replaced | None:
        stream = self.streams.get(message.shard_id)
        if stream is not None and message.token <= stream.token:
            # We hold the block: the sender was replaced by us and does not know it yet.
            return Replaced(self.context.controller_id, message.shard_id, stream.token)
        return self.follower.receive(message, self.context.now)

    def _answer(self, controller_id: str, answer: Acknowledgement | Replaced | None) -> None:
        if answer is not None:
            self.send(controller_id, encode(answer))

    def _on_acknowledgement(self, answer: Acknowledgement) -> None:
        stream = self.streams.get(answer.shard_id)
        if stream is not None:
            stream.acknowledged(answer)

    def _on_replaced(self, message: Replaced) -> None:
        """Also when our own copy of the records does not show it yet: said in the log, no more.
        The records decide, and until they are seen the answer window holds."""
        stream = self.streams.get(message.shard_id)
        if stream is None or message.token <= stream.token or message.shard_id in self._replaced:
            return
        self._replaced.add(message.shard_id)
        log.info(
            "replaced as holder block=%s term=%d by_term=%d told_by=%s",
            message.shard_id,
            stream.token,
            message.token,
            message.controller_id,
        )

    # -- time ------------------------------------------------------------------------------

    def on_step(self) -> None:
        """Send what is due, and see how far replicas are behind."""
        now = self.context.now
        if now < self._next_at:
            return
        self._next_at = now + 0.25 * self.limits.batch_s
        for stream in self.streams.values():
            for controller_id, message in stream.due(now):
                self.send(controller_id, encode(message))
        if now >= self._next_status:
            self._next_status = now + STATUS_BATCHES * self.limits.batch_s
            self._log_status()
        for shard_id, followed in self.follower.shards.items():
            self._log_lag(shard_id, followed)
        for shard_id, expected in self.expected.items():
            stream = self.streams[shard_id]
            if not expected.compared and not stream.shard.unreconciled:
                compare(stream.shard, expected)

    def _log_status(self) -> None:
        for shard_id, stream in self.streams.items():
            lags = ",".join(
                f"{controller_id}:{lag}" for controller_id, lag in stream.lags().items()
            )
            log.info(
                "replication block=%s term=%d entries=%d bytes=%d lags=%s",
                shard_id,
                stream.token,
                stream.log.last,
                stream.sent_bytes,
                lags,
            )

    def _log_lag(self, shard_id: str, followed: Followed) -> None:
        since = followed.behind_since
        late_s = self.context.now - since if since is not None else 0.0
        if late_s > LAG_BATCHES * self.limits.batch_s:
            if shard_id not in self._lagging:
                self._lagging.add(shard_id)
                log.info(
                    "replica lags block=%s entries=%d seconds=%.1f",
                    shard_id,
                    self.follower.lag(followed),
                    late_s,
                )
        elif shard_id in self._lagging and since is None:
            self._lagging.discard(shard_id)
            log.info("replica caught up block=%s", shard_id)

    def hold_off_s(self) -> float:
        """How long to leave the lead to a controller whose replica is fresher; it is taken in the
        end whether or not that one is there."""
        for shard_id, (record, _) in self.registry.shards.items():
            if not self.registry.owner_alive(record) and self._others_fresher(shard_id):
                return YIELD_SESSIONS * self.context.timing.session_s
        return 0.0

    def _others_fresher(self, shard_id: str) -> bool:
        """Somebody who is there has a fresher replica, or may have one while we have none: a
        process that has just begun knew nothing, and yet it once was faster than all others."""
        there = self.registry.sessions.keys() - {self.context.controller_id}
        followed = self.follower.shards.get(shard_id)
        if followed is None or followed.replica is None:
            return bool(there)
        last = followed.replica.last
        return any(followed.positions.get(controller_id, -1) > last for controller_id in there)
