"""Warm standby of one controller: streams the blocks it holds, follows those that others hold."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.registry import Registry
from fallpulley.core import Core
from fallpulley.standby.follower import Followed, Follower, Holder
from fallpulley.standby.messages import (
    Acknowledgement,
    LogBatch,
    Replaced,
    SnapshotPart,
    decode,
    encode,
)
from fallpulley.standby.stream import BlockStream, Limits
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


class Standby:
    """The only part of the package that the controller knows."""

    def __init__(self, core: Core, registry: Registry, send: Send) -> None:
        self.core = core
        self.registry = registry
        self.send = send
        facts, settings = core.settings.facts, core.settings.operators.standby
        self.limits = Limits(
            settings.batch_s,
            int(LOG_REPORTS * facts.machine_limits.sockets),
            facts.machine_limits.core_share * SEND_SHARE / BYTE_S,
        )
        self.follower = Follower(core.label, self._holder_of)
        self.streams: dict[str, BlockStream] = {}
        self.expected: dict[str, Expected] = {}
        self._replaced: set[str] = set()  # blocks whose replacement was told in the log
        self._lagging: set[str] = set()
        self._next_at = float("-inf")
        self._next_status = float("-inf")

    def _holder_of(self, block: str) -> Holder | None:
        entry = self.registry.blocks.get(block)
        if entry is None:
            return None
        record, stamp = entry
        return Holder(record.holder, record.boot, stamp)

    # -- events of the controller ----------------------------------------------------------

    def block_held(self, held: HeldBlock, previous: tuple[str, str] | None) -> None:
        """The block is ours from now on. `previous`: label and process of its last holder."""
        followed = self.follower.blocks.pop(held.label, None)
        self._replaced.discard(held.label)
        self.expected.pop(held.label, None)
        if followed is not None and followed.replica is not None:
            if previous == (followed.holder, followed.boot):
                self.expected[held.label] = seed(held, followed.replica)
        elif previous is not None:
            log.info("takeover without replica block=%s", held.label)
        followers = [seed.label for seed in self.core.settings.seeds]
        stream = BlockStream(held, self.core.label, self.core.boot, followers, self.limits)
        held.decisions = stream.log
        self.streams[held.label] = stream

    def block_lost(self, block: str) -> None:
        """Somebody else holds it."""
        self.streams.pop(block, None)
        self.expected.pop(block, None)

    def session_began(self, label: str) -> None:
        """The records show a new process of a controller."""
        for stream in self.streams.values():
            stream.follower_began(label)

    def take(self, body: bytes) -> None:
        """A message from a peer."""
        message = decode(body)
        if message is None:
            self.follower.dropped["malformed"] = self.follower.dropped.get("malformed", 0) + 1
        elif isinstance(message, Acknowledgement):
            self._acknowledged(message)
        elif isinstance(message, Replaced):
            self._told_replaced(message)
        else:
            self._answer(message.label, self._followed(message))

    def _followed(self, message: LogBatch | SnapshotPart) -> Acknowledgement | Replaced | None:
        stream = self.streams.get(message.block)
        if stream is not None and message.token <= stream.token:
            # We hold the block: the sender was replaced by us and does not know it yet.
            return Replaced(self.core.label, message.block, stream.token)
        return self.follower.take(message, self.core.now)

    def _answer(self, label: str, answer: Acknowledgement | Replaced | None) -> None:
        if answer is not None:
            self.send(label, encode(answer))

    def _acknowledged(self, answer: Acknowledgement) -> None:
        stream = self.streams.get(answer.block)
        if stream is not None:
            stream.acknowledged(answer)

    def _told_replaced(self, message: Replaced) -> None:
        """Also when our own copy of the records does not show it yet: said in the log, no more.
        The records decide, and until they are seen the answer window holds."""
        stream = self.streams.get(message.block)
        if stream is None or message.token <= stream.token or message.block in self._replaced:
            return
        self._replaced.add(message.block)
        log.info(
            "replaced as holder block=%s term=%d by_term=%d told_by=%s",
            message.block,
            stream.token,
            message.token,
            message.label,
        )

    # -- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """Send what is due, and see how far replicas are behind."""
        now = self.core.now
        if now < self._next_at:
            return
        self._next_at = now + 0.25 * self.limits.batch_s
        for stream in self.streams.values():
            for label, message in stream.due(now):
                self.send(label, encode(message))
        if now >= self._next_status:
            self._next_status = now + STATUS_BATCHES * self.limits.batch_s
            self._tell_status()
        for block, followed in self.follower.blocks.items():
            self._tell_lag(block, followed)
        for block, expected in self.expected.items():
            stream = self.streams[block]
            if not expected.compared and not stream.held.unconfirmed:
                compare(stream.held, expected)

    def _tell_status(self) -> None:
        for block, stream in self.streams.items():
            lags = ",".join(f"{label}:{lag}" for label, lag in stream.lags().items())
            log.info(
                "replication block=%s term=%d entries=%d bytes=%d lags=%s",
                block,
                stream.token,
                stream.log.last,
                stream.sent_bytes,
                lags,
            )

    def _tell_lag(self, block: str, followed: Followed) -> None:
        since = followed.behind_since
        late_s = self.core.now - since if since is not None else 0.0
        if late_s > LAG_BATCHES * self.limits.batch_s:
            if block not in self._lagging:
                self._lagging.add(block)
                log.info(
                    "replica lags block=%s entries=%d seconds=%.1f",
                    block,
                    self.follower.lag(followed),
                    late_s,
                )
        elif block in self._lagging and since is None:
            self._lagging.discard(block)
            log.info("replica caught up block=%s", block)

    def hold_off_s(self) -> float:
        """How long to leave the lead to a controller whose replica is fresher; it is taken in the
        end whether or not that one is there."""
        for block, (record, _) in self.registry.blocks.items():
            if not self.registry.holder_alive(record) and self._others_fresher(block):
                return YIELD_SESSIONS * self.core.session_s
        return 0.0

    def _others_fresher(self, block: str) -> bool:
        """Somebody who is there has a fresher replica, or may have one while we have none: a
        process that has just begun knew nothing, and yet it once was faster than all others."""
        there = self.registry.sessions.keys() - {self.core.label}
        followed = self.follower.blocks.get(block)
        if followed is None or followed.replica is None:
            return bool(there)
        last = followed.replica.last
        return any(followed.positions.get(label, -1) > last for label in there)
