"""Transactions that move machines between two shards, or remove and release them."""

from __future__ import annotations

import random

import msgspec
import pytest

from fallpulley.controller_context import ControllerContext
from fallpulley.record_format import NEWEST_FORMAT
from fallpulley.shared_records.keys import RELEASE_PREFIX
from fallpulley.shared_records.machine_encoding import without_addresses
from fallpulley.shared_records.messages import ReleaseRecord
from fallpulley.shared_records.pending_changes import PendingChanges
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.shard_record import Machines, ShardRecord
from fallpulley.shared_records.transactions import ShardTransaction, TransactionBuilder
from tests.simulated_cluster import controller_settings
from tests.test_shard_record_pages import fleet

# What the state service accepts in one transaction.
MAX_BODY_BYTES = 64 * 1024


class TwoShards:
    """Two shards of a state service with these limits, and the builder of their transactions."""

    def __init__(self, value_kb: float, txn_ops: int) -> None:
        state = {"rps": 200.0, "write_rps": 90.0, "value_kb": value_kb, "txn_ops": txn_ops}
        context = ControllerContext(controller_settings("node-0", state=state), "boot", lambda: 0.0)
        context.record_format.adopt(NEWEST_FORMAT)
        self.record_format = context.record_format
        self.registry = Registry()
        self.addresses: dict[str, str] = {}
        self.builder = TransactionBuilder(context, self.registry, self.addresses)
        self.revision = 1
        self.released: list[str] = []
        for shard_id in "ab":
            value = ShardRecord("node-0", "boot", {}).encode(True, 2000)
            self.registry.on_key_changed(f"live/block/{shard_id}", value, self.revision)

    def machines(self, shard_id: str) -> Machines:
        return self.registry.shards[shard_id].value.machines

    def pages_hold_each_machine_once(self) -> bool:
        return all(
            sum(len(page.machines) for page in record.pages.values()) in (0, len(record.machines))
            for record, _ in self.registry.shards.values()
        )

    def apply(self, transaction: ShardTransaction) -> None:
        """Check the transaction against the limits of the state service, and apply it."""
        changes = transaction.changes
        assert len(changes) <= self.record_format.max_transaction_changes
        assert len({change.key for change in changes}) == len(changes)
        sizes = [len(change.value or b"") for change in changes]
        assert max(sizes) <= self.record_format.max_value_bytes
        body = msgspec.json.encode([change.to_wire() for change in changes])
        assert len(body) < MAX_BODY_BYTES
        self.revision += 1
        for change in changes:
            if change.key.startswith(RELEASE_PREFIX):
                record = msgspec.json.decode(change.value or b"", type=ReleaseRecord)
                self.released += record.machine_ids
            else:
                self.registry.on_key_changed(change.key, change.value, self.revision)
        assert self.pages_hold_each_machine_once()

    def add_all(self, shard_id: str, machines: Machines) -> None:
        pending = PendingChanges(adding=dict(machines))
        while pending.adding:
            shard = self.registry.shards[shard_id]
            transaction = self.builder.build_change(shard_id, shard, pending)
            assert transaction is not None
            self.apply(transaction)
            for machine_id in pending.adding.keys() & self.machines(shard_id).keys():
                del pending.adding[machine_id]


def shards_with_full_pages(value_kb: float, txn_ops: int) -> TwoShards:
    """Return shards of 300 and 200 irregular machines, added without addresses known by now."""
    shards = TwoShards(value_kb, txn_ops)
    for shard_id, machines in (("a", fleet(1, 300, True)), ("b", fleet(5000, 200, True))):
        shards.add_all(shard_id, without_addresses(machines))
        shards.addresses.update({key: entry.address for key, entry in machines.items()})
    return shards


LIMITS = [(1.0, 4), (2.0, 4), (2.0, 5), (2.0, 16), (16.0, 16), (32.0, 32)]


@pytest.mark.parametrize(("value_kb", "txn_ops"), LIMITS)
def test_each_machine_is_in_one_shard_after_every_transaction_of_a_move(
    value_kb: float, txn_ops: int
) -> None:
    """Guards against a machine with two owners, or none, where one side gives up a page."""
    shards = shards_with_full_pages(value_kb, txn_ops)
    all_machines = shards.machines("a").keys() | shards.machines("b").keys()
    moving = random.Random(1).sample(sorted(shards.machines("a")), 120)
    for _ in range(200):
        left = [machine_id for machine_id in moving if machine_id in shards.machines("a")]
        if not left:
            break
        pending = PendingChanges(destinations=dict.fromkeys(left, "b"))
        transaction = shards.builder.build_move("a", shards.registry.shards["a"], pending)
        assert transaction is not None
        shards.apply(transaction)
        in_a, in_b = shards.machines("a").keys(), shards.machines("b").keys()
        assert in_a.isdisjoint(in_b) and in_a | in_b == all_machines
    assert shards.machines("b").keys() >= set(moving)


@pytest.mark.parametrize(("value_kb", "txn_ops"), LIMITS)
def test_release_records_name_the_machines_that_their_transaction_removes(
    value_kb: float, txn_ops: int
) -> None:
    """Guards against a machine that is released while it stays in its shard, or stays rented."""
    shards = shards_with_full_pages(value_kb, txn_ops)
    before = set(shards.machines("a"))
    pending = PendingChanges(removing=set(random.Random(2).sample(sorted(before), 150)))
    wanted = set(pending.removing)
    for _ in range(200):
        if not pending.removing:
            break
        shard = shards.registry.shards["a"]
        transaction = shards.builder.build_change("a", shard, pending)
        assert transaction is not None
        shards.apply(transaction)
        assert set(shards.released) == before - shards.machines("a").keys()
        pending.discard_absent(shards.registry.shards["a"].value)
    assert sorted(shards.released) == sorted(wanted)
