"""Changes of a shard's owner: failover and handoff."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.membership.session import SessionLease
from fallpulley.records.keys import SESSION_PREFIX, SHARD_PREFIX
from fallpulley.records.registry import Registry
from fallpulley.records.shard_record import OwnerProcess, ShardRecord
from fallpulley.records.versioned import Versioned
from fallpulley.state.transactions import Change
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A controller without a shard is handed one again after this many worker leases.
HAND_BACK_LEASES = 2.0


class ShardAssignment:
    """Every step is one transaction, conditioned on the revisions it was decided on.

    These are the shard's record, the sessions of the old and the new owner as they were seen
    (gone, or replaced by a newer process). Whoever comes second finds a revision changed.
    """

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        writes: MembershipWrites,
    ) -> None:
        self._context = context
        self._watch = watch
        self._registry = registry
        self._session = session
        self._writes = writes
        # The controller without a shard, and since when.
        self._without_shard_since: tuple[str, float] | None = None

    def fail_over_shards(self, leading: bool) -> None:
        """Acquire shards of an older process of ours and, if leading, of owners without session."""
        for shard_id, shard in self._registry.shards.items():
            record = shard.value
            of_older_process = (
                record.owner == self._context.controller_id
                and record.incarnation != self._context.incarnation
            )
            if of_older_process or (leading and not self._registry.owner_alive(record)):
                self._fail_over(shard_id, shard)

    def hand_off(self, shard_id: str, to: str) -> None:
        """Make another live controller the owner of a shard of ours."""
        key = SHARD_PREFIX + shard_id
        if to not in self._registry.sessions or not self._writes.begin(key):
            return
        record, shard_revision = self._registry.shards[shard_id]
        session, session_revision = self._registry.sessions[to]
        log.info("shard handoff started shard=%s to=%s", shard_id, to)
        conditions = {key: shard_revision, SESSION_PREFIX + to: session_revision}
        changed = _with_owner(record, to, session.incarnation, self._previous_owners(record))
        self._write_record(key, conditions, changed)

    def hand_back_spare_shard(self) -> None:
        """Owning several shards after a failover, hand one to a controller without any, once
        it has been back for a while. To the new owner this is a failover like any other."""
        owned = self._owned_shards()
        to = self.controller_without_shard() if len(owned) > 1 else None
        if to is None or to == self._context.controller_id:
            self._without_shard_since = None
            return
        if self._without_shard_since is None or self._without_shard_since[0] != to:
            self._without_shard_since = (to, self._context.now)
        hand_back_after_s = HAND_BACK_LEASES * self._context.timing.lease_s
        if self._context.now - self._without_shard_since[1] >= hand_back_after_s:
            self.hand_off(to if to in owned else max(owned), to)

    def open_shard(self, shard_id: str, owner: str) -> None:
        """Create a shard without machines for a live controller."""
        key = SHARD_PREFIX + shard_id
        if not self._writes.begin(key):
            return
        session, session_revision = self._registry.sessions[owner]
        conditions = {key: 0, SESSION_PREFIX + owner: session_revision}
        self._write_record(key, conditions, ShardRecord(owner, session.incarnation, {}))

    def controller_without_shard(self) -> str | None:
        """A live controller that owns no shard, ourselves first."""
        owners = {record.owner for record, _ in self._registry.shards.values()}
        free = sorted(set(self._registry.sessions) - owners)
        if self._context.controller_id in free:
            return self._context.controller_id
        return next(iter(free), None)

    def _owned_shards(self) -> list[str]:
        this_process = (self._context.controller_id, self._context.incarnation)
        return [
            shard_id
            for shard_id, (record, _) in self._registry.shards.items()
            if (record.owner, record.incarnation) == this_process
        ]

    def _fail_over(self, shard_id: str, shard: Versioned[ShardRecord]) -> None:
        key = SHARD_PREFIX + shard_id
        if not self._writes.begin(key):
            return
        record = shard.value
        log.info(
            "shard failover started shard=%s from=%s token=%d",
            shard_id,
            record.owner,
            shard.mod_revision,
        )
        old_session_key = SESSION_PREFIX + record.owner
        conditions = {
            key: shard.mod_revision,
            self._session.key: self._watch.mod_revision(self._session.key),
            old_session_key: self._watch.mod_revision(old_session_key),
        }
        incarnation = self._context.incarnation
        previous_owners = [
            previous
            for previous in self._previous_owners(record)
            if previous.incarnation != incarnation
        ]
        changed = _with_owner(record, self._context.controller_id, incarnation, previous_owners)
        self._write_record(key, conditions, changed)

    def _previous_owners(self, record: ShardRecord) -> list[OwnerProcess]:
        return self._registry.previous_owners(
            record, self._context.controller_id, self._context.incarnation
        )

    def _write_record(self, key: str, conditions: dict[str, int], record: ShardRecord) -> None:
        """Its pages stay as they are: one write, however many machines there are."""
        record_format = self._context.record_format
        value = record.encode(record_format.compact, record_format.value_bytes)
        self._writes.send(conditions, Change(key, value))


def _with_owner(
    record: ShardRecord, owner: str, incarnation: str, previous_owners: list[OwnerProcess]
) -> ShardRecord:
    return msgspec.structs.replace(
        record, owner=owner, incarnation=incarnation, previous_owners=previous_owners
    )
