"""The extension that keeps each controller's shard at its share of the fleet."""

from __future__ import annotations

from fallpulley.controller_access import ControllerAccess
from fallpulley.effects import OperatorRequest
from fallpulley.extensions import Extension
from fallpulley.jobs.service import JobService
from fallpulley.shared_records.keys import SHARES_KEY
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.shares.policy_runner import PolicyRunner
from fallpulley.shares.reconciler import Reconciler, Targets
from fallpulley.shares.record import ShareRecord
from fallpulley.shares.requests import ShareRequests
from fallpulley.shares.status import ShareStatus

# Time between two comparisons of the shards with their shares, in heartbeat intervals.
RECONCILE_HEARTBEAT_INTERVALS = 0.25


class SharesService(Extension):
    """Handles the shares' record and operators' requests, and reconciles owned shards."""

    operator_path = "/shares"
    balances_shards = True

    def __init__(self, access: ControllerAccess, writer: ShardWriter, jobs: JobService) -> None:
        self._access = access
        self._jobs = jobs
        self._record = ShareRecord(access, jobs)
        self._reconciler = Reconciler(access.context, access.registry, writer)
        self._policy_runner = PolicyRunner(access, self._record, jobs)
        status = ShareStatus(access, self._record, self._reconciler, self._targets)
        self._requests = ShareRequests(access, self._record, status.response)
        self._next_reconcile_at = float("-inf")  # time on the monotonic clock

    def watches(self, key: str) -> bool:
        """Return whether the key is that of the record of shares."""
        return key == SHARES_KEY

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Read the changed record of shares."""
        self._record.on_record_changed(value)

    def on_operator_request(self, request: OperatorRequest) -> None:
        """Handle `GET /shares` or `POST /shares`."""
        self._requests.handle(request)

    # -- decisions -------------------------------------------------------------------------

    def shard_of_team(self, team: str) -> str | None:
        """Return the shard for a team's new jobs.

        None if no share lists the team, or if the controller of that share has no shard yet.
        """
        for controller_id, share in self._record.table.shares.items():
            if team in share.teams and controller_id in self._access.registry.shards:
                return controller_id
        return None

    def shards_to_create(self) -> list[str]:
        """Return the controllers that have a share and a session but no shard yet."""
        registry = self._access.registry
        return [
            controller_id
            for controller_id, share in self._record.table.shares.items()
            if (share.weight > 0 or share.floor > 0)
            and controller_id not in registry.shards
            and controller_id in registry.sessions
        ]

    def shard_for_rental(self, requesting_shard: str) -> str:
        """Return the shard furthest below its target: it gets the new machines."""
        if not self._record.table.shares:
            return requesting_shard
        targets = self._targets()
        deficits = {
            shard_id: targets.target[shard_id] - targets.actual[shard_id]
            for shard_id in targets.actual
        }
        return max(
            deficits,
            key=lambda shard_id: (deficits[shard_id], shard_id == requesting_shard),
            default=requesting_shard,
        )

    def _targets(self) -> Targets:
        busy_shards = {
            shard_id for shard_id, jobs in self._jobs.open_job_ids_by_shard.items() if jobs
        }
        return self._reconciler.targets(self._record.table, busy_shards)

    # -- time ------------------------------------------------------------------------------

    def on_shards_checked(self) -> None:
        """Reconcile owned shards with their shares; on the leader, also run the policy."""
        context = self._access.context
        if context.now < self._next_reconcile_at or not self._is_ready():
            return
        self._next_reconcile_at = (
            context.now + RECONCILE_HEARTBEAT_INTERVALS * context.timing.heartbeat_interval_s
        )
        targets = self._targets()
        for shard in self._access.owned_shards.shards.values():
            if self._access.session.is_live() and not shard.unreconciled:
                self._reconciler.reconcile(shard, targets)
        if self._access.is_leader:
            self._policy_runner.run()

    def _is_ready(self) -> bool:
        """Return whether shares are set and the records needed for targets have been read."""
        return (
            bool(self._record.table.shares)
            and self._access.watch.ready
            and bool(self._access.registry.machine_types)
        )
