"""Amounts of resources: what a task needs, and what a machine has or has free."""

from __future__ import annotations

from typing import NamedTuple

# Tolerance in comparisons of amounts, which are sums of decimal fractions.
TOLERANCE = 1e-6


class Resources(NamedTuple):
    """Amounts of processors, GPUs and memory."""

    cpus: float  # processors, may be a fraction
    gpus: float
    memory_gb: float

    def fits_in(self, free: Resources) -> bool:
        """Whether no amount exceeds that of `free` by more than `TOLERANCE`."""
        return (
            self.cpus <= free.cpus + TOLERANCE
            and self.gpus <= free.gpus + TOLERANCE
            and self.memory_gb <= free.memory_gb + TOLERANCE
        )

    def is_within(self, capacity: Resources) -> bool:
        """Whether no amount exceeds that of `capacity`, of which nothing is in use."""
        return (
            self.cpus <= capacity.cpus
            and self.gpus <= capacity.gpus
            and self.memory_gb <= capacity.memory_gb
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sums of the amounts."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """Return the differences of the amounts, which may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def elementwise_minimum(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cpus, other.cpus),
            min(self.gpus, other.gpus),
            min(self.memory_gb, other.memory_gb),
        )
