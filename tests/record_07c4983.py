"""Record `data/release_07c4983.json`: stored records, messages and settings of commit 07c4983.

    python3 -m tests.record_07c4983

Starts itself once more with the sources and the `tests` of that commit, from a worktree under
`target/`: `play` and the functions that it calls use the names of that commit, which differ from
the present ones. The controllers of its simulated cluster are stopped while jobs are running.
Records, workers and messages are stored in their wire format, and settings both as text and as that
version read them.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

REVISION = "07c4983"
FILE = pathlib.Path(__file__).parent / "data" / f"release_{REVISION}.json"

# Limits of the state service after its next upgrade, under which the records of all but the
# smallest shards are stored in pages.
NEXT_LIMITS = {"write_rps": 60.0, "value_kb": 0.4, "txn_ops": 12}
STATE = {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16}
SHARES = {"enabled": True}
STANDBY = {"enabled": True, "batch_s": 0.2, "session_s": 2.0}
EXTENSIONS: dict[str, Any] = {
    "standby": STANDBY,
    "shares": SHARES,
    "duties": {"enabled": True},
    "idle_boots": 0.2,
}
DEFAULT_OPERATORS: dict[str, Any] = {"idle_boots": 0.2}

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


# -- in the worktree of 07c4983 ----------------------------------------------------------------


def import_old(name: str) -> Any:
    """Import a module of that commit, which the present sources may not have under this name."""
    return importlib.import_module(name)


def start_cluster(machines: int, operators: dict[str, Any], older: bool, **facts: Any) -> Any:
    module = import_old("tests.world")
    cluster = module.World(machines, start=False, operators=operators, state=STATE | facts)
    cluster.capacity = machines
    for label in module.LABELS:
        cluster.boot(label, older=older)
    cluster.until(lambda: bool(cluster.blocks()) and "live/catalog" in cluster.state.data, 10.0)
    cluster.run(4.0)
    return cluster


def submit_all(cluster: Any, newer: bool) -> None:
    """Submit jobs that end, are cancelled, run, wait for capacity, or depend on other jobs."""
    submit = import_old("tests.test_stories").submit
    for number, overrides, task_s in (
        (1, {"pieces": 3}, 1.0),
        (2, {"pieces": 3}, 60.0),
        (3, {"crew": "small", "pieces": 20}, 4.0),
        (4, {"pieces": 6, "cpus": 1.0, "rank": "high"}, 45.0),
        (5, {"shape": "ensemble", "pieces": 2, "one_zone": True, "expect_s": 30.0}, 30.0),
        (6, {"crew": "small", "pieces": 8, "rank": "best_effort"}, 2.0),
        (9, {"shape": "service", "pieces": 1, "cpus": 1.0, "expect_s": 0.0}, 10_000.0),
    ):
        cluster.times[submit(cluster, number, label=f"node-{number % 3}", **overrides)] = task_s
    if newer:
        submit(cluster, 7, awaits=["job-000003", "job-000001"], hall="a")
        submit(cluster, 8, awaits=["job-000007"], apart=True, due_s=600.0, builds=["box"])
    cluster.run(3.0)
    for label in ("node-0", "node-1", "node-2"):
        if label != cluster.blocks()["live/block/" + sorted(cluster.blocks())[0][11:]]["holder"]:
            assert cluster.get(label, "POST", "/work/job-000002/abort")[0] == 200
            break


def run_until_mid_work(cluster: Any, *key_prefixes: str) -> None:
    """Run until one job is done and there are records of progress, of teams and of these kinds."""
    submit = import_old("tests.test_stories").submit
    cluster.until(lambda: cluster.stage("job-000001") == "done", 60.0)
    wanted = ("live/team/", "prog/", *key_prefixes)
    cluster.cloud_down = "live/retire/" in key_prefixes
    cluster.until(
        lambda: all(any(key.startswith(prefix) for key in cluster.state.data) for prefix in wanted),
        60.0,
    )
    cluster.times[submit(cluster, 10, pieces=2)] = 5.0
    cluster.run(1.5)


def stored_records(cluster: Any) -> list[list[Any]]:
    """Return key, value, revision and lease of each record; the lease is None if it has none."""
    return [[key, *entry] for key, entry in sorted(cluster.state.data.items())]


def worker_states(cluster: Any) -> list[dict[str, Any]]:
    """Return the machines and their tasks, with start and end times relative to the present."""
    found = []
    for worker in cluster.workers.values():
        tasks = {
            task_id: task
            | {at: round(task[at] - cluster.now, 3) for at in ("ready", "end") if at in task}
            for task_id, task in worker.pieces.items()
        }
        report = worker.report()
        found.append(
            {name: report[name] for name in ("host", "addr", "hall", "loaners", "shift", "tick")}
            | {"baton": worker.baton, "reported": worker.reported, "pieces": tasks}
        )
    return found


def snapshot(cluster: Any, name: str, older: bool) -> dict[str, Any]:
    """Return the cluster's state as it would be if all controllers ended now."""
    return {
        "name": name,
        "newest_format": not older,
        "operators": cluster.operators,
        "state": cluster.facts["state"],
        "capacity": cluster.capacity,
        "now": round(cluster.now, 3),
        "revision": cluster.state.ledger,
        "leases_s": {str(lease): life for lease, (life, _) in cluster.state.leases.items()},
        "tenures": cluster.tenures,
        "records": stored_records(cluster),
        "workers": worker_states(cluster),
        "hires": cluster.hires,
        "task_s": cluster.times,
        "started": " ".join(sorted({task_id for _, task_id, _ in cluster.starts_seen})),
    }


