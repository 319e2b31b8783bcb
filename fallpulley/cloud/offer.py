"""Offers, the units in which the cloud rents machines out."""

from __future__ import annotations

from typing import NamedTuple


class Offer(NamedTuple):
    """Machines of one type in one zone, either spot or ordinary machines.

    The cloud accepts or refuses rentals for each offer independently.
    """

    machine_type: str
    zone: str
    spot: bool  # whether they are spot machines, which the cloud may preempt
