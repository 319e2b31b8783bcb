"""The state of one machine as input to a plan."""

from __future__ import annotations

import math

import msgspec

from fallpulley.placement.profile import HeldResources, Profile
from fallpulley.resources import Resources


class MachineSnapshot(msgspec.Struct, eq=False):
    """A machine that can be given tasks. Times are seconds of the controller's monotonic clock."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    capacity: Resources
    fetch_gb_per_s: float
    slowness: float  # ratio of observed to estimated run times, 1 for an ordinary machine
    running: list[HeldResources]
    images: dict[str, float]  # by image, when it is or will be in the machine's cache
    fetch_free_at: float  # when all fetches in progress will have ended
    profile: Profile | None = None  # made from `running` by the first plan; plans book in copies
    valid_until: float = math.inf  # the snapshot is rebuilt then, or earlier on a change
