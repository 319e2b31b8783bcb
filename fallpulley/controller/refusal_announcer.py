"""Announcement of the cloud's refusals by the leader to the other owners of shards."""

from __future__ import annotations

from fallpulley.controller_context import ControllerContext
from fallpulley.fleet.provider import MachineProvider
from fallpulley.mesh.peers import Peers
from fallpulley.shared_records.registry import Registry


class RefusalAnnouncer:
    """Sends the refused offers to the owners that would otherwise request them again and again."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        provider: MachineProvider,
        peers: Peers,
    ) -> None:
        self.context = context
        self.registry = registry
        self.provider = provider
        self.peers = peers

    def announce(self) -> None:
        """Send all offers that the cloud has refused recently; call this only as the leader."""
        refusals = self.provider.refusals_to_announce()
        if not refusals:
            return
        owners = {record.value.owner for record in self.registry.shards.values()}
        for owner in sorted(owners - {self.context.controller_id}):
            self.peers.send_rental_refusals(owner, refusals)
