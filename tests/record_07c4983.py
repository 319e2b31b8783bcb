"""Records `data/release_07c4983.json`: what the version of 07c4983 writes, sends and is set up by.

    python3 -m tests.record_07c4983

Starts itself once more with the sources and the `tests` of that commit, from a worktree under
`target/`: `play` and all that it calls use the names of that commit, which later ones may change.
Its simulated cluster is stopped in the middle of work; records, workers and messages are stored as
they are on the wire, and settings as text and as that version read them.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

REVISION = "07c4983"
FILE = pathlib.Path(__file__).parent / "data" / f"release_{REVISION}.json"

# What the state service will allow after an upgrade: shards of more than a few machines are paged.
TO_COME = {"write_rps": 60.0, "value_kb": 0.4, "txn_ops": 12}
STATE = {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16}
SHARES = {"enabled": True}
STANDBY = {"enabled": True, "batch_s": 0.2, "session_s": 2.0}
EXTENSIONS: dict[str, Any] = {
    "standby": STANDBY,
    "shares": SHARES,
    "duties": {"enabled": True},
    "idle_boots": 0.2,
}
IN_USE: dict[str, Any] = {"idle_boots": 0.2}

PLATFORM = """\
label = "node-0"
site = "a"
serve_on = "127.0.0.1:8101"
mesh_addr = "127.0.0.1:8102"
unknown = "a field of the platform that no version reads"
[[seeds]]
label = "node-1"
site = "b"
address = "127.0.0.2:8102"
[[seeds]]
label = "node-2"
site = "b"
address = "127.0.0.3:8102"
[endpoints]
cloud = "127.0.0.1:8201"
state = "127.0.0.1:8202"
[facts]
nodes = 3
zones = ["a", "b"]
skew_ms = 50.0
[[facts.teams]]
name = "crew"
cpus = 16.0
gpus = 1.0
[[facts.teams]]
name = "small"
cpus_max = 8.0
gpus_max = 2.0
[[facts.objectives]]
kind = "latency"
class = "work"
within_s = 60.0
share = 0.95
[[facts.objectives]]
kind = "slowdown"
class = "bulk"
times = 3.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 200.0
write_rps = 90.0
value_kb = 16.0
txn_ops = 16
[facts.state.next]
rps = 150.0
write_rps = 18.0
value_kb = 2.0
txn_ops = 5
[facts.cloud]
rps = 10.0
list_lag_s = 3.0
[facts.machine_limits]
core_share = 0.5
memory_mb = 300.0
sockets = 2000
"""
SMALLEST_PLATFORM = """\
label = "n0"
site = "s"
serve_on = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
nodes = 1
zones = ["s"]
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 10.0
write_rps = 5.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 4.0
list_lag_s = 3.0
"""
OPERATORS = """\
session_share = 0.3
drain_boots = 1.5
idle_boots = 1.0
age_bound = 5.0
begin_bound_s = 80.0
machines_max = 40
[standby]
enabled = true
batch_s = 0.25
session_s = 2.0
[shares]
enabled = true
policy = "{'node-0': 1.0, 'node-1': 2.0}"
policy_every_s = 20.0
[duties]
enabled = true
"""


# -- with the sources of 07c4983 ---------------------------------------------------------------


def world_of(machines: int, operators: dict[str, Any], older: bool, **facts: Any) -> Any:
    from tests.world import LABELS, World

    world = World(machines, start=False, operators=operators, state=STATE | facts)
    world.capacity = machines
    for label in LABELS:
        world.boot(label, older=older)
    world.until(lambda: bool(world.blocks()) and "live/catalog" in world.state.data, 10.0)
    world.run(4.0)
    return world


def submit_all(world: Any, newer: bool) -> None:
    """Jobs that end, are cancelled, are under way, wait for room, and wait for each other."""
    from tests.test_stories import submit

    for number, over, seconds in (
        (1, {"pieces": 3}, 1.0),
        (2, {"pieces": 3}, 60.0),
        (3, {"crew": "small", "pieces": 20}, 4.0),
        (4, {"pieces": 6, "cpus": 1.0, "rank": "high"}, 45.0),
        (5, {"shape": "ensemble", "pieces": 2, "one_zone": True, "expect_s": 30.0}, 30.0),
        (6, {"crew": "small", "pieces": 8, "rank": "best_effort"}, 2.0),
        (9, {"shape": "service", "pieces": 1, "cpus": 1.0, "expect_s": 0.0}, 10_000.0),
    ):
        world.times[submit(world, number, label=f"node-{number % 3}", **over)] = seconds
    if newer:
        submit(world, 7, awaits=["job-000003", "job-000001"], hall="a")
        submit(world, 8, awaits=["job-000007"], apart=True, due_s=600.0, builds=["box"])
    world.run(3.0)
    for label in ("node-0", "node-1", "node-2"):
        if label != world.blocks()["live/block/" + sorted(world.blocks())[0][11:]]["holder"]:
            assert world.get(label, "POST", "/work/job-000002/abort")[0] == 200
            break


def middle_of_work(world: Any, *kinds: str) -> None:
    """Until there is progress, a job done, a cancelled one, and a machine about to be returned."""
    from tests.test_stories import submit

    world.until(lambda: world.stage("job-000001") == "done", 60.0)
    wanted = ("live/team/", "prog/", *kinds)
    world.cloud_down = "live/retire/" in kinds
    world.until(
        lambda: all(any(key.startswith(kind) for key in world.state.data) for kind in wanted), 60.0
    )
    world.times[submit(world, 10, pieces=2)] = 5.0
    world.run(1.5)


def wire_records(world: Any) -> list[list[Any]]:
    """Key, value, revision, and the lease that it is attached to or null."""
    return [[key, *entry] for key, entry in sorted(world.state.data.items())]


def wire_workers(world: Any) -> list[dict[str, Any]]:
    """What machines run: seconds until a task starts or ends instead of moments."""
    found = []
    for worker in world.workers.values():
        pieces = {
            name: piece
            | {at: round(piece[at] - world.now, 3) for at in ("ready", "end") if at in piece}
            for name, piece in worker.pieces.items()
        }
        report = worker.report()
        found.append(
            {name: report[name] for name in ("host", "addr", "hall", "loaners", "shift", "tick")}
            | {"baton": worker.baton, "reported": worker.reported, "pieces": pieces}
        )
    return found


def stopped(world: Any, name: str, older: bool) -> dict[str, Any]:
    """The cluster as its controllers would leave it if all of them ended now."""
    return {
        "name": name,
        "newest_format": not older,
        "operators": world.operators,
        "state": world.facts["state"],
        "capacity": world.capacity,
        "now": round(world.now, 3),
        "revision": world.state.ledger,
        "leases_s": {str(lease): life for lease, (life, _) in world.state.leases.items()},
        "tenures": world.tenures,
        "records": wire_records(world),
        "workers": wire_workers(world),
        "hires": world.hires,
        "task_s": world.times,
        "started": " ".join(sorted({piece for _, piece, _ in world.starts_seen})),
    }


def record_default(older: bool) -> dict[str, Any]:
    world = world_of(9, IN_USE, older)
    submit_all(world, newer=not older)
    middle_of_work(world, "live/retire/")
    return stopped(world, "first format" if older else "newest format", older)


def record_pages() -> dict[str, Any]:
    import random

    from tests.world import LABELS, World

    chance = random.Random(4)
    world = World(0, start=False, operators=IN_USE, state=STATE | {"next": TO_COME})
    for at in range(24):
        host = world.machine("ab"[at % 2], spot=False)
        worker = world.workers[host]
        address = ".".join(str(chance.randint(1, 250)) for _ in range(4))
        worker.addr = f"{address}:{chance.randint(1000, 60000)}"
        world.by_addr[worker.addr] = worker
    world.capacity = 24
    for label in LABELS:
        world.boot(label)
    world.until(lambda: "live/format" in world.state.data, 15.0)
    world.run(3.0)
    submit_all(world, newer=True)
    middle_of_work(world, "live/machines/", "live/retire/")
    return stopped(world, "machines in pages", older=False)


def record_extensions() -> dict[str, Any]:
    from tests.test_shares import ask, wish

    world = world_of(9, EXTENSIONS | {"idle_boots": 50.0}, older=False)
    status, _ = ask(world, "node-0", "POST", wish({"node-0": 2.0, "node-1": 1.0}, "first"))
    assert status == 200
    world.until(lambda: len(world.blocks()) == 2, 10.0)
    submit_all(world, newer=True)
    middle_of_work(world, "live/duty/", "live/shares")
    return stopped(world, "standby, shares and duties", older=False)


def record_duties(name: str, machines: int, intent: str) -> dict[str, Any]:
    """An intended action is recorded, and the cloud has not answered it."""
    world = world_of(machines, EXTENSIONS, older=False)
    world.capacity = max(machines, 6)
    submit_all(world, newer=True)
    world.until(lambda: any(key.startswith(intent) for key in world.state.data), 90.0)
    return stopped(world, name, older=False)


def record_machine_requests(kept: dict[str, list[str]]) -> None:
    """A shard's owner asks the leader, another controller, for machines."""
    from tests.test_shares import ask, wish

    world = world_of(4, EXTENSIONS | {"idle_boots": 50.0}, older=False)

    def link(one: str, other: str, body: bytes) -> list[float]:
        message = json.loads(body)
        if message[0] == "beat" and any(message[6:]):
            kind = "beat" + "".join("01"[bool(part)] for part in message[5:])
            if len(kept.setdefault(kind, [])) < 2:
                kept[kind].append(body.decode())
        return [0.0]

    world.link = link
    assert ask(world, "node-0", "POST", wish({"node-0": 1.0, "node-1": 1.0}, "one"))[0] == 200
    world.until(lambda: len(world.blocks()) == 2, 10.0)
    world.capacity = 12
    submit_all(world, newer=True)
    world.run(20.0)


