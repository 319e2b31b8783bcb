"""The owner's side of the fleet: what its shard should rent, and which machines go back."""

from __future__ import annotations

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, MachineType
from fallpulley.context import ControllerContext
from fallpulley.fleet.abandonment import AbandonReason, MachineAbandoner
from fallpulley.fleet.demand import demand_groups
from fallpulley.fleet.provider import MachineProvider
from fallpulley.fleet.sizing import SizingPlan, SupplyUnit, size_fleet
from fallpulley.fleet.smoothing import DemandSmoother
from fallpulley.fleet.supply import added_supply, machine_supply, rented_supply
from fallpulley.mesh.messages import MachineRequest
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import Shard

SIZING_INTERVAL_SECONDS = 1.0  # between two sizings of the fleet: far below any boot time
# What a sizing took is to be so small a part of the time between two, up to a tenth of a boot time.
SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOTS = 1 / 50, 0.1
# The same where the cloud has just answered: while thousands of machines are rented it does so
# several times a second, and each sizing goes through all of them.
SIZING_TIME_SHARE_AFTER_RESPONSE = 1 / 5

# After a failover, a shard's work is known once its machines' heartbeats have come.
UNKNOWN_WORK_HEARTBEATS = 1.5

# The bound on a fleet where the settings have none.
UNBOUNDED_MACHINES = 10**6


class Autoscaler:
    """Sizes the fleet of each shard of this controller, now and then."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        writer: ShardWriter,
        provider: MachineProvider,
    ) -> None:
        self.context = context
        self.registry = registry
        self.writer = writer
        self.provider = provider
        self.abandoner = MachineAbandoner(context, registry, writer, provider)
        self._smoother = DemandSmoother()
        self._sized_at: dict[str, float] = {}  # by shard_id
        self._interval_s: dict[str, float] = {}  # by shard_id, from the last sizing to the next

    def tick(self, shard: Shard, leading: bool) -> list[MachineRequest]:
        """Size the shard's fleet where it is time: abandon machines, and rent others as the leader.
        Returns what the leader should rent where another controller leads."""
        now = self.context.now
        if not self.registry.machine_types:
            return []
        last_at = self._sized_at.get(shard.shard_id, float("-inf"))
        interval_s = self._interval_s.get(shard.shard_id, SIZING_INTERVAL_SECONDS)
        if now < last_at + self._wait_s(last_at, interval_s):
            return []
        self._sized_at[shard.shard_id] = now
        began = self.context.clock()
        machine_requests = self._resize(shard, leading, min(now - last_at, interval_s))
        self._interval_s[shard.shard_id] = self._next_interval_s(self.context.clock() - began)
        return machine_requests

    def confirm_unreachable_gone(self, shard: Shard) -> None:
        """As the leader, have machines released that do not answer after a failover."""
        self.abandoner.confirm_unreachable_gone(shard)

    def _wait_s(self, last_at: float, interval_s: float) -> float:
        """From the last sizing to the next. A partly filled rental is followed at once by one of
        the next offer."""
        if self.provider.rentals_answered_at > last_at:
            return interval_s * SIZING_TIME_SHARE / SIZING_TIME_SHARE_AFTER_RESPONSE
        return interval_s

    def _next_interval_s(self, took_s: float) -> float:
        boot_s = _shortest_boot_s(self.registry.machine_types)
        spaced_s = min(took_s / SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOTS * boot_s)
        return max(SIZING_INTERVAL_SECONDS, spaced_s)

    def _resize(self, shard: Shard, leading: bool, elapsed_s: float) -> list[MachineRequest]:
        self.abandoner.abandon_useless(shard)
        if not self._is_work_known(shard):
            return []
        plan = self._plan_size(shard, elapsed_s)
        for machine_id in plan.scale_in:
            self.abandoner.abandon(shard, shard.machines[machine_id], AbandonReason.IDLE)
        if leading:
            for rental in plan.scale_out:
                self.provider.scale_out(shard.shard_id, rental.offer, rental.count)
            return []
        return [
            MachineRequest(shard.shard_id, *rental.offer, rental.count) for rental in plan.scale_out
        ]

    def _is_work_known(self, shard: Shard) -> bool:
        """After a failover, what runs, and what has completed but is not yet durable, comes with
        the machines' heartbeats. Taken for waiting, it once had 300 machines rented at once."""
        if not shard.progress_loaded:
            return False
        if not shard.acquired_by_failover:
            return True
        timing = self.context.timing
        unknown_s = (
            timing.lease_s
            if shard.unreconciled
            else UNKNOWN_WORK_HEARTBEATS * timing.heartbeat_interval_s
        )
        return self.context.now >= shard.acquired_at + unknown_s

    def _plan_size(self, shard: Shard, elapsed_s: float) -> SizingPlan:
        machine_types = self.provider.machine_types or self.registry.machine_types
        operators = self.context.settings.operators
        supply = self._measure_supply(shard, machine_types)
        boot_s = _shortest_boot_s(machine_types)
        drain_s = operators.drain_boots * boot_s
        groups = demand_groups(shard, machine_types, self.context.now, drain_s)
        groups = self._smoother.smooth(shard.shard_id, groups, elapsed_s, boot_s)
        return size_fleet(
            groups,
            supply,
            machine_types,
            self.provider.refused_offers(),
            operators.drain_boots,
            operators.idle_boots,
            (operators.machines_max or UNBOUNDED_MACHINES) - len(supply),
        )

    def _measure_supply(
        self, shard: Shard, machine_types: dict[str, MachineType]
    ) -> list[SupplyUnit]:
        rentals = self.provider.pending_rentals(shard.shard_id)
        adding = self.writer.machines_being_added(shard.shard_id)
        return (
            machine_supply(shard, machine_types, self.context.now)
            + rented_supply(rentals, machine_types)
            + added_supply(shard, adding, machine_types)
        )


def _shortest_boot_s(machine_types: dict[str, MachineType]) -> float:
    return min(
        (machine_type.boot_s for machine_type in machine_types.values()),
        default=DEFAULT_BOOT_SECONDS,
    )
