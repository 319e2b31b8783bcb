"""The leader's work, and what each controller does for the ownership of shards."""

from __future__ import annotations

from typing import Protocol

from fallpulley.context import ControllerContext
from fallpulley.membership.format_agreement import FormatAgreement
from fallpulley.membership.leader_election import ElectionPolicy, LeaderElection
from fallpulley.membership.membership_writes import MembershipWrites
from fallpulley.membership.session import SessionLease
from fallpulley.membership.shard_assignment import ShardAssignment
from fallpulley.membership.shard_opening import OpeningPolicy, ShardOpening
from fallpulley.records.registry import Registry
from fallpulley.shard_sizes import machines_per_shard
from fallpulley.state.watch_cache import WatchCache


class LeadershipPolicy(ElectionPolicy, OpeningPolicy, Protocol):
    """What others want of leadership."""


class Leadership:
    """Runs leader election, failover, opening of shards and agreement on the record format."""

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
        self._opening = ShardOpening(
            context, registry, self._assignment, policy, controller_ids, self.machines_per_shard
        )
        self._formats = FormatAgreement(context, watch, registry, writes, controller_ids)

    @property
    def term(self) -> int | None:
        """The revision at which this process became leader, or None if it does not lead."""
        return self._election.term

    def tick(self) -> None:
        """Do what is needed now, while our session lives."""
        if not self._watch.ready or not self._session.is_live():
            return
        self._election.tick()
        leading = self.term is not None
        self._assignment.fail_over_shards(leading)
        if leading:
            self._opening.tick()
            self._formats.tick()
        self._assignment.hand_back_spare_shard()

    def hand_off(self, shard_id: str, to: str) -> None:
        """Make another live controller the owner of a shard of ours."""
        self._assignment.hand_off(shard_id, to)
