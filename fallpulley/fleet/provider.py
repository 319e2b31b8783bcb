"""The leader's dealings with the cloud: types, lists, renting, releasing, adopting."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fallpulley.blocks.messages import MachineEntry
from fallpulley.blocks.registry import CATALOG, Registry
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.effects import Done
from fallpulley.fleet.gate import ActionGate, OpenGate
from fallpulley.fleet.messages import (
    LIST_PAGE,
    RELEASE_MOST,
    RENTAL_MOST,
    Catalog,
    Listed,
    MachineList,
    MachineType,
    Release,
    RentalAnswer,
    RentalRequest,
)
from fallpulley.state.client import Bucket, Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

T = TypeVar("T")

CALL_S = 3.0
PRICES_S = 20.0  # prices move slowly; the types do not
# Of the calls that the cloud allows, what lists may take: with thousands of machines one has many
# pages, and rentals and releases go before it. A page after the first leaves a part of the calls
# that are saved up.
LIST_SHARE = 0.5
LIST_LEAVES = 0.3
# After a refusal the same kind is asked again after this share of its boot time, doubling up to the
# other: what a wave of recalls took is often to be had again within a boot time.
REFUSAL_SHARE = 0.25
REFUSAL_MOST = 0.4


class MachineProvider:
    def __init__(self, core: Core, view: View, registry: Registry, writer: BlockWriter) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.writer = writer
        self.bucket = Bucket(core.settings.facts.cloud.rps * 0.9)
        self.types: dict[str, MachineType] = {}
        self.targets: dict[str, int] = {}  # block -> machines it should have
        self.listed: dict[str, Listed] = {}
        self.listed_at = float("-inf")
        self.released: dict[str, float] = {}
        self.refused_until: dict[tuple[str, str, bool], tuple[float, float]] = {}
        self.pending: dict[
            str, tuple[RentalRequest, str]
        ] = {}  # rental requests without an answer yet
        self.answered_at = float("-inf")  # when the cloud last answered a rental request
        self.gate: ActionGate = OpenGate()
        # The block that rented machines go to, by the one that asked for them.
        self.block_for_rental: Callable[[str], str] = lambda asked_for: asked_for
        self._counter = 0
        self._term = 0
        self._began_at = float("-inf")  # when our term began
        self._next_catalog = float("-inf")
        self._next_list = float("-inf")
        self._listing: dict[str, Listed] | None = None
        self._page_after: str | None = None  # the next page of the list waits for the budget
        self._list_began = float("-inf")
        self.to_release: set[str] = set()  # to be released, whatever records say
        self._next_release = float("-inf")
        self._dropping: set[str] = set()
        self._renting: set[str] = set()
        self._retry_at: dict[str, float] = {}

    def tick(self, term: int) -> None:
        """`term`: the stamp of our leadership; only called while it certainly lasts."""
        now = self.core.now
        if term != self._term:
            # Requests of an earlier term keep their names; a new term never uses them.
            self._term = term
            self._began_at = now
            self._counter = 0
            self.pending.clear()
            self._listing = self._page_after = None
        self.bucket.refill(now)
        if now >= self._next_catalog:
            self._fetch_catalog()
        self._list_on()
        self._release()
        for name in list(self.pending):
            if name not in self._renting and now >= self._retry_at.get(name, 0.0):
                self._send_rental(name)

    def _call(self, method: str, path: str, body: bytes | None, done: Done) -> bool:
        if self.bucket.tokens < 1:
            return False
        self.bucket.tokens -= 1
        self.core.call(self.core.settings.endpoints.cloud, method, path, body, CALL_S, done)
        return True

    # -- types -----------------------------------------------------------------------------

    def _fetch_catalog(self) -> None:
        def done(status: int | None, body: bytes, sent_at: float) -> None:
            catalog = _decode(body, Catalog) if status == 200 else None
            if catalog is None:
                self._next_catalog = self.core.now + 1.0
                return
            self.types = {kind.label: kind for kind in catalog.builds}
            if _fixed(self.types) != _fixed(self.registry.types):
                value = msgspec.json.encode(catalog)
                self.core.state.write(
                    Write(
                        {CATALOG: self.view.stamp(CATALOG)},
                        [Change(CATALOG, value)],
                        lambda status, ledger: None,
                        RequestPriority.PROGRESS,
                    )
                )

        if self._call("GET", "/catalog", None, done):
            self._next_catalog = self.core.now + PRICES_S

    # -- the list --------------------------------------------------------------------------

    def _list_on(self) -> None:
        """Begin the next list, or ask for the page that is due."""
        now = self.core.now
        if now >= self._next_list and self._listing is None:
            # Should this one fail, the next begins then.
            self._next_list = now + max(1.5, 0.5 * self.core.settings.facts.cloud.list_lag_s)
            self._list_began = now
            self._listing = {}
            self._page_after = ""
        if self._page_after is not None and self._may_list(self._page_after):
            after, self._page_after = self._page_after, None
            self._list(after)

    def _may_list(self, after: str) -> bool:
        """A list once begun comes to its end, however many pages it has and whatever else is
        asked of the cloud meanwhile."""
        leaves = LIST_LEAVES * self.bucket.most if after else 0.0
        return self.bucket.tokens >= min(self.bucket.most, 1 + leaves)

    def _list(self, after: str) -> None:
        def done(status: int | None, body: bytes, sent_at: float) -> None:
            page = _decode(body, MachineList) if status == 200 else None
            if page is None or self._listing is None:
                self._listing = None
                return
            for machine in page.hosts:
                self._listing[machine.uid] = machine
            if page.has_next and page.hosts:
                self._page_after = page.hosts[-1].uid
                return
            self._listed(self._listing)

        path = f"/rentals?page={LIST_PAGE}" + (f"&after={after}" if after else "")
        if not self._call("GET", path, None, done):
            self._listing = None

    def _listed(self, machines: dict[str, Listed]) -> None:
        """A list is whole."""
        self.listed, self._listing = machines, None
        self.listed_at = self.core.now
        pages = len(machines) // LIST_PAGE + 1
        spaced = self._list_began + pages / (LIST_SHARE * self.bucket.rate)
        self._next_list = max(self._next_list, spaced)
        for host, machine in machines.items():
            if machine.addr:
                self.writer.addresses[host] = machine.addr
        self._adopt()

    def _adopt(self) -> None:
        """Machines that no record knows: use them, or return them when they have failed."""
        if not self.gate.may_adopt():
            return
        now = self.core.now
        lag = 2 * self.core.settings.facts.cloud.list_lag_s + 2.0
        known = any(record.machines for record, _ in self.registry.blocks.values())
        if known and now < self._began_at + lag:
            return  # the list may still show what an earlier leader has released
        for host, machine in self.listed.items():
            if host in self.registry.host_block or host in self.registry.retired:
                continue
            if self.writer.coming(host) or host in self.to_release:
                continue
            if host in self.released:
                # Released and listed again after the list's lag: the release got lost.
                if now > self.released[host] + lag:
                    self._unrecorded(host)
                continue
            if machine.stage == "failed":
                self._unrecorded(host)
            elif not self.pending:
                self.adopt(host, machine.addr, machine.build, machine.hall, machine.loaners)

    def adopt(self, host: str, addr: str, build: str, zone: str, spot: bool) -> bool:
        """Grant a machine found in a list or by its report to a block."""
        if host in self.released or host in self.registry.retired or not self.gate.may_adopt():
            return False
        block = self.block_for_grant()
        if block is None:
            return False
        log.info("machine adopted machine=%s build=%s block=%s", host, build, block)
        self.writer.add(block, host, MachineEntry(addr, build, zone, spot))
        return True

    def block_for_grant(self) -> str | None:
        """The block furthest below its target size."""
        blocks = {
            label: entry
            for label, entry in self.registry.blocks.items()
            if self.writer.has_room(label)
        }
        if not blocks:
            return None
        return min(
            blocks,
            key=lambda label: (len(blocks[label][0].machines) - self.targets.get(label, 0), label),
        )

    # -- releasing -------------------------------------------------------------------------

    def _unrecorded(self, host: str) -> None:
        self.released.pop(host, None)
        self.to_release.add(host)

    def _release(self) -> None:
        now = self.core.now
        hosts = [h for h, key in self.registry.retired.items() if key not in self._dropping]
        hosts += [h for h in self.to_release if h not in self.registry.retired]
        if now < self._next_release:
            return
        hosts = self.gate.batch_to_return(hosts[:RELEASE_MOST])
        if not hosts:
            return

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            if status != 200:
                self._next_release = self.core.now + 0.5
                return
            self._next_release = float("-inf")
            for host in hosts:
                self.released[host] = self.core.now
                self.to_release.discard(host)
            for key in {self.registry.retired.get(host) for host in hosts}:
                if key is not None and all(h in self.released for h in self.registry.retiring[key]):
                    self._drop_retired(key)
            self.gate.returned(hosts)
            log.info("machines released n=%d first=%s", len(hosts), hosts[0])

        body = msgspec.json.encode(Release(hosts))
        if self._call("POST", "/rentals/release", body, done):
            self._next_release = now + CALL_S + 0.5

    def _drop_retired(self, key: str) -> None:
        under = self.gate.clean_up_under()
        if under is None:
            return  # the record stays; its machines are returned once more
        self._dropping.add(key)

        def written(status: int | None, ledger: int) -> None:
            self._dropping.discard(key)

        self.core.state.write(
            Write(
                {key: self.view.stamp(key), **under},
                [Change(key, None)],
                written,
                RequestPriority.PROGRESS,
            )
        )

    # -- renting ---------------------------------------------------------------------------

    def refused(self) -> set[tuple[str, str, bool]]:
        now = self.core.now
        return {kind for kind, (until, _) in self.refused_until.items() if until > now}

    def pending_for(self, block: str) -> list[RentalRequest]:
        return [rental for rental, label in self.pending.values() if label == block]

    def rent(self, block: str, build: str, zone: str, spot: bool, number: int) -> None:
        """One request of a kind for a block at a time."""
        if (build, zone, spot) in self.refused():
            return
        for rental in self.pending_for(block):
            if (rental.build, rental.hall, rental.loaners) == (build, zone, spot):
                return
        self._counter += 1
        # The term is the leader record's stamp, so no other leader, nor we in another term or
        # process, can make this name again.
        name = f"hire-{self._term}-{self._counter}"
        request = RentalRequest(name, build, zone, spot, min(number, RENTAL_MOST))
        self.pending[name] = (request, block)
        self._send_rental(name)

    def _send_rental(self, name: str) -> None:
        request, block = self.pending[name]
        if not self.gate.may_rent(request, block):
            return

        def done(status: int | None, body: bytes, sent_at: float) -> None:
            self._renting.discard(name)
            self._retry_at[name] = self.core.now + 1.0
            self.answered_at = self.core.now
            if name not in self.pending:
                self._late_rental(status, body, request, block)
                return
            kind = (request.build, request.hall, request.loaners)
            if status == 200:
                del self.pending[name]
                self.gate.rental_settled(name)
                hired = _decode(body, RentalAnswer) or RentalAnswer()
                self._grant(hired.hosts, request, block)
                if len(hired.hosts) < request.number:
                    self._back_off(kind)
                else:
                    self.refused_until.pop(kind, None)
            elif status == 400 or (status == 503 and b"no capacity" in body):
                del self.pending[name]
                self.gate.rental_settled(name)
                self._back_off(kind)

        if self._call("POST", "/rentals", msgspec.json.encode(request), done):
            self._renting.add(name)

    def resume_rental(self, request: RentalRequest, block: str) -> None:
        """A rental that was recorded, by us or by a predecessor, and is not known to be settled:
        the same name gets the same answer."""
        if request.hire not in self.pending:
            log.info("rental resumed hire=%s n=%d", request.hire, request.number)
            self.pending[request.hire] = (request, block)

    def _late_rental(
        self, status: int | None, body: bytes, request: RentalRequest, block: str
    ) -> None:
        """An answer from before our last change of term: the machines are ours all the same."""
        if status == 200:
            hired = _decode(body, RentalAnswer) or RentalAnswer()
            self._grant(hired.hosts, request, block)

    def _grant(self, hosts: list[str], request: RentalRequest, asked_for: str) -> None:
        block = self.block_for_rental(asked_for)
        if block not in self.registry.blocks:
            block = self.block_for_grant() or block
        log.info(
            "machines rented n=%d of=%d build=%s zone=%s spot=%s block=%s",
            len(hosts),
            request.number,
            request.build,
            request.hall,
            request.loaners,
            block,
        )
        for host in hosts:
            if host not in self.registry.host_block and host not in self.released:
                entry = MachineEntry("", request.build, request.hall, request.loaners)
                self.writer.add(block, host, entry)

    def _back_off(self, kind: tuple[str, str, bool]) -> None:
        startup = self.types[kind[0]].startup_s if kind[0] in self.types else 60.0
        _, last = self.refused_until.get(kind, (0.0, 0.5 * REFUSAL_SHARE * startup))
        wait_s = min(2 * last, REFUSAL_MOST * startup)
        self.refused_until[kind] = (self.core.now + wait_s, wait_s)
        log.info("rental refused build=%s zone=%s spot=%s again_s=%.0f", *kind, wait_s)


def _fixed(types: dict[str, MachineType]) -> dict[str, tuple[object, ...]]:
    """The types without their prices, which move."""
    return {
        label: (k.cpus, k.cards, k.mem_gb, k.startup_s, tuple(k.halls), k.cache_gb)
        for label, k in types.items()
    }


def _decode(body: bytes, shape: type[T]) -> T | None:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError:
        return None
