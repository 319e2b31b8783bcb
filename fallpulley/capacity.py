"""What a controller's machine must offer: to start at all, and to carry a fleet of some size."""

from __future__ import annotations

import msgspec

from fallpulley.settings import SERVE_SHARE, Settings
from fallpulley.shard_sizes import (
    HEARTBEAT_CPU_SECONDS,
    HEARTBEAT_CPU_SHARE,
    machines_per_shard,
)

# What a controller was measured to need, on simulated machines. Processor time from its start to
# its first session, rounded up, and what it uses as a share of a core with nothing to do.
START_CPU_SECONDS = 0.15
IDLE_CPU_SHARE = 0.008
# Memory after its start, rounded up, and that of the largest owner measured (950 machines, 1,400
# jobs) beyond it, for each machine.
START_MEMORY_MB, MACHINE_MEMORY_MB = 24.0, 0.05
# A controller that is to take part in a failover must start well within a worker's lease.
MAX_START_LEASES = 0.5


class Shortage(msgspec.Struct, frozen=True):
    """A setting that says the machine or the deployment has too little of something. As a string
    it is what operators read."""

    setting: str  # its full name
    actual: str
    verdict: str
    need: str  # with the figure

    def __str__(self) -> str:
        return f"{self.setting}: {self.actual} {self.verdict}, {self.need}"


def shortages(settings: Settings) -> list[Shortage]:
    """What the machine lacks for a controller to start, and to serve as many machines as there are
    sockets; from measured needs and the settings."""
    limits = settings.facts.machine_limits
    core_share = max(
        2 * IDLE_CPU_SHARE,
        START_CPU_SECONDS / (MAX_START_LEASES * settings.facts.workers.lease_s),
    )
    # Each machine holds a socket during its heartbeat.
    memory_mb = _memory_mb(limits.sockets)
    found = []
    if limits.core_share < core_share:
        found.append(
            _core_share_shortage(
                limits.core_share,
                "is too small",
                f"{core_share:.3g} is needed to start within {MAX_START_LEASES:g} of lease_s",
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


def shortages_for(settings: Settings, machine_count: int) -> list[Shortage]:
    """What one controller lacks to carry so many machines, as the last one left would have to.
    None of it breaks a rule: what can't be served is refused or late."""
    limits = settings.facts.machine_limits
    core_share = (
        machine_count
        * HEARTBEAT_CPU_SECONDS
        / (HEARTBEAT_CPU_SHARE * settings.facts.workers.report_s)
    )
    sockets = machine_count / SERVE_SHARE
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
                f"{sockets:.0f} are needed; below that, connections of machines end with their"
                " answers",
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
                f"{controllers} are needed for each to serve its part in time",
            )
        )
    return found


def _memory_mb(machine_count: int) -> float:
    """What a controller uses that owns so many machines."""
    return START_MEMORY_MB + MACHINE_MEMORY_MB * machine_count


def _core_share_shortage(core_share: float, verdict: str, need: str) -> Shortage:
    return Shortage("facts.machine_limits.core_share", f"{core_share:g}", verdict, need)


def _memory_shortage(memory_mb: float, verdict: str, need: str) -> Shortage:
    return Shortage("facts.machine_limits.memory_mb", f"{memory_mb:g}", verdict, need)
