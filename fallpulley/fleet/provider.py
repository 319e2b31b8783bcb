"""The machine provider: the leader's use of the cloud."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.cloud.messages import ListedMachine, MachineType, RentalRequest
from fallpulley.cloud.offer import Offer
from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.adoption import Adoption
from fallpulley.fleet.catalog import CatalogUpdater
from fallpulley.fleet.cloud import CloudClient
from fallpulley.fleet.machine_list import MachineListReader
from fallpulley.fleet.releases import Releases
from fallpulley.fleet.rentals import Rentals
from fallpulley.fleet.shard_chooser import MachineShardChooser
from fallpulley.mesh.messages import RefusedOffer
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache


class MachineProvider:
    """One interface to machine types, the list of machines, scale out, scale in and adoption.

    All of them share one budget of calls to the cloud.
    """

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        writer: ShardWriter,
        action_guard: Callable[[], ActionGuard],
        shard_for_rental: Callable[[str], str],
    ) -> None:
        """Create a provider and its parts.

        `action_guard` returns the guard that has to permit an action on machines; it is called for
        each action. `shard_for_rental` returns the shard that receives the machines rented for the
        given shard.
        """
        self.context = context
        self.writer = writer
        self.cloud = CloudClient(context)
        self.catalog = CatalogUpdater(context, watch, registry, self.cloud)
        self.list_reader = MachineListReader(context, self.cloud, self._on_list_complete)
        self.shard_chooser = MachineShardChooser(registry, writer, shard_for_rental)
        self.releases = Releases(context, watch, registry, self.cloud, action_guard)
        self.rentals = Rentals(
            context,
            registry,
            writer,
            self.cloud,
            self.catalog,
            self.releases,
            self.shard_chooser,
            action_guard,
        )
        self.adoption = Adoption(
            context,
            registry,
            writer,
            self.rentals,
            self.releases,
            self.shard_chooser,
            action_guard,
        )
        self._term = 0

    def tick(self, term: int) -> None:
        """Send the calls that are due.

        `term` is the fencing token of this controller's leadership. Only call this while the
        leadership certainly lasts.
        """
        self.begin_term(term)
        self.cloud.budget.refill(self.context.now)
        self.catalog.tick()
        self.list_reader.tick()
        self.releases.tick()
        self.rentals.tick()

    def begin_term(self, term: int) -> None:
        """Begin a term of this controller's leadership, unless it has begun already.

        `term` is the fencing token of the leadership. Call this before anything is done as the
        leader: the names of rental requests contain the term.
        """
        if term == self._term:
            return
        self._term = term
        self.rentals.begin_term(term)
        self.adoption.begin_term()
        self.list_reader.abort()

    def _on_list_complete(self) -> None:
        machines = self.list_reader.machines
        for machine_id, machine in machines.items():
            if machine.address:
                self.writer.addresses[machine_id] = machine.address
        self.adoption.process_list(machines)

    # -- machine types and the list --------------------------------------------------------

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The cloud's machine types by name; empty until this controller has fetched them."""
        return self.catalog.machine_types

    @property
    def listed_machines(self) -> dict[str, ListedMachine]:
        """The machines of the cloud's last complete list, by machine_id."""
        return self.list_reader.machines

    # -- shards that receive machines ------------------------------------------------------

    @property
    def target_sizes(self) -> dict[str, int]:
        """Target number of machines of each shard, set by the leader; empty: no targets."""
        return self.shard_chooser.target_sizes

    @target_sizes.setter
    def target_sizes(self, sizes: dict[str, int]) -> None:
        self.shard_chooser.target_sizes = sizes

    def adopt(
        self, machine_id: str, address: str, machine_type: str, zone: str, spot: bool
    ) -> bool:
        """Add a machine that the cloud lists but no record contains to a shard.

        Returns False if the machine may not be adopted or no shard has room.
        """
        return self.adoption.adopt(machine_id, MachineEntry(address, machine_type, zone, spot))

    # -- scale out -------------------------------------------------------------------------

    @property
    def last_rental_response_at(self) -> float:
        """When the cloud last responded to a rental request, in seconds of the monotonic clock."""
        return self.rentals.last_response_at

    def refused_offers(self) -> set[Offer]:
        """Return the offers that were refused recently and are not to be requested yet."""
        return self.rentals.refused_offers()

    def refusals_to_announce(self) -> list[RefusedOffer]:
        """Return the refused offers as the leader announces them to the other controllers."""
        return self.rentals.refusals_to_announce()

    def on_refusals_announced(self, refusals: list[RefusedOffer]) -> None:
        """Back off from the offers that the cloud refuses to the leader."""
        self.rentals.on_refusals_announced(refusals)

    def pending_rentals(self, shard_id: str) -> list[RentalRequest]:
        """Return the shard's requests that the cloud has neither filled nor refused."""
        return self.rentals.pending_of(shard_id)

    def scale_out(self, shard_id: str, offer: Offer, count: int) -> None:
        """Rent machines for a shard, with at most one pending request per offer."""
        self.rentals.scale_out(shard_id, offer, count)

    def resume_rental(self, request: RentalRequest, shard_id: str) -> None:
        """Repeat a recorded request that may have had no response yet."""
        self.rentals.resume(request, shard_id)

    # -- scale in --------------------------------------------------------------------------

    @property
    def release_requested(self) -> set[str]:
        """Machines to be released regardless of records. Callers may add and discard machines."""
        return self.releases.requested

    @property
    def released_at(self) -> dict[str, float]:
        """When the cloud confirmed each release (monotonic seconds), by machine_id."""
        return self.releases.released_at
