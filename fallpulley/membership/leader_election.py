"""Election of the leader: the controller that first writes the leader key becomes leader."""

from __future__ import annotations

from typing import Protocol

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.membership.session import SessionLease
from fallpulley.shared_records.keys import LEADER_KEY
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change
from fallpulley.state.watch_cache import WatchCache


class ElectionPolicy(Protocol):
    """The decisions about elections that extensions make."""

    def leader_claim_delay_s(self) -> float:
        """Return how long to wait before claiming a vacant leadership, in seconds."""


class LeaderElection:
    """Claims a vacant leadership.

    The leader key is attached to the lease of the leader's session and is deleted with it.
    """

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        policy: ElectionPolicy,
        writes: MembershipWrites,
    ) -> None:
        self._context = context
        self._watch = watch
        self._registry = registry
        self._session = session
        self._policy = policy
        self._writes = writes
        self._leaderless_since: float | None = None

    @property
    def term(self) -> int | None:
        """The revision at which this process became leader, or None if it does not lead."""
        if not self._session.is_live():
            return None
        return self._registry.leader_term(self._context.incarnation)

    def tick(self) -> None:
        """Claim the leadership if it is vacant or held by an older process of this controller."""
        if self._registry.leader is not None:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = self._context.now
        if self._older_process_leads() or self._vacant_long_enough():
            self._claim()

    def _older_process_leads(self) -> bool:
        leader = self._registry.leader
        return leader is not None and (
            leader.value.controller_id == self._context.controller_id
            and leader.value.incarnation != self._context.incarnation
        )

    def _vacant_long_enough(self) -> bool:
        """Return whether there is no leader and the delay set by the policy has passed."""
        since = self._leaderless_since
        return (
            since is not None and self._context.now >= since + self._policy.leader_claim_delay_s()
        )

    def _claim(self) -> None:
        if not self._writes.try_reserve(LEADER_KEY):
            return
        conditions = {
            LEADER_KEY: self._watch.mod_revision(LEADER_KEY),
            self._session.key: self._watch.mod_revision(self._session.key),
        }
        change = Change(LEADER_KEY, self._session.encoded_session, self._session.lease_id)
        self._writes.send(conditions, change)
