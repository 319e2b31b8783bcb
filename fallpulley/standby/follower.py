"""The follower's side of replication: replicas of shards that other controllers own."""

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
    OwnerReplaced,
    PayloadError,
    ReplicationMessage,
    SnapshotPart,
    unpack,
)
from fallpulley.standby.replica import GapError, Replica, Snapshot, apply_entries, join_parts

log = logging.getLogger(__name__)


class ShardOwner(NamedTuple):
    """The owner of a shard according to its record, and the record's latest revision."""

    controller_id: str
    incarnation: str
    mod_revision: int


# Returns the owner of a shard by its shard_id, or None if there is no record of the shard.
OwnerLookup = Callable[[str], ShardOwner | None]


class SnapshotAssembly(msgspec.Struct):
    """A snapshot of which the first parts were received."""

    token: int
    last_number: int  # number of the last entry that the snapshot includes
    parts: list[Snapshot]  # those received, in order


class FollowedShard(msgspec.Struct):
    """What a follower knows of a shard that another controller owns."""

    token: int = 0  # the highest received; a message with a lower one is from a replaced owner
    owner: str = ""  # controller_id of the sender of the last message accepted
    incarnation: str = ""  # of the owner's process
    replica: Replica | None = None
    assembly: SnapshotAssembly | None = None  # the snapshot being received, if any
    owner_last_number: int = 0  # number of the owner's latest entry, from its last batch
    # When the replica fell behind the owner, in seconds of the monotonic clock; None: it is not
    # behind.
    behind_since: float | None = None
    # Follower -> number of the last entry it has acknowledged, from the owner's last batch.
    positions: dict[str, int] = {}


class Follower:
    """Keeps one controller's replicas up to date with the messages of the shards' owners."""

    def __init__(self, controller_id: str, owner_of: OwnerLookup) -> None:
        self.controller_id = controller_id
        self.shards: dict[str, FollowedShard] = {}
        self.dropped: dict[str, int] = {}  # reason -> number of messages dropped for it
        self._owner_of = owner_of

    def handle(self, message: ReplicationMessage, now: float) -> FollowerResponse | None:
        """Update the replica of a shard with a message of the shard's owner.

        `now` is in seconds of the monotonic clock. Returns the response to the sender, or None if
        the message has an unknown format and gets no response.
        """
        followed = self.shards.setdefault(message.shard_id, FollowedShard())
        if message.format != FORMAT:
            self._drop("format", message)
            return None
        newer_token = self._newer_token(followed, message)
        if newer_token is not None:
            self._drop("replaced", message)
            return OwnerReplaced(self.controller_id, message.shard_id, newer_token)
        self._update_owner(followed, message)
        self._update_replica(followed, message)
        self._update_lag(followed, now)
        return self._acknowledgement(message.shard_id, followed)

    def lag(self, followed: FollowedShard) -> int:
        """Return the number of entries that the replica lacks.

        Without a replica it lacks all entries. One is added to their number, so that the result is
        positive even if the owner's log is still empty.
        """
        if followed.replica is None:
            return followed.owner_last_number + 1
        return max(0, followed.owner_last_number - followed.replica.last_number)

    def count_malformed(self) -> None:
        """Count a message that could not be decoded as dropped."""
        self._count_dropped("malformed")

    # -- owners ----------------------------------------------------------------------------

    def _newer_token(self, followed: FollowedShard, message: ReplicationMessage) -> int | None:
        """Return a token above the message's that shows that its sender was replaced.

        None: as far as this controller knows, the sender still owns the shard.
        """
        if message.token < followed.token:
            return followed.token
        owner = self._owner_of(message.shard_id)
        if owner is None or (owner.controller_id, owner.incarnation) == (
            message.controller_id,
            message.incarnation,
        ):
            return None
        # The record as last seen names another owner. The sender is a later owner if its token is
        # above the record's revision, and an earlier owner otherwise.
        return None if message.token > owner.mod_revision else owner.mod_revision

    def _update_owner(self, followed: FollowedShard, message: ReplicationMessage) -> None:
        if message.token > followed.token:
            followed.token = message.token
            followed.replica = None
            followed.assembly = None
        followed.owner = message.controller_id
        followed.incarnation = message.incarnation

    # -- replicas --------------------------------------------------------------------------

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
        followed.owner_last_number = max(
            message.last_number, message.first_number - 1 + len(entries)
        )
        followed.positions = message.positions
        if followed.replica is not None:
            followed.replica = apply_entries(followed.replica, message.first_number, entries)
            if entries:
                followed.assembly = None  # the entries continued the replica: no snapshot needed

    def _add_snapshot_part(self, followed: FollowedShard, message: SnapshotPart) -> None:
        state = msgspec.json.decode(unpack(message.payload, message.checksum), type=Snapshot)
        replica = followed.replica
        if replica is not None and replica.last_number >= message.last_number:
            return  # delayed or duplicate: the replica already includes this snapshot
        assembly = self._assembly_for(followed, message)
        if assembly is None:
            return
        if message.part_index == len(assembly.parts):
            assembly.parts.append(state)
        if len(assembly.parts) == message.part_count:
            self._start_replica(followed, message, join_parts(assembly.parts))

    def _assembly_for(
        self, followed: FollowedShard, message: SnapshotPart
    ) -> SnapshotAssembly | None:
        """Return the snapshot that a part belongs to, or None if its first part is missing."""
        assembly = followed.assembly
        if assembly is not None and (assembly.token, assembly.last_number) == (
            message.token,
            message.last_number,
        ):
            return assembly
        if message.part_index == 0:
            followed.assembly = SnapshotAssembly(message.token, message.last_number, [])
            return followed.assembly
        # A snapshot without its first part cannot be used. If the part is of a newer snapshot than
        # the one being received, drop the latter, so that the response requests a new snapshot.
        if assembly is not None and assembly.last_number < message.last_number:
            followed.assembly = None
        return None

    def _start_replica(
        self, followed: FollowedShard, message: SnapshotPart, state: Snapshot
    ) -> None:
        followed.replica = Replica(message.shard_id, message.token, message.last_number, state)
        followed.assembly = None
        log.info(
            "replica started shard=%s token=%d entry=%d machines=%d",
            message.shard_id,
            message.token,
            message.last_number,
            len(state.machines),
        )

    def _update_lag(self, followed: FollowedShard, now: float) -> None:
        if self.lag(followed) == 0:
            followed.behind_since = None
        elif followed.behind_since is None:
            followed.behind_since = now

    def _acknowledgement(self, shard_id: str, followed: FollowedShard) -> Acknowledgement:
        replica, assembly = followed.replica, followed.assembly
        last_number = replica.last_number if replica is not None else NO_REPLICA
        if assembly is not None and assembly.last_number > last_number:
            needed_part = len(assembly.parts)
        else:
            needed_part = NO_PART_NEEDED if replica is not None else 0
        return Acknowledgement(
            self.controller_id, shard_id, followed.token, last_number, needed_part
        )

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
