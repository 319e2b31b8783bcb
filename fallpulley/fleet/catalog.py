"""The cloud's machine types: fetched by the leader and recorded for the other controllers."""

from __future__ import annotations

import msgspec

from fallpulley.cloud.messages import Catalog, MachineType
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.fleet.cloud import CloudClient, decode_ok
from fallpulley.shared_records.keys import CATALOG_KEY
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change, RequestPriority, Write, ignore_result
from fallpulley.state.watch_cache import WatchCache

# Time between two fetches of the catalog, in seconds: prices change slowly, types hardly ever.
CATALOG_INTERVAL_SECONDS = 20.0
# Time until the next attempt after a failed fetch, in seconds.
CATALOG_RETRY_SECONDS = 1.0


class CatalogUpdater:
    """Keeps the machine types and their prices up to date."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        cloud: CloudClient,
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.cloud = cloud
        # Machine types by name, with current prices; empty until the cloud has responded.
        self.machine_types: dict[str, MachineType] = {}
        self._next_fetch_at = float("-inf")

    def tick(self) -> None:
        """Fetch the catalog if a fetch is due."""
        if self.context.now < self._next_fetch_at:
            return
        if self.cloud.call("GET", "/catalog", None, self._on_response):
            self._next_fetch_at = self.context.now + CATALOG_INTERVAL_SECONDS

    def _on_response(self, response: Response) -> None:
        catalog = decode_ok(response, Catalog)
        if catalog is None:
            self._next_fetch_at = self.context.now + CATALOG_RETRY_SECONDS
            return
        self.machine_types = {
            machine_type.name: machine_type for machine_type in catalog.machine_types
        }
        if _without_prices(self.machine_types) != _without_prices(self.registry.machine_types):
            self._record(catalog)

    def _record(self, catalog: Catalog) -> None:
        """Record the catalog, by which the other controllers size their shards.

        Called only when something other than prices has changed, as prices change all the time.
        """
        self.context.state_client.write(
            Write(
                {CATALOG_KEY: self.watch.mod_revision(CATALOG_KEY)},
                [Change(CATALOG_KEY, msgspec.json.encode(catalog))],
                ignore_result,
                RequestPriority.BACKGROUND,
            )
        )


def _without_prices(machine_types: dict[str, MachineType]) -> dict[str, tuple[object, ...]]:
    """Return the properties of each type that are compared to detect a changed catalog."""
    return {
        name: (
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            machine_type.boot_s,
            tuple(machine_type.zones),
            machine_type.cache_gb,
        )
        for name, machine_type in machine_types.items()
    }
