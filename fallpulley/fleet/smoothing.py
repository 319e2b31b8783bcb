"""Smoothing of a shard's demand over about one boot time.

Jobs often arrive in bursts that are over before a machine rented for them is online. The fleet is
therefore sized for the moving average of the work, or for a part of the current work if that part
is above the average.
"""

from __future__ import annotations

from fallpulley.fleet.demand_group import DemandGroup, DemandKey

# Time constant of the moving average, in boot times.
SMOOTHING_BOOT_TIMES = 1.0
# The smoothed work is at least this share of the current work, however low the average is.
MIN_CURRENT_WORK_SHARE = 0.6
# An average that has fallen to this many processor-seconds counts as no work.
MIN_AVERAGE_WORK = 1.0


class DemandSmoother:
    """Keeps an exponential moving average of the work of each shard's groups."""

    def __init__(self) -> None:
        # Average work by shard_id and group, in processor-seconds.
        self._averages: dict[str, dict[DemandKey, float]] = {}

    def smooth(
        self, shard_id: str, groups: list[DemandGroup], elapsed_s: float, boot_s: float
    ) -> list[DemandGroup]:
        """Replace the groups' work by smoothed values; return them and recently vanished groups.

        The given groups are modified. `elapsed_s` is the time since the last call for this shard.
        """
        weight = min(1.0, elapsed_s / (SMOOTHING_BOOT_TIMES * boot_s))
        averages = self._averages.setdefault(shard_id, {})
        present = set()
        for group in groups:
            key = group.key
            present.add(key)
            average = averages.get(key, group.work)
            average += weight * (group.work - average)
            averages[key] = average
            group.work = max(average, group.work * MIN_CURRENT_WORK_SHARE)
        recently_vanished = []
        for key in averages:
            if key not in present:
                averages[key] *= 1 - weight
                if averages[key] > MIN_AVERAGE_WORK:
                    recently_vanished.append(DemandGroup.from_key(key, averages[key]))
        return groups + recently_vanished
