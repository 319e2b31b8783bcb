"""Brings an owned shard down to its share: idle machines leave at once, busy ones as they empty.

Targets follow from records alone, so every owner computes the same ones and none has to be sent
them. An owner gives machines of its own shard only, in the one transaction that changes both
records, conditioned on the revisions they were decided on. No task is stopped.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import Shard
from fallpulley.shares.messages import ShareTable
from fallpulley.shares.targets import Move, plan_moves, target_processors
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

# Of a controller's budget of changes, what moves of machines may use.
MOVE_BUDGET_SHARE = 0.1
# Each move changes two records.
CHANGES_PER_MOVE = 2


class Targets(msgspec.Struct, frozen=True):
    """What shards have and are to have, in processors."""

    actual: dict[str, float]
    wanted: dict[str, float]

    def moves(self) -> list[Move]:
        """What each shard above its target gives to which other."""
        return plan_moves(self.actual, self.wanted)


class DrainCost(NamedTuple):
    """How much it disturbs to drain a machine; the lowest comes first."""

    busy: bool
    not_yet_draining: bool
    running_cpus: float


class Reconciler:
    """Drains and moves the machines of owned shards."""

    def __init__(self, context: ControllerContext, registry: Registry, writer: ShardWriter) -> None:
        self._context = context
        self._registry = registry
        self._writer = writer
        facts = context.settings.facts
        rate = facts.state.write_rps / max(1, facts.nodes) * MOVE_BUDGET_SHARE / CHANGES_PER_MOVE
        self._bucket = TokenBucket(rate)

    def targets(self, table: ShareTable, busy_shards: set[str]) -> Targets:
        """`busy_shards`, with unfinished jobs, keep a machine whatever their share."""
        registry = self._registry
        actual = {shard_id: registry.processors(shard_id) for shard_id in registry.shards}
        fleet = sum(actual.values())
        shares = {name: share for name, share in table.shares.items() if name in actual}
        wanted = dict.fromkeys(actual, 0.0) | target_processors(shares, fleet)
        return Targets(actual, self._with_minimum(wanted, busy_shards))

    def _with_minimum(self, wanted: dict[str, float], busy_shards: set[str]) -> dict[str, float]:
        """A job stays in its shard until it is done: without a machine there it never would be."""
        machine_types = self._registry.machine_types.values()
        minimum = max((machine_type.cpus for machine_type in machine_types), default=0.0)
        below = {name for name in busy_shards if name in wanted and wanted[name] < minimum}
        for shard_id in sorted(below):
            largest = max(wanted, key=lambda name: wanted[name])
            missing = min(minimum - wanted[shard_id], max(0.0, wanted[largest] - minimum))
            wanted[shard_id] += missing
            wanted[largest] -= missing
        return wanted

    def feasible_moves(self, targets: Targets) -> list[Move]:
        """Moves that some machine of their source would serve."""
        return [
            move
            for move in targets.moves()
            if any(move.improves(cpus) for cpus in self._machine_sizes(move.source))
        ]

    def _machine_sizes(self, shard_id: str) -> set[float]:
        record, _ = self._registry.shards[shard_id]
        types = self._registry.machine_types
        return {
            types[entry.machine_type].cpus
            for entry in record.machines.values()
            if entry.machine_type in types
        }

    # -- one owned shard -------------------------------------------------------------------

    def reconcile(self, shard: Shard, targets: Targets) -> None:
        """Drain the machines that are to leave, and move those that are empty."""
        moves = [move for move in targets.moves() if move.source == shard.shard_id]
        leaving = self._choose_leaving(shard, moves)
        for machine_id, machine in shard.machines.items():
            self._set_draining(shard, machine, machine_id in leaving)
        self._bucket.refill(self._context.now)
        if leaving and self._bucket.tokens >= 1 and not self._writer.has_moves(shard.shard_id):
            self._move_empty(shard, leaving)

    def _cpus(self, machine: Machine) -> float:
        machine_type = self._registry.machine_types.get(machine.entry.machine_type)
        return machine_type.cpus if machine_type is not None else 0.0

    def _choose_leaving(self, shard: Shard, moves: list[Move]) -> dict[str, str]:
        """Machines to leave -> the shards that get them, by `DrainCost`: idle ones first, then
        those that drain already, then those with the fewest processors in use."""
        chosen: dict[str, str] = {}
        remaining = list(moves)
        for machine in sorted(shard.machines.values(), key=_drain_cost):
            cpus = self._cpus(machine)
            if cpus <= 0 or machine.scale_in.leaving_shard or not machine.usable:
                continue
            move = max(remaining, key=lambda move: move.deficit, default=None)
            if move is None or not move.improves(cpus):
                continue
            chosen[machine.machine_id] = move.destination
            remaining = [_reduced(other, move.destination, cpus) for other in remaining]
        return chosen

    def _set_draining(self, shard: Shard, machine: Machine, draining: bool) -> None:
        if machine.scale_in.draining == draining:
            return
        machine.scale_in.draining = draining
        machine.snapshot = None
        shard.needs_replan = True
        if draining:
            shard.bookings.pop(machine.machine_id, None)
        log.debug(
            "machine draining changed machine=%s shard=%s draining=%s",
            machine.machine_id,
            shard.shard_id,
            draining,
        )

    def _move_empty(self, shard: Shard, leaving: dict[str, str]) -> None:
        moved = 0
        for machine_id, destination in leaving.items():
            machine = shard.machines[machine_id]
            if not machine.empty:
                continue
            machine.scale_in.leaving_shard = True
            shard.occupancy_due[machine_id] = None
            shard.bookings.pop(machine_id, None)
            shard.needs_replan = True
            self._writer.move(shard.shard_id, machine_id, destination)
            moved += 1
        if moved:
            self._bucket.tokens -= 1
            log.info("machines moved for shares shard=%s count=%d", shard.shard_id, moved)


def _drain_cost(machine: Machine) -> DrainCost:
    running = sum(run.resources.cpus for run in machine.runs.values())
    return DrainCost(not machine.empty, not machine.scale_in.draining, running)


def _reduced(move: Move, destination: str, cpus: float) -> Move:
    """What is left of a source's move after a machine has gone to `destination`."""
    return Move(
        move.source,
        move.destination,
        move.processors,
        move.surplus - cpus,
        move.deficit - (cpus if move.destination == destination else 0.0),
    )
