"""Machines and blocks that change hands by plan: between blocks, and from a holder unheard."""

from __future__ import annotations

import logging

from fallpulley.balancing.shard_sizes import target_sizes
from fallpulley.context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.peers import Peers
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import Shard

log = logging.getLogger(__name__)

# A holder that hears none of its machines for this share of their lease gives its block away.
UNHEARD_LEASES = 0.4
# Of a block's machines, so many leave it at once for one below its target: one at a time, a block
# of thousands took most of an hour to be shared out.
MAX_MOVED_SHARE = 0.1


class ShardBalancer:
    """Keeps blocks near their target sizes, and with holders that their machines reach."""

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

    def hand_off_if_unheard(self, shard: Shard) -> None:
        """No machine reaches us any more, but the state service and a peer do: the peer may be
        heard by them, and if so in time for their leases."""
        if (
            self.context.now - shard.last_heartbeat_at
            < UNHEARD_LEASES * self.context.timing.lease_s
        ):
            return
        if not self.session.is_live() or not any(
            m.heartbeat.online for m in shard.machines.values()
        ):
            return
        peers = sorted(
            shard_id
            for shard_id in self.registry.sessions
            if shard_id != self.context.controller_id and self.peers.is_recent(shard_id)
        )
        if peers:
            self.leadership.hand_off(shard.shard_id, peers[shard.fencing_token % len(peers)])

    def target_sizes(self) -> dict[str, int]:
        """How many machines each block should have; none where there is one block alone."""
        shards = self.registry.shards
        if len(shards) < 2:
            return {}
        work = {shard_id: self.jobs.estimated_work(shard_id) for shard_id in shards}
        machines = sum(len(record.machines) for record, _ in shards.values())
        return target_sizes(work, machines, self.leadership.machines_per_shard)

    def rebalance(self, shards: dict[str, Shard]) -> None:
        """Give an idle machine to the block furthest below its target, while ours is above."""
        targets = self.provider.target_sizes
        if not targets or not self.session.is_live():
            return
        sizes = {
            shard_id: len(entry[0].machines) for shard_id, entry in self.registry.shards.items()
        }
        for shard_id, shard in shards.items():
            short = {b: targets[b] - n for b, n in sizes.items() if b in targets and b != shard_id}
            to = max(short, key=lambda shard_id: (short[shard_id], shard_id), default=None)
            if shard_id not in targets or to is None or short[to] < 1:
                continue
            if sizes[shard_id] - targets[shard_id] < 1 or self.writer.moving.get(shard_id):
                continue
            most = max(1, int(MAX_MOVED_SHARE * sizes[shard_id]))
            self._move_idle_machines(
                shard, to, min(most, short[to], sizes[shard_id] - targets[shard_id])
            )

    def _move_idle_machines(self, shard: Shard, to: str, number: int) -> None:
        idle = [m for m in shard.machines.values() if m.usable and m.empty]
        # Spot machines first: jobs that may not use them go where the others are, and would find
        # these scattered over blocks, each with room that none of the others' jobs can have.
        idle.sort(key=lambda m: (m.entry.spot, m.scale_in.idle_since or 0.0), reverse=True)
        for machine in idle[:number]:
            log.info(
                "machine handed over machine=%s from=%s to=%s",
                machine.machine_id,
                shard.shard_id,
                to,
            )
            machine.scale_in.leaving_shard = True
            shard.occupancy_due[machine.machine_id] = None
            shard.bookings.pop(machine.machine_id, None)
            shard.needs_replan = True
            self.writer.move(shard.shard_id, machine.machine_id, to)
