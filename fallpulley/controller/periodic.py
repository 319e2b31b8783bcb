"""Periodic work of every step, of every tick and of every heartbeat to the peers."""

from __future__ import annotations

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.controller.health import Health
from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extensions
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.heartbeats.handler import HeartbeatHandler
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.messages import MachineRequest, TaskCount
from fallpulley.mesh.peers import Peers
from fallpulley.mesh.task_counts import TaskCountRotation
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
        peers: Peers,
        health: Health,
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
        self.peers = peers
        self.health = health
        self.owned_shards = owned_shards
        self.extensions = extensions
        # Requests for machines that the next heartbeat carries.
        self._machine_requests: list[MachineRequest] = []
        self._task_counts = TaskCountRotation()
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
        if self.peers.is_heartbeat_due():
            self._exchange_with_peers(term is not None)

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
        machine_requests = self.autoscaler.tick(agent.shard, leading)
        if machine_requests:
            self._machine_requests += machine_requests

    def _exchange_with_peers(self, leading: bool) -> None:
        task_counts = self._current_task_counts()
        if leading:
            self.provider.target_sizes = self.balancer.target_sizes()
        if not self.extensions.balances_shards:
            self.balancer.rebalance(self.owned_shards.shards)
        self.peers.send_heartbeat(
            self.health.staleness_s(),
            task_counts,
            self._machine_requests,
            self.provider.target_sizes,
        )
        self._machine_requests = []
        if leading and (refusals := self.provider.refusals_to_announce()):
            self.peers.send_rental_refusals(refusals)

    def _current_task_counts(self) -> list[TaskCount]:
        """Return the task counts that the next heartbeat carries, as many as fit.

        Also updates the job service's counts of all owned jobs.
        """
        task_counts = {}
        for shard in self.owned_shards.shards.values():
            for job in shard.jobs.values():
                if not job.ended:
                    task_counts[job.job_id] = (job.progress.completed.count, len(job.runs))
        self.jobs.task_counts.update(task_counts)
        return self._task_counts.next_entries(task_counts)
