"""Decides when the shards of a controller are planned, and carries the plans out."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.service import JobService
from fallpulley.scheduling.shard_plan import plan_shard
from fallpulley.shards.agent import ShardAgent
from fallpulley.shared_records.registry import Registry

# The wait before the next plan, as multiples of the duration of the last one. With the first one,
# planning takes about a twentieth of the time. The wait is limited to MAX_WAIT_INTERVALS heartbeat
# intervals, since free resources stay idle during it, but it is never shorter than the second
# multiple, with which planning takes a fifth of the time.
WAIT_PER_PLAN_TIME, MIN_WAIT_PER_PLAN_TIME = 20.0, 4.0
MAX_WAIT_INTERVALS = 0.15
# The least wait in heartbeat intervals: changes that arrive during it are planned together.
MIN_WAIT_INTERVALS = 1.0 / 20.0
# All shards are planned at least once in this many heartbeat intervals, even if no event arrives:
# running tasks pass their estimated ends meanwhile, which changes the plan.
REPLAN_INTERVALS = 1.0
# A machine whose next heartbeat is due within this share of an interval is not asked for one.
PROMPT_INTERVALS = 0.25


class Planner:
    """Plans the shards in which something changed, less often if planning takes long."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        jobs: JobService,
        certainly_owned_at: Callable[[], float],
    ) -> None:
        """Create a planner.

        `certainly_owned_at` returns the latest time at which this controller certainly owned its
        shards.
        """
        self.context = context
        self.certainly_owned_at = certainly_owned_at
        self.registry = registry
        self.jobs = jobs
        self.next_plan_at = float("-inf")  # no plan is made earlier
        self._replan_at = float("-inf")

    def plan(self, agents: dict[str, ShardAgent]) -> bool:
        """Plan the shards that need it, unless it is too early; return whether any was planned."""
        now = self.context.now
        if now < self.next_plan_at:
            return False
        replan = now >= self._replan_at
        began = self.context.clock()
        planned = [agent for agent in agents.values() if agent.shard.needs_replan or replan]
        for agent in planned:
            self._plan_shard(agent)
        if planned:
            self._schedule_next(self.context.clock() - began)
        return bool(planned)

    def _plan_shard(self, agent: ShardAgent) -> None:
        """Plan one shard: send stops at once, starts with the responses to heartbeats."""
        shard = agent.shard
        shard.needs_replan = False
        decision = plan_shard(
            shard, self.context, self.registry, self.jobs.teams, self.certainly_owned_at()
        )
        shard.bookings = decision.starts
        for preemption in decision.preemptions:
            agent.commands.preempt(preemption.machine_id, preemption.task_ids)
        self._prompt_heartbeats(agent)

    def _schedule_next(self, plan_s: float) -> None:
        """Set the time of the next plan from the duration of this one."""
        interval_s = self.context.timing.heartbeat_interval_s
        wait_s = min(plan_s * WAIT_PER_PLAN_TIME, MAX_WAIT_INTERVALS * interval_s)
        wait_s = max(wait_s, plan_s * MIN_WAIT_PER_PLAN_TIME, MIN_WAIT_INTERVALS * interval_s)
        self.next_plan_at = self.context.now + wait_s
        self._replan_at = self.context.now + REPLAN_INTERVALS * interval_s

    def _prompt_heartbeats(self, agent: ShardAgent) -> None:
        """Ask machines with bookings for a heartbeat now, unless their next one is due soon."""
        interval_s = self.context.timing.heartbeat_interval_s
        soon = self.context.now + PROMPT_INTERVALS * interval_s
        for machine_id in agent.shard.bookings:
            machine = agent.shard.machines.get(machine_id)
            if machine is not None and machine.heartbeat.received_at + interval_s > soon:
                agent.direct_commands.prompt_heartbeat(machine)
