"""A follower's side: replicas of shards that others own, updated by the owners' messages."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from fallpulley.standby.entries import Entry
from fallpulley.standby.messages import (
    FORMAT,
    NO_PART_NEEDED,
    NO_REPLICA,
    Acknowledgement,
    FollowerResponse,
    LogBatch,
    PayloadError,
    Replaced,
    ReplicationMessage,
    SnapshotPart,
    unpack,
)
from fallpulley.standby.replica import GapError, Replica, Snapshot, apply_entries, join_parts

log = logging.getLogger(__name__)


class ShardOwner(NamedTuple):
    """Who owns a shard by the records, and the newest revision of the shard's record."""

    controller_id: str
    incarnation: str
    mod_revision: int


OwnerLookup = Callable[[str], ShardOwner | None]


class SnapshotAssembly(msgspec.Struct):
    """A snapshot of which some parts have come."""

    token: int
    last: int
    parts: list[Snapshot]


class FollowedShard(msgspec.Struct):
    """What is known of a shard that another controller owns."""

    token: int = 0  # the highest received: messages under a lower one are of a replaced owner
    owner: str = ""
    incarnation: str = ""
    replica: Replica | None = None
    assembly: SnapshotAssembly | None = None
    newest: int = 0  # the owner's newest entry, by its last message
    behind_since: float | None = None  # by the monotonic clock
    positions: dict[str, int] = {}  # follower -> last entry acknowledged, by the owner's message


class Follower:
    """Keeps the replicas of one controller."""

    def __init__(self, controller_id: str, owner_of: OwnerLookup) -> None:
        self.controller_id = controller_id
        self.shards: dict[str, FollowedShard] = {}
        self.dropped: dict[str, int] = {}  # reason -> number of messages
        self._owner_of = owner_of

    def handle(self, message: ReplicationMessage, now: float) -> FollowerResponse | None:
        """Update a replica; returns the response for the owner, or None for a dropped message."""
        followed = self.shards.setdefault(message.shard_id, FollowedShard())
        if message.format != FORMAT:
            self._drop("format", message)
            return None
        newer_token = self._newer_token(followed, message)
        if newer_token is not None:
            self._drop("replaced", message)
            return Replaced(self.controller_id, message.shard_id, newer_token)
        self._update_owner(followed, message)
        self._update_replica(followed, message)
        self._update_lag(followed, now)
        return self._acknowledgement(message.shard_id, followed)

    def lag(self, followed: FollowedShard) -> int:
        """Entries that the replica lacks; all of them where there is none."""
        if followed.replica is None:
            return followed.newest + 1
        return max(0, followed.newest - followed.replica.last)

    def count_malformed(self) -> None:
        """A message could not be decoded."""
        self._count_dropped("malformed")

    # -- owners ----------------------------------------------------------------------------

    def _newer_token(self, followed: FollowedShard, message: ReplicationMessage) -> int | None:
        """A token of the shard that shows that the message's sender was replaced; None: it was
        not, as far as this controller knows."""
        if message.token < followed.token:
            return followed.token
        owner = self._owner_of(message.shard_id)
        if owner is None or (owner.controller_id, owner.incarnation) == (
            message.controller_id,
            message.incarnation,
        ):
            return None
        # Not the owner by the records as last seen: a later one, or an earlier one.
        return None if message.token > owner.mod_revision else owner.mod_revision

    def _update_owner(self, followed: FollowedShard, message: ReplicationMessage) -> None:
        if message.token > followed.token:
            followed.token = message.token
            followed.replica = None
            followed.assembly = None
        followed.owner = message.controller_id
        followed.incarnation = message.incarnation

    # -- the replica -----------------------------------------------------------------------

    def _update_replica(self, followed: FollowedShard, message: ReplicationMessage) -> None:
        try:
            if isinstance(message, SnapshotPart):
                self._add_snapshot_part(followed, message)
            else:
                self._apply_batch(followed, message)
        except (PayloadError, msgspec.MsgspecError) as error:
            self._drop("damaged", message, str(error))
            followed.replica = None
            followed.assembly = None
        except GapError as error:
            self._drop("gap", message, str(error))
            followed.replica = None

    def _apply_batch(self, followed: FollowedShard, message: LogBatch) -> None:
        entries = msgspec.json.decode(unpack(message.payload, message.checksum), type=list[Entry])
        followed.newest = max(message.last, message.first - 1 + len(entries))
        followed.positions = message.positions
        if followed.replica is not None:
            followed.replica = apply_entries(followed.replica, message.first, entries)
            if entries:
                followed.assembly = None  # the log goes on: no snapshot is needed any more

    def _add_snapshot_part(self, followed: FollowedShard, message: SnapshotPart) -> None:
        state = msgspec.json.decode(unpack(message.payload, message.checksum), type=Snapshot)
        replica = followed.replica
        if replica is not None and replica.last >= message.last:
            return  # a late copy
        assembly = self._assembly_for(followed, message)
        if assembly is None:
            return
        if message.part == len(assembly.parts):
            assembly.parts.append(state)
        if len(assembly.parts) == message.parts:
            self._begin_replica(followed, message, join_parts(assembly.parts))

    def _assembly_for(
        self, followed: FollowedShard, message: SnapshotPart
    ) -> SnapshotAssembly | None:
        """The snapshot that the part belongs to; None where its first part has not come."""
        assembly = followed.assembly
        if assembly is not None and (assembly.token, assembly.last) == (
            message.token,
            message.last,
        ):
            return assembly
        if message.part == 0:
            followed.assembly = SnapshotAssembly(message.token, message.last, [])
            return followed.assembly
        # Without its first part a snapshot is of no use: a newer one is requested from its start.
        if assembly is not None and assembly.last < message.last:
            followed.assembly = None
        return None

    def _begin_replica(
        self, followed: FollowedShard, message: SnapshotPart, state: Snapshot
    ) -> None:
        followed.replica = Replica(message.shard_id, message.token, message.last, state)
        followed.assembly = None
        log.info(
            "replica started shard=%s token=%d entry=%d machines=%d",
            message.shard_id,
            message.token,
            message.last,
            len(state.machines),
        )

    def _update_lag(self, followed: FollowedShard, now: float) -> None:
        if self.lag(followed) == 0:
            followed.behind_since = None
        elif followed.behind_since is None:
            followed.behind_since = now

    def _acknowledgement(self, shard_id: str, followed: FollowedShard) -> Acknowledgement:
        replica, assembly = followed.replica, followed.assembly
        last = replica.last if replica is not None else NO_REPLICA
        if assembly is not None and assembly.last > last:
            part = len(assembly.parts)
        else:
            part = NO_PART_NEEDED if replica is not None else 0
        return Acknowledgement(self.controller_id, shard_id, followed.token, last, part)

    # -- dropped messages ------------------------------------------------------------------

    def _drop(self, reason: str, message: ReplicationMessage, error: str = "") -> None:
        self._count_dropped(reason)
        log.info(
            "replication message dropped shard=%s from=%s token=%d reason=%s error=%s",
            message.shard_id,
            message.controller_id,
            message.token,
            reason,
            error,
        )

    def _count_dropped(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