def record_default(older: bool) -> dict[str, Any]:
    cluster = start_cluster(9, DEFAULT_OPERATORS, older)
    submit_all(cluster, newer=not older)
    run_until_mid_work(cluster, "live/retire/")
    return snapshot(cluster, "first format" if older else "newest format", older)


def record_pages() -> dict[str, Any]:
    import random

    module = import_old("tests.world")
    rng = random.Random(4)
    cluster = module.World(
        0, start=False, operators=DEFAULT_OPERATORS, state=STATE | {"next": NEXT_LIMITS}
    )
    for at in range(24):
        host = cluster.machine("ab"[at % 2], spot=False)
        worker = cluster.workers[host]
        address = ".".join(str(rng.randint(1, 250)) for _ in range(4))
        worker.addr = f"{address}:{rng.randint(1000, 60000)}"
        cluster.by_addr[worker.addr] = worker
    cluster.capacity = 24
    for label in module.LABELS:
        cluster.boot(label)
    cluster.until(lambda: "live/format" in cluster.state.data, 15.0)
    cluster.run(3.0)
    submit_all(cluster, newer=True)
    run_until_mid_work(cluster, "live/machines/", "live/retire/")
    return snapshot(cluster, "machines in pages", older=False)


def record_extensions() -> dict[str, Any]:
    shares = import_old("tests.test_shares")
    cluster = start_cluster(9, EXTENSIONS | {"idle_boots": 50.0}, older=False)
    wish = shares.wish({"node-0": 2.0, "node-1": 1.0}, "first")
    assert shares.ask(cluster, "node-0", "POST", wish)[0] == 200
    cluster.until(lambda: len(cluster.blocks()) == 2, 10.0)
    submit_all(cluster, newer=True)
    run_until_mid_work(cluster, "live/duty/", "live/shares")
    return snapshot(cluster, "standby, shares and duties", older=False)


def record_duties(name: str, machines: int, intent: str) -> dict[str, Any]:
    """Stop while the intent of an action is recorded and the cloud has not responded to it."""
    cluster = start_cluster(machines, EXTENSIONS, older=False)
    cluster.capacity = max(machines, 6)
    submit_all(cluster, newer=True)
    cluster.until(lambda: any(key.startswith(intent) for key in cluster.state.data), 90.0)
    return snapshot(cluster, name, older=False)


