"""The present version reads the stored records, messages and settings of commit 07c4983.

`data/release_07c4983.json` was recorded by `record_07c4983` with the sources of that commit.
"""

from __future__ import annotations

import json
import logging
import pathlib
from collections import Counter
from typing import Any

import msgspec
import pytest

from fallpulley.cloud.messages import Catalog
from fallpulley.duties.messages import DutyRecord, Intent
from fallpulley.effects import PeerMessage
from fallpulley.jobs.completion import is_chunk_name
from fallpulley.jobs.messages import JobRecord, Progress
from fallpulley.jobs.stored_progress import parse_progress_key
from fallpulley.mesh.messages import decode_peer_message
from fallpulley.settings import load
from fallpulley.shared_records.messages import FormatMarker, ReleaseRecord, Session, TeamShard
from fallpulley.shared_records.shard_record import decode_page, decode_shard_header, encode_page
from fallpulley.shares.messages import ShareTable
from fallpulley.standby import messages as standby
from fallpulley.standby.follower import Follower
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, Worker
from tests.test_shares import operator_request
from tests.test_standby import standby_of

DATA = json.loads((pathlib.Path(__file__).parent / "data" / "release_07c4983.json").read_text())
RECORDED_CLUSTERS: list[dict[str, Any]] = DATA["clusters"]
CLUSTER_NAMES = [recorded["name"] for recorded in RECORDED_CLUSTERS]
MESSAGES = DATA["messages"]
SERVICE, CANCELLED = "job-000009", "job-000002"
TYPE_BY_PREFIX: dict[str, type] = {
    "live/job/": JobRecord,
    "live/session/": Session,
    "live/leader": Session,
    "live/format": FormatMarker,
    "live/catalog": Catalog,
    "live/team/": TeamShard,
    "live/retire/": ReleaseRecord,
    "live/shares": ShareTable,
    "live/duty/": DutyRecord,
    "live/intent/": Intent,
    "prog/": Progress,
}
SHARD_PREFIX, PAGE_PREFIX = "live/block/", "live/machines/"


