"""Mixed versions: the one in production, and the one with the newer record format.

`data/production.json` holds records and messages written by the version in production.
"""

from __future__ import annotations

import json
import pathlib
import random
from typing import Any

import msgspec
import pytest

from fallpulley.jobs.completion import (
    chunk_capacity,
    chunk_name,
    is_chunk_name,
    parse_chunk_name,
)
from fallpulley.jobs.messages import JobRecord
from fallpulley.jobs.open_job import OpenJob
from fallpulley.mesh import messages as mesh
from fallpulley.shared_records.messages import Session
from fallpulley.shared_records.shard_record import MachineEntry, ShardRecord, decode_shard
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, job_spec
from tests.test_fault_tolerance import task_start_count
from tests.test_jobs_and_takeovers import other_controllers, submit_job
from tests.test_settings_and_limits import make_open_job

DATA = json.loads((pathlib.Path(__file__).parent / "data" / "production.json").read_text())
NEXT_LIMITS = {"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 5}
STATE_LIMITS = {
    "rps": 200.0,
    "write_rps": 90.0,
    "value_kb": 16.0,
    "txn_ops": 16,
    "next": NEXT_LIMITS,
}


def only_older_formats(cluster: SimulatedCluster) -> bool:
    """Return whether the version in production can read all stored values."""
    for key, (value, _, _) in cluster.state.entries.items():
        if key == "live/format" or "@" in key or "runs" in value or value.get("hosts"):
            return False
    return True


def mixed_version_cluster(older: list[str], machines: int = 3, **facts: Any) -> SimulatedCluster:
    cluster = SimulatedCluster(machines, start=False, **({"state": STATE_LIMITS} | facts))
    cluster.capacity = machines
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label, older=label in older)
    cluster.run_until(lambda: bool(cluster.shards()), 5.0)
    cluster.run(3.0)
    return cluster


def test_records_and_messages_of_the_version_in_production_are_read() -> None:
    for key, value in DATA["records"].items():
        body = json.dumps(value).encode()
        if key.startswith("live/block/"):
            record = decode_shard(body)
            assert record.owner in CONTROLLER_LABELS and len(record.machines) > 0
            assert all(entry.address for entry in record.machines.values())
        elif key.startswith("live/job/"):
            assert msgspec.json.decode(body, type=JobRecord).task_count > 0
        elif key.startswith("live/session/"):
            assert msgspec.json.decode(body, type=Session).record_format == 1
    for heartbeat in DATA["beats"]:
        assert isinstance(
            mesh.decode_peer_message(json.dumps(heartbeat).encode()), mesh.PeerHeartbeat
        )
    # An unknown message of a future version is ignored without an error.
    assert mesh.decode_peer_message(b'["unheard_of",1,{}]') is None


def test_jobs_left_by_the_version_in_production_are_taken_over_and_completed() -> None:
    cluster = SimulatedCluster(5, start=False, state=STATE_LIMITS)
    cluster.capacity = 5
    cluster.controller_starts = 100  # numbers the processes differently from those in the records
    for number, (key, value) in enumerate(DATA["records"].items(), 1):
        if not key.startswith(("live/session/", "live/leader")):
            cluster.state.entries[key] = (value, number, None)
            cluster.state.revision = number
            cluster.state.log.append({"set": key, "v": value, "stamp": number})
        if key.startswith("live/job/") and "spec" in value:
            cluster.submissions[key.rpartition("/")[2]] = value["spec"]
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(
        lambda: cluster.job_state("job-000009") == cluster.job_state("job-000010") == "done", 90.0
    )
    assert cluster.job_state("job-000003") == "withdrawn"
    # Eighteen of its tasks were done already, according to a progress value of the older format.
    assert task_start_count(cluster, "job-000009") <= 4


