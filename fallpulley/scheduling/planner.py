"""When the shards of a controller are planned, and what becomes of a plan."""

from __future__ import annotations

from fallpulley.context import ControllerContext
from fallpulley.jobs.service import JobService
from fallpulley.records.registry import Registry
from fallpulley.scheduling.shard_plan import plan_shard
from fallpulley.shards.agent import ShardAgent

# The next plan waits so many times what the last one took: a twentieth of the time is for
# planning. Where that would be longer than a part of a heartbeat interval, room would stand idle
# for what it saves: then up to a fifth of the time is.
WAIT_PER_PLAN_TIME, MIN_WAIT_PER_PLAN_TIME = 20.0, 4.0
MAX_WAIT_INTERVALS = 0.15
# Plans lie at least so many heartbeat intervals apart: what comes between is planned together.
MIN_WAIT_INTERVALS = 1.0 / 20.0
# Estimates run out while nothing happens: plan again at least every so many heartbeat intervals.
REPLAN_INTERVALS = 1.0
# A machine whose next heartbeat is due within this share of an interval need not be prompted.
PROMPT_INTERVALS = 0.25


class Planner:
    """Plans the shards in which something changed, as often as plans are cheap."""

    def __init__(self, context: ControllerContext, registry: Registry, jobs: JobService) -> None:
        self.context = context
        self.registry = registry
        self.jobs = jobs
        self.ready_at = float("-inf")  # the next plan is made from then on
        self._replan_at = float("-inf")

    def plan(self, agents: dict[str, ShardAgent]) -> bool:
        """Plan the shards that need it, if it is time; returns whether any was planned."""
        now = self.context.now
        if now < self.ready_at:
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
        """Plan one shard: its bookings go out with heartbeats, its stops at once."""
        shard = agent.shard
        shard.needs_replan = False
        decision = plan_shard(shard, self.context, self.registry, self.jobs.teams)
        shard.bookings = decision.starts
        for preemption in decision.preemptions:
            agent.commands.preempt(preemption.machine_id, preemption.task_ids)
        self._prompt_heartbeats(agent)

    def _schedule_next(self, plan_s: float) -> None:
        """Set the time of the next plan by what this one took."""
        interval_s = self.context.timing.heartbeat_interval_s
        wait_s = min(plan_s * WAIT_PER_PLAN_TIME, MAX_WAIT_INTERVALS * interval_s)
        wait_s = max(wait_s, plan_s * MIN_WAIT_PER_PLAN_TIME, MIN_WAIT_INTERVALS * interval_s)
        self.ready_at = self.context.now + wait_s
        self._replan_at = self.context.now + REPLAN_INTERVALS * interval_s

    def _prompt_heartbeats(self, agent: ShardAgent) -> None:
        """Ask machines with new bookings for a heartbeat now, unless theirs is due soon."""
        interval_s = self.context.timing.heartbeat_interval_s
        soon = self.context.now + PROMPT_INTERVALS * interval_s
        for machine_id in agent.shard.bookings:
            machine = agent.shard.machines.get(machine_id)
            if machine is not None and machine.heartbeat.received_at + interval_s > soon:
                agent.direct.prompt_heartbeat(machine)
