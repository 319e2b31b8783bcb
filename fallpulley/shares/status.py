"""Reports to operators how far each shard is from its share."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.controller_access import ControllerAccess
from fallpulley.shards.shard import Shard
from fallpulley.shares.messages import ShardProgress, ShardState, SharesResponse
from fallpulley.shares.reconciler import Reconciler, Targets
from fallpulley.shares.record import ShareRecord


class ShareStatus:
    """Compares the shards with their shares, as known to this controller."""

    def __init__(
        self,
        access: ControllerAccess,
        record: ShareRecord,
        reconciler: Reconciler,
        current_targets: Callable[[], Targets],
    ) -> None:
        self._access = access
        self._record = record
        self._reconciler = reconciler
        self._current_targets = current_targets

    def response(self) -> SharesResponse:
        """Return the shares and the state of every shard that exists or that has a share."""
        table = self._record.table
        registry = self._access.registry
        targets = self._current_targets()
        shards_with_moves = self._shards_with_moves(targets) if table.shares else set()
        shards = [
            self._shard_state(shard_id, targets, shard_id in shards_with_moves)
            for shard_id in sorted(registry.shards)
        ]
        shards += [
            ShardState(controller_id, "", 0.0, 0.0, 0, ShardProgress.CONTROLLER_ABSENT)
            for controller_id in table.shares
            if controller_id not in registry.shards
        ]
        return SharesResponse(
            self._access.context.controller_id,
            table.revision,
            table.shares,
            shards,
            round(self._access.context.now - self._access.watch.fresh_at, 3),
            all(shard.state == ShardProgress.CONVERGED for shard in shards),
        )

    def _shards_with_moves(self, targets: Targets) -> set[str]:
        moves = self._reconciler.feasible_moves(targets)
        return {shard_id for move in moves for shard_id in (move.source, move.destination)}

    def _shard_state(self, shard_id: str, targets: Targets, has_moves: bool) -> ShardState:
        record, _ = self._access.registry.shards[shard_id]
        shard = self._access.owned_shards.shards.get(shard_id)
        draining = None
        if shard is not None:
            draining = sum(machine.departure.draining for machine in shard.machines.values())
        has_shares = bool(self._record.table.shares)
        return ShardState(
            shard_id,
            record.owner,
            round(targets.target[shard_id], 1) if has_shares else None,
            targets.actual[shard_id],
            len(record.machines),
            self._progress(shard_id, shard, draining) if has_moves else ShardProgress.CONVERGED,
            draining,
        )

    def _progress(self, shard_id: str, shard: Shard | None, draining: int | None) -> ShardProgress:
        """Return the reason why the shard has not reached its share yet."""
        record, _ = self._access.registry.shards[shard_id]
        if not self._access.registry.is_owner_alive(record):
            return ShardProgress.CONTROLLER_ABSENT
        if shard is not None and shard.unreconciled:
            return ShardProgress.UNRECONCILED
        if draining:
            return ShardProgress.WAITING_FOR_TASKS
        return ShardProgress.MOVING
