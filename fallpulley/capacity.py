"""The resources that a controller needs: to start, and to serve a fleet of a given size."""

from __future__ import annotations

import msgspec

from fallpulley.settings import PUBLIC_SOCKET_SHARE, Settings
from fallpulley.shard_sizes import (
    HEARTBEAT_CPU_SECONDS,
    HEARTBEAT_CPU_SHARE,
    machines_per_shard,
)

# Needs of a controller, as measured on simulated machines.
# Processor time from its start to its first session, on a whole core, rounded up.
START_CPU_SECONDS = 0.15
# Share of a core that it uses with nothing to do.
IDLE_CPU_SHARE = 0.008
# Memory in MiB after its start, rounded up, and further memory for each machine, from the largest
# owner measured (950 machines, 1,400 jobs).
START_MEMORY_MB, MACHINE_MEMORY_MB = 24.0, 0.05
# Maximum duration of a controller's start, as a share of a worker's lease: to take part in a
# failover, it has to start well within a lease.
MAX_START_LEASES = 0.5


class Shortage(msgspec.Struct, frozen=True):
    """A resource of the controller's machine, or of the deployment, that is too small.

    Its string is the warning that operators read.
    """

    setting: str  # full name of the setting that states the resource
    actual: str  # value of the setting
    verdict: str  # says that the value is too small, and for what
    requirement: str  # says what is needed, with the figure

    def __str__(self) -> str:
        return f"{self.setting}: {self.actual} {self.verdict}, {self.requirement}"


def find_shortages(settings: Settings) -> list[Shortage]:
    """Return what a controller lacks to start, or to serve as many machines as it has sockets.

    Compares the settings with measured needs.
    """
    limits = settings.facts.machine_limits
    core_share = max(
        2 * IDLE_CPU_SHARE,
        START_CPU_SECONDS / (MAX_START_LEASES * settings.facts.workers.lease_s),
    )
    # Memory is checked for one machine per socket: each holds a socket during its heartbeat.
    memory_mb = _memory_mb(limits.sockets)
    found = []
    if limits.core_share < core_share:
        found.append(
            _core_share_shortage(
                limits.core_share,
                "is too small",
                f"{core_share:.3g} is needed to start within {MAX_START_LEASES:g} * lease_s",
            )
        )
    if limits.memory_mb < START_MEMORY_MB:
        found.append(
            _memory_shortage(
                limits.memory_mb, "is too small", f"{START_MEMORY_MB:g} is needed to start"
            )
        )
    elif limits.memory_mb < memory_mb:
        found.append(
            _memory_shortage(
                limits.memory_mb,
                "may be too small",
                f"{memory_mb:.0f} is needed for as many machines as there are sockets",
            )
        )
    return found


def find_fleet_shortages(settings: Settings, machine_count: int) -> list[Shortage]:
    """Return what the deployment lacks to serve `machine_count` machines.

    Each controller must be able to serve all of them alone, in case no other one is left. Besides,
    there must be enough controllers to serve them in time together. A shortage breaks no guarantee:
    requests that cannot be served are refused or late.
    """
    limits = settings.facts.machine_limits
    core_share = (
        machine_count
        * HEARTBEAT_CPU_SECONDS
        / (HEARTBEAT_CPU_SHARE * settings.facts.workers.report_s)
    )
    sockets = machine_count / PUBLIC_SOCKET_SHARE
    memory_mb = _memory_mb(machine_count)
    controllers = -(-machine_count // machines_per_shard(settings.facts))
    fleet = f"for {machine_count} machines with one controller left"
    found = []
    if limits.core_share < core_share:
        found.append(
            _core_share_shortage(
                limits.core_share, f"is too small {fleet}", f"{core_share:.3g} is needed"
            )
        )
    if limits.sockets < sockets:
        found.append(
            Shortage(
                "facts.machine_limits.sockets",
                f"{limits.sockets}",
                f"are too few {fleet}",
                f"{sockets:.0f} are needed; with fewer, connections of machines are closed after"
                " each response",
            )
        )
    if limits.memory_mb < memory_mb:
        found.append(
            _memory_shortage(
                limits.memory_mb, f"is too small {fleet}", f"{memory_mb:.0f} is needed"
            )
        )
    if controllers > settings.facts.nodes:
        found.append(
            Shortage(
                "facts.nodes",
                f"{settings.facts.nodes}",
                f"are too few for {machine_count} machines on such controllers",
                f"{controllers} are needed to serve all machines in time",
            )
        )
    return found


def _memory_mb(machine_count: int) -> float:
    """Return the memory in MiB of a controller that owns so many machines."""
    return START_MEMORY_MB + MACHINE_MEMORY_MB * machine_count


def _core_share_shortage(core_share: float, verdict: str, requirement: str) -> Shortage:
    return Shortage("facts.machine_limits.core_share", f"{core_share:g}", verdict, requirement)


def _memory_shortage(memory_mb: float, verdict: str, requirement: str) -> Shortage:
    return Shortage("facts.machine_limits.memory_mb", f"{memory_mb:g}", verdict, requirement)
