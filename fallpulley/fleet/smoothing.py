"""The level of a shard's work over about a boot time.

Jobs come in lumps that are over before a machine rented for them is up: what counts is the level
of work, and backlogs far above it.
"""

from __future__ import annotations

from fallpulley.fleet.sizing import DemandGroup, DemandKey

# The level of work is smoothed over so many boot times.
SMOOTH_BOOTS = 1.0
# A backlog above the level counts at this share.
BACKLOG_SHARE = 0.6
# A level that has fallen to this many processor-seconds is no work any more.
MIN_WORK_LEVEL = 1.0


class DemandSmoother:
    """Keeps the level of work of each shard's groups."""

    def __init__(self) -> None:
        self._levels: dict[str, dict[DemandKey, float]] = {}  # by shard_id, in processor-seconds

    def smooth(
        self, shard_id: str, groups: list[DemandGroup], elapsed_s: float, boot_s: float
    ) -> list[DemandGroup]:
        """The groups with their work smoothed, and those that have none now but had some lately.
        `elapsed_s`: since the shard's last call. Changes the groups given."""
        weight = min(1.0, elapsed_s / (SMOOTH_BOOTS * boot_s))
        levels = self._levels.setdefault(shard_id, {})
        present = set()
        for group in groups:
            key = group.key
            present.add(key)
            level = levels.get(key, group.work)
            level += weight * (group.work - level)
            levels[key] = level
            group.work = max(level, group.work * BACKLOG_SHARE)
        recent = []
        for key in levels:
            if key not in present:
                levels[key] *= 1 - weight
                if levels[key] > MIN_WORK_LEVEL:
                    recent.append(DemandGroup.of_key(key, levels[key]))
        return groups + recent
