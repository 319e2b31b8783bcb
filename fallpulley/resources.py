"""Amounts of what a task takes of its machine, and of what a machine has."""

from __future__ import annotations

from typing import NamedTuple

# Sums of decimal amounts are compared with this tolerance.
TOLERANCE = 1e-6


class Resources(NamedTuple):
    """Processors, accelerators and memory."""

    cpus: float
    gpus: float
    memory_gb: float

    def fits_in(self, free: Resources) -> bool:
        """Whether this much is there."""
        return (
            self.cpus <= free.cpus + TOLERANCE
            and self.gpus <= free.gpus + TOLERANCE
            and self.memory_gb <= free.memory_gb + TOLERANCE
        )

    def plus(self, other: Resources) -> Resources:
        """Both together."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """What is left of it."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def least_of(self, other: Resources) -> Resources:
        """The lesser of each amount."""
        return Resources(
            min(self.cpus, other.cpus),
            min(self.gpus, other.gpus),
            min(self.memory_gb, other.memory_gb),
        )
