"""The holder's side of the fleet: what its block should rent, and which machines go back."""

from __future__ import annotations

import logging

from fallpulley.context import ControllerContext
from fallpulley.fleet.demand import demand_groups
from fallpulley.fleet.messages import MachineType
from fallpulley.fleet.provider import MachineProvider
from fallpulley.fleet.sizing import DemandGroup, SizingPlan, SupplyUnit, size_fleet
from fallpulley.mesh.messages import MachineRequest
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import FAULTY_MACHINE_JOBS, Shard
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

SIZING_INTERVAL_SECONDS = 1.0  # between two looks at the fleet: far below any boot time
# What a look took is to be so small a part of the time between two, up to a tenth of a boot time.
SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOTS = 1 / 50, 0.1
# The same where the cloud has just answered: while thousands of machines are rented it does so
# several times a second, and each look is at all of them.
SIZING_TIME_SHARE_AFTER_RESPONSE = 1 / 5
# A machine that is not up after so many boot times is not counted on; after twice as many
# it goes back. Some take several times as long, a few never come.
LATE_BOOT_TIMES = 2.0
ABANDON_BOOT_TIMES = 4.0
# After a takeover a machine may stay unreachable for this share of a lease.
UNCONFIRMED_LEASES = 0.25
# When more than this share of a zone is out of reach, it is the network: they will be back. A
# wave of recalls takes a third or a half of the cheap machines, among others that answer.
UNCONFIRMED_SHARE = 0.4
# A machine that was silent for so many leases goes back: most likely it is no more.
ABANDON_OFFLINE_LEASES = 2.5


# After a takeover, a block's work is known once its machines have reported.
UNSETTLED_HEARTBEATS = 1.5

# A machine whose reports come but that has not heard us for so many reports is not counted on.
UNACKNOWLEDGED_HEARTBEATS = 2.0

# The level of work is smoothed over so many boot times.
SMOOTH_BOOTS = 1.0
# A backlog above the level counts at this share.
BACKLOG_SHARE = 0.6

GroupKey = tuple[str, bool, tuple[str, ...] | None, str | None, bool]


