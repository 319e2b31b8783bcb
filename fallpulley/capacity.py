"""What a controller's machine must offer: to start at all, and to carry a fleet of some size."""

from __future__ import annotations

from fallpulley.balancing.shard_sizes import (
    HEARTBEAT_CPU_SECONDS,
    HEARTBEAT_CPU_SHARE,
    machines_per_shard,
)
from fallpulley.settings import SERVE_SHARE, Settings

# What a controller was measured to need, on simulated machines. Processor time from its start to
# its first session, rounded up, and what it takes as a share of a core with nothing to do.
START_CPU_S = 0.15
IDLE_SHARE = 0.008
# Memory after its start, rounded up, and that of the largest holder measured (950 machines, 1,400
# jobs) beyond it, for each machine.
START_MB, MACHINE_MB = 24.0, 0.05
# A controller that is to take over must start well within a worker's lease.
START_LEASES = 0.5


def shortages(settings: Settings) -> list[str]:
    """What the machine lacks, each with the figure needed, from measured needs and the settings."""
    limits, workers = settings.facts.machine_limits, settings.facts.workers
    share = max(2 * IDLE_SHARE, START_CPU_S / (START_LEASES * workers.lease_s))
    # Memory for as many machines as there are sockets for: each holds one while it reports.
    memory_mb = START_MB + MACHINE_MB * limits.sockets
    found = []
    if limits.core_share < share:
        found.append(
            f"facts.machine_limits.core_share: {limits.core_share:g} is too small, {share:.3g} is"
            f" needed to start within {START_LEASES:g} of lease_s"
        )
    if limits.memory_mb < START_MB:
        found.append(
            f"facts.machine_limits.memory_mb: {limits.memory_mb:g} is too small, {START_MB:g} is"
            " needed to start"
        )
    elif limits.memory_mb < memory_mb:
        found.append(
            f"facts.machine_limits.memory_mb: {limits.memory_mb:g} may be too small,"
            f" {memory_mb:.0f} is needed for as many machines as there are sockets"
        )
    return found


def shortages_for(settings: Settings, machines: int) -> list[str]:
    """What one controller lacks to carry so many machines, as the last one left would have to, each
    with the figure needed. None of it breaks a rule: what can't be taken is refused or late."""
    limits, workers = settings.facts.machine_limits, settings.facts.workers
    share = machines * HEARTBEAT_CPU_SECONDS / (HEARTBEAT_CPU_SHARE * workers.report_s)
    sockets = machines / SERVE_SHARE
    memory_mb = START_MB + MACHINE_MB * machines
    shards = -(-machines // machines_per_shard(settings.facts))
    found = []
    if limits.core_share < share:
        found.append(
            f"facts.machine_limits.core_share: {limits.core_share:g} is too small for {machines}"
            f" machines with one controller left, {share:.3g} is needed"
        )
    if limits.sockets < sockets:
        found.append(
            f"facts.machine_limits.sockets: {limits.sockets} are too few for {machines} machines"
            f" with one controller left, {sockets:.0f} are needed; below that, connections of"
            " machines end with their answers"
        )
    if limits.memory_mb < memory_mb:
        found.append(
            f"facts.machine_limits.memory_mb: {limits.memory_mb:g} is too small for {machines}"
            f" machines with one controller left, {memory_mb:.0f} is needed"
        )
    if shards > settings.facts.nodes:
        found.append(
            f"facts.nodes: {settings.facts.nodes} are too few for {machines} machines on such"
            f" controllers, {shards} are needed for each to serve its part in time"
        )
    return found
