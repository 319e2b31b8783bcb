"""A small world in memory, written from the protocol: state service, cloud, workers, network.

Time moves in steps. Each step the controllers' effects are carried out, answers come back a
step later, and workers act by the protocol's rules. The world itself watches the rules: a task
on two machines, or a task of a cancelled job, ends the test.
"""

from __future__ import annotations

import bisect
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec import convert

from fallpulley.controller import Controller
from fallpulley.effects import CallCompleted, Command, HttpCall, PeerMessage, Request, SendResponse
from fallpulley.settings import Settings

STEP = 0.05
LABELS = ["node-0", "node-1", "node-2"]
STATE, CLOUD = "10.0.9.1:1", "10.0.9.2:1"
TYPE = {
    "label": "box",
    "cpus": 8.0,
    "cards": 0.0,
    "mem_gb": 32.0,
    "cache_gb": 40.0,
    "fetch_gb_per_s": 1.0,
    "hourly": 1.0,
    "spot_price": 0.3,
    "startup_s": 5.0,
    "halls": ["a", "b"],
}

TEAMS: list[dict[str, Any]] = [{"name": "crew"}, {"name": "small", "cpus_max": 8.0}]


def settings(label: str, operators: dict[str, Any] | None = None, **facts: Any) -> Settings:
    table = {
        "operators": operators or {},
        "label": label,
        "site": "a",
        "serve_on": f"10.0.0.{LABELS.index(label)}:1",
        "mesh_addr": f"10.0.0.{LABELS.index(label)}:2",
        "seeds": [
            {"label": other, "site": "a", "address": f"10.0.0.{at}:2"}
            for at, other in enumerate(LABELS)
            if other != label
        ],
        "endpoints": {"cloud": CLOUD, "state": STATE},
        "facts": {
            "nodes": 3,
            "zones": ["a", "b"],
            "teams": TEAMS,
            "workers": {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 30.0},
            "state": {"rps": 200.0, "write_rps": 90.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0},
        }
        | facts,
    }
    return convert(table, Settings)


def job(uid: int, **over: Any) -> dict[str, Any]:
    return {
        "uid": f"job-{uid:06d}",
        "jobclass": "work",
        "crew": "crew",
        "shape": "sweep",
        "rank": "standard",
        "pieces": 4,
        "cpus": 4.0,
        "cards": 0.0,
        "mem_gb": 4.0,
        "kit": "img",
        "size_gb": 0.5,
        "one_zone": False,
        "apart": False,
        "loaners": True,
        "expect_s": 4.0,
        "bookmark_s": 0.0,
        "stow_s": 0.0,
    } | over


