"""The machine provider: what a controller does with the cloud while it leads."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.cloud.messages import ListedMachine, MachineType, RentalRequest
from fallpulley.cloud.offer import Offer
from fallpulley.context import ControllerContext
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.adoption import Adoption
from fallpulley.fleet.catalog import CatalogUpdater
from fallpulley.fleet.cloud import CloudClient
from fallpulley.fleet.machine_list import MachineListReader
from fallpulley.fleet.releases import Releases
from fallpulley.fleet.rentals import Rentals
from fallpulley.fleet.shard_choice import ShardChoice
from fallpulley.records.registry import Registry
from fallpulley.records.shard_record import MachineEntry
from fallpulley.records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache


class MachineProvider:
    """Machine types, the list of machines, scale out, scale in and adoption, behind one interface.
    All of them share one budget of calls."""

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        writer: ShardWriter,
        action_guard: Callable[[], ActionGuard],
        shard_for_rental: Callable[[str], str],
    ) -> None:
        """`action_guard`: what has to permit actions on machines, asked for at each action.
        `shard_for_rental`: the shard that gets machines rented for the one named."""
        self.context = context
        self.writer = writer
        self.cloud = CloudClient(context)
        self.catalog = CatalogUpdater(context, watch, registry, self.cloud)
        self.list_reader = MachineListReader(context, self.cloud, self._on_list_complete)
        self.shard_choice = ShardChoice(registry, writer, shard_for_rental)
        self.releases = Releases(context, watch, registry, self.cloud, action_guard)
        self.rentals = Rentals(
            context,
            registry,
            writer,
            self.cloud,
            self.catalog,
            self.releases,
            self.shard_choice,
            action_guard,
        )
        self.adoption = Adoption(
            context,
            registry,
            writer,
            self.rentals,
            self.releases,
            self.shard_choice,
            action_guard,
        )
        self._term = 0

    def tick(self, term: int) -> None:
        """Send the calls that are due. `term`: the fencing token of our leadership; only called
        while it certainly lasts."""
        if term != self._term:
            self._term = term
            self.rentals.begin_term(term)
            self.adoption.begin_term()
            self.list_reader.abort()
        self.cloud.budget.refill(self.context.now)
        self.catalog.tick()
        self.list_reader.tick()
        self.releases.tick()
        self.rentals.tick()

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
        """The machines of the cloud's last whole list, by machine_id."""
        return self.list_reader.machines

    # -- shards that get machines ----------------------------------------------------------

    @property
    def target_sizes(self) -> dict[str, int]:
        """Machines that each shard should have, as the leader decides; empty: no targets."""
        return self.shard_choice.target_sizes

    @target_sizes.setter
    def target_sizes(self, sizes: dict[str, int]) -> None:
        self.shard_choice.target_sizes = sizes

    def adopt(
        self, machine_id: str, address: str, machine_type: str, zone: str, spot: bool
    ) -> bool:
        """Add a machine that the cloud lists and no record knows to a shard; False where it must
        not or can't be."""
        return self.adoption.adopt(machine_id, MachineEntry(address, machine_type, zone, spot))

    # -- scale out -------------------------------------------------------------------------

    @property
    def rentals_answered_at(self) -> float:
        """When the cloud last answered a rental request, by the steady clock."""
        return self.rentals.answered_at

    def refused_offers(self) -> set[Offer]:
        """Offers not to be asked for at present."""
        return self.rentals.refused_offers()

    def pending_rentals(self, shard_id: str) -> list[RentalRequest]:
        """Requests made for a shard that the cloud has not answered for good."""
        return self.rentals.pending_of(shard_id)

    def scale_out(self, shard_id: str, offer: Offer, count: int) -> None:
        """Rent machines for a shard, with one request for an offer at a time."""
        self.rentals.scale_out(shard_id, offer, count)

    def resume_rental(self, request: RentalRequest, shard_id: str) -> None:
        """Repeat a recorded request that may not have been answered."""
        self.rentals.resume(request, shard_id)

    # -- scale in --------------------------------------------------------------------------

    @property
    def release_requested(self) -> set[str]:
        """Machines to be released whatever records say. Others add to it and discard from it."""
        return self.releases.requested

    @property
    def released_at(self) -> dict[str, float]:
        """When the cloud confirmed that a machine is gone, by machine_id and the steady clock."""
        return self.releases.released_at
