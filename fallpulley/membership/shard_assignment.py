"""Changes of a shard's owner: creation, failover and handoff."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.membership.session import SessionLease
from fallpulley.shared_records.keys import SESSION_PREFIX, SHARD_PREFIX
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import OwnerProcess, ShardRecord
from fallpulley.shared_records.versioned import Versioned
from fallpulley.state.transactions import Change
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A controller must have been without a shard for this many worker leases before it is handed one.
SURPLUS_HANDOFF_LEASES = 2.0


class ShardAssignment:
    """Creates shards and changes their owners, each time in one conditional transaction.

    The conditions are the revisions on which the decision was based: those of the shard's record
    and of the new owner's session, and in a failover also that of the old owner's session, which
    is gone or belongs to a newer process. If two controllers write at once, the second write finds
    a revision changed and fails.
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
        # The controller that is to be handed a surplus shard, and since when it has had none.
        self._without_shard_since: tuple[str, float] | None = None

    def fail_over_shards(self, leading: bool) -> None:
        """Acquire the shards whose owner has ended.

        Every controller acquires those of its own older processes; the leader also those of owners
        without a session.
        """
        for shard_id, shard in self._registry.shards.items():
            record = shard.value
            owned_by_older_process = (
                record.owner == self._context.controller_id
                and record.incarnation != self._context.incarnation
            )
            if owned_by_older_process or (leading and not self._registry.is_owner_alive(record)):
                self._fail_over(shard_id, shard)

    def hand_off(self, shard_id: str, new_owner: str) -> None:
        """Make another live controller the owner of a shard that this controller owns.

        Does nothing if that controller has no session, or if another write of the shard's record
        is pending.
        """
        key = SHARD_PREFIX + shard_id
        if new_owner not in self._registry.sessions or not self._writes.try_reserve(key):
            return
        record, shard_revision = self._registry.shards[shard_id]
        session, session_revision = self._registry.sessions[new_owner]
        log.info("shard handoff started shard=%s to=%s", shard_id, new_owner)
        conditions = {key: shard_revision, SESSION_PREFIX + new_owner: session_revision}
        changed = _with_owner(record, new_owner, session.incarnation, self._previous_owners(record))
        self._write_record(key, conditions, changed)

    def hand_off_surplus_shard(self) -> None:
        """Hand one of several owned shards to a controller that has none.

        This restores the distribution after a failover, once the controller has been live without a
        shard for `SURPLUS_HANDOFF_LEASES`. The new owner proceeds as after any failover.
        """
        owned = self._owned_shard_ids()
        new_owner = self.controller_without_shard() if len(owned) > 1 else None
        if new_owner is None or new_owner == self._context.controller_id:
            self._without_shard_since = None
            return
        if self._without_shard_since is None or self._without_shard_since[0] != new_owner:
            self._without_shard_since = (new_owner, self._context.now)
        handoff_delay_s = SURPLUS_HANDOFF_LEASES * self._context.timing.lease_s
        if self._context.now - self._without_shard_since[1] >= handoff_delay_s:
            self.hand_off(new_owner if new_owner in owned else max(owned), new_owner)

    def create_shard(self, shard_id: str, owner: str) -> None:
        """Create a shard without machines, owned by a live controller."""
        key = SHARD_PREFIX + shard_id
        if not self._writes.try_reserve(key):
            return
        session, session_revision = self._registry.sessions[owner]
        conditions = {key: 0, SESSION_PREFIX + owner: session_revision}
        self._write_record(key, conditions, ShardRecord(owner, session.incarnation, {}))

    def controller_without_shard(self) -> str | None:
        """Return a live controller that owns no shard, preferably this one; None if all own one."""
        owners = {record.owner for record, _ in self._registry.shards.values()}
        free = sorted(set(self._registry.sessions) - owners)
        if self._context.controller_id in free:
            return self._context.controller_id
        return next(iter(free), None)

    def _owned_shard_ids(self) -> list[str]:
        this_process = (self._context.controller_id, self._context.incarnation)
        return [
            shard_id
            for shard_id, (record, _) in self._registry.shards.items()
            if (record.owner, record.incarnation) == this_process
        ]

    def _fail_over(self, shard_id: str, shard: Versioned[ShardRecord]) -> None:
        key = SHARD_PREFIX + shard_id
        if not self._writes.try_reserve(key):
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
        """Write a shard's record, but not the pages that list its machines.

        This takes one write, however many machines the shard has.
        """
        record_format = self._context.record_format
        value = record.encode(record_format.compact, record_format.max_value_bytes)
        self._writes.send(conditions, Change(key, value))


def _with_owner(
    record: ShardRecord, owner: str, incarnation: str, previous_owners: list[OwnerProcess]
) -> ShardRecord:
    return msgspec.structs.replace(
        record, owner=owner, incarnation=incarnation, previous_owners=previous_owners
    )
