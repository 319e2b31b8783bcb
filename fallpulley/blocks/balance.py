"""Machines and blocks that change hands by plan: between blocks, and from a holder unheard."""

from __future__ import annotations

import logging

from fallpulley.blocks.held import HeldBlock
from fallpulley.blocks.leadership import Leadership
from fallpulley.blocks.registry import Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.blocks.shares import target_sizes
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.fleet.provider import MachineProvider
from fallpulley.jobs.service import JobService
from fallpulley.mesh.peers import Peers

log = logging.getLogger(__name__)

# A holder that hears none of its machines for this share of their lease gives its block away.
UNHEARD_LEASES = 0.4
# Of a block's machines, so many leave it at once for one below its target: one at a time, a block
# of thousands took most of an hour to be shared out.
MOVE_SHARE = 0.1


class BlockBalance:
    """Keeps blocks near their target sizes, and with holders that their machines reach."""

    def __init__(
        self,
        core: Core,
        registry: Registry,
        session: SessionLease,
        leadership: Leadership,
        writer: BlockWriter,
        provider: MachineProvider,
        jobs: JobService,
        peers: Peers,
    ) -> None:
        self.core = core
        self.registry = registry
        self.session = session
        self.leadership = leadership
        self.writer = writer
        self.provider = provider
        self.jobs = jobs
        self.peers = peers

    def give_if_unheard(self, held: HeldBlock) -> None:
        """No machine reaches us any more, but the state service and a peer do: the peer may be
        heard by them, and if so in time for their leases."""
        if self.core.now - held.heard_at < UNHEARD_LEASES * self.core.lease_s:
            return
        if not self.session.live() or not any(m.online for m in held.machines.values()):
            return
        peers = sorted(
            label
            for label in self.registry.sessions
            if label != self.core.label and self.peers.recent(label)
        )
        if peers:
            self.leadership.give(held.label, peers[held.token % len(peers)])

    def target_sizes(self) -> dict[str, int]:
        """How many machines each block should have; none where there is one block alone."""
        blocks = self.registry.blocks
        if len(blocks) < 2:
            return {}
        work = {label: self.jobs.estimated_work(label) for label in blocks}
        machines = sum(len(record.machines) for record, _ in blocks.values())
        return target_sizes(work, machines, self.leadership.per_block)

    def hand_over(self, held_blocks: dict[str, HeldBlock]) -> None:
        """Give an idle machine to the block furthest below its target, while ours is above."""
        targets = self.provider.target_sizes
        if not targets or not self.session.live():
            return
        sizes = {label: len(entry[0].machines) for label, entry in self.registry.blocks.items()}
        for label, held in held_blocks.items():
            short = {b: targets[b] - n for b, n in sizes.items() if b in targets and b != label}
            to = max(short, key=lambda block: (short[block], block), default=None)
            if label not in targets or to is None or short[to] < 1:
                continue
            if sizes[label] - targets[label] < 1 or self.writer.handing.get(label):
                continue
            most = max(1, int(MOVE_SHARE * sizes[label]))
            self._hand_over_idle(held, to, min(most, short[to], sizes[label] - targets[label]))

    def _hand_over_idle(self, held: HeldBlock, to: str, number: int) -> None:
        idle = [m for m in held.machines.values() if m.usable and m.empty]
        # Spot machines first: jobs that may not use them go where the others are, and would find
        # these scattered over blocks, each with room that none of the others' jobs can have.
        idle.sort(key=lambda m: (m.entry.spot, m.idle_since or 0.0), reverse=True)
        for machine in idle[:number]:
            log.info(
                "machine handed over machine=%s from=%s to=%s", machine.machine_id, held.label, to
            )
            machine.leaving_shard = True
            held.marks_due[machine.machine_id] = None
            held.booked.pop(machine.machine_id, None)
            held.dirty = True
            self.writer.hand_over(held.label, machine.machine_id, to)
