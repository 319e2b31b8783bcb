"""Machines that a shard gives back to the cloud: of no use, idle, or out of reach."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from fallpulley.cloud.messages import DEFAULT_BOOT_SECONDS, FAILED_STATE
from fallpulley.context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.records.registry import Registry
from fallpulley.records.writer import ShardWriter
from fallpulley.shards.shard import FAULTY_MACHINE_JOBS, Shard
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

# A machine that is not up after so many boot times goes back, twice those after which it is not
# counted on. Some take several times as long, a few never come.
ABANDON_BOOT_TIMES = 4.0
# But not before so many leases.
ABANDON_BOOT_LEASES = 2
# A machine that was offline for so many leases goes back: most likely it is no more.
ABANDON_OFFLINE_LEASES = 2.5
# A machine on which so many tasks have completed for each job that failed there is not faulty.
COMPLETED_TASKS_PER_FAILED_JOB = 4
# After a failover a machine may stay unreachable for this share of a lease.
UNRECONCILED_LEASES = 0.25
# When more than this share of a zone is out of reach, it is the network: they will be back. A
# wave of preemptions takes a third or a half of the spot machines, among others that answer.
UNRECONCILED_SHARE = 0.4
# A machine counts as unreachable after so many status probes without a response.
MIN_PROBE_FAILURES = 2


class AbandonReason(Enum):
    """Why a machine is given back; the values stand in log lines."""

    IDLE = "idle"
    UNACKNOWLEDGED = "unacknowledged"  # its heartbeats come, but it does not hear us
    RELEASED = "released"  # the cloud has confirmed its release
    FAILED = "failed"  # the cloud says that it has stopped
    OFFLINE = "offline"
    NEVER_ONLINE = "never-online"
    FAULTY = "faulty"  # jobs fail on it


class MachineAbandoner:
    """Removes machines from a shard's record, which has them released."""

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

    def abandon_useless(self, shard: Shard) -> None:
        """Abandon machines that never came up, went offline, stopped or are faulty."""
        listed_machines = self.provider.listed_machines
        for machine in shard.machines.values():
            if machine.scale_in.leaving_shard:
                continue
            listed = listed_machines.get(machine.machine_id)
            if listed is not None and listed.state == FAILED_STATE:
                machine.scale_in.failed_in_cloud = True
            if machine.runs or machine.machine_id in shard.unreconciled:
                continue
            reason = self._reason_to_abandon(machine)
            if reason is not None:
                self.abandon(shard, machine, reason)

    def abandon(self, shard: Shard, machine: Machine, reason: AbandonReason) -> None:
        """From here nothing is placed on it, whatever becomes of the write."""
        log.info(
            "machine abandoned machine=%s reason=%s shard=%s",
            machine.machine_id,
            reason.value,
            shard.shard_id,
        )
        machine.scale_in.leaving_shard = True
        shard.occupancy_due[machine.machine_id] = None
        shard.needs_replan = True
        self.writer.remove(shard.shard_id, machine.machine_id)

    def _reason_to_abandon(self, machine: Machine) -> AbandonReason | None:
        """Why a machine without tasks is of no use; None: it is, or may be."""
        unacknowledged_since = machine.fencing.unacknowledged_since
        if unacknowledged_since is not None and self._lasts_too_long(unacknowledged_since):
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
        if machine.machine_id in self.provider.released_at:
            return AbandonReason.RELEASED
        if machine.scale_in.failed_in_cloud:
            return AbandonReason.FAILED
        offline_since = max(machine.heartbeat.received_at, machine.granted_at)
        if machine.heartbeat.ever_online:
            return AbandonReason.OFFLINE if self._lasts_too_long(offline_since) else None
        if self.context.now - offline_since > self._max_boot_s(machine):
            return AbandonReason.NEVER_ONLINE
        return None

    def _lasts_too_long(self, since: float) -> bool:
        max_offline_s = ABANDON_OFFLINE_LEASES * self.context.timing.lease_s
        return self.context.now - since > max_offline_s

    def _max_boot_s(self, machine: Machine) -> float:
        machine_type = self.registry.machine_types.get(machine.entry.machine_type)
        boot_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_SECONDS
        return max(ABANDON_BOOT_TIMES * boot_s, ABANDON_BOOT_LEASES * self.context.timing.lease_s)

    # -- machines out of reach after a failover --------------------------------------------

    def confirm_unreachable_gone(self, shard: Shard) -> None:
        """Have machines released that do not answer after a failover.

        Such a machine holds back every job accepted before it. Nearly always it is dead; the
        cloud's answer to its release confirms it empty. Only the leader asks for that.
        """
        if self.context.now - shard.acquired_at < UNRECONCILED_LEASES * self.context.timing.lease_s:
            return
        machines_in_zone, unreconciled_in_zone = _count_by_zone(shard)
        for machine_id in list(shard.unreconciled):
            machine = shard.machines[machine_id]
            zone = machine.entry.zone
            max_unreconciled = max(1.0, UNRECONCILED_SHARE * machines_in_zone[zone])
            if machine_id in self.provider.released_at:
                shard.confirm_gone(machine_id)
            elif (
                machine_id not in self.provider.release_requested
                and _is_unreachable(machine)
                and unreconciled_in_zone[zone] <= max_unreconciled
            ):
                log.info(
                    "unreachable machine released machine=%s shard=%s", machine_id, shard.shard_id
                )
                self.provider.release_requested.add(machine_id)


def _count_by_zone(shard: Shard) -> tuple[Counter[str], Counter[str]]:
    """The shard's machines in each zone, and those of them that are unreconciled."""
    machines: Counter[str] = Counter()
    unreconciled: Counter[str] = Counter()
    for machine_id, machine in shard.machines.items():
        machines[machine.entry.zone] += 1
        unreconciled[machine.entry.zone] += machine_id in shard.unreconciled
    return machines, unreconciled


def _is_unreachable(machine: Machine) -> bool:
    """It did not respond to probes, or cannot be probed."""
    return machine.fencing.probe_failures >= MIN_PROBE_FAILURES or not machine.entry.address
