"""The work of the leader, and the changes of shard owners that every controller makes."""

from __future__ import annotations

from typing import Protocol

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.format_agreement import FormatAgreement
from fallpulley.membership.leader_election import ElectionPolicy, LeaderElection
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.membership.session import SessionLease
from fallpulley.membership.shard_assignment import ShardAssignment
from fallpulley.membership.shard_creation import ShardCreation, ShardCreationPolicy
from fallpulley.shard_sizes import machines_per_shard
from fallpulley.shared_records.registry import Registry
from fallpulley.state.watch_cache import WatchCache


class LeadershipPolicy(ElectionPolicy, ShardCreationPolicy, Protocol):
    """The decisions about elections and new shards that extensions make."""


class Leadership:
    """Runs leader election, failover, creation of shards and agreement on the record format."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        policy: LeadershipPolicy,
    ) -> None:
        self.machines_per_shard = machines_per_shard(context.settings.facts)
        self._watch = watch
        self._session = session
        controller_ids = sorted(
            {context.controller_id, *(peer.controller_id for peer in context.settings.peers)}
        )
        writes = MembershipWrites(context)
        self._election = LeaderElection(context, watch, registry, session, policy, writes)
        self._assignment = ShardAssignment(context, watch, registry, session, writes)
        self._creation = ShardCreation(
            context, registry, self._assignment, policy, controller_ids, self.machines_per_shard
        )
        self._format_agreement = FormatAgreement(context, watch, registry, writes, controller_ids)

    @property
    def term(self) -> int | None:
        """The revision at which this process became leader, or None if it does not lead."""
        return self._election.term

    def tick(self) -> None:
        """Take the steps that are due, if this controller's session is live."""
        if not self._watch.ready or not self._session.is_live():
            return
        self._election.tick()
        leading = self.term is not None
        self._assignment.fail_over_shards(leading)
        if leading:
            self._creation.tick()
            self._format_agreement.tick()
        self._assignment.hand_off_surplus_shard()

    def hand_off(self, shard_id: str, new_owner: str) -> None:
        """Make another live controller the owner of a shard that this controller owns."""
        self._assignment.hand_off(shard_id, new_owner)
