"""What the version of 07c4983 left behind, sent and was set up by is read by this one.

`data/release_07c4983.json` is what `record_07c4983` recorded with the sources of that commit.
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
from fallpulley.mesh import messages as mesh
from fallpulley.records.messages import FormatMarker, ReleaseRecord, Session, TeamShard
from fallpulley.records.shard_record import decode_page, decode_shard_header, encode_page
from fallpulley.settings import load
from fallpulley.shares.messages import ShareTable
from fallpulley.standby import messages as standby
from fallpulley.standby.follower import Follower
from tests.test_shares import ask as ask_operator
from tests.test_standby import standby_of
from tests.world import LABELS, Worker, World

DATA = json.loads((pathlib.Path(__file__).parent / "data" / "release_07c4983.json").read_text())
CLUSTERS: list[dict[str, Any]] = DATA["clusters"]
NAMES = [cluster["name"] for cluster in CLUSTERS]
MESSAGES = DATA["messages"]
SERVICE, CANCELLED = "job-000009", "job-000002"
TYPES: dict[str, type] = {
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
SHARD, PAGE = "live/block/", "live/machines/"


def compact(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def kind_of(key: str) -> str:
    """The part of a key that all records of its kind share; duties are told apart."""
    parts = key.split("/")
    if parts[0] != "live":
        return parts[0]
    return "/".join(parts[: 3 if parts[1] in ("duty", "intent") else 2])


KINDS = {kind_of(entry[0]) for cluster in CLUSTERS for entry in cluster["records"]}


def nothing_was_refused(caplog: pytest.LogCaptureFixture) -> bool:
    """No line says that something could not be read, and none is an error."""
    bad = [
        record.getMessage()
        for record in caplog.records
        if record.levelno >= logging.ERROR
        or any(word in record.getMessage() for word in ("malformed", "undecodable", "Traceback"))
    ]
    assert not bad
    return bool(caplog.records)


def restored(cluster: dict[str, Any]) -> World:
    """The cluster right after its controllers ended: records, leases, machines and their tasks."""
    operators, state = cluster["operators"], cluster["state"]
    world = World(0, start=False, operators=operators, state=state)
    world.now, world.capacity = cluster["now"], cluster["capacity"]
    world.boots = 100  # other processes than those in the records
    for lease, life_s in cluster["leases_s"].items():
        world.state.leases[int(lease)] = (life_s, world.now + life_s)
    world.state._next = max(world.state.leases)
    for key, value, revision, lease in sorted(cluster["records"], key=lambda entry: entry[2]):
        world.state.data[key] = (value, revision, lease)
        world.state.log.append({"set": key, "v": value, "stamp": revision})
        if "spec" in value:
            world.specs[value["spec"]["uid"]] = value["spec"]
        if value.get("stage") == "withdrawn":
            world.cancelled_at[key.rpartition("/")[2]] = world.now
    world.state.ledger = cluster["revision"]
    world.tenures = cluster["tenures"].copy()
    shards = world.blocks()
    if len(shards) == 1:
        (record,) = shards.values()
        world._held_by = (record["holder"], record["boot"])
    world.hires = {name: list(hosts) for name, hosts in cluster["hires"].items()}
    world.times = dict(cluster["task_s"])
    for entry in cluster["workers"]:
        worker = Worker(world, entry["host"], entry["hall"], entry["loaners"])
        worker.addr, worker.shift, worker.tick = entry["addr"], entry["shift"], entry["tick"]
        worker.baton, worker.reported = entry["baton"], entry["reported"]
        for name, piece in entry["pieces"].items():
            moments = {at: world.now + piece[at] for at in ("ready", "end") if at in piece}
            worker.pieces[name] = piece | moments
            world.had.setdefault(name, set()).add(worker.host)
        world.workers[worker.host] = world.by_addr[worker.addr] = worker
    world._vm = max(int(host[3:]) for host in world.workers)
    world._vm = max(world._vm, *(int(h[3:]) for hosts in world.hires.values() for h in hosts), 0)
    return world


def test_all_kinds_of_records_and_messages_were_recorded() -> None:
    assert DATA["recorded"]["commit"].startswith("07c4983")
    keys = [entry[0] for cluster in CLUSTERS for entry in cluster["records"]]
    for prefix in (*TYPES, SHARD, PAGE):
        assert any(key.startswith(prefix) for key in keys), prefix
    assert {cluster["newest_format"] for cluster in CLUSTERS} == {True, False}
    for duty in ("renting", "returning"):
        assert any(key.startswith(f"live/intent/{duty}/") for key in keys)
    for cluster in CLUSTERS:
        jobs = [entry[1] for entry in cluster["records"] if entry[0].startswith("live/job/")]
        assert {job.get("stage", "open") for job in jobs} == {"open", "done", "withdrawn"}
        waiting = [job for job in jobs if "awaits" in job.get("spec", {})]
        assert len(waiting) == (2 if cluster["newest_format"] else 0)
        assert any(worker["pieces"] for worker in cluster["workers"])
    kinds = {json.loads(body)[0] for bodies in MESSAGES["of_each_kind"].values() for body in bodies}
    kinds |= {json.loads(body)[0] for body in MESSAGES["stream"]}
    stream = {"standby_log", "standby_snapshot", "standby_ack", "standby_replaced"}
    assert kinds == {"beat", "called_off"} | stream
    beats = [json.loads(b) for k, v in MESSAGES["of_each_kind"].items() if "beat" in k for b in v]
    assert all(any(beat[part] for beat in beats) for part in (5, 6, 7))


@pytest.mark.parametrize("cluster", CLUSTERS, ids=NAMES)
def test_each_record_is_read_and_written_again_as_it_was(cluster: dict[str, Any]) -> None:
    for key, value, _, _ in cluster["records"]:
        body = compact(value)
        if key.startswith(SHARD):
            header = decode_shard_header(body)
            assert header.record.owner in LABELS and header.record.incarnation
            if not header.page_versions:
                assert len(header.record.machines) > 0
                assert header.record.encode(header.record.compact, 16_000) == body
                assert header.record.compact == cluster["newest_format"]
            else:
                versions = [list(version) for version in header.page_versions.items()]
                assert value["parts"] == versions
        elif key.startswith(PAGE):
            page = decode_page(body)
            assert len(page.machines) > 0 and encode_page(page) == body
        else:
            (found,) = [of for prefix, of in TYPES.items() if key.startswith(prefix)]
            assert json.loads(msgspec.json.encode(msgspec.json.decode(body, type=found))) == value
        if key.startswith("prog/"):
            assert is_chunk_name(parse_progress_key(key).chunk_name)


@pytest.mark.parametrize("cluster", CLUSTERS, ids=NAMES)
def test_work_left_in_the_middle_is_taken_over_and_ended(
    cluster: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    world = restored(cluster)
    ended = {uid for uid in map(job_of, cluster["records"]) if uid and world.stage(uid) != "open"}
    unfinished = {
        uid for uid in map(job_of, cluster["records"]) if uid and world.stage(uid) == "open"
    } - {SERVICE}
    assert CANCELLED in ended and len(unfinished) >= 4
    before = set(cluster["started"].split())
    for label in LABELS:
        world.boot(label)
    world.until(lambda: all(world.stage(uid) == "done" for uid in unfinished), 240.0)
    assert any(name.startswith(SERVICE) for name in world.running())
    status, answer, _ = world.get("node-1", "POST", f"/work/{SERVICE}/abort")
    assert status == 200 and answer["stage"] == "withdrawn"
    world.until(lambda: not world.running(), 60.0)
    # No task that had started starts again, none starts twice, and each open job's have run.
    starts = Counter(piece for _, piece, _ in world.starts_seen)
    assert not before & starts.keys()
    assert max(starts.values()) == 1
    for uid in unfinished:
        tasks = {f"{uid}/{index}" for index in range(world.specs[uid]["pieces"])}
        assert tasks <= before | starts.keys()
    assert world.stage(CANCELLED) == "withdrawn"
    assert not any(piece.partition("/")[0] in ended for piece in starts)
    for uid in ended | unfinished | {SERVICE}:
        answers = [world.get(label, "GET", f"/work/{uid}")[:2] for label in LABELS]
        assert answers[0][0] == 200 and answers[0][1]["stage"] == world.stage(uid)
        assert all(answer == answers[0] for answer in answers), answers
    world.until(lambda: not any("/intent/" in k or "/retire/" in k for k in world.state.data), 60.0)
    retired = {
        host
        for key, value, _, _ in cluster["records"]
        if key.startswith("live/retire/")
        for host in value.get("hosts") or [key.rpartition("/")[2]]
    }
    assert retired.isdisjoint(world.workers)
    if cluster["operators"].get("shares"):
        recorded = [v["revision"] for k, v, _, _ in cluster["records"] if k == "live/shares"]
        status, answer = ask_operator(world, "node-2", "GET")
        assert status == 200 and answer["revision"] == (recorded or [0])[0]
    teams = {k[10:]: v["block"] for k, v, _, _ in cluster["records"] if k.startswith("live/team/")}
    for controller in world.controllers.values():
        assert controller.parts.registry.team_shards == teams
    # Records of no other kind are written.
    assert {kind_of(event.get("set", "prog")) for event in world.state.log} <= KINDS
    assert nothing_was_refused(caplog)


def job_of(entry: list[Any]) -> str:
    """The id of the job whose record this is; empty for another record."""
    key = str(entry[0])
    return key.rpartition("/")[2] if key.startswith("live/job/") else ""


def test_each_message_is_read_and_sent_again_as_it_was() -> None:
    bodies = [body for bodies in MESSAGES["of_each_kind"].values() for body in bodies]
    for text in [*bodies, *MESSAGES["stream"], *MESSAGES["responses"]]:
        body = text.encode()
        if text.startswith('["standby_'):
            message = standby.decode(body)
            assert message is not None and standby.encode(message) == body
            assert mesh.decode(body) is None
        else:
            heartbeat = mesh.decode(body)
            assert heartbeat is not None and msgspec.json.encode(heartbeat) == body
            assert standby.decode(body) is None


def test_a_stream_gives_the_same_replica_and_the_same_responses() -> None:
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


def test_controllers_at_work_take_the_messages_and_refuse_none(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    world = World(3, operators={name: {"enabled": True} for name in ("standby", "shares")})
    world.capacity = 3
    world.until(lambda: bool(world.blocks()), 8.0)
    bodies = [body for bodies in MESSAGES["of_each_kind"].values() for body in bodies]
    for text in [*bodies, *MESSAGES["stream"], *MESSAGES["responses"]]:
        for label in LABELS:
            world.commands[label].append(PeerMessage(text.encode()))
        world.step()
    world.run(5.0)
    for controller in world.controllers.values():
        assert "malformed" not in standby_of(controller).follower.dropped
        assert "format" not in standby_of(controller).follower.dropped
    assert nothing_was_refused(caplog)


@pytest.mark.parametrize("number", range(len(DATA["settings"])))
def test_settings_files_are_read_as_they_were(
    number: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorded = DATA["settings"][number]
    deployed = tmp_path / "deployed.toml"
    deployed.write_text(recorded["deployed"])
    monkeypatch.setattr("fallpulley.settings.DEPLOYED_FILES", (str(deployed),))
    (tmp_path / "node.toml").write_text(recorded["platform"])
    (tmp_path / "fallpulley.toml").write_text(recorded["operators"])
    found = load(str(tmp_path / "node.toml"))
    assert msgspec.to_builtins(found) == recorded["read"]