def test_only_older_formats_are_written_while_one_controller_may_be_older() -> None:
    cluster = mixed_version_cluster(["node-2"])
    uid = submit_job(cluster, 1, pieces=12, cpus=1.0)
    cluster.task_durations_s[uid] = 9.0
    status, _, retry_after_s = cluster.request("node-0", "POST", "/work", job_spec(2, awaits=[uid]))
    assert (status, retry_after_s) == (503, 1.0)
    for at in range(600):
        cluster.step()
        if at % 20 == 0:
            assert only_older_formats(cluster)
    cluster.crash("node-2")
    cluster.run(10.0)
    assert only_older_formats(cluster)  # it may return with the older version
    cluster.start_controller("node-2", older=True)
    cluster.run(5.0)
    assert only_older_formats(cluster)
    cluster.crash("node-2")
    cluster.start_controller("node-2")
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 5.0)
    cluster.run(0.5)
    last = submit_job(cluster, 3, awaits=[uid])
    cluster.run_until(lambda: cluster.job_state(last) == "done", 60.0)
    assert any("runs" in record for record in cluster.shards().values())


@pytest.mark.parametrize("seed", range(4))
def test_no_task_runs_twice_when_old_and_new_owners_take_over_from_each_other(seed: int) -> None:
    rng = random.Random(seed)
    cluster = mixed_version_cluster(list(CONTROLLER_LABELS))
    uids = [
        submit_job(cluster, n, pieces=4, crew="small" if n % 2 else "crew") for n in range(1, 5)
    ]
    for uid in uids:
        cluster.task_durations_s[uid] = 14.0
    upgraded: set[str] = set()
    for turn in range(8):
        cluster.run(rng.uniform(1.0, 7.0))
        label = cluster.owner() if turn % 2 == 0 else rng.choice(CONTROLLER_LABELS)
        if label not in cluster.controllers:
            continue
        cluster.crash(label)
        cluster.run(rng.choice([0.2, 5.0]))
        if turn >= 2 and rng.random() < 0.7:
            upgraded.add(label)
        cluster.start_controller(label, older=label not in upgraded)
        if len(upgraded) < 3:
            assert only_older_formats(cluster)
    for label in CONTROLLER_LABELS:
        if label not in upgraded:
            cluster.crash(label)
            cluster.start_controller(label)
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 20.0)
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in uids), 150.0)


def test_announced_limits_refuse_nothing_a_second_after_the_last_upgrade() -> None:
    """No transaction is refused for its size, and no job is lost."""
    cluster = mixed_version_cluster(
        list(CONTROLLER_LABELS), machines=150, machine_limits={"sockets": 4000}
    )
    uid = submit_job(cluster, 1, pieces=900, cpus=1.0)
    cluster.task_durations_s[uid] = 12.0
    for label in [*other_controllers(cluster.owner()), cluster.owner()]:
        cluster.run(4.0)
        cluster.crash(label)
        cluster.run(1.0)
        cluster.start_controller(label)
    cluster.run_until(lambda: "live/format" in cluster.state.entries, 20.0)
    cluster.run(1.0)
    cluster.state.value_bytes, cluster.state.txn_ops, cluster.state.write_rps = 2048, 5, 18.0
    more = [submit_job(cluster, n, pieces=2, cpus=1.0) for n in range(2, 20)]
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 120.0)
    cluster.run_until(lambda: all(cluster.job_state(name) == "done" for name in more), 60.0)
    assert cluster.state.oversized_transactions == 0
    cluster.run_until(lambda: len(cluster.released_hosts) > 100, 120.0)
    assert cluster.state.oversized_transactions == 0
    for key, (value, _, _) in cluster.state.entries.items():
        assert len(json.dumps(value)) <= 2048, key


def test_limits_that_take_effect_before_all_controllers_are_seen_block_no_job() -> None:
    """One controller is upgraded, but partitioned before any leader sees it."""
    announced = NEXT_LIMITS | {"value_kb": 0.8}
    cluster = mixed_version_cluster(
        ["node-2"], machines=400, state=STATE_LIMITS | {"next": announced}
    )
    uid = submit_job(cluster, 1, pieces=400, cpus=8.0)
    cluster.task_durations_s[uid] = 25.0
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 400, 20.0)
    cluster.crash("node-2")
    cluster.partitions.update({("node-2", "state"), ("node-2", "node-0"), ("node-2", "node-1")})
    cluster.start_controller("node-2")
    cluster.run(6.0)
    assert only_older_formats(cluster)
    assert any(len(json.dumps(record)) > 819 for record in cluster.shards().values())
    cluster.state.value_bytes, cluster.state.txn_ops, cluster.state.write_rps = 819, 5, 18.0
    old = cluster.owner()
    cluster.crash(old)
    cluster.run_until(lambda: cluster.owner() != old, 20.0)
    cluster.start_controller(old)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    assert "live/format" in cluster.state.entries
    assert len(cluster.task_starts) == 400
    assert len(cluster.shards()) == 1  # no second shard before the first has shrunk


