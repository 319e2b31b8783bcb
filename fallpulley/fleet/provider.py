"""The leader's dealings with the cloud: types, lists, renting, releasing, adopting."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response, ResponseHandler
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.messages import (
    LIST_PAGE_SIZE,
    MAX_RELEASED_MACHINES,
    MAX_RENTED_MACHINES,
    Catalog,
    ListedMachine,
    MachineList,
    MachineType,
    ReleaseRequest,
    RentalRequest,
    RentalResponse,
)
from fallpulley.records.registry import CATALOG_KEY, Registry
from fallpulley.records.shard_record import MachineEntry
from fallpulley.records.writer import ShardWriter
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult, ignore_result
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 3.0
CATALOG_INTERVAL_SECONDS = 20.0  # prices move slowly; the types do not
# Of the calls that the cloud allows, what lists may take: with thousands of machines one has many
# pages, and rentals and releases go before it. A page after the first leaves a part of the calls
# that are saved up.
LIST_SHARE = 0.5
LIST_RESERVE_SHARE = 0.3
# After a refusal the same kind is asked again after this share of its boot time, doubling up to the
# other: what a wave of recalls took is often to be had again within a boot time.
REFUSAL_BACKOFF_BOOTS = 0.25
MAX_REFUSAL_BACKOFF_BOOTS = 0.4


class MachineProvider:
    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        writer: ShardWriter,
        action_guard: Callable[[], ActionGuard],
        shard_for_rental: Callable[[str], str],
    ) -> None:
        """`shard_for_rental`: the shard that gets machines rented for the one named."""
        self.context = context
        self.watch = watch
        self.registry = registry
        self.writer = writer
        self.bucket = TokenBucket(context.settings.facts.cloud.rps * 0.9)
        self.machine_types: dict[str, MachineType] = {}
        self.target_sizes: dict[str, int] = {}  # block -> machines it should have
        self.listed_machines: dict[str, ListedMachine] = {}
        self.listed_at = float("-inf")
        self.released_at: dict[str, float] = {}
        self.refused_until: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self.pending: dict[
            str, tuple[RentalRequest, str]
        ] = {}  # rental requests without an answer yet
        self.answered_at = float("-inf")  # when the cloud last answered a rental request
        self._action_guard = action_guard
        self.shard_for_rental = shard_for_rental
        self._request_count = 0
        self._term = 0
        self._term_began_at = float("-inf")  # when our term began
        self._next_catalog = float("-inf")
        self._next_list = float("-inf")
        self._listing: dict[str, ListedMachine] | None = None
        self._page_after: str | None = None  # the next page of the list waits for the budget
        self._list_began = float("-inf")
        self.release_requested: set[str] = set()  # to be released, whatever records say
        self._next_release = float("-inf")
        self._release_records_deleting: set[str] = set()
        self._rentals_in_flight: set[str] = set()
        self._retry_at: dict[str, float] = {}

    @property
    def action_guard(self) -> ActionGuard:
        """Permits actions on machines, and is told how they ended."""
        return self._action_guard()

    def tick(self, term: int) -> None:
        """`term`: the stamp of our leadership; only called while it certainly lasts."""
        now = self.context.now
        if term != self._term:
            # Requests of an earlier term keep their names; a new term never uses them.
            self._term = term
            self._term_began_at = now
            self._request_count = 0
            self.pending.clear()
            self._listing = self._page_after = None
        self.bucket.refill(now)
        if now >= self._next_catalog:
            self._fetch_catalog()
        self._continue_listing()
        self._send_releases()
        for name in list(self.pending):
            if name not in self._rentals_in_flight and now >= self._retry_at.get(name, 0.0):
                self._send_rental(name)

    def _call(
        self, method: str, path: str, body: bytes | None, on_response: ResponseHandler
    ) -> bool:
        if self.bucket.tokens < 1:
            return False
        self.bucket.tokens -= 1
        self.context.call(
            self.context.settings.endpoints.cloud,
            method,
            path,
            body,
            CALL_TIMEOUT_SECONDS,
            on_response,
        )
        return True

    # -- types -----------------------------------------------------------------------------

    def _fetch_catalog(self) -> None:
        def on_response(response: Response) -> None:
            catalog = _decode(response.body, Catalog) if response.ok else None
            if catalog is None:
                self._next_catalog = self.context.now + 1.0
                return
            self.machine_types = {offer.name: offer for offer in catalog.machine_types}
            if _without_prices(self.machine_types) != _without_prices(self.registry.machine_types):
                value = msgspec.json.encode(catalog)
                self.context.state_client.write(
                    Write(
                        {CATALOG_KEY: self.watch.mod_revision(CATALOG_KEY)},
                        [Change(CATALOG_KEY, value)],
                        ignore_result,
                        RequestPriority.PROGRESS,
                    )
                )

        if self._call("GET", "/catalog", None, on_response):
            self._next_catalog = self.context.now + CATALOG_INTERVAL_SECONDS

    # -- the list --------------------------------------------------------------------------

    def _continue_listing(self) -> None:
        """Begin the next list, or ask for the page that is due."""
        now = self.context.now
        if now >= self._next_list and self._listing is None:
            # Should this one fail, the next begins then.
            self._next_list = now + max(1.5, 0.5 * self.context.settings.facts.cloud.list_lag_s)
            self._list_began = now
            self._listing = {}
            self._page_after = ""
        if self._page_after is not None and self._may_list(self._page_after):
            after, self._page_after = self._page_after, None
            self._request_page(after)

    def _may_list(self, after: str) -> bool:
        """A list once begun comes to its end, however many pages it has and whatever else is
        asked of the cloud meanwhile."""
        leaves = LIST_RESERVE_SHARE * self.bucket.capacity if after else 0.0
        return self.bucket.tokens >= min(self.bucket.capacity, 1 + leaves)

    def _request_page(self, after: str) -> None:
        def on_response(response: Response) -> None:
            page = _decode(response.body, MachineList) if response.ok else None
            if page is None or self._listing is None:
                self._listing = None
                return
            for machine in page.machines:
                self._listing[machine.machine_id] = machine
            if page.has_next and page.machines:
                self._page_after = page.machines[-1].machine_id
                return
            self._on_list_complete(self._listing)

        path = f"/rentals?page={LIST_PAGE_SIZE}" + (f"&after={after}" if after else "")
        if not self._call("GET", path, None, on_response):
            self._listing = None

    def _on_list_complete(self, machines: dict[str, ListedMachine]) -> None:
        """A list is whole."""
        self.listed_machines, self._listing = machines, None
        self.listed_at = self.context.now
        pages = len(machines) // LIST_PAGE_SIZE + 1
        spaced = self._list_began + pages / (LIST_SHARE * self.bucket.rate)
        self._next_list = max(self._next_list, spaced)
        for machine_id, machine in machines.items():
            if machine.address:
                self.writer.addresses[machine_id] = machine.address
        self._adopt_unrecorded()

    def _adopt_unrecorded(self) -> None:
        """Machines that no record knows: use them, or return them when they have failed."""
        if not self.action_guard.may_adopt():
            return
        now = self.context.now
        lag = 2 * self.context.settings.facts.cloud.list_lag_s + 2.0
        known = any(record.machines for record, _ in self.registry.shards.values())
        if known and now < self._term_began_at + lag:
            return  # the list may still show what an earlier leader has released
        for machine_id, machine in self.listed_machines.items():
            if (
                machine_id in self.registry.shard_of_machine
                or machine_id in self.registry.release_records
            ):
                continue
            if self.writer.is_being_added(machine_id) or machine_id in self.release_requested:
                continue
            if machine_id in self.released_at:
                # Released and listed again after the list's lag: the release got lost.
                if now > self.released_at[machine_id] + lag:
                    self._request_release(machine_id)
                continue
            if machine.state == "failed":
                self._request_release(machine_id)
            elif not self.pending:
                self.adopt(
                    machine_id, machine.address, machine.machine_type, machine.zone, machine.spot
                )

    def adopt(
        self, machine_id: str, address: str, machine_type: str, zone: str, spot: bool
    ) -> bool:
        """Grant a machine found in a list or by its report to a block."""
        if (
            machine_id in self.released_at
            or machine_id in self.registry.release_records
            or not self.action_guard.may_adopt()
        ):
            return False
        shard_id = self.shard_for_grant()
        if shard_id is None:
            return False
        log.info("machine adopted machine=%s build=%s block=%s", machine_id, machine_type, shard_id)
        self.writer.add(shard_id, machine_id, MachineEntry(address, machine_type, zone, spot))
        return True

    def shard_for_grant(self) -> str | None:
        """The block furthest below its target size."""
        shards = {
            label: entry
            for label, entry in self.registry.shards.items()
            if self.writer.has_room(label)
        }
        if not shards:
            return None
        return min(
            shards,
            key=lambda label: (
                len(shards[label][0].machines) - self.target_sizes.get(label, 0),
                label,
            ),
        )

    # -- releasing -------------------------------------------------------------------------

    def _request_release(self, machine_id: str) -> None:
        self.released_at.pop(machine_id, None)
        self.release_requested.add(machine_id)

    def _send_releases(self) -> None:
        now = self.context.now
        machine_ids = [
            h
            for h, key in self.registry.release_records.items()
            if key not in self._release_records_deleting
        ]
        machine_ids += [h for h in self.release_requested if h not in self.registry.release_records]
        if now < self._next_release:
            return
        machine_ids = self.action_guard.next_release_batch(machine_ids[:MAX_RELEASED_MACHINES])
        if not machine_ids:
            return

        def on_response(response: Response) -> None:
            if not response.ok:
                self._next_release = self.context.now + 0.5
                return
            self._next_release = float("-inf")
            for machine_id in machine_ids:
                self.released_at[machine_id] = self.context.now
                self.release_requested.discard(machine_id)
            for key in {
                self.registry.release_records.get(machine_id) for machine_id in machine_ids
            }:
                if key is not None and all(
                    h in self.released_at for h in self.registry.machines_by_release_record[key]
                ):
                    self._delete_release_record(key)
            self.action_guard.on_released(machine_ids)
            log.info("machines released n=%d first=%s", len(machine_ids), machine_ids[0])

        body = msgspec.json.encode(ReleaseRequest(machine_ids))
        if self._call("POST", "/rentals/release", body, on_response):
            self._next_release = now + CALL_TIMEOUT_SECONDS + 0.5

    def _delete_release_record(self, key: str) -> None:
        under = self.action_guard.cleanup_conditions()
        if under is None:
            return  # the record stays; its machines are returned once more
        self._release_records_deleting.add(key)

        def on_result(result: WriteResult) -> None:
            self._release_records_deleting.discard(key)

        self.context.state_client.write(
            Write(
                {key: self.watch.mod_revision(key), **under},
                [Change(key, None)],
                on_result,
                RequestPriority.PROGRESS,
            )
        )

    # -- renting ---------------------------------------------------------------------------

    def refused_offers(self) -> set[tuple[str, str, bool]]:
        now = self.context.now
        return {offer for offer, (until, _) in self.refused_until.items() if until > now}

    def pending_rentals(self, shard_id: str) -> list[RentalRequest]:
        return [rental for rental, label in self.pending.values() if label == shard_id]

    def scale_out(
        self, shard_id: str, machine_type: str, zone: str, spot: bool, number: int
    ) -> None:
        """One request of a kind for a block at a time."""
        if (machine_type, zone, spot) in self.refused_offers():
            return
        for rental in self.pending_rentals(shard_id):
            if (rental.machine_type, rental.zone, rental.spot) == (machine_type, zone, spot):
                return
        self._request_count += 1
        # The term is the leader record's stamp, so no other leader, nor we in another term or
        # process, can make this name again.
        name = f"hire-{self._term}-{self._request_count}"
        request = RentalRequest(name, machine_type, zone, spot, min(number, MAX_RENTED_MACHINES))
        self.pending[name] = (request, shard_id)
        self._send_rental(name)

    def _send_rental(self, name: str) -> None:
        request, shard_id = self.pending[name]
        if not self.action_guard.may_scale_out(request, shard_id):
            return

        def on_response(response: Response) -> None:
            self._rentals_in_flight.discard(name)
            self._retry_at[name] = self.context.now + 1.0
            self.answered_at = self.context.now
            if name not in self.pending:
                self._on_late_rental_response(response.status, response.body, request, shard_id)
                return
            offer = (request.machine_type, request.zone, request.spot)
            if response.ok:
                del self.pending[name]
                self.action_guard.on_rental_resolved(name)
                hired = _decode(response.body, RentalResponse) or RentalResponse()
                self._grant_machines(hired.machine_ids, request, shard_id)
                if len(hired.machine_ids) < request.count:
                    self._back_off(offer)
                else:
                    self.refused_until.pop(offer, None)
            elif response.status == 400 or (
                response.status == 503 and b"no capacity" in response.body
            ):
                del self.pending[name]
                self.action_guard.on_rental_resolved(name)
                self._back_off(offer)

        if self._call("POST", "/rentals", msgspec.json.encode(request), on_response):
            self._rentals_in_flight.add(name)

    def resume_rental(self, request: RentalRequest, shard_id: str) -> None:
        """A rental that was recorded, by us or by a predecessor, and is not known to be settled:
        the same name gets the same answer."""
        if request.request_id not in self.pending:
            log.info("rental resumed hire=%s n=%d", request.request_id, request.count)
            self.pending[request.request_id] = (request, shard_id)

    def _on_late_rental_response(
        self, status: int | None, body: bytes, request: RentalRequest, shard_id: str
    ) -> None:
        """An answer from before our last change of term: the machines are ours all the same."""
        if status == 200:
            hired = _decode(body, RentalResponse) or RentalResponse()
            self._grant_machines(hired.machine_ids, request, shard_id)

    def _grant_machines(
        self, machine_ids: list[str], request: RentalRequest, asked_for: str
    ) -> None:
        shard_id = self.shard_for_rental(asked_for)
        if shard_id not in self.registry.shards:
            shard_id = self.shard_for_grant() or shard_id
        log.info(
            "machines rented n=%d of=%d build=%s zone=%s spot=%s block=%s",
            len(machine_ids),
            request.count,
            request.machine_type,
            request.zone,
            request.spot,
            shard_id,
        )
        for machine_id in machine_ids:
            if (
                machine_id not in self.registry.shard_of_machine
                and machine_id not in self.released_at
            ):
                entry = MachineEntry("", request.machine_type, request.zone, request.spot)
                self.writer.add(shard_id, machine_id, entry)

    def _back_off(self, offer: tuple[str, str, bool]) -> None:
        startup = self.machine_types[offer[0]].boot_s if offer[0] in self.machine_types else 60.0
        _, last = self.refused_until.get(offer, (0.0, 0.5 * REFUSAL_BACKOFF_BOOTS * startup))
        wait_s = min(2 * last, MAX_REFUSAL_BACKOFF_BOOTS * startup)
        self.refused_until[offer] = (self.context.now + wait_s, wait_s)
        log.info("rental refused build=%s zone=%s spot=%s again_s=%.0f", *offer, wait_s)


def _without_prices(machine_types: dict[str, MachineType]) -> dict[str, tuple[object, ...]]:
    """The types without their prices, which move."""
    return {
        label: (k.cpus, k.gpus, k.memory_gb, k.boot_s, tuple(k.zones), k.cache_gb)
        for label, k in machine_types.items()
    }


def _decode(body: bytes, shape: type[T]) -> T | None:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError:
        return None
