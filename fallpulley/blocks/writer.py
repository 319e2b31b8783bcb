"""Changes of block records: machines granted, machines given up. One write a block at a time."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.blocks.messages import BlockRecord, MachineEntry
from fallpulley.blocks.registry import BLOCKS, RETIRED, Registry
from fallpulley.core import Core
from fallpulley.state.lane import Change, Order, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)


class BlockWriter:
    """Collects changes and repeats them, each on the newest stamp, until the record shows them.

    A write whose answer was lost may still be applied late. It is conditioned on the stamp it
    was decided on, and the wish stays until a look at the record settles it, so nothing is
    decided on the assumption that it failed.
    """

    def __init__(self, core: Core, view: View, registry: Registry) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.adding: dict[str, dict[str, MachineEntry]] = {}
        self.removing: dict[str, set[str]] = {}
        self.addresses: dict[str, str] = {}  # learned from lists and reports
        self._busy: dict[str, float] = {}  # block -> until when its last write is awaited

    def add(self, block: str, host: str, entry: MachineEntry) -> None:
        self.adding.setdefault(block, {})[host] = entry

    def remove(self, block: str, host: str) -> None:
        """Only the holder may ask, for a machine that it no longer places on."""
        self.removing.setdefault(block, set()).add(host)

    def drop_removals(self, block: str) -> None:
        self.removing.pop(block, None)

    def coming(self, host: str) -> bool:
        return any(host in hosts for hosts in self.adding.values())

    def tick(self) -> None:
        now = self.core.now
        for label in list(self.adding.keys() | self.removing.keys()):
            if now < self._busy.get(label, 0.0):
                continue
            entry = self.registry.blocks.get(label)
            if entry is None:
                self.adding.pop(label, None)
                self.removing.pop(label, None)
                continue
            self._write(label, entry[0], entry[1])

    def _write(self, label: str, record: BlockRecord, stamp: int) -> None:
        adding = self.adding.get(label, {})
        removing = self.removing.get(label, set())
        for host in list(adding):
            if host in self.registry.host_block:
                del adding[host]
        for host in list(removing):
            if host not in record.machines:
                removing.discard(host)
        if not adding and not removing:
            self.adding.pop(label, None)
            self.removing.pop(label, None)
            return
        out = sorted(removing)[: self.core.settings.facts.state.txn_ops - 2]
        machines = {h: e for h, e in record.machines.items() if h not in out}
        machines |= adding
        # A successor fences the machines directly: it needs their addresses.
        for host, entry in machines.items():
            if not entry.addr and host in self.addresses:
                machines[host] = MachineEntry(
                    self.addresses[host], entry.build, entry.zone, entry.spot
                )
        key = BLOCKS + label
        value = msgspec.json.encode(BlockRecord(record.holder, record.boot, machines))
        changes = [Change(key, value)]
        changes += [Change(RETIRED + host, b"{}") for host in out]
        self._busy[label] = self.core.now + 3.0

        def written(status: int | None, ledger: int) -> None:
            # On success the watch brings the record within moments; otherwise look again soon.
            wait_s = 0.3 if status == 200 else 0.5
            self._busy[label] = self.core.now + wait_s

        self.core.lane.write(Write({key: stamp}, changes, written, Order.ACCEPT))