@dataclass
class StateService:
    data: dict[str, tuple[Any, int, int | None]] = field(default_factory=dict)
    ledger: int = 0
    log: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    down: bool = False
    requests: int = 0
    changes: int = 0
    value_bytes: int = 16 * 1024
    txn_ops: int = 16
    write_rps: float = 0.0  # 0: not watched
    refusals: int = 0  # transactions that were too large
    too_many: int = 0  # and those beyond the rate
    _saved: float = 0.0
    _saved_at: float = 0.0
    _next: int = 0

    def expire(self, now: float) -> None:
        if self.down:
            self.leases = {k: (life, now + life) for k, (life, _) in self.leases.items()}
            return
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self.end(lease)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, held) in self.data.items() if held == lease]
        if keys:
            self.ledger += 1
            for key in keys:
                del self.data[key]
                self.log.append({"drop": key, "stamp": self.ledger})

    def handle(self, method: str, path: str, body: bytes | None, now: float) -> tuple[int, Any]:
        self.requests += 1
        if self.down:
            return 503, {"error": "down"}
        route, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parsed = json.loads(body) if body else {}
        if route == "/txn":
            return self.txn(parsed, now)
        if route == "/leases":
            self._next += 1
            life = parsed["life_ms"] / 1000
            self.leases[self._next] = (life, now + life)
            return 200, {"tenure": self._next}
        if route.startswith("/leases/"):
            lease = int(route.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            life, _ = self.leases[lease]
            self.leases[lease] = (life, now + life)
            return 200, {"tenure": lease}
        if route == "/store":
            keys = sorted(k for k in self.data if k.startswith(args["under"]))
            keys = [k for k in keys if k > args.get("after", "")]
            page = int(args.get("page", 1000))
            pairs = [{"k": k, "v": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:page]]
            return 200, {"pairs": pairs, "has_next": len(keys) > page, "ledger": self.ledger}
        if route.startswith("/store/"):
            entry = self.data.get(route[len("/store/") :])
            if entry is None:
                return 404, {"ledger": self.ledger}
            return 200, {"k": route[len("/store/") :], "v": entry[0], "stamp": entry[1]}
        if route == "/changes":
            return 200, self.news(args["under"], int(args["after"]))
        return 400, {}

    def news(self, under: str, after: int) -> dict[str, Any]:
        first = bisect.bisect_right(self.log, after, key=lambda entry: entry["stamp"])
        news = [e for e in self.log[first:] if e.get("set", e.get("drop", "")).startswith(under)]
        return {"ledger": self.ledger, "news": news}

    def txn(self, parsed: dict[str, Any], now: float = 0.0) -> tuple[int, Any]:
        changes = parsed.get("then", [])
        self.changes += len(changes)
        assert len(changes) <= 16 and len(parsed.get("if", [])) <= 64
        sizes = [
            len(json.dumps(change["v"], separators=(",", ":")))
            for change in changes
            if "v" in change
        ]
        if len(changes) > self.txn_ops or max(sizes, default=0) > self.value_bytes:
            self.refusals += 1
            return 400, {"error": "too large"}
        if self.write_rps:
            self._saved += (now - self._saved_at) * self.write_rps
            self._saved, self._saved_at = min(self._saved, self.write_rps), now
            if len(changes) > self._saved:
                self.too_many += 1
                return 429, {"error": "too many"}
            self._saved -= len(changes)
        for change in changes:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in parsed["if"] if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
        for change in changes:
            if "drop" in change:
                if self.data.pop(change["drop"], None) is not None:
                    self.log.append({"drop": change["drop"], "stamp": self.ledger})
                continue
            assert len(json.dumps(change["v"])) <= 16 * 1024
            self.data[change["set"]] = (change["v"], self.ledger, change.get("tenure"))
            self.log.append({"set": change["set"], "v": change["v"], "stamp": self.ledger})
        return 200, {"ledger": self.ledger}


class Worker:
    def __init__(self, world: World, host: str, zone: str, spot: bool) -> None:
        self.world, self.host, self.zone, self.spot = world, host, zone, spot
        number = int(host[3:])
        self.addr = f"10.1.{number >> 8}.{number & 255}:9"
        self.shift, self.tick, self.baton = 1, 0, 0
        self.pieces: dict[str, dict[str, Any]] = {}
        self.node = 0
        self.next_at = world.now
        self.lease_from = world.now
        self.waiting: tuple[float, int] | None = None  # report in flight: sent at, number
        self.hung = False
        self.recall_s: float | None = None
        self.reported = 0  # the highest token that it has reported
        self._number = 0

    def report(self) -> dict[str, Any]:
        self.tick += 1
        pieces = [
            {"piece": name, "try": p["try"], "stage": p["stage"]}
            | ({"cause": p["cause"]} if p["stage"] == "ended" else {})
            for name, p in self.pieces.items()
        ]
        return {
            "host": self.host,
            "addr": self.addr,
            "build": "box",
            "hall": self.zone,
            "loaners": self.spot,
            "shift": self.shift,
            "tick": self.tick,
            "baton": self.baton,
            "recall_s": self.recall_s,
            "pieces": pieces,
        }

    def on_machine(self) -> list[str]:
        if self.hung and self.world.now - self.lease_from > self.world.lease_s:
            return []  # does not run them, and will forget them when it resumes
        return [n for n, p in self.pieces.items() if p["stage"] in ("running", "saving")]

    def act(self) -> None:
        now = self.world.now
        if self.hung:
            return
        if now - self.lease_from > self.world.lease_s:
            self.pieces.clear()
            self.shift += 1
            self.lease_from = now
            self.waiting = None
        for name, piece in self.pieces.items():
            if piece["stage"] == "pulling" and now >= piece["ready"]:
                self.world.starts(name, self)
                piece["stage"] = "running"
                piece["end"] = now + self.world.duration(name)
                self.next_at = min(self.next_at, now)
            elif piece["stage"] == "running" and now >= piece["end"]:
                piece["stage"] = "ended"
                piece["cause"] = self.world.cause(name, self)
                self.next_at = min(self.next_at, now)
        if self.waiting is not None and now > self.waiting[0] + 4.0:
            self.turn(1.0)
        if self.waiting is None and now >= self.next_at:
            self._number += 1
            self.waiting = (now, self._number)
            self.next_at = now + self.world.report_s
            self.reported = max(self.reported, self.baton)
            self.world.check_in(self, LABELS[self.node], self._number, self.shift)

    def turn(self, pause_s: float) -> None:
        self.waiting = None
        self.node = (self.node + 1) % len(LABELS)
        self.next_at = self.world.now + pause_s

    def answered(self, number: int, shift: int, status: int, body: bytes) -> None:
        if self.hung or self.waiting is None or self.waiting[1] != number or shift != self.shift:
            return
        sent_at = self.waiting[0]
        self.waiting = None
        if status == 421 and body:
            foreman = json.loads(body).get("foreman")
            if foreman in LABELS and foreman != LABELS[self.node]:
                self.node = LABELS.index(foreman)
                self.next_at = self.world.now
                return
        if status != 200:
            self.turn(1.0)
            return
        reply = json.loads(body)
        if reply["baton"] < self.baton:
            return
        if reply["baton"] > self.baton:
            self.baton = reply["baton"]
            self.next_at = min(self.next_at, self.world.now + 0.5)
        self.lease_from = max(self.lease_from, sent_at)
        runs = [order["piece"] for order in reply["orders"] if order["verb"] == "run"]
        if runs and not self.world.confirmed(self.reported, reply["baton"]):
            self.world.broken.append(f"{self.world.now:.2f} {runs} on {self.host} unconfirmed")
        if runs:
            self.world.ran.append((self.world.state.ledger, self.host, reply["baton"]))
        self.execute(reply["orders"])

    def direct(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        if body["baton"] > self.baton:
            self.baton = body["baton"]
            self.next_at = min(self.next_at, self.world.now)
        self.execute(body["orders"])
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        now = self.world.now
        for order in orders:
            name, piece = order["piece"], self.pieces.get(order["piece"])
            same = piece is not None and piece["try"] == order["try"]
            if order["verb"] == "run":
                self.world.had.setdefault(name, set()).add(self.host)
            if order["verb"] == "run" and piece is None:
                self.pieces[name] = {
                    "try": order["try"],
                    "stage": "pulling",
                    "ready": now + 0.5,
                    "under": self.baton,
                }
                self.world.check_room(self)
            elif order["verb"] == "run" and not same:
                assert piece is not None
                piece.update({"try": order["try"], "stage": "ended", "cause": "in_use"})
            elif order["verb"] == "stop" and piece is not None and same:
                if piece["stage"] != "ended":
                    self.world.stopped.append(name)
                    piece.update({"stage": "ended", "cause": "stopped"})
                    self.next_at = min(self.next_at, now)
            elif order["verb"] == "clear" and same and self.pieces[name]["stage"] == "ended":
                del self.pieces[name]


@dataclass
class CloudAction:
    """A rental or a return as the cloud carried it out."""

    at: float
    ledger: int  # of the state service then
    sender: str  # controller and process
    name: str  # of the rental; empty: a return
    hosts: list[str]
    in_use: list[str]  # machines that had tasks placed by the block's present holder


class World:
    """Three controllers and all that they talk to."""

    step_s = STEP
    report_s = 1.0
    lease_s = 8.0
    cancel_s = 30.0

    def __init__(
        self,
        machines: int = 2,
        start: bool = True,
        operators: dict[str, Any] | None = None,
        **facts: Any,
    ) -> None:
        self.facts = facts
        self.operators = operators
        for name, value in facts.get("workers", {}).items():
            setattr(self, name, value)
        self.now = 100.0
        self.state = StateService()
        self.workers: dict[str, Worker] = {}
        self.by_addr: dict[str, Worker] = {}
        self.had: dict[str, set[str]] = {}  # task -> machines that were ever told to run it
        self.released: list[str] = []
        self.hires: dict[str, list[str]] = {}
        self.capacity = 6
        self.controllers: dict[str, Controller] = {}
        self.boots = 0
        self.cut: set[tuple[str, str]] = set()  # (from, to), hosts, labels, "state", "cloud"
        self.commands: dict[str, list[Command]] = {label: [] for label in LABELS}
        self.polls: list[tuple[float, str, int, HttpCall]] = []
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.cancelled_at: dict[str, float] = {}
        self.broken: list[str] = []
        self.times: dict[str, float] = {}
        self.errors: dict[str, str] = {}  # host -> cause of every end there
        self.starts_seen: list[tuple[float, str, str]] = []
        self.cloud_down = False
        # Actions of these controllers get no answer, and are carried out so much later.
        self.cloud_late: dict[str, float] = {}
        self.actions: list[CloudAction] = []
        self.wall_ahead: dict[str, float] = {}  # controllers whose time of day is wrong
        self.clock_rate: dict[str, float] = {}  # controllers whose steady clock runs fast
        self.listings = 0  # pages of the cloud's list
        self.answers_lost: set[str] = set()  # hosts whose reports arrive, but nothing reaches them
        self.sent: dict[str, list[bytes]] = {}  # host -> bodies of its check-ins
        self.mute: set[str] = set()  # hosts whose reports arrive nowhere, though commands do
        self.no_direct: set[str] = set()  # hosts that direct commands do not reach
        self.refused: set[str] = set()  # controllers that the state service answers with 503
        # Transactions of these controllers get no answer, and are carried out so much later.
        self.unanswered: dict[str, float] = {}
        self.slow_s = 0.0  # the state service's answers take so much longer
        self.paused: set[str] = set()  # controllers that do nothing for now; what comes waits
        # What becomes of a message from one controller to another: copies, each after so long.
        self.link: Callable[[str, str, bytes], list[float]] = lambda one, other, body: [0.0]
        # Every answer with a `run`: the state service's revision then, the machine, the token.
        self.ran: list[tuple[int, str, int]] = []
        self.stopped: list[str] = []  # tasks that a stop has ended
        # Stamps at which the only block changed hands: a reply's tenure is the last one before it.
        self.tenures: list[int] = [0]
        self._held_by: tuple[str, str] | None = None
        self.specs: dict[str, dict[str, Any]] = {}  # of every submission
        self._vm = 0
        for at in range(machines):
            self.machine("ab"[at % 2], spot=False)
        if start:
            for label in LABELS:
                self.boot(label)

    # -- parts -----------------------------------------------------------------------------

    def machine(self, zone: str, spot: bool) -> str:
        self._vm += 1
        host = f"vm-{self._vm:06d}"
        self.workers[host] = worker = Worker(self, host, zone, spot)
        self.by_addr[worker.addr] = worker
        return host

    def boot(
        self, label: str, older: bool = False, operators: dict[str, Any] | None = None
    ) -> None:
        """`older`: a process that does not know the newer record format."""
        self.boots += 1
        self.commands[label] = []
        made = settings(label, self.operators if operators is None else operators, **self.facts)
        self.controllers[label] = Controller(made, f"boot-{self.boots}", lambda: self.now)
        if older:
            self.controllers[label].components.session.record_format = 1

    def crash(self, *labels: str) -> None:
        for label in labels:
            self.controllers.pop(label, None)

    def holder(self) -> str:
        """The holder of the only block, by the state service."""
        (record,) = [v for k, (v, _, _) in self.state.data.items() if k.startswith("live/block/")]
        return str(record["holder"])

    def blocks(self) -> dict[str, Any]:
        return {k: v for k, (v, _, _) in self.state.data.items() if k.startswith("live/block/")}

    def duration(self, piece: str) -> float:
        return self.times.get(piece.partition("/")[0], 4.0)

    def cause(self, piece: str, worker: Worker) -> str:
        return self.errors.get(worker.host, "done")

    def starts(self, piece: str, worker: Worker) -> None:
        self.starts_seen.append((self.now, piece, worker.host))
        for host in self.had.get(piece, ()):
            other = self.workers.get(host)
            if other is not None and other is not worker and piece in other.on_machine():
                self.broken.append(f"{self.now:.2f} {piece} on {other.host} and {worker.host}")
        uid = piece.partition("/")[0]
        spec = self.specs.get(uid, {})
        rest = []
        if spec.get("one_zone") or spec.get("apart"):
            rest = [
                other.zone
                for other in self.workers.values()
                for name in other.on_machine()
                if name.startswith(uid + "/") and name != piece
            ]
        if spec.get("one_zone") and any(zone != worker.zone for zone in rest):
            self.broken.append(f"{self.now:.2f} {piece} starts in {worker.zone}, others in {rest}")
        if spec.get("apart") and rest.count(worker.zone) + 1 > (spec["pieces"] + 1) // 2:
            self.broken.append(f"{self.now:.2f} {piece} is one too many in {worker.zone}")
        for awaited in spec.get("awaits") or ():
            if self.stage(awaited) != "done":
                self.broken.append(f"{self.now:.2f} {piece} starts before {awaited} is done")
        told = self.cancelled_at.get(uid)
        if told is not None and self.now > told + self.cancel_s:
            self.broken.append(f"{self.now:.2f} {piece} starts after its cancel")

    def check_room(self, worker: Worker) -> None:
        """No more is ordered than the machine holds."""
        there = [name for name, piece in worker.pieces.items() if piece["stage"] != "ended"]
        used = sum(self.specs.get(name.partition("/")[0], {}).get("cpus", 0.0) for name in there)
        if used > TYPE["cpus"] + 1e-6:
            self.broken.append(f"{self.now:.2f} {worker.host} is given {used} CPUs of work")

    def blocked(self, one: str, other: str) -> bool:
        return (one, other) in self.cut or (other, one) in self.cut

    # -- the network -----------------------------------------------------------------------

    def check_in(self, worker: Worker, label: str, number: int, shift: int) -> None:
        body = json.dumps(worker.report()).encode()
        self.sent.setdefault(worker.host, []).append(body)

        def settle(status: int, answer: bytes, retry: float | None) -> None:
            if not self.blocked(worker.host, label) and worker.host not in self.answers_lost:
                worker.answered(number, shift, status, answer)

        if label not in self.controllers:
            worker.turn(1.0)
        elif not self.blocked(worker.host, label) and worker.host not in self.mute:
            self.commands[label].append(Request(settle, "POST", "/checkin", body))

    def ask(self, label: str, method: str, path: str, body: Any = None) -> list[Any]:
        """Send a user's request; the returned list gets status, body and Retry-After."""
        found: list[Any] = []
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
        if path == "/work" and isinstance(body, dict):
            self.specs.setdefault(str(body.get("uid")), body)

        def settle(status: int, answer: bytes, retry: float | None) -> None:
            found.extend([status, json.loads(answer) if answer else None, retry])
            if path.endswith("/abort") and status == 200 and found[1]["stage"] == "withdrawn":
                self.cancelled_at.setdefault(path.split("/")[2], self.now)

        self.commands[label].append(Request(settle, method, path, data))
        return found

    def get(self, label: str, method: str, path: str, body: Any = None) -> tuple[Any, ...]:
        """Like `ask`, and run until the answer is there."""
        found = self.ask(label, method, path, body)
        self.until(lambda: bool(found), 5.0)
        return tuple(found)

    def _call(self, label: str, call: HttpCall) -> None:
        sent_at = self.now * self.clock_rate.get(label, 1.0)

        def back(status: int | None, body: bytes) -> None:
            controller = self.controllers.get(label)
            if controller is not None and controller is caller:
                self.commands[label].append(CallCompleted(call.on_response, status, body, sent_at))

        caller = self.controllers[label]
        if call.address == STATE:
            if self.blocked(label, "state"):
                self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
            elif call.path.startswith("/changes") and not self.state.down:
                self._watch(label, call, back)
            elif label in self.refused:
                self.later.append((self.now + self.step_s, lambda: back(503, b"")))
            elif call.path == "/txn" and label in self.unanswered:
                self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
                late_s = self.unanswered[label]
                if late_s <= 0:
                    self.state.handle(call.method, call.path, call.body, self.now)
                else:
                    self.later.append((self.now + late_s, lambda: self._carry_out(call)))
            else:
                status, answer = self.state.handle(call.method, call.path, call.body, self.now)
                wait_s = self.step_s + self.slow_s
                if wait_s > call.timeout_s:
                    self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
                else:
                    self.later.append((self.now + wait_s, lambda: back(status, _json(answer))))
        elif call.address == CLOUD:
            sender = f"{label} {caller.components.context.incarnation}"
            late_s = self.cloud_late.get(label, 0.0)
            if self.blocked(label, "cloud"):
                self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
            elif late_s and call.method == "POST":
                self.later.append((self.now + late_s, lambda: self._carry_out_late(call, sender)))
                self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
            else:
                status, answer = self._cloud(call, sender)
                self.later.append((self.now + self.step_s, lambda: back(status, _json(answer))))
        elif call.path == "/beat":
            other = LABELS[int(call.address.split(":")[0].rpartition(".")[2])]
            if other in self.controllers and not self.blocked(label, other):
                for after_s in self.link(label, other, call.body or b""):
                    self._deliver(other, call.body or b"", after_s)
        else:
            self._to_worker(label, call, back)

    def _deliver(self, label: str, body: bytes, after_s: float) -> None:
        def arrive() -> None:
            if label in self.controllers:
                self.commands[label].append(PeerMessage(body))

        if after_s <= 0:
            arrive()
        else:
            self.later.append((self.now + after_s, arrive))

    def _note_tenure(self) -> None:
        """When the only block changes hands, a new tenure begins with its record's stamp."""
        blocks = [entry for key, entry in self.state.data.items() if key.startswith("live/block/")]
        if len(blocks) != 1:
            return
        record, stamp, _ = blocks[0]
        holder = (record["holder"], record["boot"])
        if holder != self._held_by:
            self._held_by = holder
            self.tenures.append(stamp)

    def confirmed(self, reported: int, answered: int) -> bool:
        """Whether a machine that reported with one token may get tasks under another."""
        return reported >= max(stamp for stamp in self.tenures if stamp <= answered)

    def _carry_out(self, call: HttpCall) -> None:
        self.state.handle(call.method, call.path, call.body, self.now)

    def _watch(self, label: str, call: HttpCall, back: Callable[[int | None, bytes], None]) -> None:
        query = call.path.partition("?")[2]
        args = dict(part.partition("=")[::2] for part in query.split("&"))
        self.state.requests += 1
        until = self.now + int(args["hold_ms"]) / 1000

        def look() -> None:
            if self.blocked(label, "state"):
                self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
                return
            away = self.state.down or label in self.refused
            if away and self.now < until:
                self.later.append((self.now + self.step_s, look))
                return
            if away:
                back(503, b"")
                return
            news = self.state.news(args["under"], int(args["after"]))
            if news["news"] or self.now >= until:
                back(200, _json(news))
            else:
                self.later.append((self.now + self.step_s, look))

        self.later.append((self.now + self.step_s + self.slow_s, look))

    def _to_worker(
        self, label: str, call: HttpCall, back: Callable[[int | None, bytes], None]
    ) -> None:
        worker = self.by_addr.get(call.address)
        if worker is not None and worker.host not in self.workers:
            worker = None  # released
        gone = worker is None or worker.hung or worker.host in self.answers_lost | self.no_direct
        if worker is None or gone or self.blocked(worker.host, label):
            self.later.append((self.now + call.timeout_s, lambda: back(None, b"")))
            return
        status, answer = worker.direct(json.loads(call.body or b"{}"))
        self.later.append((self.now + self.step_s, lambda: back(status, _json(answer))))

    def _carry_out_late(self, call: HttpCall, sender: str) -> None:
        self._cloud(call, sender)

    def _in_use(self, host: str) -> bool:
        """It has a task that the block's present holder has placed there."""
        worker = self.workers.get(host)
        return worker is not None and any(
            piece["stage"] != "ended" and piece["under"] >= self.tenures[-1] > 0
            for piece in worker.pieces.values()
        )

    def _note_action(self, sender: str, name: str, hosts: list[str]) -> None:
        in_use = [host for host in hosts if not name and self._in_use(host)]
        self.actions.append(CloudAction(self.now, self.state.ledger, sender, name, hosts, in_use))

    def _cloud(self, call: HttpCall, sender: str = "") -> tuple[int, Any]:
        body = json.loads(call.body) if call.body else {}
        if self.cloud_down:
            return 503, {"error": "trouble"}
        if call.path == "/catalog":
            return 200, {"builds": [TYPE]}
        if call.path.startswith("/rentals?"):
            hosts = [
                {
                    "uid": w.host,
                    "addr": w.addr,
                    "build": "box",
                    "hall": w.zone,
                    "loaners": w.spot,
                    "stage": "running",
                }
                for w in self.workers.values()
            ]
            args = dict(part.partition("=")[::2] for part in call.path.partition("?")[2].split("&"))
            self.listings += 1
            hosts.sort(key=lambda h: str(h["uid"]))
            hosts = [h for h in hosts if str(h["uid"]) > args.get("after", "")]
            page = int(args["page"])
            return 200, {"hosts": hosts[:page], "has_next": len(hosts) > page}
        if call.path == "/rentals/release":
            self._note_action(sender, "", body["hosts"])
            for host in body["hosts"]:
                if self.workers.pop(host, None) is not None:
                    self.released.append(host)
            return 200, {}
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        assert body["number"] <= 50
        count = min(body["number"], self.capacity - len(self.workers))
        if count <= 0:
            return 503, {"error": "no capacity"}
        hosts = [self.machine(body["hall"], body["loaners"]) for _ in range(count)]
        self.hires[body["hire"]] = hosts
        self._note_action(sender, body["hire"], hosts)
        return 200, {"hosts": hosts}

    # -- time ------------------------------------------------------------------------------

    def step(self) -> None:
        self.now += self.step_s
        self.state.expire(self.now)
        due = [act for at, act in self.later if at <= self.now]
        self.later = [(at, act) for at, act in self.later if at > self.now]
        for act in due:
            act()
        for worker in list(self.workers.values()):
            worker.act()
        self._note_tenure()
        for label, controller in list(self.controllers.items()):
            if label in self.paused:
                continue
            batch, self.commands[label] = self.commands[label], []
            now = self.now * self.clock_rate.get(label, 1.0)
            wall = 1e6 + self.now + self.wall_ahead.get(label, 0.0)
            for effect in controller.step(batch, now, wall):
                if isinstance(effect, SendResponse):
                    effect.pending_response(effect.status, effect.body, effect.retry_after)
                else:
                    self._call(label, effect)
        for told, at in self.cancelled_at.items():
            if self.now > at + self.cancel_s and any(
                name.startswith(told + "/")
                for worker in self.workers.values()
                for name in worker.on_machine()
            ):
                self.broken.append(f"{self.now:.2f} {told} still runs after its cancel")
        self._watch_limits()
        assert not self.broken, self.broken

    def _watch_limits(self) -> None:
        """No team's tasks use more than its limit."""
        for limited in self.facts.get("teams", TEAMS):
            most = limited.get("cpus_max", 0.0)
            if not most:
                continue
            used = 0.0
            for worker in self.workers.values():
                for name in worker.on_machine():
                    spec = self.specs.get(name.partition("/")[0])
                    if spec is not None and spec["crew"] == limited["name"]:
                        used += spec["cpus"]
            if used > most + 1e-6:
                self.broken.append(f"{self.now:.2f} {limited['name']} uses {used} of {most}")

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / self.step_s)):
            self.step()

    def until(self, met: Callable[[], bool], within_s: float) -> None:
        for _ in range(round(within_s / self.step_s)):
            if met():
                return
            self.step()
        assert met(), f"not within {within_s} s"

    def running(self, name: str = "") -> list[str]:
        return [p for w in self.workers.values() for p in w.on_machine() if p.startswith(name)]

    def stage(self, uid: str) -> Any:
        entry = self.state.data.get(f"live/job/{uid}")
        return entry[0].get("stage", "open") if entry else None


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()
