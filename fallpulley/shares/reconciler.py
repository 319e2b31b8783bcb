"""Brings a held block down to its share: idle machines leave at once, busy ones as they empty.

Targets follow from records alone, so every holder reckons the same ones; nobody has to be told.
A holder gives machines of its own block only, in the one transaction that changes both records on
the stamps they were decided on. No task is stopped.
"""

from __future__ import annotations

import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import Shard
from fallpulley.shares.messages import ShareTable
from fallpulley.shares.table import Move, moves, targets
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

# Of a controller's budget of changes, what moves of machines may take; each changes two records.
MOVE_SHARE, MOVE_CHANGES = 0.1, 2


class Targets(msgspec.Struct, frozen=True):
    """What blocks have and are to have, in processors."""

    actual: dict[str, float]
    wanted: dict[str, float]


class Reconciler:
    """Marks and moves the machines of held blocks."""

    def __init__(self, context: ControllerContext, registry: Registry, writer: ShardWriter) -> None:
        self.context = context
        self.registry = registry
        self.writer = writer
        facts = context.settings.facts
        rate = facts.state.write_rps / max(1, facts.nodes) * MOVE_SHARE / MOVE_CHANGES
        self._bucket = TokenBucket(rate)

    def targets(self, table: ShareTable, busy: set[str]) -> Targets:
        """`busy`: blocks with unfinished jobs, which keep a machine whatever their share."""
        actual = {label: self.processors(label) for label in self.registry.shards}
        fleet = sum(actual.values())
        shares = {label: share for label, share in table.shares.items() if label in actual}
        wanted = dict.fromkeys(actual, 0.0) | targets(shares, fleet)
        return Targets(actual, self._with_least(wanted, busy, fleet))

    def _with_least(
        self, wanted: dict[str, float], busy: set[str], fleet: float
    ) -> dict[str, float]:
        """A job lives in its block until it is done: without a machine there it never would be."""
        least = max((kind.cpus for kind in self.registry.machine_types.values()), default=0.0)
        short = {label for label in busy if label in wanted and wanted[label] < least}
        for label in sorted(short):
            richest = max(wanted, key=lambda name: wanted[name])
            missing = min(least - wanted[label], max(0.0, wanted[richest] - least))
            wanted[label] += missing
            wanted[richest] -= missing
        return wanted

    def processors(self, label: str) -> float:
        """Of all machines in a block's record."""
        return self.registry.processors(label)

    def unmet(self, found: Targets) -> list[Move]:
        """Moves that some machine of their giver would serve."""
        return [
            move
            for move in moves(found.actual, found.wanted)
            if any(move.improves(cpus) for cpus in self._sizes(move.giver))
        ]

    def _sizes(self, label: str) -> set[float]:
        record, _ = self.registry.shards[label]
        types = self.registry.machine_types
        return {
            types[m.machine_type].cpus for m in record.machines.values() if m.machine_type in types
        }

    # -- a held block ----------------------------------------------------------------------

    def reconcile(self, shard: Shard, found: Targets) -> None:
        """Mark what is to leave, and let go of what has become empty."""
        own = [move for move in moves(found.actual, found.wanted) if move.giver == shard.shard_id]
        leaving = self._choose(shard, own)
        for machine_id, machine in shard.machines.items():
            self._set_draining(shard, machine, machine_id in leaving)
        self._bucket.refill(self.context.now)
        if leaving and self._bucket.tokens >= 1 and not self.writer.moving.get(shard.shard_id):
            self._move_empty(shard, leaving)

    def _cpus(self, machine: Machine) -> float:
        kind = self.registry.machine_types.get(machine.entry.machine_type)
        return kind.cpus if kind is not None else 0.0

    def _choose(self, shard: Shard, own: list[Move]) -> dict[str, str]:
        """Machines to leave and the blocks that get them, those first whose leaving disturbs
        least: idle, marked already, then with the least running."""

        def disturbed(machine: Machine) -> tuple[bool, bool, float]:
            running = sum(run.resources.cpus for run in machine.runs.values())
            return (not machine.empty, not machine.scale_in.draining, running)

        chosen: dict[str, str] = {}
        left = list(own)
        for machine in sorted(shard.machines.values(), key=disturbed):
            cpus = self._cpus(machine)
            if cpus <= 0 or machine.scale_in.leaving_shard or not machine.usable:
                continue
            move = max(left, key=lambda m: m.lacking, default=None)
            if move is None or not move.improves(cpus):
                continue
            chosen[machine.machine_id] = move.taker
            left = [_after(other, move.taker, cpus) for other in left]
        return chosen

    def _set_draining(self, shard: Shard, machine: Machine, leaves: bool) -> None:
        if machine.scale_in.draining == leaves:
            return
        machine.scale_in.draining = leaves
        machine.snapshot = None
        shard.needs_replan = True
        if leaves:
            shard.bookings.pop(machine.machine_id, None)
        log.debug(
            "machine draining=%s machine=%s block=%s", leaves, machine.machine_id, shard.shard_id
        )

    def _move_empty(self, shard: Shard, leaving: dict[str, str]) -> None:
        moved = 0
        for machine_id, taker in leaving.items():
            machine = shard.machines[machine_id]
            if not machine.empty:
                continue
            machine.scale_in.leaving_shard = True
            shard.occupancy_due[machine_id] = None
            shard.bookings.pop(machine_id, None)
            shard.needs_replan = True
            self.writer.move(shard.shard_id, machine_id, taker)
            moved += 1
        if moved:
            self._bucket.tokens -= 1
            log.info("machines moved by shares n=%d from=%s", moved, shard.shard_id)


def _after(move: Move, taker: str, cpus: float) -> Move:
    """What is left of a giver's move after a machine has gone to a taker."""
    return Move(
        move.giver,
        move.taker,
        move.processors,
        move.surplus - cpus,
        move.lacking - (cpus if move.taker == taker else 0.0),
    )
