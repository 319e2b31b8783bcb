"""Log lines about work that no machine can take and for which none is rented."""

from __future__ import annotations

import logging

from fallpulley.fleet.demand_group import DemandKey
from fallpulley.fleet.sizing import UnmetDemand

log = logging.getLogger(__name__)

# Least time between two lines about the same group of work, in seconds. Refused offers are
# requested again every few seconds, and a request counts as supply until it is refused.
LOG_INTERVAL_SECONDS = 60.0


class UnmetDemandLog:
    """Logs groups of a shard's work that have tasks without a machine, each now and then."""

    def __init__(self) -> None:
        self._logged_at: dict[tuple[str, DemandKey], float] = {}  # by shard_id and group

    def record(self, shard_id: str, unmet: list[UnmetDemand], now: float) -> None:
        """Log what a sizing of the shard left unmet."""
        self._forget_before(now - LOG_INTERVAL_SECONDS)
        for demand in unmet:
            key = (shard_id, demand.group.key)
            if key not in self._logged_at:
                self._logged_at[key] = now
                _log_demand(shard_id, demand)

    def _forget_before(self, oldest_at: float) -> None:
        self._logged_at = {
            key: logged_at for key, logged_at in self._logged_at.items() if logged_at > oldest_at
        }


def _log_demand(shard_id: str, demand: UnmetDemand) -> None:
    group, eligible = demand.group, demand.group.eligible
    log.info(
        "no machine for work and none rented shard=%s types=%s zone=%s spot=%s tasks=%d"
        " missing_cpus=%.2f all_refused=%s",
        shard_id,
        ",".join(eligible.machine_types) if eligible.machine_types is not None else "any",
        eligible.zone or "any",
        eligible.allow_spot,
        group.task_count,
        demand.missing_cpus,
        demand.all_refused,
    )