class Autoscaler:
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
        self._sized_at: dict[str, float] = {}
        self._interval_s: dict[str, float] = {}  # from the last look to the next
        self._smoothed_work: dict[GroupKey, float] = {}

    def tick(self, shard: Shard, leading: bool) -> list[MachineRequest]:
        """Give up what should go, rent as the leader, or say what the leader should rent."""
        now = self.context.now
        if not self.registry.machine_types:
            return []
        # A partly filled rental is followed at once by one of the next kind.
        last = self._sized_at.get(shard.shard_id, float("-inf"))
        wait_s = self._interval_s.get(shard.shard_id, SIZING_INTERVAL_SECONDS)
        answered = self.provider.answered_at > last
        if now < last + (
            wait_s * SIZING_TIME_SHARE / SIZING_TIME_SHARE_AFTER_RESPONSE if answered else wait_s
        ):
            return []
        self._sized_at[shard.shard_id] = now
        began = self.context.clock()
        machine_requests = self._resize(shard, leading, min(now - last, wait_s))
        boot_s = min(machine_type.boot_s for machine_type in self.registry.machine_types.values())
        took_s = min(
            (self.context.clock() - began) / SIZING_TIME_SHARE, MAX_SIZING_INTERVAL_BOOTS * boot_s
        )
        self._interval_s[shard.shard_id] = max(SIZING_INTERVAL_SECONDS, took_s)
        return machine_requests

    def _resize(self, shard: Shard, leading: bool, since_s: float) -> list[MachineRequest]:
        now = self.context.now
        self._abandon_useless_machines(shard)
        if not shard.progress_loaded or (
            shard.acquired_by_failover and now < shard.acquired_at + self._unsettled_s(shard)
        ):
            return []
        sizing = self._plan_size(shard, since_s)
        for machine_id in sizing.scale_in:
            self._abandon(shard, shard.machines[machine_id], "idle")
        if leading:
            for rent in sizing.scale_out:
                self.provider.scale_out(
                    shard.shard_id, rent.machine_type, rent.zone, rent.spot, rent.count
                )
            return []
        return [
            MachineRequest(shard.shard_id, r.machine_type, r.zone, r.spot, r.count)
            for r in sizing.scale_out
        ]

    def _unsettled_s(self, shard: Shard) -> float:
        """How long after a takeover the block's work is not known: what runs, and what is done
        but not yet durable, comes with the machines' reports. Taken for waiting, it once had 300
        machines rented at once."""
        if shard.unreconciled:
            return self.context.timing.lease_s
        return UNSETTLED_HEARTBEATS * self.context.timing.report_s

    def _plan_size(self, shard: Shard, since_s: float) -> SizingPlan:
        now = self.context.now
        machine_types = self.provider.machine_types or self.registry.machine_types
        supply = []
        for machine in shard.machines.values():
            if (
                machine.scale_in.leaving_shard
                or machine.scale_in.release_decided
                or machine.scale_in.failed_in_cloud
            ):
                continue
            if machine.scale_in.preempted_at is not None:
                continue
            machine_type = machine_types.get(machine.entry.machine_type)
            if machine_type is None or (
                machine.heartbeat.ever_online and not machine.heartbeat.online
            ):
                continue
            since = machine.fencing.unacknowledged_since if machine.fencing.fenced else None
            if (
                since is not None
                and now - since > UNACKNOWLEDGED_HEARTBEATS * self.context.timing.report_s
            ):
                continue
            if (
                not machine.heartbeat.ever_online
                and now - machine.granted_at > LATE_BOOT_TIMES * machine_type.boot_s
            ):
                continue
            idle = None
            if machine.usable and machine.empty and machine.scale_in.idle_since is not None:
                idle = now - machine.scale_in.idle_since
            supply.append(
                SupplyUnit(
                    machine.machine_id,
                    machine_type.name,
                    machine.entry.zone,
                    machine.entry.spot,
                    machine_type.cpus,
                    idle,
                )
            )
        coming = self.provider.pending_rentals(shard.shard_id)
        for rental in coming:
            machine_type = machine_types.get(rental.machine_type)
            if machine_type is not None:
                supply += [
                    SupplyUnit(
                        f"{rental.request_id}/{n}",
                        rental.machine_type,
                        rental.zone,
                        rental.spot,
                        machine_type.cpus,
                        None,
                    )
                    for n in range(rental.count)
                ]
        # Granted, but not in the record yet.
        for machine_id, entry in self.writer.machines_being_added(shard.shard_id).items():
            machine_type = machine_types.get(entry.machine_type)
            if machine_type is not None and machine_id not in shard.machines:
                supply.append(
                    SupplyUnit(
                        machine_id,
                        entry.machine_type,
                        entry.zone,
                        entry.spot,
                        machine_type.cpus,
                        None,
                    )
                )
        operators = self.context.settings.operators
        most = operators.machines_max or 10**6
        boot_s = min((machine_type.boot_s for machine_type in machine_types.values()), default=60.0)
        groups = demand_groups(shard, machine_types, now, operators.drain_boots * boot_s)
        self._smooth(shard.shard_id, groups, machine_types, since_s)
        return size_fleet(
            groups,
            supply,
            machine_types,
            self.provider.refused_offers(),
            operators.drain_boots,
            operators.idle_boots,
            most - len(supply),
        )

    def _smooth(
        self,
        shard_id: str,
        groups: list[DemandGroup],
        machine_types: dict[str, MachineType],
        since_s: float,
    ) -> None:
        """Jobs come in lumps that are over before a machine rented for them is up: what counts
        is the level of work over about a boot time, and backlogs far above it."""
        boot_s = min((machine_type.boot_s for machine_type in machine_types.values()), default=60.0)
        weight = min(1.0, since_s / (SMOOTH_BOOTS * boot_s))
        seen = set()
        for group in groups:
            key = (shard_id, group.allow_spot, group.machine_types, group.zone, group.urgent)
            seen.add(key)
            level = self._smoothed_work.get(key, group.work)
            level += weight * (group.work - level)
            self._smoothed_work[key] = level
            group.work = max(level, group.work * BACKLOG_SHARE)
        for key in list(self._smoothed_work):
            if key[0] == shard_id and key not in seen:
                self._smoothed_work[key] *= 1 - weight
                if self._smoothed_work[key] > 1.0:
                    _, spot_ok, type_names, zone, urgent = key
                    groups.append(
                        DemandGroup(
                            spot_ok, type_names, zone, self._smoothed_work[key], 0.0, urgent=urgent
                        )
                    )

    def _abandon_useless_machines(self, shard: Shard) -> None:
        """Machines that never came, went silent, stopped or are faulty go back."""
        now = self.context.now
        for machine in shard.machines.values():
            if machine.scale_in.leaving_shard:
                continue
            machine_type = self.registry.machine_types.get(machine.entry.machine_type)
            startup = machine_type.boot_s if machine_type else 60.0
            listed = self.provider.listed_machines.get(machine.machine_id)
            if listed is not None and listed.state == "failed":
                machine.scale_in.failed_in_cloud = True
            if machine.machine_id in shard.unreconciled:
                continue
            unacknowledged_s = (
                now - machine.fencing.unacknowledged_since
                if machine.fencing.unacknowledged_since is not None
                else 0.0
            )
            if (
                unacknowledged_s > ABANDON_OFFLINE_LEASES * self.context.timing.lease_s
                and not machine.runs
            ):
                self._abandon(shard, machine, "hears nothing")
            elif not machine.heartbeat.online and not machine.runs:
                since = max(machine.heartbeat.received_at, machine.granted_at)
                if machine.machine_id in self.provider.released_at:
                    self._abandon(shard, machine, "released")
                elif machine.scale_in.failed_in_cloud:
                    self._abandon(shard, machine, "failed")
                elif machine.heartbeat.ever_online:
                    if now - since > ABANDON_OFFLINE_LEASES * self.context.timing.lease_s:
                        self._abandon(shard, machine, "silent")
                elif now - since > max(
                    ABANDON_BOOT_TIMES * startup, 2 * self.context.timing.lease_s
                ):
                    self._abandon(shard, machine, "never up")
            elif (
                len(machine.reliability.failed_jobs) >= FAULTY_MACHINE_JOBS
                and machine.reliability.completed_tasks < 4 * len(machine.reliability.failed_jobs)
                and not machine.runs
            ):
                self._abandon(shard, machine, "faulty")

    def confirm_unreachable_gone(self, shard: Shard) -> None:
        """A machine that does not answer after a takeover holds back every job accepted before
        it. Nearly always it is dead; the cloud's answer to its release proves it empty. Only
        the leader asks for that."""
        if self.context.now - shard.acquired_at < UNCONFIRMED_LEASES * self.context.timing.lease_s:
            return
        zones: dict[str, list[int]] = {}
        for machine_id, machine in shard.machines.items():
            zone = zones.setdefault(machine.entry.zone, [0, 0])
            zone[0] += machine_id in shard.unreconciled
            zone[1] += 1
        for machine_id in list(shard.unreconciled):
            machine = shard.machines[machine_id]
            missing, all_there = zones[machine.entry.zone]
            tried = machine.fencing.probe_failures >= 2 or not machine.entry.address
            if machine_id in self.provider.released_at:
                shard.confirm_gone(machine_id)
            elif (
                machine_id not in self.provider.release_requested
                and tried
                and missing <= max(1.0, UNCONFIRMED_SHARE * all_there)
            ):
                log.info(
                    "machine released as proof machine=%s block=%s", machine_id, shard.shard_id
                )
                self.provider.release_requested.add(machine_id)

    def _abandon(self, shard: Shard, machine: Machine, why: str) -> None:
        """From here nothing is placed on it, whatever becomes of the write."""
        log.info(
            "machine given up machine=%s why=%s block=%s", machine.machine_id, why, shard.shard_id
        )
        machine.scale_in.leaving_shard = True
        shard.occupancy_due[machine.machine_id] = None
        shard.needs_replan = True
        self.writer.remove(shard.shard_id, machine.machine_id)
