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


class Holder(msgspec.Struct, frozen=True):
    """Who holds a block by the records, and the newest stamp of its record."""

    label: str
    boot: str
    stamp: int


HolderOf = Callable[[str], Holder | None]


class Followed(msgspec.Struct):
    """What is known of a block that somebody else holds."""

    token: int = 0  # the highest seen: messages under a lower one are of a replaced holder
    holder: str = ""
    boot: str = ""
    replica: Replica | None = None
    assembly: Assembly | None = None
    newest: int = 0  # the holder's newest entry, as it last said
    heard_at: float = float("-inf")
    behind_since: float | None = None
    positions: dict[str, int] = {}  # of all followers, as the holder last said


class Follower:
    """Keeps the replicas of one controller."""

    def __init__(self, label: str, holder_of: HolderOf) -> None:
        self.label = label
        self.blocks: dict[str, Followed] = {}
        self.dropped: dict[str, int] = {}  # why -> how many messages
        self._holder_of = holder_of

    def _token_above(self, followed: Followed, message: LogBatch | SnapshotPart) -> int | None:
        """A token of the block that shows that the message's sender was replaced; None: it was
        not, as far as is known here."""
        if message.token < followed.token:
            return followed.token
        holder = self._holder_of(message.block)
        if holder is None or (holder.label, holder.boot) == (message.label, message.boot):
            return None
        # Not the holder that the records show here: a later one, or one from before.
        return None if message.token > holder.stamp else holder.stamp

    def take(
        self, message: LogBatch | SnapshotPart, now: float
    ) -> Acknowledgement | Replaced | None:
        """Bring a replica up to date; the answer for the holder, or None for a dropped message."""
        followed = self.blocks.setdefault(message.block, Followed())
        if message.format != FORMAT:
            self._drop("format", message)
            return None
        above = self._token_above(followed, message)
        if above is not None:
            self._drop("replaced", message)
            return Replaced(self.label, message.block, above)
        if message.token > followed.token:
            followed.token = message.token
            followed.replica = None
            followed.assembly = None
        followed.holder = message.label
        followed.boot = message.boot
        followed.heard_at = now
        try:
            if isinstance(message, SnapshotPart):
                self._take_part(followed, message)
            else:
                self._take_batch(followed, message)
        except (PayloadError, msgspec.MsgspecError) as error:
            self._drop("damaged", message, str(error))
            followed.replica = None
            followed.assembly = None
        except GapError as error:
            self._drop("gap", message, str(error))
            followed.replica = None
        self._note_lag(followed, now)
        return self._answer(message.block, followed)

    def _take_batch(self, followed: Followed, message: LogBatch) -> None:
        entries = msgspec.json.decode(unpack(message.payload, message.checksum), type=list[Entry])
        followed.newest = max(message.last, message.first - 1 + len(entries))
        followed.positions = message.positions
        if followed.replica is not None:
            followed.replica = apply(followed.replica, message.first, entries)
            if entries:
                followed.assembly = None  # the log goes on: no snapshot is needed any more

    def _take_part(self, followed: Followed, message: SnapshotPart) -> None:
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
            followed.replica = Replica(message.block, message.token, message.last, state)
            followed.assembly = None
            log.info(
                "replica begins block=%s term=%d entry=%d machines=%d",
                message.block,
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

    def _answer(self, block: str, followed: Followed) -> Acknowledgement:
        replica, assembly = followed.replica, followed.assembly
        last = replica.last if replica is not None else -1
        if assembly is not None and assembly.last > last:
            part = len(assembly.parts)
        else:
            part = NO_SNAPSHOT if replica is not None else 0
        return Acknowledgement(self.label, block, followed.token, last, part)

    def _drop(self, why: str, message: LogBatch | SnapshotPart, detail: str = "") -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        log.info(
            "replication dropped why=%s block=%s from=%s term=%d %s",
            why,
            message.block,
            message.label,
            message.token,
            detail,
        )
