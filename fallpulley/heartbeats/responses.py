"""Responses to heartbeats: whether a machine may get one, and the commands in it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import PendingResponse
from fallpulley.jobs.messages import Submission
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.plan import Booking
from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import HeartbeatResponse, TaskCommand

# How many responses a machine of a shard just acquired may get before it has reported this owner's
# token.
MAX_UNCONFIRMED_RESPONSES = 3
# Delay after which a refused machine may try again, sent as the Retry-After header.
RETRY_AFTER_SECONDS = 1.0
# Lower bound of a machine type's image bandwidth, in GB per second; prevents a division by zero.
MIN_FETCH_GB_PER_SECOND = 1e-3
# Bound to a module name because it is read for nearly every heartbeat.
_OK = HTTPStatus.OK


class HeartbeatResponder:
    """Responds to heartbeats of owned shards' machines; each response renews a machine's lease."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        writer: ShardWriter,
        owned_shards: OwnedShards,
        may_respond_to_machines: Callable[[], bool],
        certainly_owned_at: Callable[[], float],
    ) -> None:
        """Create a responder.

        `may_respond_to_machines` tells whether this controller is within its response window, so
        that it may respond to machines; `certainly_owned_at` returns the latest time at which it
        certainly owned its shards.
        """
        self.context = context
        self.watch = watch
        self.registry = registry
        self.writer = writer
        self.owned_shards = owned_shards
        self.may_respond_to_machines = may_respond_to_machines
        self.certainly_owned_at = certainly_owned_at

    def respond_unavailable(self, pending_response: PendingResponse) -> None:
        """Refuse a heartbeat, which renews no lease; the machine then tries the next controller."""
        self.context.respond(
            pending_response, HTTPStatus.SERVICE_UNAVAILABLE, b"", RETRY_AFTER_SECONDS
        )

    def respond(
        self, pending_response: PendingResponse, agent: ShardAgent, machine: Machine, newer: bool
    ) -> None:
        """Respond to a heartbeat with the commands for its machine, or refuse it.

        `newer` tells whether the heartbeat was newer than the newest state known of the machine.
        """
        if not self._may_respond(agent.shard, machine):
            self.respond_unavailable(pending_response)
            return
        commands: list[TaskCommand] = []
        if machine.fencing.token_confirmed:
            # This response renews the lease, so it carries the stop commands even if the heartbeat
            # was overtaken by the response to a direct command and is not newer.
            commands = agent.commands.pending_commands(machine)
            if newer and self._may_start_tasks(agent.shard, machine):
                commands += self._start_commands(agent, machine)
        machine.heartbeat.responded_at = self.context.now
        body = msgspec.json.encode(HeartbeatResponse(machine.fencing.token, commands))
        self.context.respond(pending_response, _OK, body)

    def _may_respond(self, shard: Shard, machine: Machine) -> bool:
        if (
            self.owned_shards.shards.get(shard.shard_id) is not shard
            or machine.machine_id not in shard.machines
        ):
            return False
        if not self.may_respond_to_machines():
            return False  # the response window may have ended while the heartbeat waited
        if machine.machine_id not in shard.unreconciled or machine.fencing.token_confirmed:
            return True
        # The machine may hold tasks, and has not shown that this owner's responses reach it. Each
        # response may renew its lease, and so delays the time when it can be confirmed to hold no
        # tasks; until then, no job accepted before the failover is started. Without a limit, a
        # machine that no response reaches would delay this for ever.
        if machine.fencing.unconfirmed_responses >= MAX_UNCONFIRMED_RESPONSES:
            return False
        machine.fencing.unconfirmed_responses += 1
        return True

    def _may_start_tasks(self, shard: Shard, machine: Machine) -> bool:
        # The machine's own copy of the flag may be out of date, so the record's is checked too.
        occupied = machine.occupancy_flag and self.writer.is_occupied(
            shard.shard_id, machine.machine_id
        )
        return (
            machine.usable
            and occupied
            and self.watch.ready
            and machine.fencing.may_be_commanded(self.certainly_owned_at())
        )

    def _start_commands(self, agent: ShardAgent, machine: Machine) -> list[TaskCommand]:
        """Return the start commands for the tasks that are booked on the machine."""
        commands: list[TaskCommand] = []
        shard = agent.shard
        for booking in shard.bookings.pop(machine.machine_id, ()):
            job = shard.jobs.get(booking.job_id)
            if job is None or not _is_startable(job, booking):
                continue
            command = agent.commands.start(machine, job, booking, shard.estimate_run_s(job))
            if command is None:
                break
            commands.append(command)
            self._record_image(shard, machine, job.spec)
        return commands

    def _record_image(self, shard: Shard, machine: Machine, spec: Submission) -> None:
        """Record that the machine uses the job's image from now on, fetching it first if needed."""
        machine_type = self.registry.machine_types.get(machine.entry.machine_type)
        if machine_type is None:
            return
        images = machine.images
        if spec.image not in images.cached:
            # Images are fetched one after the other.
            fetch_begins_at = max([self.context.now, *images.fetching.values()])
            fetch_gb_per_s = max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_SECOND)
            images.fetching[spec.image] = fetch_begins_at + spec.image_gb / fetch_gb_per_s
            shard.decisions.image_cached(machine.machine_id, spec.image, spec.image_gb)
        images.add(spec.image, spec.image_gb, machine_type.cache_gb)


def _is_startable(job: OpenJob, booking: Booking) -> bool:
    """Return whether the job still needs the booked task to start."""
    return not (job.ended or booking.task_index in job.runs or job.is_completed(booking.task_index))
