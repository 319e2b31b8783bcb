"""A follower's side: replicas of blocks that others hold, brought up to date by their messages."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from fallpulley.standby.entries import Entry
from fallpulley.standby.messages import (
    FORMAT,
    Acknowledgement,
    LogBatch,
    PayloadError,
    Replaced,
    SnapshotPart,
    unpack,
)
from fallpulley.standby.replica import GapError, Replica, Snapshot, apply, join

log = logging.getLogger(__name__)

NO_SNAPSHOT = -1


class Assembly(msgspec.Struct):
    """A snapshot of which some parts have come."""

    token: int
    last: int
    parts: list[Snapshot]


class Owner(msgspec.Struct, frozen=True):
    """Who holds a block by the records, and the newest stamp of its record."""

    controller_id: str
    incarnation: str
    mod_revision: int


OwnerOf = Callable[[str], Owner | None]


class Followed(msgspec.Struct):
    """What is known of a block that somebody else holds."""

    token: int = 0  # the highest seen: messages under a lower one are of a replaced holder
    owner: str = ""
    incarnation: str = ""
    replica: Replica | None = None
    assembly: Assembly | None = None
    newest: int = 0  # the holder's newest entry, as it last said
    heard_at: float = float("-inf")
    behind_since: float | None = None
    positions: dict[str, int] = {}  # of all followers, as the holder last said


class Follower:
    """Keeps the replicas of one controller."""

    def __init__(self, controller_id: str, holder_of: OwnerOf) -> None:
        self.controller_id = controller_id
        self.shards: dict[str, Followed] = {}
        self.dropped: dict[str, int] = {}  # why -> how many messages
        self._owner_of = holder_of

    def _token_above(self, followed: Followed, message: LogBatch | SnapshotPart) -> int | None:
        """A token of the block that shows that the message's sender was replaced; None: it was
        not, as far as is known here."""
        if message.token < followed.token:
            return followed.token
        owner = self._owner_of(message.shard_id)
        if owner is None or (owner.controller_id, owner.incarnation) == (
            message.controller_id,
            message.incarnation,
        ):
            return None
        # Not the holder that the records show here: a later one, or one from before.
        return None if message.token > owner.mod_revision else owner.mod_revision

    def receive(
        self, message: LogBatch | SnapshotPart, now: float
    ) -> Acknowledgement | Replaced | None:
        """Bring a replica up to date; the answer for the holder, or None for a dropped message."""
        followed = self.shards.setdefault(message.shard_id, Followed())
        if message.format != FORMAT:
            self._drop("format", message)
            return None
        above = self._token_above(followed, message)
        if above is not None:
            self._drop("replaced", message)
            return Replaced(self.controller_id, message.shard_id, above)
        if message.token > followed.token:
            followed.token = message.token
            followed.replica = None
            followed.assembly = None
        followed.owner = message.controller_id
        followed.incarnation = message.incarnation
        followed.heard_at = now
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
        self._note_lag(followed, now)
        return self._answer(message.shard_id, followed)

    def _apply_batch(self, followed: Followed, message: LogBatch) -> None:
        entries = msgspec.json.decode(unpack(message.payload, message.checksum), type=list[Entry])
        followed.newest = max(message.last, message.first - 1 + len(entries))
        followed.positions = message.positions
        if followed.replica is not None:
            followed.replica = apply(followed.replica, message.first, entries)
            if entries:
                followed.assembly = None  # the log goes on: no snapshot is needed any more

    def _add_snapshot_part(self, followed: Followed, message: SnapshotPart) -> None:
        state = msgspec.json.decode(unpack(message.payload, message.checksum), type=Snapshot)
        replica, assembly = followed.replica, followed.assembly
        if replica is not None and replica.last >= message.last:
            return  # a late copy
        key = (message.token, message.last)
        if assembly is None or (assembly.token, assembly.last) != key:
            if message.part:
                # Of a snapshot whose beginning has not come: one that is newer is asked for anew.
                if assembly is not None and assembly.last < message.last:
                    followed.assembly = None
                return
            assembly = followed.assembly = Assembly(*key, [])
        if message.part == len(assembly.parts):
            assembly.parts.append(state)
        if len(assembly.parts) == message.parts:
            state = join(assembly.parts)
            followed.replica = Replica(message.shard_id, message.token, message.last, state)
            followed.assembly = None
            log.info(
                "replica begins block=%s term=%d entry=%d machines=%d",
                message.shard_id,
                message.token,
                message.last,
                len(state.machines),
            )

    def _note_lag(self, followed: Followed, now: float) -> None:
        if self.lag(followed) == 0:
            followed.behind_since = None
        elif followed.behind_since is None:
            followed.behind_since = now

    def lag(self, followed: Followed) -> int:
        """Entries that the replica lacks; all of them where there is none."""
        if followed.replica is None:
            return followed.newest + 1
        return max(0, followed.newest - followed.replica.last)

    def _answer(self, shard_id: str, followed: Followed) -> Acknowledgement:
        replica, assembly = followed.replica, followed.assembly
        last = replica.last if replica is not None else -1
        if assembly is not None and assembly.last > last:
            part = len(assembly.parts)
        else:
            part = NO_SNAPSHOT if replica is not None else 0
        return Acknowledgement(self.controller_id, shard_id, followed.token, last, part)

    def _drop(self, why: str, message: LogBatch | SnapshotPart, detail: str = "") -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        log.info(
            "replication dropped why=%s block=%s from=%s term=%d %s",
            why,
            message.shard_id,
            message.controller_id,
            message.token,
            detail,
        )
