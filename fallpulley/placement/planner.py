"""When held blocks are planned, and what becomes of a plan."""

from __future__ import annotations

from fallpulley.context import ControllerContext
from fallpulley.jobs.service import JobService
from fallpulley.placement.queue import plan_shard
from fallpulley.records.registry import Registry
from fallpulley.shards.agent import ShardAgent

# The next plan waits so many times what the last one took: a twentieth of the time is for
# planning. Where that would be longer than a part of a report interval, room would stand idle for
# what it saves: then up to a fifth of the time is.
PLAN_SHARE, PLAN_SHARE_LEAST = 20.0, 4.0
MAX_PLAN_INTERVALS = 0.15
# Plans lie at least so many report intervals apart: what comes between is planned together.
PLAN_REPORTS = 1.0 / 20.0
# Estimates run out while nothing happens: plan again at least every so many reports.
REPLAN_REPORTS = 1.0
# A machine whose next report is due within this share of an interval need not be prompted.
PROMPT_REPORTS = 0.25


class Planner:
    """Plans the held blocks in which something changed, as often as plans are cheap."""

    def __init__(self, context: ControllerContext, registry: Registry, jobs: JobService) -> None:
        self.context = context
        self.registry = registry
        self.jobs = jobs
        self.ready_at = float("-inf")  # the next plan is made from then on
        self._replan_at = float("-inf")

    def plan(self, agents: dict[str, ShardAgent]) -> bool:
        """Plan the blocks that need it, if it is time; says whether any was."""
        now = self.context.now
        if now < self.ready_at:
            return False
        replan = now >= self._replan_at
        began = self.context.clock()
        planned = [agent for agent in agents.values() if agent.shard.needs_replan or replan]
        for agent in planned:
            self._plan_one(agent)
        if planned:
            self._space(self.context.clock() - began)
        return bool(planned)

    def _plan_one(self, agent: ShardAgent) -> None:
        shard = agent.shard
        shard.needs_replan = False
        decision = plan_shard(shard, self.context, self.registry, self.jobs.teams)
        shard.bookings = decision.starts
        for preemption in decision.stops:
            agent.commands.preempt(preemption.machine_id, preemption.task_ids)
        self._prompt_reports(agent)

    def _space(self, took_s: float) -> None:
        report_s = self.context.timing.report_s
        wait_s = min(took_s * PLAN_SHARE, MAX_PLAN_INTERVALS * report_s)
        wait_s = max(wait_s, took_s * PLAN_SHARE_LEAST, PLAN_REPORTS * report_s)
        self.ready_at = self.context.now + wait_s
        self._replan_at = self.context.now + REPLAN_REPORTS * report_s

    def _prompt_reports(self, agent: ShardAgent) -> None:
        """Machines with new bookings are asked to report now instead of when it is their turn."""
        soon = self.context.now + PROMPT_REPORTS * self.context.timing.report_s
        for machine_id in agent.shard.bookings:
            machine = agent.shard.machines.get(machine_id)
            if (
                machine is not None
                and machine.heartbeat.received_at + self.context.timing.report_s > soon
            ):
                agent.direct.prompt_heartbeat(machine)
