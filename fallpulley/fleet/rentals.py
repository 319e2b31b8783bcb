"""Scale out: rental requests to the cloud; rented machines are added to shards."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from fallpulley.cloud.messages import (
    DEFAULT_BOOT_SECONDS,
    MAX_RENTED_MACHINES,
    RentalRequest,
    RentalResponse,
)
from fallpulley.cloud.offer import Offer
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.catalog import CatalogUpdater
from fallpulley.fleet.cloud import CloudClient, decode_ok
from fallpulley.fleet.refusals import RefusedOffers
from fallpulley.fleet.releases import Releases
from fallpulley.fleet.shard_chooser import MachineShardChooser
from fallpulley.mesh.messages import RefusedOffer
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.shared_records.writer import ShardWriter

log = logging.getLogger(__name__)

# Time from a response to the next attempt of the same request, in seconds.
RENTAL_RETRY_SECONDS = 1.0
# Text in the body of a refusal if the cloud has no such machines at present.
NO_CAPACITY = b"no capacity"


class PendingRental(NamedTuple):
    """A request that the cloud has neither filled, even in part, nor refused."""

    request: RentalRequest
    shard_id: str  # the shard that the request was made for


class Rentals:
    """Sends the leader's rental requests and repeats each one until it is filled or refused."""

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        writer: ShardWriter,
        cloud: CloudClient,
        catalog: CatalogUpdater,
        releases: Releases,
        shard_chooser: MachineShardChooser,
        action_guard: Callable[[], ActionGuard],
    ) -> None:
        self.context = context
        self.registry = registry
        self.writer = writer
        self.cloud = cloud
        self.catalog = catalog
        self.releases = releases
        self.shard_chooser = shard_chooser
        self.pending: dict[str, PendingRental] = {}  # by request_id
        self.last_response_at = float("-inf")  # when the cloud last responded to a rental request
        self._action_guard = action_guard
        self._refused_offers = RefusedOffers()
        self._term = 0
        self._request_count = 0  # requests created in this term
        self._in_flight: set[str] = set()
        self._retry_at: dict[str, float] = {}  # time of the next attempt, by request_id

    def begin_term(self, term: int) -> None:
        """Start a new term of leadership without pending requests.

        Requests of earlier terms keep their ids, which no new request ever gets.
        """
        self._term = term
        self._request_count = 0
        self.pending.clear()

    def tick(self) -> None:
        """Send all pending requests that are not in flight and whose next attempt is due."""
        now = self.context.now
        for request_id in list(self.pending):
            if request_id not in self._in_flight and now >= self._retry_at.get(request_id, 0.0):
                self._send(request_id)

    def refused_offers(self) -> set[Offer]:
        """Return the offers that were refused recently and are not to be requested yet."""
        return self._refused_offers.current(self.context.now)

    def refusals_to_announce(self) -> list[RefusedOffer]:
        """Return the refused offers as the leader announces them to the other controllers."""
        remaining_s = self._refused_offers.to_announce(self.context.now)
        return [RefusedOffer(*offer, wait_s) for offer, wait_s in remaining_s.items()]

    def on_refusals_announced(self, refusals: list[RefusedOffer]) -> None:
        """Back off from the offers that the cloud refuses to the leader."""
        known = self.refused_offers()
        remaining_s: dict[Offer, float] = {}
        for refusal in refusals:
            remaining_s[refusal.offer] = refusal.backoff_s
            if refusal.offer not in known:
                log.info(
                    "rental refusal announced by leader type=%s zone=%s spot=%s seconds=%.0f",
                    *refusal.offer,
                    refusal.backoff_s,
                )
        self._refused_offers.on_announced(remaining_s, self.context.now)

    def pending_of(self, shard_id: str) -> list[RentalRequest]:
        """Return the shard's requests that the cloud has neither filled nor refused."""
        return [
            pending.request for pending in self.pending.values() if pending.shard_id == shard_id
        ]

    def scale_out(self, shard_id: str, offer: Offer, count: int) -> None:
        """Request up to `MAX_RENTED_MACHINES` machines of an offer for a shard.

        Does nothing if the offer was refused recently or the shard has a pending request for it.
        """
        if offer in self.refused_offers():
            return
        for request in self.pending_of(shard_id):
            if request.offer == offer:
                return
        self._request_count += 1
        # The term is the revision of the leader's record, so no other leader, and no other term or
        # process of this controller, can create the same id.
        request_id = f"hire-{self._term}-{self._request_count}"
        request = RentalRequest(request_id, *offer, min(count, MAX_RENTED_MACHINES))
        self.pending[request_id] = PendingRental(request, shard_id)
        self._send(request_id)

    def resume(self, request: RentalRequest, shard_id: str) -> None:
        """Repeat a recorded request of this or an earlier leader that may have had no response.

        The cloud gives the same response to a repeated id, so no machine is rented twice.
        """
        if request.request_id not in self.pending:
            log.info(
                "resuming recorded rental request request=%s count=%d",
                request.request_id,
                request.count,
            )
            self.pending[request.request_id] = PendingRental(request, shard_id)

    def _send(self, request_id: str) -> None:
        rental = self.pending[request_id]
        if not self._action_guard().may_scale_out(rental.request, rental.shard_id):
            return

        def on_response(response: Response) -> None:
            self._on_response(rental, response)

        if self.cloud.call("POST", "/rentals", msgspec.json.encode(rental.request), on_response):
            self._in_flight.add(request_id)

    def _on_response(self, rental: PendingRental, response: Response) -> None:
        request = rental.request
        now = self.context.now
        self._in_flight.discard(request.request_id)
        self._retry_at[request.request_id] = now + RENTAL_RETRY_SECONDS
        self.last_response_at = now
        if request.request_id not in self.pending:
            # Sent in an earlier term: the machines are rented nevertheless, so they are added.
            if response.ok:
                self._grant_machines(rental, response)
        elif response.ok:
            self._resolve(request.request_id)
            granted = self._grant_machines(rental, response)
            if granted < request.count:
                self._on_refused(request.offer)
            else:
                self._refused_offers.on_filled(request.offer)
        elif _is_refusal(response):
            self._resolve(request.request_id)
            self._on_refused(request.offer)

    def _resolve(self, request_id: str) -> None:
        """Drop a request that the cloud has filled or refused."""
        del self.pending[request_id]
        self._action_guard().on_rental_resolved(request_id)

    def _grant_machines(self, rental: PendingRental, response: Response) -> int:
        """Add the rented machines to a shard; return how many the cloud granted."""
        request = rental.request
        rental_response = decode_ok(response, RentalResponse) or RentalResponse()
        shard_id = self.shard_chooser.for_rental(rental.shard_id)
        log.info(
            "machines rented count=%d requested=%d type=%s zone=%s spot=%s shard=%s",
            len(rental_response.machine_ids),
            request.count,
            request.machine_type,
            request.zone,
            request.spot,
            shard_id,
        )
        for machine_id in rental_response.machine_ids:
            if (
                machine_id not in self.registry.shard_of_machine
                and machine_id not in self.releases.released_at
            ):
                entry = MachineEntry("", request.machine_type, request.zone, request.spot)
                self.writer.add(shard_id, machine_id, entry)
        return len(rental_response.machine_ids)

    def _on_refused(self, offer: Offer) -> None:
        """Back off from an offer that the cloud has refused or filled only in part."""
        machine_type = self.catalog.machine_types.get(offer.machine_type)
        boot_s = machine_type.boot_s if machine_type is not None else DEFAULT_BOOT_SECONDS
        wait_s = self._refused_offers.on_refused(offer, boot_s, self.context.now)
        log.info(
            "rental refused or partly filled; backing off type=%s zone=%s spot=%s seconds=%.0f",
            offer.machine_type,
            offer.zone,
            offer.spot,
            wait_s,
        )


def _is_refusal(response: Response) -> bool:
    """Return whether the cloud has refused the request; after other failures it is retried."""
    return response.status == HTTPStatus.BAD_REQUEST or (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE and NO_CAPACITY in response.body
    )
