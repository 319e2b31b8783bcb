"""Moves of machines between shards, and handoffs of shards whose owner gets no heartbeats."""

from __future__ import annotations

import logging

from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.peers import Peers
from fallpulley.shard_sizes import target_sizes
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter

log = logging.getLogger(__name__)

# Time without a heartbeat from any machine after which an owner hands its shard off, in worker
# leases: less than one, so that the new owner can renew the leases in time.
MAX_HEARTBEAT_GAP_LEASES = 0.4
# Largest share of a shard's machines that is moved to another shard at once. When machines were
# moved one at a time, spreading a shard of thousands of machines took most of an hour.
MAX_MOVED_SHARE = 0.1


class ShardBalancer:
    """Keeps shards near their target sizes, and owned by controllers that their machines reach."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        writer: ShardWriter,
        provider: MachineProvider,
        jobs: JobService,
        peers: Peers,
    ) -> None:
        self.context = context
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.jobs = jobs
        self.peers = peers

    def hand_off_if_unreachable(self, shard: Shard) -> None:
        """Hand a shard off to a peer if no machine's heartbeats have arrived recently.

        As this controller still reaches the state service and the peer, the fault may lie between
        it and the machines. They may reach the peer in time to have their leases renewed. A shard
        whose machines are all offline already is kept.
        """
        max_gap_s = MAX_HEARTBEAT_GAP_LEASES * self.context.timing.lease_s
        if self.context.now - shard.last_heartbeat_at < max_gap_s:
            return
        if not self.session.is_live() or not any(
            machine.heartbeat.online for machine in shard.machines.values()
        ):
            return
        peers = sorted(
            controller_id
            for controller_id in self.registry.sessions
            if controller_id != self.context.controller_id and self.peers.is_recent(controller_id)
        )
        if peers:
            new_owner = peers[shard.fencing_token % len(peers)]
            self.leadership.hand_off(shard.shard_id, new_owner)

    def target_sizes(self) -> dict[str, int]:
        """Return how many machines each shard should have; empty if there is only one shard."""
        shards = self.registry.shards
        if len(shards) < 2:
            return {}
        work = {shard_id: self.jobs.estimated_work(shard_id) for shard_id in shards}
        machines = sum(len(record.machines) for record, _ in shards.values())
        return target_sizes(work, machines, self.leadership.machines_per_shard)

    def rebalance(self, shards: dict[str, Shard]) -> None:
        """Move idle machines from own shards above their target to the shard furthest below its."""
        targets = self.provider.target_sizes
        if not targets or not self.session.is_live():
            return
        sizes = {
            shard_id: len(entry.value.machines) for shard_id, entry in self.registry.shards.items()
        }
        for shard_id, shard in shards.items():
            shortages = {
                other: targets[other] - size
                for other, size in sizes.items()
                if other in targets and other != shard_id
            }
            receiver = max(shortages, key=lambda other: (shortages[other], other), default=None)
            if shard_id not in targets or receiver is None or shortages[receiver] < 1:
                continue
            surplus = sizes[shard_id] - targets[shard_id]
            if surplus < 1 or self.writer.has_pending_moves(shard_id):
                continue
            max_moved = max(1, int(MAX_MOVED_SHARE * sizes[shard_id]))
            count = min(max_moved, shortages[receiver], surplus)
            self._move_idle_machines(shard, receiver, count)

    def _move_idle_machines(self, shard: Shard, receiver: str, count: int) -> None:
        """Request moves of up to `count` idle machines; no task is placed on them from now on."""
        idle = [machine for machine in shard.machines.values() if machine.usable and machine.empty]
        # Spot machines first: jobs that may not use spot machines need the on-demand ones, and if
        # those were scattered over shards, each shard would have room that jobs of the other
        # shards cannot use.
        idle.sort(
            key=lambda machine: (machine.entry.spot, machine.departure.idle_since or 0.0),
            reverse=True,
        )
        for machine in idle[:count]:
            machine_id = machine.machine_id
            log.info(
                "machine moving to another shard machine=%s shard=%s to=%s",
                machine_id,
                shard.shard_id,
                receiver,
            )
            machine.departure.leaving_shard = True
            shard.occupancy_due[machine_id] = None
            shard.bookings.pop(machine_id, None)
            shard.needs_replan = True
            self.writer.move(shard.shard_id, machine_id, receiver)