def record_messages() -> dict[str, Any]:
    """One or two of each kind, and a follower's whole stream with the replica that it gave."""
    import msgspec

    from fallpulley.standby.service import Standby
    from tests.world import World

    world = World(3, operators=EXTENSIONS)
    world.capacity = 5
    kept: dict[str, list[str]] = {}
    record_machine_requests(kept)
    stream: list[str] = []
    replies: list[str] = []
    follower: list[str] = []

    def link(one: str, other: str, body: bytes) -> list[float]:
        message = json.loads(body)
        kind = message[0]
        if kind == "beat":
            kind += "".join("01"[bool(part)] for part in message[5:])
        of_kind = kept.setdefault(kind, [])
        if not kind.startswith(("standby_log", "standby_snapshot")) and len(of_kind) < 2:
            of_kind.append(body.decode())
        if follower and other == follower[0] and kind in ("standby_log", "standby_snapshot"):
            stream.append(body.decode())
        if follower and one == follower[0] and kind == "standby_ack":
            replies.append(body.decode())
        return [0.0]

    world.link = link
    world.until(lambda: bool(world.blocks()), 8.0)
    owner = world.holder()
    follower.append(next(label for label in ("node-0", "node-1", "node-2") if label != owner))
    world.run(4.0)
    submit_all(world, newer=True)
    world.run(6.0)
    service: Any = world.controllers[follower[0]].parts.extensions.find(Standby)
    (followed,) = service.follower.shards.values()
    found = {
        "follower": follower[0],
        "replica": msgspec.to_builtins(followed.replica.state),
        "last_number": followed.replica.last,
        "stream": list(stream),
        "responses": list(replies),
    }
    follower.clear()
    # A paused owner finds itself replaced: the new one tells it.
    world.paused.add(owner)
    world.until(lambda: world.holder() != owner, 20.0)
    world.run(3.0)
    world.paused.clear()
    world.until(lambda: "standby_replaced" in kept, 20.0)
    found["of_each_kind"] = {kind: bodies for kind, bodies in sorted(kept.items()) if bodies}
    return found


