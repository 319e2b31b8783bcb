"""Supply of a shard: its machines, those being rented and those being added to its record."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from fallpulley.cloud.messages import MachineType, RentalRequest
from fallpulley.cloud.offer import Offer
from fallpulley.fleet.sizing import SupplyUnit
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.workers.machine import Machine

# How long a new machine counts as supply without coming online, in boot times of its type. Some
# machines take several boot times and a few never come online.
COUNTED_BOOT_TIMES = 2.0

# How long a machine that responses do not reach still counts as supply while its heartbeats
# arrive, in heartbeat intervals.
MAX_UNACKNOWLEDGED_HEARTBEATS = 2.0


def machine_supply(
    shard: Shard, machine_types: dict[str, MachineType], now: float
) -> list[SupplyUnit]:
    """Return the machines of the shard's record that are online or expected to come online."""
    max_unacknowledged_s = MAX_UNACKNOWLEDGED_HEARTBEATS * shard.context.timing.heartbeat_interval_s
    supply = []
    for machine in shard.machines.values():
        machine_type = machine_types.get(machine.entry.machine_type)
        if machine_type is None or not _is_counted(
            machine, machine_type, now, max_unacknowledged_s
        ):
            continue
        idle_s = None
        if machine.usable and machine.empty and machine.departure.idle_since is not None:
            idle_s = now - machine.departure.idle_since
        supply.append(
            SupplyUnit(
                machine.machine_id,
                machine_type.name,
                machine.entry.zone,
                machine.entry.spot,
                machine_type.cpus,
                idle_s,
            )
        )
    return supply


def _is_counted(
    machine: Machine, machine_type: MachineType, now: float, max_unacknowledged_s: float
) -> bool:
    """Return whether the machine is online or booting, reachable, and not about to leave."""
    departure = machine.departure
    if departure.leaving_shard or departure.release_decided or departure.failed_in_cloud:
        return False
    if departure.preempted_at is not None:
        return False
    if not machine.heartbeat.ever_online:
        if now - machine.granted_at > COUNTED_BOOT_TIMES * machine_type.boot_s:
            return False
    elif not machine.heartbeat.online:
        return False
    if not machine.fencing.token_confirmed:
        return True
    since = machine.fencing.unacknowledged_since
    return since is None or now - since <= max_unacknowledged_s


def rented_supply(
    requests: Iterable[RentalRequest], machine_types: dict[str, MachineType]
) -> list[SupplyUnit]:
    """Return the machines of rental requests that the cloud has neither filled nor refused."""
    supply = []
    for request in requests:
        machine_type = machine_types.get(request.machine_type)
        if machine_type is None:
            continue
        supply += [
            SupplyUnit(
                f"{request.request_id}/{number}",
                request.machine_type,
                request.zone,
                request.spot,
                machine_type.cpus,
                None,
            )
            for number in range(request.count)
        ]
    return supply


def requested_supply(
    counts: Mapping[Offer, int], machine_types: dict[str, MachineType]
) -> list[SupplyUnit]:
    """Return the machines that the leader was asked for and may still rent, given by offer."""
    requests = [
        RentalRequest(f"requested-{number}", *offer, count)
        for number, (offer, count) in enumerate(counts.items())
    ]
    return rented_supply(requests, machine_types)


def added_supply(
    shard: Shard, adding: Mapping[str, MachineEntry], machine_types: dict[str, MachineType]
) -> list[SupplyUnit]:
    """Return the machines being added to the shard (by machine_id) that it does not have yet."""
    supply = []
    for machine_id, entry in adding.items():
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
    return supply