def record_machine_requests(bodies_by_kind: dict[str, list[str]]) -> None:
    """Record heartbeats by which a shard's owner requests machines from the leader."""
    shares = import_old("tests.test_shares")
    cluster = start_cluster(4, EXTENSIONS | {"idle_boots": 50.0}, older=False)

    def record_message(sender: str, receiver: str, body: bytes) -> list[float]:
        message = json.loads(body)
        if message[0] == "beat" and any(message[6:]):
            kind = "beat" + "".join("01"[bool(part)] for part in message[5:])
            if len(bodies_by_kind.setdefault(kind, [])) < 2:
                bodies_by_kind[kind].append(body.decode())
        return [0.0]

    cluster.link = record_message
    wish = shares.wish({"node-0": 1.0, "node-1": 1.0}, "one")
    assert shares.ask(cluster, "node-0", "POST", wish)[0] == 200
    cluster.until(lambda: len(cluster.blocks()) == 2, 10.0)
    cluster.capacity = 12
    submit_all(cluster, newer=True)
    cluster.run(20.0)


def record_messages() -> dict[str, Any]:
    """Record one or two messages of each kind, and all that one follower got with its replica."""
    import msgspec

    standby_class = import_old("fallpulley.standby.service").Standby
    cluster = import_old("tests.world").World(3, operators=EXTENSIONS)
    cluster.capacity = 5
    bodies_by_kind: dict[str, list[str]] = {}
    record_machine_requests(bodies_by_kind)
    stream: list[str] = []
    responses: list[str] = []
    follower: list[str] = []

    def record_message(sender: str, receiver: str, body: bytes) -> list[float]:
        message = json.loads(body)
        kind = message[0]
        if kind == "beat":
            kind += "".join("01"[bool(part)] for part in message[5:])
        of_kind = bodies_by_kind.setdefault(kind, [])
        if not kind.startswith(("standby_log", "standby_snapshot")) and len(of_kind) < 2:
            of_kind.append(body.decode())
        if follower and receiver == follower[0] and kind in ("standby_log", "standby_snapshot"):
            stream.append(body.decode())
        if follower and sender == follower[0] and kind == "standby_ack":
            responses.append(body.decode())
        return [0.0]

    cluster.link = record_message
    cluster.until(lambda: bool(cluster.blocks()), 8.0)
    owner = cluster.holder()
    follower.append(next(label for label in ("node-0", "node-1", "node-2") if label != owner))
    cluster.run(4.0)
    submit_all(cluster, newer=True)
    cluster.run(6.0)
    service: Any = cluster.controllers[follower[0]].parts.extensions.find(standby_class)
    (followed,) = service.follower.shards.values()
    found = {
        "follower": follower[0],
        "replica": msgspec.to_builtins(followed.replica.state),
        "last_number": followed.replica.last,
        "stream": list(stream),
        "responses": list(responses),
    }
    follower.clear()
    # An owner that was paused during the failover is informed by its successor when it resumes.
    cluster.paused.add(owner)
    cluster.until(lambda: cluster.holder() != owner, 20.0)
    cluster.run(3.0)
    cluster.paused.clear()
    cluster.until(lambda: "standby_replaced" in bodies_by_kind, 20.0)
    found["of_each_kind"] = {
        kind: bodies for kind, bodies in sorted(bodies_by_kind.items()) if bodies
    }
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


# -- in the present tree -----------------------------------------------------------------------


def main() -> None:
    from tests.traces.worktrees import commit_of, worktree_of

    commit = commit_of(REVISION)
    tree = worktree_of(commit)
    command = [sys.executable, __file__, str(tree)]
    done = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True)
    source = {"commit": commit, "command": "python3 -m tests.record_07c4983"}
    recorded = {"recorded": source} | json.loads(done.stdout)
    fields = [f" {json.dumps(name)}: {_lines(value)}" for name, value in recorded.items()]
    FILE.write_text("{\n" + ",\n".join(fields) + "\n}\n")
    print(f"{FILE.name}: {FILE.stat().st_size} bytes of {commit}")


def _line(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def _lines(value: Any) -> str:
    """Encode a value; the elements of a list each get their own line."""
    if not isinstance(value, list):
        return _line(value)
    return "[\n" + ",\n".join("  " + _line(element) for element in value) + "\n ]"


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.path[0] = sys.argv[1]
        print(json.dumps(play(pathlib.Path(sys.argv[1]).resolve())))
    else:
        main()
