"""Records of earlier versions in which machines stand in several pages, or are missing."""

from __future__ import annotations

import logging

import msgspec
import pytest

from fallpulley.shared_records.keys import page_key
from fallpulley.shared_records.layout import header_change
from fallpulley.shared_records.machine_encoding import Machines, pack_runs
from fallpulley.shared_records.page_check import PageCheck
from fallpulley.shared_records.record_update import update_record
from fallpulley.shared_records.shard_change import RecordLimits, ShardChange
from fallpulley.shared_records.shard_record import (
    MachinePage,
    ShardRecord,
    decode_shard_header,
    encode_page,
)
from tests.simulated_cluster import SimulatedCluster, job_spec
from tests.test_shard_record_pages import Stored, fleet

REPEATED = 100


def occupied(machines: Machines) -> Machines:
    return {
        machine_id: msgspec.structs.replace(entry, occupied=True)
        for machine_id, entry in machines.items()
    }


def damaged_record(max_changes: int, occupied_page: int) -> Stored:
    """Return a shard of 1,200 machines of which 100 are in pages 0 and 5, occupied in one."""
    stored = Stored(RecordLimits(True, True, 1945, max_changes))
    machines = fleet(1, 1200)
    stored.add_all(machines)
    first_page = stored.record.pages[0].machines
    repeated = {machine_id: first_page[machine_id] for machine_id in sorted(first_page)[:REPEATED]}
    copies = {0: dict(first_page), 5: dict(repeated)}
    copies[occupied_page].update(occupied(repeated))
    pages = dict(stored.record.pages)
    stored.revision += 1
    pages |= {
        number: MachinePage(stored.revision - 1, machines) for number, machines in copies.items()
    }
    header = header_change("b", stored.record, pages)
    stored.registry.on_key_changed(header.key, header.value, stored.revision)
    for number in copies:
        value = encode_page(pages[number])
        stored.registry.on_key_changed(page_key("b", number), value, stored.revision)
    return stored


def entries_in_pages(stored: Stored) -> list[str]:
    return [machine_id for page in stored.record.pages.values() for machine_id in page.machines]


@pytest.mark.parametrize("occupied_page", [0, 5])
@pytest.mark.parametrize("max_changes", [2, 3, 16])
def test_machines_in_two_pages_are_set_right_before_anything_else_changes(
    max_changes: int, occupied_page: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a machine that holds tasks being read as empty from its other page."""
    with caplog.at_level(logging.ERROR):
        stored = damaged_record(max_changes, occupied_page)
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ["pages of a shard repeat machines shard=b repeated=100"]
    flagged = {key for key, entry in stored.record.machines.items() if entry.occupied}
    assert len(flagged) == REPEATED and len(stored.record.machines) == 1200
    removed = min(flagged)
    for _ in range(3):
        update = stored.update(ShardChange(remove=[removed]))
        if update.removed:
            break
        assert update.only_changes_layout
        assert {key for key, entry in stored.record.machines.items() if entry.occupied} == flagged
    assert update.removed == [removed]
    assert removed not in stored.record.machines
    assert len(entries_in_pages(stored)) == len(stored.record.machines) == 1199
    assert {key for key, entry in stored.record.machines.items() if entry.occupied} == flagged - {
        removed
    }


def test_machine_lost_from_the_record_is_adopted_from_the_list_of_the_cloud() -> None:
    """Guards against a machine that is paid for and never used again."""
    cluster = SimulatedCluster(machines=4)
    cluster.run_until(lambda: cluster.shards() != {}, 20.0)
    cluster.run_until(lambda: len(cluster.recorded_machines()) == 4, 20.0)
    (key,) = cluster.shards()
    record, _, lease_id = cluster.state.entries[key]
    header = decode_shard_header(msgspec.json.encode(record))
    kept = {name: header.record.machines[name] for name in sorted(header.record.machines)[1:]}
    lost = min(header.record.machines)
    cluster.state.revision += 1
    damaged = record | {"runs": msgspec.json.decode(msgspec.json.encode(pack_runs(kept)))}
    cluster.state.entries[key] = (damaged, cluster.state.revision, lease_id)
    cluster.state.log.append({"set": key, "v": damaged, "stamp": cluster.state.revision})
    cluster.run_until(lambda: lost not in cluster.recorded_machines(), 2.0)
    cluster.run_until(lambda: lost in cluster.recorded_machines(), 20.0)
    # It gets tasks again, like all others: three machines are too few for these eight.
    cluster.request("node-0", "POST", "/work", job_spec(1, pieces=8))
    cluster.run_until(lambda: bool(cluster.workers[lost].running_tasks()), 20.0)


def page_errors(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if "key=" in record.getMessage()]


def test_keys_of_malformed_missing_and_unlisted_pages_are_logged_and_other_shards_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a shard that is not served without any log line that tells why."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(fleet(1, 1200))
    registry = stored.registry
    registry.on_key_changed("live/block/c", ShardRecord("n", "i", {}).encode(True, 2000), 9000)
    check = PageCheck(registry)
    with caplog.at_level(logging.ERROR):
        check.tick(0.0)
        registry.on_key_changed("live/machines/b/0", b'{"runs": 1}', 9001)
        registry.on_key_changed("live/machines/b/1", None, 9001)
        unlisted = encode_page(MachinePage(3, fleet(5000, 1)))
        registry.on_key_changed("live/machines/b/99", unlisted, 9001)
        registry.on_key_changed("live/block/d", b"[]", 9001)
        for now in range(1, 30):
            check.tick(float(now))
    errors = page_errors(caplog)
    assert [line.partition(" key=")[2].partition(" ")[0] for line in errors] == [
        "live/machines/b/0",
        "live/block/d",
        "live/machines/b/0",
        "live/machines/b/1",
        "live/machines/b/99",
    ]
    assert registry.shards.keys() == {"b", "c"}
    assert len(registry.shards["b"].value.machines) == 1200


def test_pages_of_a_write_that_is_still_arriving_are_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an error for each write of which a check meets the header alone."""
    stored = Stored(RecordLimits(True, True, 1945, 4))
    stored.add_all(fleet(1, 1200))
    check = PageCheck(stored.registry)
    with caplog.at_level(logging.ERROR):
        check.tick(0.0)
        update = update_record(
            "b", stored.record, stored.revision, ShardChange(fleet(5000, 1)), stored.limits
        )
        header, *pages = update.changes
        stored.registry.on_key_changed(header.key, header.value, stored.revision + 1)
        check.tick(10.0)
        for change in pages:
            stored.registry.on_key_changed(change.key, change.value, stored.revision + 1)
        check.tick(20.0)
        check.tick(30.0)
    assert not page_errors(caplog)