def compact(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def kind_of(key: str) -> str:
    """Return the prefix of a key that names its kind of record; each duty is a kind of its own."""
    names = key.split("/")
    if names[0] != "live":
        return names[0]
    return "/".join(names[: 3 if names[1] in ("duty", "intent") else 2])


# Texts of log lines of this version or of 07c4983 by which something cannot be decoded or handled.
REJECTION_TEXTS = ("malformed", "undecodable", "cannot be decoded", "Traceback")
KINDS = {kind_of(entry[0]) for recorded in RECORDED_CLUSTERS for entry in recorded["records"]}


def check_nothing_malformed_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Check that something was logged, but neither an error nor input that cannot be decoded."""
    rejections = [
        record.getMessage()
        for record in caplog.records
        if record.levelno >= logging.ERROR
        or any(text in record.getMessage() for text in REJECTION_TEXTS)
    ]
    assert not rejections
    assert caplog.records


def restore_cluster(recorded: dict[str, Any]) -> SimulatedCluster:
    """Return the recorded cluster after its controllers ended, with its machines and tasks."""
    operators, state = recorded["operators"], recorded["state"]
    cluster = SimulatedCluster(0, start=False, operators=operators, state=state)
    cluster.now, cluster.capacity = recorded["now"], recorded["capacity"]
    cluster.controller_starts = 100  # so that new processes have incarnations of their own
    for lease, duration_s in recorded["leases_s"].items():
        cluster.state.leases[int(lease)] = (duration_s, cluster.now + duration_s)
    cluster.state._last_lease = max(cluster.state.leases)
    for key, value, revision, lease in sorted(recorded["records"], key=lambda entry: entry[2]):
        cluster.state.entries[key] = (value, revision, lease)
        cluster.state.log.append({"set": key, "v": value, "stamp": revision})
        if "spec" in value:
            cluster.submissions[value["spec"]["uid"]] = value["spec"]
        if value.get("stage") == "withdrawn":
            cluster.cancelled_at[key.rpartition("/")[2]] = cluster.now
    cluster.state.revision = recorded["revision"]
    cluster.fencing_tokens = recorded["tenures"].copy()
    shards = cluster.shards()
    if len(shards) == 1:
        (record,) = shards.values()
        cluster._shard_owner = (record["holder"], record["boot"])
    cluster.rentals = {name: list(hosts) for name, hosts in recorded["hires"].items()}
    cluster.task_durations_s = dict(recorded["task_s"])
    for entry in recorded["workers"]:
        worker = Worker(cluster, entry["host"], entry["hall"], entry["loaners"])
        worker.address = entry["addr"]
        worker.agent_epoch, worker.sequence = entry["shift"], entry["tick"]
        worker.fencing_token, worker.reported_token = entry["baton"], entry["reported"]
        for task_id, task in entry["pieces"].items():
            worker.tasks[task_id] = {
                "try": task["try"],
                "stage": task["stage"],
                "ready_at": cluster.now + task["ready"],
                "token": task["under"],
            }
            if "end" in task:
                worker.tasks[task_id]["ends_at"] = cluster.now + task["end"]
            if "cause" in task:
                worker.tasks[task_id]["cause"] = task["cause"]
            cluster.commanded_hosts.setdefault(task_id, set()).add(worker.host)
        cluster.workers[worker.host] = cluster.workers_by_address[worker.address] = worker
    rented = [host for hosts in cluster.rentals.values() for host in hosts]
    cluster._last_machine_number = max(int(host[3:]) for host in [*cluster.workers, *rented])
    return cluster


def test_recording_has_every_kind_of_record_and_message() -> None:
    assert DATA["recorded"]["commit"].startswith("07c4983")
    keys = [entry[0] for recorded in RECORDED_CLUSTERS for entry in recorded["records"]]
    for prefix in (*TYPE_BY_PREFIX, SHARD_PREFIX, PAGE_PREFIX):
        assert any(key.startswith(prefix) for key in keys), prefix
    assert {recorded["newest_format"] for recorded in RECORDED_CLUSTERS} == {True, False}
    for duty in ("renting", "returning"):
        assert any(key.startswith(f"live/intent/{duty}/") for key in keys)
    for recorded in RECORDED_CLUSTERS:
        jobs = [entry[1] for entry in recorded["records"] if entry[0].startswith("live/job/")]
        assert {job.get("stage", "open") for job in jobs} == {"open", "done", "withdrawn"}
        dependent_jobs = [job for job in jobs if "awaits" in job.get("spec", {})]
        assert len(dependent_jobs) == (2 if recorded["newest_format"] else 0)
        assert any(worker["pieces"] for worker in recorded["workers"])
    kinds = {json.loads(body)[0] for bodies in MESSAGES["of_each_kind"].values() for body in bodies}
    kinds |= {json.loads(body)[0] for body in MESSAGES["stream"]}
    stream_kinds = {"standby_log", "standby_snapshot", "standby_ack", "standby_replaced"}
    assert kinds == {"beat", "called_off"} | stream_kinds
    heartbeats = [
        json.loads(b) for k, v in MESSAGES["of_each_kind"].items() if "beat" in k for b in v
    ]
    assert all(any(heartbeat[field] for heartbeat in heartbeats) for field in (5, 6, 7))


@pytest.mark.parametrize("recorded", RECORDED_CLUSTERS, ids=CLUSTER_NAMES)
def test_stored_records_are_decoded_and_encoded_unchanged(recorded: dict[str, Any]) -> None:
    for key, value, _, _ in recorded["records"]:
        body = compact(value)
        if key.startswith(SHARD_PREFIX):
            header = decode_shard_header(body)
            assert header.record.owner in CONTROLLER_LABELS and header.record.incarnation
            if not header.page_versions:
                assert len(header.record.machines) > 0
                assert header.record.encode(header.record.compact, 16_000) == body
                assert header.record.compact == recorded["newest_format"]
            else:
                versions = [list(version) for version in header.page_versions.items()]
                assert value["parts"] == versions
        elif key.startswith(PAGE_PREFIX):
            page = decode_page(body)
            assert len(page.machines) > 0 and encode_page(page) == body
        else:
            (record_type,) = [t for prefix, t in TYPE_BY_PREFIX.items() if key.startswith(prefix)]
            record = msgspec.json.decode(body, type=record_type)
            assert json.loads(msgspec.json.encode(record)) == value
        if key.startswith("prog/"):
            assert is_chunk_name(parse_progress_key(key).chunk_name)


@pytest.mark.parametrize("recorded", RECORDED_CLUSTERS, ids=CLUSTER_NAMES)
def test_jobs_of_stopped_controllers_complete_after_the_upgrade(
    recorded: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    cluster = restore_cluster(recorded)
    job_ids = {uid for uid in map(job_id_of, recorded["records"]) if uid}
    ended = {uid for uid in job_ids if cluster.job_state(uid) != "open"}
    unfinished = job_ids - ended - {SERVICE}
    assert CANCELLED in ended and len(unfinished) >= 4
    before = set(recorded["started"].split())
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.run_until(lambda: all(cluster.job_state(uid) == "done" for uid in unfinished), 240.0)
    assert any(name.startswith(SERVICE) for name in cluster.running_tasks())
    status, answer, _ = cluster.request("node-1", "POST", f"/work/{SERVICE}/abort")
    assert status == 200 and answer["stage"] == "withdrawn"
    cluster.run_until(lambda: not cluster.running_tasks(), 60.0)
    # No task starts twice, before and after the upgrade, and all tasks of the open jobs have run.
    starts = Counter(task_id for _, task_id, _ in cluster.task_starts)
    assert not before & starts.keys()
    assert max(starts.values()) == 1
    for uid in unfinished:
        tasks = {f"{uid}/{index}" for index in range(cluster.submissions[uid]["pieces"])}
        assert tasks <= before | starts.keys()
    assert cluster.job_state(CANCELLED) == "withdrawn"
    assert not any(task_id.partition("/")[0] in ended for task_id in starts)
    for uid in ended | unfinished | {SERVICE}:
        answers = [cluster.request(label, "GET", f"/work/{uid}")[:2] for label in CONTROLLER_LABELS]
        assert answers[0][0] == 200 and answers[0][1]["stage"] == cluster.job_state(uid)
        assert all(answer == answers[0] for answer in answers), answers
    cluster.run_until(
        lambda: not any("/intent/" in k or "/retire/" in k for k in cluster.state.entries), 60.0
    )
    released = {
        host
        for key, value, _, _ in recorded["records"]
        if key.startswith("live/retire/")
        for host in value.get("hosts") or [key.rpartition("/")[2]]
    }
    assert released.isdisjoint(cluster.workers)
    if recorded["operators"].get("shares"):
        revisions = [v["revision"] for k, v, _, _ in recorded["records"] if k == "live/shares"]
        status, answer = operator_request(cluster, "node-2", "GET")
        assert status == 200 and answer["revision"] == (revisions or [0])[0]
    teams = {k[10:]: v["block"] for k, v, _, _ in recorded["records"] if k.startswith("live/team/")}
    for controller in cluster.controllers.values():
        assert controller.components.registry.team_shards == teams
    # No other kinds of records are written.
    assert {kind_of(event.get("set", "prog")) for event in cluster.state.log} <= KINDS
    check_nothing_malformed_logged(caplog)


def job_id_of(entry: list[Any]) -> str:
    """Return the id of the job that this entry is the record of; empty for another record."""
    key = str(entry[0])
    return key.rpartition("/")[2] if key.startswith("live/job/") else ""


def test_messages_are_decoded_and_encoded_unchanged() -> None:
    bodies = [body for bodies in MESSAGES["of_each_kind"].values() for body in bodies]
    for text in [*bodies, *MESSAGES["stream"], *MESSAGES["responses"]]:
        body = text.encode()
        if text.startswith('["standby_'):
            message = standby.decode(body)
            assert message is not None and standby.encode(message) == body
            assert decode_peer_message(body) is None
        else:
            heartbeat = decode_peer_message(body)
            assert heartbeat is not None and msgspec.json.encode(heartbeat) == body
            assert standby.decode(body) is None


def test_replication_stream_gives_the_recorded_replica_and_responses() -> None:
    follower = Follower(MESSAGES["follower"], lambda shard_id: None)
    responses = []
    for text in MESSAGES["stream"]:
        message = standby.decode(text.encode())
        assert isinstance(message, standby.LogBatch | standby.SnapshotPart)
        response = follower.handle(message, 0.0)
        assert response is not None
        responses.append(standby.encode(response).decode())
    assert responses[: len(MESSAGES["responses"])] == MESSAGES["responses"]
    assert not follower.dropped
    (followed,) = follower.shards.values()
    assert followed.replica is not None
    assert followed.replica.last_number == MESSAGES["last_number"]
    assert msgspec.to_builtins(followed.replica.state) == MESSAGES["replica"]


def test_running_controllers_accept_all_recorded_messages(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    cluster = SimulatedCluster(
        3, operators={name: {"enabled": True} for name in ("standby", "shares")}
    )
    cluster.capacity = 3
    cluster.run_until(lambda: bool(cluster.shards()), 8.0)
    bodies = [body for bodies in MESSAGES["of_each_kind"].values() for body in bodies]
    for text in [*bodies, *MESSAGES["stream"], *MESSAGES["responses"]]:
        for label in CONTROLLER_LABELS:
            cluster.commands[label].append(PeerMessage(text.encode()))
        cluster.step()
    cluster.run(5.0)
    for controller in cluster.controllers.values():
        assert "malformed" not in standby_of(controller).follower.dropped
        assert "format" not in standby_of(controller).follower.dropped
    check_nothing_malformed_logged(caplog)


@pytest.mark.parametrize("number", range(len(DATA["settings"])))
def test_settings_files_are_read_with_the_same_result(
    number: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorded = DATA["settings"][number]
    deployed = tmp_path / "deployed.toml"
    deployed.write_text(recorded["deployed"])
    monkeypatch.setattr("fallpulley.settings.DEPLOYED_FILES", (str(deployed),))
    (tmp_path / "node.toml").write_text(recorded["platform"])
    (tmp_path / "fallpulley.toml").write_text(recorded["operators"])
    settings = load(str(tmp_path / "node.toml"))
    assert msgspec.to_builtins(settings) == recorded["read"]
