"""The components that act on one shard that this controller owns."""

from __future__ import annotations

from fallpulley.controller_context import ControllerContext
from fallpulley.jobs.open_job import OpenJob
from fallpulley.shards import job_stops
from fallpulley.shards.commands import MachineCommands
from fallpulley.shards.direct_commands import DirectCommands
from fallpulley.shards.fencing_prober import FencingProber
from fallpulley.shards.heartbeat_intake import HeartbeatIntake
from fallpulley.shards.lease_expiry import LeaseExpiry
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import Heartbeat


class ShardAgent:
    """Commands the machines of one shard, applies their heartbeats, and watches their leases."""

    def __init__(self, context: ControllerContext, shard: Shard) -> None:
        self.shard = shard
        self.direct_commands = DirectCommands(context, shard, self._on_direct_status)
        self.commands = MachineCommands(context, shard, self.direct_commands)
        self.lease_expiry = LeaseExpiry(context, shard)
        self.intake = HeartbeatIntake(context, shard, self.commands, self.lease_expiry)
        self.fencing_prober = FencingProber(context, shard, self.direct_commands)

    def end_job(self, job: OpenJob, cancelled: bool) -> None:
        """Stop all tasks of a job whose record is final, and start no more of them."""
        job_stops.end_job(self.shard, self.commands, job, cancelled)

    def stop_broken_gangs(self) -> None:
        """Stop the remaining tasks of gangs that lost one, so that all of them restart together."""
        job_stops.stop_broken_gangs(self.shard, self.commands)

    def _on_direct_status(self, machine: Machine, status: Heartbeat) -> None:
        self.intake.handle_direct_status(machine, status)
