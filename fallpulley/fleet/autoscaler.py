"""Autoscaling by a shard's owner: which machines to rent for the shard and which to give back."""

from __future__ import annotations

import logging

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, MachineType
from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.abandonment import AbandonReason, MachineAbandoner
from fallpulley.fleet.demand import demand_groups
from fallpulley.fleet.market import Market
from fallpulley.fleet.provider import MachineProvider
from fallpulley.fleet.sent_requests import SentRequests
from fallpulley.fleet.sizing import PlannedRental, SizingPlan, SupplyUnit, size_fleet
from fallpulley.fleet.smoothing import DemandSmoother
from fallpulley.fleet.supply import (
    added_supply,
    machine_supply,
    rented_supply,
    requested_supply,
)
from fallpulley.fleet.unmet_demand import UnmetDemandLog
from fallpulley.mesh.messages import MachineRequest
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter

log = logging.getLogger(__name__)

# Least time between two sizings of a shard's fleet, in seconds: far below any boot time.
SIZING_INTERVAL_SECONDS = 1.0
# Largest share of the controller's time that sizing may take; the interval between two sizings is
# lengthened accordingly, up to this many boot times.
SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOT_TIMES = 1 / 50, 0.1
# The same share if the cloud has responded to a rental request since the last sizing. It is limited
# because the cloud responds several times a second while thousands of machines are being rented,
# and each sizing goes through all machines.
SIZING_TIME_SHARE_AFTER_RESPONSE = 1 / 5

# Time after a failover until the new owner knows which tasks still have to run, in heartbeat
# intervals, if no machine is unreconciled: machines report their tasks with their next heartbeats.
WORK_UNKNOWN_HEARTBEATS = 1.5

# Largest number of machines if the settings have no `machines_max`.
DEFAULT_MAX_MACHINES = 10**6


class Autoscaler:
    """Sizes the fleet of each shard that this controller owns, at intervals."""

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
        self._sized_at: dict[str, float] = {}  # time of the last sizing, by shard_id
        # Seconds from the last sizing to the next, by shard_id.
        self._interval_s: dict[str, float] = {}
        self._sent_requests = SentRequests()
        self._unmet_demand_log = UnmetDemandLog()

    def tick(self, shard: Shard, leading: bool) -> list[MachineRequest]:
        """Size the shard's fleet if a sizing is due: abandon machines and rent others.

        The leader rents the machines itself; any other controller returns the requests to be sent
        to the leader.
        """
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

    def release_unreachable(self, shard: Shard) -> None:
        """As the leader, request the release of machines that are unreachable after a failover."""
        self.abandoner.release_unreachable(shard)

    def _wait_s(self, last_at: float, interval_s: float) -> float:
        """Return the seconds to wait from the last sizing to the next.

        The wait is shorter if the cloud has responded to a rental request since the last sizing, so
        that a partly filled request is soon followed by a request for the next offer.
        """
        if self.provider.last_rental_response_at > last_at:
            return interval_s * SIZING_TIME_SHARE / SIZING_TIME_SHARE_AFTER_RESPONSE
        return interval_s

    def _next_interval_s(self, took_s: float) -> float:
        """Return the sizing interval in seconds, given how long the last sizing took."""
        boot_s = _shortest_boot_s(self.registry.machine_types)
        interval_s = min(took_s / SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOT_TIMES * boot_s)
        return max(SIZING_INTERVAL_SECONDS, interval_s)

    def _resize(self, shard: Shard, leading: bool, elapsed_s: float) -> list[MachineRequest]:
        self.abandoner.abandon_unusable(shard)
        if not self._is_work_known(shard):
            return []
        plan = self._plan_size(shard, leading, elapsed_s)
        self._unmet_demand_log.record(shard.shard_id, plan.unmet, self.context.now)
        for machine_id in plan.scale_in:
            self.abandoner.abandon(shard, shard.machines[machine_id], AbandonReason.IDLE)
        if leading:
            for rental in plan.scale_out:
                self.provider.scale_out(shard.shard_id, rental.offer, rental.count)
            return []
        return self._request_from_leader(shard.shard_id, plan.scale_out)

    def _request_from_leader(
        self, shard_id: str, rentals: list[PlannedRental]
    ) -> list[MachineRequest]:
        """Return the requests to be sent to the leader, and count them as supply from now on."""
        requests = [MachineRequest(shard_id, *rental.offer, rental.count) for rental in rentals]
        self._sent_requests.record(shard_id, requests, self.context.now)
        for request in requests:
            log.info(
                "machines requested from leader shard=%s type=%s zone=%s spot=%s count=%d",
                shard_id,
                *request.offer,
                request.count,
            )
        return requests

    def _is_work_known(self, shard: Shard) -> bool:
        """Return whether the owner knows which of the shard's tasks still have to run.

        After a failover, running tasks, and completed tasks whose completion is not durable yet,
        become known only through the machines' heartbeats. When such tasks were counted as
        waiting, 300 machines were rented at once.
        """
        if not shard.progress_loaded:
            return False
        if not shard.acquired_by_failover:
            return True
        timing = self.context.timing
        work_unknown_s = (
            timing.lease_s
            if shard.unreconciled
            else WORK_UNKNOWN_HEARTBEATS * timing.heartbeat_interval_s
        )
        return self.context.now >= shard.acquired_at + work_unknown_s

    def _plan_size(self, shard: Shard, leading: bool, elapsed_s: float) -> SizingPlan:
        machine_types = self.provider.machine_types or self.registry.machine_types
        market = Market(machine_types, self.provider.refused_offers())
        operators = self.context.settings.operators
        supply = self._measure_supply(shard, leading, market)
        boot_s = _shortest_boot_s(machine_types)
        drain_s = operators.drain_boots * boot_s
        groups = demand_groups(
            shard, self.registry.machine_types, machine_types, self.context.now, drain_s
        )
        groups = self._smoother.smooth(shard.shard_id, groups, elapsed_s, boot_s)
        return size_fleet(
            groups,
            supply,
            machine_types,
            market.refused_offers,
            operators.drain_boots,
            operators.idle_boots,
            (operators.machines_max or DEFAULT_MAX_MACHINES) - len(supply),
        )

    def _measure_supply(self, shard: Shard, leading: bool, market: Market) -> list[SupplyUnit]:
        """Return the machines that the shard has, has requested, or is being given."""
        adding = self.writer.machines_being_added(shard.shard_id)
        return (
            machine_supply(shard, market.machine_types, self.context.now)
            + self._measure_requested_supply(shard, leading, market)
            + added_supply(shard, adding, market.machine_types)
        )

    def _measure_requested_supply(
        self, shard: Shard, leading: bool, market: Market
    ) -> list[SupplyUnit]:
        """Return the machines requested from the cloud, or from the leader, that may still come.

        Only the leader repeats its requests to the cloud: those that a former leader has left over
        are never filled.
        """
        if leading:
            rentals = self.provider.pending_rentals(shard.shard_id)
            return rented_supply(rentals, market.machine_types)
        counts = self._sent_requests.open_counts(shard, market.refused_offers, self.context.now)
        return requested_supply(counts, market.machine_types)


def _shortest_boot_s(machine_types: dict[str, MachineType]) -> float:
    """Return the shortest boot time of all types, in seconds, or the default without any type."""
    return min(
        (machine_type.boot_s for machine_type in machine_types.values()),
        default=DEFAULT_BOOT_SECONDS,
    )