def test_700_machines_fit_the_small_value_and_unusual_ids_are_kept() -> None:
    rng = random.Random(3)
    machines = {
        f"vm-{n:06d}": MachineEntry(
            f"10.1.{n >> 8}.{n & 255}:9000" if rng.random() < 0.95 else "",
            rng.choice(["chhota", "madhyam", "bhari"]),
            rng.choice(["ahmedabad-east", "vadodara-dc"]),
            rng.random() < 0.6,
            rng.random() < 0.9,
        )
        for n in rng.sample(range(3000), 700)
    }
    record = ShardRecord("pulleyhand-0", "b" * 30, machines)
    assert len(record.encode(True, 1945)) < 0.95 * 2048
    assert decode_shard(record.encode(True, 1945)).machines == machines
    irregular = {
        host: MachineEntry(f"10.{rng.randrange(255)}.0.9:{n * 37 % 9000}", "b", "z", True)
        for n, host in enumerate(machines)
    }
    small = ShardRecord("pulleyhand-0", "b" * 30, irregular).encode(True, 1945)
    assert len(small) < 0.95 * 2048
    decoded = decode_shard(small).machines
    assert decoded.keys() == machines.keys() and not any(
        entry.address for entry in decoded.values()
    )
    unusual_ids = [
        "a",
        "7",
        "vm-",
        "vm-1000000",
        "vm-0000001",
        "x" * 90 + "1",
        "vm-00000000000000000009",
    ]
    addresses = [
        "",
        "h:1",
        "10.0.0.1:0",
        "10.0.0.01:9",
        "010.0.0.1:9",
        "1.2.3.4:70000",
        "9.9.9.9:9",
    ]
    for name, addr in zip(unusual_ids, addresses, strict=True):
        record.machines[name] = MachineEntry(addr, "b", "z", False)
    for newer in (True, False):
        assert decode_shard(record.encode(newer, 16_000)).machines == record.machines


def test_names_of_progress_values_give_the_size_of_their_chunks() -> None:
    older, newer = chunk_capacity(16.0), chunk_capacity(2.0)
    assert older != newer
    done = make_open_job(100_000)
    for index in range(0, 100_000, 7):
        done.progress.record_completion(index, 0.0)
    values: dict[str, bytes] = {}
    for number in done.progress.unsaved_chunks(older)[:1]:
        values[chunk_name(number, older, False)] = done.progress.completed.chunk(number, older)
    for number in range(5, -(-100_000 // newer)):
        values[chunk_name(number, newer, True)] = done.progress.completed.chunk(number, newer)
    assert (
        all(is_chunk_name(name) for name in values)
        and not is_chunk_name("x")
        and not is_chunk_name("1@x")
    )
    restored: OpenJob = make_open_job(100_000)
    for name, content in values.items():
        restored.progress.merge_stored_chunk(name, older, msgspec.to_builtins(content), 5)
        assert parse_chunk_name(name, older)[1] == (newer if "@" in name else older)
    assert restored.progress.completed.count == done.progress.completed.count


def test_job_ends_with_more_progress_values_than_a_transaction_holds() -> None:
    cluster = mixed_version_cluster([])
    uid = submit_job(cluster, 1, pieces=4)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == 4, 20.0)
    shard = next(iter(cluster.controllers[cluster.owner()].components.owned_shards.shards.values()))
    for number in range(9):
        shard.jobs[uid].progress.mod_revisions[f"{number}@64"] = 0
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 30.0)
