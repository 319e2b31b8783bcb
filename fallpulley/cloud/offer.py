"""What the cloud rents machines by."""

from __future__ import annotations

from typing import NamedTuple


class Offer(NamedTuple):
    """Machines of one type in one zone, at the spot price or the usual one. Each offer is available
    or refused by itself."""

    machine_type: str
    zone: str
    spot: bool
