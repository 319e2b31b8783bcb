"""Abandonment: giving a shard's idle, unusable or unreachable machines back to the cloud."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, FAILED_STATE
from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.shards.shard import FAULTY_MACHINE_JOBS, Shard
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

# How long a new machine may take to come online before it is abandoned, in boot times of its type.
# Some machines take several boot times and a few never come online. This is twice
# `supply.COUNTED_BOOT_TIMES`, after which the machine no longer counts as supply.
MAX_STARTUP_BOOT_TIMES = 4.0
# The least time that a new machine gets to come online, in worker leases.
MIN_STARTUP_LEASES = 2
# How long a machine may be offline, in worker leases, before it is abandoned: after that it most
# likely no longer exists. Also the limit for a machine that responses do not reach.
MAX_OFFLINE_LEASES = 2.5
# A machine is not faulty if at least this many tasks completed on it per job that failed there.
COMPLETED_TASKS_PER_FAILED_JOB = 4
# How long a machine has after a failover to report its tasks, in worker leases, before the leader
# may have it released as unreachable.
RECONCILIATION_WAIT_LEASES = 0.25
# If more than this share of a shard's machines in a zone is unreconciled, the network is at fault
# and the machines will come back, so none is released. A wave of preemptions takes a third to a
# half of the spot machines, but other machines in the zone still respond. A single unreconciled
# machine may always be released.
MAX_UNRECONCILED_ZONE_SHARE = 0.4
# Status probes without a response after which a machine counts as unreachable.
MIN_PROBE_FAILURES = 2


class AbandonReason(Enum):
    """Why a machine is given back to the cloud; the values appear in log lines."""

    IDLE = "idle"
    UNACKNOWLEDGED = "unacknowledged"  # its heartbeats arrive, but responses do not reach it
    RELEASED = "released"  # the cloud has confirmed its release
    FAILED = "failed"  # the cloud lists it as stopped permanently
    OFFLINE = "offline"
    NEVER_ONLINE = "never-online"
    FAULTY = "faulty"  # several jobs failed on it, and few tasks completed


class MachineAbandoner:
    """Removes machines from a shard's record, which leads to their release by the leader."""

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

    def abandon_unusable(self, shard: Shard) -> None:
        """Abandon machines that are unacknowledged, offline, stopped, released or faulty.

        Machines that hold tasks, or may hold unknown ones after a failover, are kept.
        """
        listed_machines = self.provider.listed_machines
        for machine in shard.machines.values():
            if machine.departure.leaving_shard:
                continue
            listed = listed_machines.get(machine.machine_id)
            if listed is not None and listed.state == FAILED_STATE:
                machine.departure.failed_in_cloud = True
            if machine.runs or machine.machine_id in shard.unreconciled:
                continue
            reason = self._reason_to_abandon(machine)
            if reason is not None:
                self.abandon(shard, machine, reason)

    def abandon(self, shard: Shard, machine: Machine, reason: AbandonReason) -> None:
        """Remove a machine from its shard's record.

        No task is placed on the machine from now on, even if the write of the record fails.
        """
        log.info(
            "machine abandoned machine=%s reason=%s shard=%s",
            machine.machine_id,
            reason.value,
            shard.shard_id,
        )
        machine.departure.leaving_shard = True
        shard.occupancy_due[machine.machine_id] = None
        shard.needs_replan = True
        self.writer.remove(shard.shard_id, machine.machine_id)

    def _reason_to_abandon(self, machine: Machine) -> AbandonReason | None:
        """Return why a machine without tasks should be abandoned, or None to keep it."""
        unacknowledged_since = machine.fencing.unacknowledged_since
        if unacknowledged_since is not None and self._exceeds_max_offline_time(
            unacknowledged_since
        ):
            return AbandonReason.UNACKNOWLEDGED
        if not machine.heartbeat.online:
            return self._reason_to_abandon_offline(machine)
        failed_jobs = len(machine.reliability.failed_jobs)
        if (
            failed_jobs >= FAULTY_MACHINE_JOBS
            and machine.reliability.completed_tasks < COMPLETED_TASKS_PER_FAILED_JOB * failed_jobs
        ):
            return AbandonReason.FAULTY
        return None

    def _reason_to_abandon_offline(self, machine: Machine) -> AbandonReason | None:
        """Return why an offline machine should be abandoned, or None to keep it."""
        if machine.machine_id in self.provider.released_at:
            return AbandonReason.RELEASED
        if machine.departure.failed_in_cloud:
            return AbandonReason.FAILED
        offline_since = max(machine.heartbeat.received_at, machine.granted_at)
        if machine.heartbeat.ever_online:
            return AbandonReason.OFFLINE if self._exceeds_max_offline_time(offline_since) else None
        if self.context.now - offline_since > self._max_boot_s(machine):
            return AbandonReason.NEVER_ONLINE
        return None

    def _exceeds_max_offline_time(self, since: float) -> bool:
        """Return whether more than `MAX_OFFLINE_LEASES` have passed since that time."""
        max_offline_s = MAX_OFFLINE_LEASES * self.context.timing.lease_s
        return self.context.now - since > max_offline_s

    def _max_boot_s(self, machine: Machine) -> float:
        """Return how many seconds the machine may take to come online."""
        machine_type = self.registry.machine_types.get(machine.entry.machine_type)
        boot_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_SECONDS
        return max(
            MAX_STARTUP_BOOT_TIMES * boot_s, MIN_STARTUP_LEASES * self.context.timing.lease_s
        )

    # -- unreachable machines after a failover ---------------------------------------------

    def release_unreachable(self, shard: Shard) -> None:
        """Request the release of machines that do not respond after a failover.

        While such a machine may hold unknown tasks, no job that was accepted before the failover
        can proceed. It is nearly always dead, and the cloud's confirmation of its release proves
        that it holds no tasks: from then on it is no longer unreconciled. Only the leader requests
        these releases.
        """
        if (
            self.context.now - shard.acquired_at
            < RECONCILIATION_WAIT_LEASES * self.context.timing.lease_s
        ):
            return
        machines_in_zone, unreconciled_in_zone = _count_by_zone(shard)
        for machine_id in list(shard.unreconciled):
            machine = shard.machines[machine_id]
            zone = machine.entry.zone
            max_unreconciled = max(1.0, MAX_UNRECONCILED_ZONE_SHARE * machines_in_zone[zone])
            if machine_id in self.provider.released_at:
                shard.confirm_gone(machine_id)
            elif (
                machine_id not in self.provider.release_requested
                and _is_unreachable(machine)
                and unreconciled_in_zone[zone] <= max_unreconciled
            ):
                log.info(
                    "release requested for unreachable machine machine=%s shard=%s",
                    machine_id,
                    shard.shard_id,
                )
                self.provider.release_requested.add(machine_id)


def _count_by_zone(shard: Shard) -> tuple[Counter[str], Counter[str]]:
    """Count the shard's machines in each zone, and the unreconciled ones among them."""
    machines: Counter[str] = Counter()
    unreconciled: Counter[str] = Counter()
    for machine_id, machine in shard.machines.items():
        machines[machine.entry.zone] += 1
        unreconciled[machine.entry.zone] += machine_id in shard.unreconciled
    return machines, unreconciled


def _is_unreachable(machine: Machine) -> bool:
    """Return whether the machine fails to respond to probes or has no address to be probed at."""
    return machine.fencing.probe_failures >= MIN_PROBE_FAILURES or not machine.entry.address
