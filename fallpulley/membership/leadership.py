"""The leader, and who takes over or opens blocks."""

from __future__ import annotations

import itertools
import logging
from typing import Protocol

import msgspec

from fallpulley.balancing.shard_sizes import FULL_RECORD_SHARE, machines_per_shard, shards_needed
from fallpulley.context import ControllerContext
from fallpulley.membership.session import SessionLease
from fallpulley.records.formats import NEWEST_FORMAT
from fallpulley.records.registry import (
    FORMAT_KEY,
    LEADER_KEY,
    SESSION_PREFIX,
    SHARD_PREFIX,
    Registry,
)
from fallpulley.records.shard_record import FormatMarker, PreviousOwner, Session, ShardRecord
from fallpulley.state.transactions import Change, RequestPriority, Write
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A controller without a block gets one back after this many worker leases.
HAND_BACK_LEASES = 2.0


class LeadershipPolicy(Protocol):
    """What others want of leadership."""

    def hold_off_s(self) -> float:
        """How long to leave a free leadership to others, in seconds."""

    def shards_to_open(self) -> list[str]:
        """Controllers that are to have a shard whether or not the machines need one."""


class Leadership:
    """Every step is one transaction, conditioned on what it was decided on: the old holder's
    session key as it was seen (gone, or replaced by a newer process), the block's stamp and
    our own session. Whoever comes second finds a stamp changed."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        policy: LeadershipPolicy,
    ) -> None:
        self.context = context
        self.policy = policy
        self.watch = watch
        self.registry = registry
        self.session = session
        self.machines_per_shard = machines_per_shard(context.settings.facts)
        self._controller_ids = sorted(
            {context.controller_id, *(seed.controller_id for seed in context.settings.peers)}
        )
        self._writes_in_flight: dict[str, float] = {}
        self._without_shard_since: tuple[str, float] | None = None
        self._leaderless_since: float | None = None

    @property
    def term(self) -> int | None:
        """The term in which we lead, or None."""
        leader = self.registry.leader
        if (
            leader is None
            or leader[0].incarnation != self.context.incarnation
            or not self.session.is_live()
        ):
            return None
        return leader[1]

    def tick(self) -> None:
        if not self.watch.ready or not self.session.is_live():
            return
        leader = self.registry.leader
        ours_of_old = leader is not None and (
            leader[0].controller_id == self.context.controller_id
            and leader[0].incarnation != self.context.incarnation
        )
        if leader is not None:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = self.context.now
        if ours_of_old or self._leadership_is_free():
            self._claim_leadership()
        leading = self.term is not None
        for shard_id, (record, mod_revision) in self.registry.shards.items():
            ours = (
                record.owner == self.context.controller_id
                and record.incarnation != self.context.incarnation
            )
            if ours or (leading and not self.registry.owner_alive(record)):
                self._fail_over(shard_id, record, mod_revision)
        if leading:
            self._open_needed_shards()
            if self.registry.record_format < NEWEST_FORMAT:
                self._record_agreed_format()
        self._hand_back_spare_shard()

    def _leadership_is_free(self) -> bool:
        """Nobody leads, and whoever should go first has had the time."""
        since = self._leaderless_since
        return since is not None and self.context.now >= since + self.policy.hold_off_s()

    def _open_needed_shards(self) -> None:
        """Open as many blocks as the machines need, for controllers that hold none."""
        for named in self.policy.shards_to_open():
            self._open_shard(named, named)
        shards = self.registry.shards
        machines = sum(len(record.machines) for record, _ in shards.values())
        controllers = len(self.registry.sessions)
        if len(shards) < shards_needed(machines, controllers, self.machines_per_shard):
            shard_id = self._controller_without_shard()
            if shard_id is not None and shard_id not in shards:
                self._open_shard(shard_id, shard_id)
                return
        full_bytes = FULL_RECORD_SHARE * self.context.record_format.value_bytes
        if self.context.record_format.compact and self.registry.first_format_shards:
            return  # they shrink first: a second block would cost more than it carries
        if self.context.record_format.paged and not all(
            record.pages for record, _ in shards.values()
        ):
            return  # a record that is full is laid out in parts first
        if shards and all(self.registry.record_bytes[shard_id] > full_bytes for shard_id in shards):
            # However few controllers there are, the records must hold all machines.
            more = (f"{self.context.controller_id}.{number}" for number in itertools.count(2))
            names = itertools.chain(self._controller_ids, more)
            self._open_shard(
                next(name for name in names if name not in shards), self.context.controller_id
            )

    def _agreed_format(self) -> int:
        """The newest that all controllers have been seen to know: none comes back with a process
        that does not."""
        known = self.registry.known_formats
        if len(self._controller_ids) < self.context.settings.facts.nodes:
            return self.context.record_format.number
        agreed = min(known.get(shard_id, 0) for shard_id in self._controller_ids)
        return max(self.context.record_format.number, agreed)

    def _record_agreed_format(self) -> None:
        """From here on records may be written in a newer format. There is no way back; nothing
        waits for it."""
        agreed = self._agreed_format()
        if agreed <= self.registry.record_format or not self._begin_write(FORMAT_KEY):
            return
        log.info("records newer format is marked format=%d", agreed)
        self.context.state_client.write(
            Write(
                {FORMAT_KEY: self.watch.mod_revision(FORMAT_KEY)},
                [Change(FORMAT_KEY, msgspec.json.encode(FormatMarker(agreed)))],
                lambda result: self._end_write(FORMAT_KEY, f"format {result.status}"),
                RequestPriority.ACCEPT,
                isolated=True,
                expires_at=self.context.now + 0.9,
            )
        )

    def _controller_without_shard(self) -> str | None:
        """A live controller that holds no block, ourselves first."""
        owners = {record.owner for record, _ in self.registry.shards.values()}
        free = sorted(set(self.registry.sessions) - owners)
        return (
            self.context.controller_id
            if self.context.controller_id in free
            else next(iter(free), None)
        )

    def _hand_back_spare_shard(self) -> None:
        """Holding several blocks after a takeover, give one to a controller without any, once
        it has been back for a while. To the new holder this is a takeover like any other."""
        ours = [
            shard_id
            for shard_id, (record, _) in self.registry.shards.items()
            if (record.owner, record.incarnation)
            == (self.context.controller_id, self.context.incarnation)
        ]
        to = self._controller_without_shard() if len(ours) > 1 else None
        if to is None or to == self.context.controller_id:
            self._without_shard_since = None
            return
        if self._without_shard_since is None or self._without_shard_since[0] != to:
            self._without_shard_since = (to, self.context.now)
        if (
            self.context.now - self._without_shard_since[1]
            < HAND_BACK_LEASES * self.context.timing.lease_s
        ):
            return
        self.hand_off(to if to in ours else max(ours), to)

    def hand_off(self, shard_id: str, to: str) -> None:
        """Make another live controller the holder of a block of ours."""
        key = SHARD_PREFIX + shard_id
        if to not in self.registry.sessions or not self._begin_write(key):
            return
        record, mod_revision = self.registry.shards[shard_id]
        session, session_revision = self.registry.sessions[to]
        log.info("block given block=%s to=%s", shard_id, to)
        conditions = {key: mod_revision, SESSION_PREFIX + to: session_revision}
        previous_owners = self.registry.previous_owners(
            record, self.context.controller_id, self.context.incarnation
        )
        value = self._encode_for_owner(record, to, session.incarnation, previous_owners)
        self._write(key, conditions, value)

    def _begin_write(self, key: str) -> bool:
        """One write a key at a time; repeated when its answer is overdue."""
        now = self.context.now
        if now < self._writes_in_flight.get(key, float("-inf")):
            return False
        self._writes_in_flight[key] = now + 1.0
        return True

    def _end_write(self, key: str, what: str) -> None:
        log.debug("leadership write key=%s %s", key, what)
        self._writes_in_flight[key] = self.context.now + 0.2

    def _claim_leadership(self) -> None:
        if not self._begin_write(LEADER_KEY):
            return
        value = msgspec.json.encode(
            Session(
                self.context.controller_id, self.context.incarnation, self.session.record_format
            )
        )
        self.context.state_client.write(
            Write(
                {
                    LEADER_KEY: self.watch.mod_revision(LEADER_KEY),
                    self.session.key: self.watch.mod_revision(self.session.key),
                },
                [Change(LEADER_KEY, value, self.session.lease_id)],
                lambda result: self._end_write(LEADER_KEY, f"lead {result.status}"),
                RequestPriority.RENEWAL,
                isolated=True,
                expires_at=self.context.now + 0.9,
            )
        )

    def _fail_over(self, shard_id: str, record: ShardRecord, mod_revision: int) -> None:
        key = SHARD_PREFIX + shard_id
        if not self._begin_write(key):
            return
        log.info("takeover begins block=%s from=%s term=%d", shard_id, record.owner, mod_revision)
        old = SESSION_PREFIX + record.owner
        conditions = {
            key: mod_revision,
            self.session.key: self.watch.mod_revision(self.session.key),
            old: self.watch.mod_revision(old),
        }
        previous_owners = self.registry.previous_owners(
            record, self.context.controller_id, self.context.incarnation
        )
        previous_owners = [
            previous
            for previous in previous_owners
            if previous.incarnation != self.context.incarnation
        ]
        value = self._encode_for_owner(
            record, self.context.controller_id, self.context.incarnation, previous_owners
        )
        self._write(key, conditions, value)

    def _open_shard(self, shard_id: str, owner: str) -> None:
        key = SHARD_PREFIX + shard_id
        if not self._begin_write(key):
            return
        session, mod_revision = self.registry.sessions[owner]
        conditions = {key: 0, SESSION_PREFIX + owner: mod_revision}
        empty = ShardRecord(owner, session.incarnation, {})
        self._write(key, conditions, self._encode_for_owner(empty, owner, session.incarnation, []))

    def _encode_for_owner(
        self,
        record: ShardRecord,
        owner: str,
        incarnation: str,
        previous_owners: list[PreviousOwner],
    ) -> bytes:
        """The record under another holder. Its parts stay as they are: one write, however many
        machines there are."""
        changed = msgspec.structs.replace(
            record, owner=owner, incarnation=incarnation, previous_owners=previous_owners
        )
        return changed.encode(
            self.context.record_format.compact, self.context.record_format.value_bytes
        )

    def _write(self, key: str, conditions: dict[str, int], value: bytes) -> None:
        self.context.state_client.write(
            Write(
                conditions,
                [Change(key, value)],
                lambda result: self._end_write(key, f"take {result.status}"),
                RequestPriority.RENEWAL,
                isolated=True,
                expires_at=self.context.now + 0.9,
            )
        )
