"""Periodic work of every step and of every tick."""

from __future__ import annotations

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.controller.peer_exchange import PeerExchange
from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extensions
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.heartbeats.handler import HeartbeatHandler
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.persistence.job_persistence import JobPersistence
from fallpulley.scheduling.planner import Planner
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache

# Time from one tick to the next, in heartbeat intervals of the workers.
TICK_INTERVAL_HEARTBEATS = 1.0 / 15.0
# Time from one comparison of all occupancy flags with the machines to the next, in heartbeat
# intervals of the workers. In between, only machines that changed are compared: comparing all of
# them in every tick took a tenth of an owner's time.
OCCUPANCY_INTERVAL_HEARTBEATS = 0.5


class PeriodicTasks:
    """Runs the work that is due in a fixed order, since later tasks act on earlier decisions."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        writer: ShardWriter,
        provider: MachineProvider,
        autoscaler: Autoscaler,
        jobs: JobService,
        persistence: JobPersistence,
        planner: Planner,
        occupancy: OccupancyFlags,
        balancer: ShardBalancer,
        heartbeats: HeartbeatHandler,
        peer_exchange: PeerExchange,
        owned_shards: OwnedShards,
        extensions: Extensions,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.autoscaler = autoscaler
        self.jobs = jobs
        self.persistence = persistence
        self.planner = planner
        self.occupancy = occupancy
        self.balancer = balancer
        self.heartbeats = heartbeats
        self.peer_exchange = peer_exchange
        self.owned_shards = owned_shards
        self.extensions = extensions
        self._next_tick_at = float("-inf")
        self._next_occupancy_at = float("-inf")

    def run(self) -> None:
        """Do the work of every step and, when one is due, of a tick."""
        self.watch.tick(self.context.now)
        self.session.tick()
        for extension in self.extensions:
            extension.on_step()
        self.heartbeats.retry_awaiting_grant()
        # Work that goes over all machines and jobs is done at intervals, not in every step: each
        # batch of commands that arrives causes a step.
        if self.context.now < self._next_tick_at:
            return
        self._next_tick_at = (
            self.context.now + TICK_INTERVAL_HEARTBEATS * self.context.timing.heartbeat_interval_s
        )
        self.heartbeats.recheck_deferred()
        self._tick()

    def plan(self) -> None:
        """Plan the shards in which something changed; called in every step, after `run`."""
        if self.watch.ready and self.planner.plan(self.owned_shards.agents):
            self.heartbeats.recheck_deferred()

    def _tick(self) -> None:
        self.leadership.tick()
        term = self.leadership.term
        for extension in self.extensions:
            extension.on_leadership_checked()
        if term is not None:
            self.provider.tick(term)
        occupancy_due = self.context.now >= self._next_occupancy_at
        if occupancy_due:
            interval_s = OCCUPANCY_INTERVAL_HEARTBEATS * self.context.timing.heartbeat_interval_s
            self._next_occupancy_at = self.context.now + interval_s
        for agent in self.owned_shards.agents.values():
            self._tick_shard(agent, occupancy_due, term is not None)
        for extension in self.extensions:
            extension.on_shards_checked()
        self.writer.tick()
        self.peer_exchange.tick(term is not None)

    def _tick_shard(self, agent: ShardAgent, occupancy_due: bool, leading: bool) -> None:
        shard = agent.shard
        agent.lease_expiry.expire(self.watch.fresh_at)
        agent.stop_broken_gangs()
        self.balancer.hand_off_if_unreachable(shard)
        if occupancy_due:
            self.occupancy.update_all(shard)
        elif shard.occupancy_due:
            self.occupancy.update_due(shard)
        if shard.unreconciled:
            agent.fencing_prober.tick(self.writer.addresses)
        self._request_record_rewrite(agent)
        self.persistence.tick(shard, self.jobs.cancelled_dependents.get(shard.shard_id, {}))
        if self.session.is_live():
            self._scale(agent, leading)

    def _request_record_rewrite(self, agent: ShardAgent) -> None:
        """Request a rewrite of the shard's record if one is needed, even without a change to it."""
        shard = agent.shard
        if shard.previous_owners_expired():
            self.writer.drop_previous_owners(shard.shard_id)
        outdated = (
            self.context.record_format.compact
            and shard.shard_id in self.registry.first_format_shards
        )
        if shard.needs_new_revision or outdated:
            self.writer.request_new_revision(shard.shard_id)

    def _scale(self, agent: ShardAgent, leading: bool) -> None:
        if agent.shard.unreconciled and leading:
            self.autoscaler.release_unreachable(agent.shard)
        self.peer_exchange.add_machine_requests(self.autoscaler.tick(agent.shard, leading))