def record_settings(tree: pathlib.Path) -> list[dict[str, Any]]:
    import msgspec

    from fallpulley import settings

    deployed = (tree / "deploy" / "fallpulley.toml").read_text()
    found = []
    for platform, operators in (
        (PLATFORM, OPERATORS),
        (PLATFORM, "idle_boots = 50.0\n[shares]\nenabled = true\n"),
        (SMALLEST_PLATFORM, ""),
    ):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            path.write_text(platform)
            (path.parent / "fallpulley.toml").write_text(operators)
            read = msgspec.to_builtins(settings.load(str(path)))
        entry = {"platform": platform, "operators": operators, "deployed": deployed, "read": read}
        found.append(entry)
    return found


def play(tree: pathlib.Path) -> dict[str, Any]:
    import fallpulley

    assert pathlib.Path(fallpulley.__file__).is_relative_to(tree)
    return {
        "clusters": [
            record_default(older=True),
            record_default(older=False),
            record_pages(),
            record_extensions(),
            record_duties("a rental is intended", 1, "live/intent/renting/"),
            record_duties("a return is intended", 9, "live/intent/returning/"),
        ],
        "messages": record_messages(),
        "settings": record_settings(tree),
    }


# -- with the sources at hand ------------------------------------------------------------------


def main() -> None:
    from tests.traces.trees import commit_of, tree_of

    commit = commit_of(REVISION)
    tree = tree_of(commit)
    command = [sys.executable, __file__, str(tree)]
    done = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True)
    how = {"commit": commit, "command": "python3 -m tests.record_07c4983"}
    recorded = {"recorded": how} | json.loads(done.stdout)
    parts = [f" {json.dumps(name)}: {_lines(value)}" for name, value in recorded.items()]
    FILE.write_text("{\n" + ",\n".join(parts) + "\n}\n")
    print(f"{FILE.name}: {FILE.stat().st_size} bytes of {commit}")


def _line(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def _lines(value: Any) -> str:
    """A list's elements on lines of their own."""
    if not isinstance(value, list):
        return _line(value)
    return "[\n" + ",\n".join("  " + _line(element) for element in value) + "\n ]"


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.path[0] = sys.argv[1]
        print(json.dumps(play(pathlib.Path(sys.argv[1]).resolve())))
    else:
        main()
