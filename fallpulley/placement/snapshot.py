"""What a plan knows of one machine."""

from __future__ import annotations

import math

import msgspec

from fallpulley.placement.profile import Occupancy, Profile
from fallpulley.resources import Resources


class MachineSnapshot(msgspec.Struct, eq=False):
    """A machine that can be given tasks. Times are seconds of the controller's steady clock."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    capacity: Resources
    fetch_gb_per_s: float
    slowness: float  # observed run times over estimates, 1 for an ordinary machine
    running: list[Occupancy]
    images: dict[str, float]  # image -> when it is (or will be) there
    fetch_free_at: float  # when fetches in progress are through
    profile: Profile | None = None  # made from `running`; plans work on copies
    valid_until: float = math.inf  # unless something changes on the machine before
