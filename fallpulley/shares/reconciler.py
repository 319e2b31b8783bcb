"""Reduces owned shards to their shares: idle machines move at once, busy ones once they are empty.

Targets are computed from the stored records alone, so all owners compute the same targets and need
not exchange them. An owner only moves machines out of its own shards. Each move is one transaction
that changes both shards' records, on condition that both still have the revisions on which the
move was decided. No task is stopped.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.shares.messages import ShareTable
from fallpulley.shares.targets import Move, plan_moves, target_processors
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

# Fraction of a controller's budget of changes in the state service that moves of machines may use.
MOVE_BUDGET_FRACTION = 0.1
# Number of records that a move changes: one for each of the two shards.
CHANGES_PER_MOVE = 2


class Targets(msgspec.Struct, frozen=True):
    """The present and the target sizes of all shards, in processors by shard."""

    actual: dict[str, float]
    target: dict[str, float]

    def moves(self) -> list[Move]:
        """Return the moves from shards above their targets to shards below."""
        return plan_moves(self.actual, self.target)


class DrainCost(NamedTuple):
    """The disruption caused by draining a machine; the machines with the lowest come first."""

    busy: bool
    not_yet_draining: bool
    running_cpus: float  # processors that its tasks use


class Reconciler:
    """Drains and moves the machines of owned shards."""

    def __init__(self, context: ControllerContext, registry: Registry, writer: ShardWriter) -> None:
        self._context = context
        self._registry = registry
        self._writer = writer
        facts = context.settings.facts
        rate = facts.state.write_rps / max(1, facts.nodes) * MOVE_BUDGET_FRACTION / CHANGES_PER_MOVE
        self._move_budget = TokenBucket(rate)

    def targets(self, table: ShareTable, busy_shards: set[str]) -> Targets:
        """Compute the present and the target sizes of all shards.

        `busy_shards` have unfinished jobs: their targets have room for a machine whatever their
        shares are, unless the fleet is too small.
        """
        registry = self._registry
        actual = {shard_id: registry.processors(shard_id) for shard_id in registry.shards}
        fleet = sum(actual.values())
        shares = {name: share for name, share in table.shares.items() if name in actual}
        target = dict.fromkeys(actual, 0.0) | target_processors(shares, fleet)
        return Targets(actual, self._with_minimum(target, busy_shards))

    def _with_minimum(self, target: dict[str, float], busy_shards: set[str]) -> dict[str, float]:
        """Raise the targets of busy shards to the size of the largest machine type.

        A job stays in its shard until it is done, and would never complete in a shard without
        machines. The processors are taken from the largest target, as far as that one keeps the
        same minimum. Changes `target` and returns it.
        """
        machine_types = self._registry.machine_types.values()
        minimum = max((machine_type.cpus for machine_type in machine_types), default=0.0)
        below = {name for name in busy_shards if name in target and target[name] < minimum}
        for shard_id in sorted(below):
            largest = max(target, key=lambda name: target[name])
            missing = min(minimum - target[shard_id], max(0.0, target[largest] - minimum))
            target[shard_id] += missing
            target[largest] -= missing
        return target

    def feasible_moves(self, targets: Targets) -> list[Move]:
        """Return the moves for which the source has a machine of a suitable size."""
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
        """Drain the machines that are to leave the shard, and move those that are empty."""
        moves = [move for move in targets.moves() if move.source == shard.shard_id]
        destinations = self._choose_destinations(shard, moves)
        for machine_id, machine in shard.machines.items():
            self._set_draining(shard, machine, machine_id in destinations)
        self._move_budget.refill(self._context.now)
        if (
            destinations
            and self._move_budget.tokens >= 1
            and not self._writer.has_pending_moves(shard.shard_id)
        ):
            self._move_empty_machines(shard, destinations)

    def _machine_cpus(self, machine: Machine) -> float:
        machine_type = self._registry.machine_types.get(machine.entry.machine_type)
        return machine_type.cpus if machine_type is not None else 0.0

    def _choose_destinations(self, shard: Shard, moves: list[Move]) -> dict[str, str]:
        """Choose the machines that are to leave the shard.

        Idle machines are chosen first, then machines that are already draining, then those with the
        fewest processors in use (see `DrainCost`).

        Returns:
            The destination shard by machine.
        """
        chosen: dict[str, str] = {}
        remaining = list(moves)
        for machine in sorted(shard.machines.values(), key=_drain_cost):
            cpus = self._machine_cpus(machine)
            if cpus <= 0 or machine.departure.leaving_shard or not machine.usable:
                continue
            move = max(remaining, key=lambda move: move.deficit, default=None)
            if move is None or not move.improves(cpus):
                continue
            chosen[machine.machine_id] = move.destination
            remaining = [_reduce_move(other, move.destination, cpus) for other in remaining]
        return chosen

    def _set_draining(self, shard: Shard, machine: Machine, draining: bool) -> None:
        if machine.departure.draining == draining:
            return
        machine.departure.draining = draining
        machine.placement_snapshot = None
        shard.needs_replan = True
        if draining:
            shard.bookings.pop(machine.machine_id, None)
        log.debug(
            "machine draining changed machine=%s shard=%s draining=%s",
            machine.machine_id,
            shard.shard_id,
            draining,
        )

    def _move_empty_machines(self, shard: Shard, destinations: dict[str, str]) -> None:
        moved = 0
        for machine_id, destination in destinations.items():
            machine = shard.machines[machine_id]
            if not machine.empty:
                continue
            machine.departure.leaving_shard = True
            shard.occupancy_due[machine_id] = None
            shard.bookings.pop(machine_id, None)
            shard.needs_replan = True
            self._writer.move(shard.shard_id, machine_id, destination)
            moved += 1
        if moved:
            self._move_budget.tokens -= 1
            log.info(
                "machines moving to other shards to meet shares shard=%s count=%d",
                shard.shard_id,
                moved,
            )


def _drain_cost(machine: Machine) -> DrainCost:
    running = sum(run.resources.cpus for run in machine.runs.values())
    return DrainCost(not machine.empty, not machine.departure.draining, running)


def _reduce_move(move: Move, destination: str, cpus: float) -> Move:
    """Return what is left of a move after its source gives `cpus` processors to `destination`."""
    return Move(
        move.source,
        move.destination,
        move.processors,
        move.surplus - cpus,
        move.deficit - (cpus if move.destination == destination else 0.0),
    )
