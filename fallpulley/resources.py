"""What a task uses of its machine, and what a machine has."""

from __future__ import annotations

from typing import NamedTuple

# Sums of decimal amounts are compared with this tolerance.
TOLERANCE = 1e-6


class Resources(NamedTuple):
    """Amounts of processors, accelerators and memory."""

    cpus: float  # fractions of processors too
    gpus: float
    memory_gb: float

    def fits_in(self, free: Resources) -> bool:
        """Whether `free` has this much of each, within `TOLERANCE`."""
        return (
            self.cpus <= free.cpus + TOLERANCE
            and self.gpus <= free.gpus + TOLERANCE
            and self.memory_gb <= free.memory_gb + TOLERANCE
        )

    def plus(self, other: Resources) -> Resources:
        """The sum of each amount."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: Resources) -> Resources:
        """The difference of each amount, which may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def minimum(self, other: Resources) -> Resources:
        """The smaller of each amount."""
        return Resources(
            min(self.cpus, other.cpus),
            min(self.gpus, other.gpus),
            min(self.memory_gb, other.memory_gb),
        )
