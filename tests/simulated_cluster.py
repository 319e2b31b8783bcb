"""A cluster simulated in memory from the protocol: state service, cloud, workers and network.

Time advances in steps. In each step the controllers' effects are carried out and workers follow
the protocol; responses arrive one step later. The cluster checks invariants itself, such as that
no task runs on two machines and no task of a cancelled job runs on: a violation ends the test.
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

STEP_S = 0.05
CONTROLLER_LABELS = ["node-0", "node-1", "node-2"]
STATE_ADDRESS, CLOUD_ADDRESS = "10.0.9.1:1", "10.0.9.2:1"
MACHINE_TYPE = {
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


def controller_settings(
    label: str, operators: dict[str, Any] | None = None, **facts: Any
) -> Settings:
    table = {
        "operators": operators or {},
        "label": label,
        "site": "a",
        "serve_on": f"10.0.0.{CONTROLLER_LABELS.index(label)}:1",
        "mesh_addr": f"10.0.0.{CONTROLLER_LABELS.index(label)}:2",
        "seeds": [
            {"label": other, "site": "a", "address": f"10.0.0.{at}:2"}
            for at, other in enumerate(CONTROLLER_LABELS)
            if other != label
        ],
        "endpoints": {"cloud": CLOUD_ADDRESS, "state": STATE_ADDRESS},
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


def job_spec(uid: int, **overrides: Any) -> dict[str, Any]:
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
    } | overrides


@dataclass
class StateService:
    """The state service: a key-value store with leases, transactions and a log of changes."""

    # Key -> value, revision at which it was written, id of its lease (None: no lease).
    entries: dict[str, tuple[Any, int, int | None]] = field(default_factory=dict)
    revision: int = 0
    log: list[dict[str, Any]] = field(default_factory=list)
    # Lease id -> duration in seconds, time at which it expires.
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    down: bool = False
    requests: int = 0
    changes: int = 0
    value_bytes: int = 16 * 1024
    txn_ops: int = 16
    write_rps: float = 0.0  # changes allowed per second; 0: not limited
    oversized_transactions: int = 0  # refused: too many changes or too large a value
    rate_limited_transactions: int = 0  # refused: more changes per second than write_rps
    _write_tokens: float = 0.0
    _refilled_at: float = 0.0
    _last_lease: int = 0

    def expire_leases(self, now: float) -> None:
        """End the leases that were not renewed in time; while the service is down, extend all."""
        if self.down:
            self.leases = {k: (life, now + life) for k, (life, _) in self.leases.items()}
            return
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, entry_lease) in self.entries.items() if entry_lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]
                self.log.append({"drop": key, "stamp": self.revision})

    def handle(self, method: str, path: str, body: bytes | None, now: float) -> tuple[int, Any]:
        self.requests += 1
        if self.down:
            return 503, {"error": "down"}
        route, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parsed = json.loads(body) if body else {}
        if route == "/txn":
            return self.commit(parsed, now)
        if route == "/leases":
            self._last_lease += 1
            life = parsed["life_ms"] / 1000
            self.leases[self._last_lease] = (life, now + life)
            return 200, {"tenure": self._last_lease}
        if route.startswith("/leases/"):
            lease = int(route.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            life, _ = self.leases[lease]
            self.leases[lease] = (life, now + life)
            return 200, {"tenure": lease}
        if route == "/store":
            keys = sorted(k for k in self.entries if k.startswith(args["under"]))
            keys = [k for k in keys if k > args.get("after", "")]
            page = int(args.get("page", 1000))
            pairs = [
                {"k": k, "v": self.entries[k][0], "stamp": self.entries[k][1]} for k in keys[:page]
            ]
            return 200, {"pairs": pairs, "has_next": len(keys) > page, "ledger": self.revision}
        if route.startswith("/store/"):
            entry = self.entries.get(route[len("/store/") :])
            if entry is None:
                return 404, {"ledger": self.revision}
            return 200, {"k": route[len("/store/") :], "v": entry[0], "stamp": entry[1]}
        if route == "/changes":
            return 200, self.events_after(args["under"], int(args["after"]))
        return 400, {}

    def events_after(self, prefix: str, after: int) -> dict[str, Any]:
        """Return the changes of keys with this prefix that are newer than a revision."""
        first = bisect.bisect_right(self.log, after, key=lambda entry: entry["stamp"])
        events = [e for e in self.log[first:] if e.get("set", e.get("drop", "")).startswith(prefix)]
        return {"ledger": self.revision, "news": events}

    def commit(self, parsed: dict[str, Any], now: float = 0.0) -> tuple[int, Any]:
        changes = parsed.get("then", [])
        self.changes += len(changes)
        assert len(changes) <= 16 and len(parsed.get("if", [])) <= 64
        sizes = [
            len(json.dumps(change["v"], separators=(",", ":")))
            for change in changes
            if "v" in change
        ]
        if len(changes) > self.txn_ops or max(sizes, default=0) > self.value_bytes:
            self.oversized_transactions += 1
            return 400, {"error": "too large"}
        if self.write_rps:
            self._write_tokens += (now - self._refilled_at) * self.write_rps
            self._write_tokens, self._refilled_at = min(self._write_tokens, self.write_rps), now
            if len(changes) > self._write_tokens:
                self.rate_limited_transactions += 1
                return 429, {"error": "too many"}
            self._write_tokens -= len(changes)
        for change in changes:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["k"] for c in parsed["if"] if self.entries.get(c["k"], (0, 0, 0))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "drop" in change:
                if self.entries.pop(change["drop"], None) is not None:
                    self.log.append({"drop": change["drop"], "stamp": self.revision})
                continue
            assert len(json.dumps(change["v"])) <= 16 * 1024
            self.entries[change["set"]] = (change["v"], self.revision, change.get("tenure"))
            self.log.append({"set": change["set"], "v": change["v"], "stamp": self.revision})
        return 200, {"ledger": self.revision}


class Worker:
    """A machine and its agent: sends heartbeats, carries out commands and runs tasks."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        host: str,
        zone: str,
        spot: bool,
        machine_type: str = "box",
    ) -> None:
        self.cluster, self.host, self.zone, self.spot = cluster, host, zone, spot
        self.machine_type = machine_type
        self.address = cluster.address_of(int(host[3:]))
        self.agent_epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.controller_index = 0
        self.next_heartbeat_at = cluster.now
        self.lease_start = cluster.now
        # Send time and number of the heartbeat whose response is awaited.
        self.heartbeat_in_flight: tuple[float, int] | None = None
        self.hung = False
        self.preemption_notice_s: float | None = None
        self.reported_token = 0  # highest fencing token in its heartbeats
        self._heartbeat_number = 0

    def build_heartbeat(self) -> dict[str, Any]:
        self.sequence += 1
        pieces = [
            {"piece": name, "try": p["try"], "stage": p["stage"]}
            | ({"cause": p["cause"]} if p["stage"] == "ended" else {})
            for name, p in self.tasks.items()
        ]
        return {
            "host": self.host,
            "addr": self.address,
            "build": self.machine_type,
            "hall": self.zone,
            "loaners": self.spot,
            "shift": self.agent_epoch,
            "tick": self.sequence,
            "baton": self.fencing_token,
            "recall_s": self.preemption_notice_s,
            "pieces": pieces,
        }

    def running_tasks(self) -> list[str]:
        if self.hung and self.cluster.now - self.lease_start > self.cluster.lease_s:
            return []  # the lease has expired: its tasks do not run and are dropped on resuming
        return [n for n, p in self.tasks.items() if p["stage"] in ("running", "saving")]

    def step(self) -> None:
        now = self.cluster.now
        if self.hung:
            return
        if now - self.lease_start > self.cluster.lease_s:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_start = now
            self.heartbeat_in_flight = None
        for name, task in self.tasks.items():
            if task["stage"] == "pulling" and now >= task["ready_at"]:
                self.cluster.on_task_started(name, self)
                task["stage"] = "running"
                task["ends_at"] = now + self.cluster.task_duration_s(name)
                self.next_heartbeat_at = min(self.next_heartbeat_at, now)
            elif task["stage"] == "running" and now >= task["ends_at"]:
                task["stage"] = "ended"
                task["cause"] = self.cluster.exit_reason(name, self)
                self.next_heartbeat_at = min(self.next_heartbeat_at, now)
        if self.heartbeat_in_flight is not None and now > self.heartbeat_in_flight[0] + 4.0:
            self.try_next_controller(1.0)
        if self.heartbeat_in_flight is None and now >= self.next_heartbeat_at:
            self._heartbeat_number += 1
            self.heartbeat_in_flight = (now, self._heartbeat_number)
            self.next_heartbeat_at = now + self.cluster.report_s
            self.reported_token = max(self.reported_token, self.fencing_token)
            self.cluster.send_heartbeat(
                self,
                CONTROLLER_LABELS[self.controller_index],
                self._heartbeat_number,
                self.agent_epoch,
            )

    def try_next_controller(self, pause_s: float) -> None:
        self.heartbeat_in_flight = None
        self.controller_index = (self.controller_index + 1) % len(CONTROLLER_LABELS)
        self.next_heartbeat_at = self.cluster.now + pause_s

    def on_heartbeat_response(
        self, number: int, agent_epoch: int, status: int, body: bytes
    ) -> None:
        if (
            self.hung
            or self.heartbeat_in_flight is None
            or self.heartbeat_in_flight[1] != number
            or agent_epoch != self.agent_epoch
        ):
            return
        sent_at = self.heartbeat_in_flight[0]
        self.heartbeat_in_flight = None
        if status == 421 and body:
            redirect_to = json.loads(body).get("foreman")
            if (
                redirect_to in CONTROLLER_LABELS
                and redirect_to != CONTROLLER_LABELS[self.controller_index]
            ):
                self.controller_index = CONTROLLER_LABELS.index(redirect_to)
                self.next_heartbeat_at = self.cluster.now
                return
        if status != 200:
            self.try_next_controller(1.0)
            return
        reply = json.loads(body)
        if reply["baton"] < self.fencing_token:
            return
        if reply["baton"] > self.fencing_token:
            self.fencing_token = reply["baton"]
            self.next_heartbeat_at = min(self.next_heartbeat_at, self.cluster.now + 0.5)
        self.lease_start = max(self.lease_start, sent_at)
        runs = [command["piece"] for command in reply["orders"] if command["verb"] == "run"]
        if runs and not self.cluster.is_confirmed(self.reported_token, reply["baton"]):
            self.cluster.violations.append(
                f"{self.cluster.now:.2f} {runs} sent to {self.host}"
                " before it reported a token of the owner"
            )
        if runs:
            self.cluster.run_responses.append(
                (self.cluster.state.revision, self.host, reply["baton"])
            )
        self.execute_commands(reply["orders"])

    def handle_direct_command(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["baton"] < self.fencing_token or body["shift"] != self.agent_epoch:
            return 409, self.build_heartbeat()
        if body["baton"] > self.fencing_token:
            self.fencing_token = body["baton"]
            self.next_heartbeat_at = min(self.next_heartbeat_at, self.cluster.now)
        self.execute_commands(body["orders"])
        return 200, self.build_heartbeat()

    def execute_commands(self, commands: list[dict[str, Any]]) -> None:
        now = self.cluster.now
        for command in commands:
            name, task = command["piece"], self.tasks.get(command["piece"])
            same_attempt = task is not None and task["try"] == command["try"]
            if command["verb"] == "run":
                self.cluster.commanded_hosts.setdefault(name, set()).add(self.host)
            if command["verb"] == "run" and task is None:
                self.tasks[name] = {
                    "try": command["try"],
                    "stage": "pulling",
                    "ready_at": now + 0.5,
                    "token": self.fencing_token,
                }
                self.cluster.check_machine_capacity(self)
            elif command["verb"] == "run" and not same_attempt:
                assert task is not None
                task.update({"try": command["try"], "stage": "ended", "cause": "in_use"})
            elif command["verb"] == "stop" and task is not None and same_attempt:
                if task["stage"] != "ended":
                    self.cluster.stopped_tasks.append(name)
                    task.update({"stage": "ended", "cause": "stopped"})
                    self.next_heartbeat_at = min(self.next_heartbeat_at, now)
            elif (
                command["verb"] == "clear" and same_attempt and self.tasks[name]["stage"] == "ended"
            ):
                del self.tasks[name]


@dataclass
class CloudAction:
    """A rental or a release of machines, as the cloud carried it out."""

    at: float  # time of the simulated cluster, in seconds
    state_revision: int  # revision of the state service at that time
    sender: str  # controller and its process
    rental_id: str  # empty for a release
    hosts: list[str]
    hosts_in_use: list[str]  # released machines with tasks placed by the shard's present owner


class SimulatedCluster:
    """Three controllers and every service and machine that they talk to."""

    step_s = STEP_S
    report_s = 1.0
    lease_s = 8.0
    cancel_s = 30.0
    # Whether machines' addresses follow no pattern, so that they take more space in records.
    irregular_addresses = False
    machine_types: tuple[dict[str, Any], ...] = (MACHINE_TYPE,)  # of the cloud's catalog

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
        self.workers_by_address: dict[str, Worker] = {}
        # Task -> machines that were ever sent a run command for it.
        self.commanded_hosts: dict[str, set[str]] = {}
        self.released_hosts: list[str] = []
        self.rentals: dict[str, list[str]] = {}
        self.capacity = 6
        # Offers of which the cloud has no machines: zone, and whether they are spot machines.
        self.refused_offers: set[tuple[str, bool]] = set()
        self.controllers: dict[str, Controller] = {}
        self.controller_starts = 0
        # Pairs that cannot reach each other: hosts, controllers, "state" or "cloud".
        self.partitions: set[tuple[str, str]] = set()
        self.commands: dict[str, list[Command]] = {label: [] for label in CONTROLLER_LABELS}
        self.polls: list[tuple[float, str, int, HttpCall]] = []
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.cancelled_at: dict[str, float] = {}
        self.violations: list[str] = []
        self.task_durations_s: dict[str, float] = {}
        self.exit_reasons: dict[str, str] = {}  # host -> exit reason of its tasks
        self.task_starts: list[tuple[float, str, str]] = []
        self.cloud_down = False
        # Controller -> delay in seconds after which its cloud actions are carried out; it gets no
        # response to them.
        self.unanswered_cloud_actions: dict[str, float] = {}
        self.cloud_actions: list[CloudAction] = []
        self.wall_clock_offsets_s: dict[str, float] = {}  # controller -> error of its time of day
        self.clock_rates: dict[str, float] = {}  # controller -> speed of its monotonic clock
        self.machine_list_requests = 0  # requests for a page of the cloud's machine list
        # Hosts whose heartbeats arrive, but which no response or direct command reaches.
        self.response_loss_hosts: set[str] = set()
        self.sent_heartbeats: dict[str, list[bytes]] = {}  # host -> bodies of its heartbeats
        # Hosts whose heartbeats are lost, though direct commands reach them.
        self.heartbeat_loss_hosts: set[str] = set()
        self.command_loss_hosts: set[str] = set()  # hosts that direct commands do not reach
        # Controllers that the state service answers with 503.
        self.refused_controllers: set[str] = set()
        # Controller -> delay in seconds after which its transactions are carried out; it gets no
        # response to them.
        self.unanswered_transactions: dict[str, float] = {}
        self.state_delay_s = 0.0  # added to the time of the state service's responses
        # Controllers that make no steps; commands for them are queued meanwhile.
        self.paused_controllers: set[str] = set()
        # (sender, receiver, body) of a message between controllers -> delays in seconds of the
        # copies that arrive; an empty list loses the message.
        self.peer_message_delays: Callable[[str, str, bytes], list[float]] = (
            lambda one, other, body: [0.0]
        )
        # Each heartbeat response with a run command: revision of the state service, host, token.
        self.run_responses: list[tuple[int, str, int]] = []
        self.stopped_tasks: list[str] = []  # tasks ended by a stop command
        # Revisions at which the only shard got a new owner, oldest first. A token belongs to the
        # owner whose revision is the highest one not above it.
        self.fencing_tokens: list[int] = [0]
        self._shard_owner: tuple[str, str] | None = None
        self.submissions: dict[str, dict[str, Any]] = {}  # job -> its submission
        self._last_machine_number = 0
        for at in range(machines):
            self.add_machine("ab"[at % 2], spot=False)
        if start:
            for label in CONTROLLER_LABELS:
                self.start_controller(label)

    # -- parts -----------------------------------------------------------------------------

    def address_of(self, number: int) -> str:
        if not self.irregular_addresses:
            return f"10.1.{number >> 8}.{number & 255}:9"
        scattered = number * 2654435761 % 2**32  # a multiplicative hash: one-to-one
        return ".".join(str(byte) for byte in scattered.to_bytes(4, "big")) + ":9"

    def add_machine(self, zone: str, spot: bool, machine_type: str = "box") -> str:
        self._last_machine_number += 1
        host = f"vm-{self._last_machine_number:06d}"
        self.workers[host] = worker = Worker(self, host, zone, spot, machine_type)
        self.workers_by_address[worker.address] = worker
        return host

    def start_controller(
        self, label: str, older: bool = False, operators: dict[str, Any] | None = None
    ) -> None:
        """Start a process of this controller; an `older` one knows only record format 1."""
        self.controller_starts += 1
        self.commands[label] = []
        settings = controller_settings(
            label, self.operators if operators is None else operators, **self.facts
        )
        self.controllers[label] = Controller(
            settings, f"boot-{self.controller_starts}", lambda: self.now
        )
        if older:
            self.controllers[label].components.session.record_format = 1

    def crash(self, *labels: str) -> None:
        for label in labels:
            self.controllers.pop(label, None)

    def owner(self) -> str:
        """Return the owner of the only shard, according to the state service."""
        (record,) = [
            v for k, (v, _, _) in self.state.entries.items() if k.startswith("live/block/")
        ]
        return str(record["holder"])

    def shards(self) -> dict[str, Any]:
        return {k: v for k, (v, _, _) in self.state.entries.items() if k.startswith("live/block/")}

    def recorded_machines(self) -> set[str]:
        """Return the machines of all shards' records, as the first controller knows them."""
        registry = next(iter(self.controllers.values())).components.registry
        return set(registry.shard_of_machine)

    def task_duration_s(self, task_id: str) -> float:
        return self.task_durations_s.get(task_id.partition("/")[0], 4.0)

    def exit_reason(self, task_id: str, worker: Worker) -> str:
        return self.exit_reasons.get(worker.host, "done")

    def on_task_started(self, task_id: str, worker: Worker) -> None:
        self.task_starts.append((self.now, task_id, worker.host))
        for host in self.commanded_hosts.get(task_id, ()):
            other = self.workers.get(host)
            if other is not None and other is not worker and task_id in other.running_tasks():
                self.violations.append(
                    f"{self.now:.2f} {task_id} runs on {other.host} and {worker.host}"
                )
        uid = task_id.partition("/")[0]
        spec = self.submissions.get(uid, {})
        other_zones = []
        if spec.get("one_zone") or spec.get("apart"):
            other_zones = [
                other.zone
                for other in self.workers.values()
                for name in other.running_tasks()
                if name.startswith(uid + "/") and name != task_id
            ]
        if spec.get("one_zone") and any(zone != worker.zone for zone in other_zones):
            self.violations.append(
                f"{self.now:.2f} {task_id} starts in {worker.zone}, "
                f"others of its one-zone job run in {other_zones}"
            )
        if spec.get("apart") and other_zones.count(worker.zone) + 1 > (spec["pieces"] + 1) // 2:
            self.violations.append(
                f"{self.now:.2f} {task_id} puts more than half of its job in {worker.zone}"
            )
        for awaited in spec.get("awaits") or ():
            if self.job_state(awaited) != "done":
                self.violations.append(f"{self.now:.2f} {task_id} starts before {awaited} is done")
        cancelled_at = self.cancelled_at.get(uid)
        if cancelled_at is not None and self.now > cancelled_at + self.cancel_s:
            self.violations.append(
                f"{self.now:.2f} {task_id} starts too long after its job was cancelled"
            )

    def check_machine_capacity(self, worker: Worker) -> None:
        """Check that a machine is not given tasks beyond its CPUs, GPUs and memory."""
        assigned = [name for name, task in worker.tasks.items() if task["stage"] != "ended"]
        specs = [self.submissions.get(name.partition("/")[0], {}) for name in assigned]
        (capacity,) = (t for t in self.machine_types if t["label"] == worker.machine_type)
        for amount in ("cpus", "cards", "mem_gb"):
            used = sum(spec.get(amount, 0.0) for spec in specs)
            if used > capacity[amount] + 1e-6:
                self.violations.append(
                    f"{self.now:.2f} {worker.host} has tasks for {used} {amount}, more than it has"
                )

    def is_partitioned(self, one: str, other: str) -> bool:
        return (one, other) in self.partitions or (other, one) in self.partitions

    # -- the network -----------------------------------------------------------------------

    def send_heartbeat(self, worker: Worker, label: str, number: int, agent_epoch: int) -> None:
        body = json.dumps(worker.build_heartbeat()).encode()
        self.sent_heartbeats.setdefault(worker.host, []).append(body)

        def receive_response(status: int, answer: bytes, retry: float | None) -> None:
            if (
                not self.is_partitioned(worker.host, label)
                and worker.host not in self.response_loss_hosts
            ):
                worker.on_heartbeat_response(number, agent_epoch, status, answer)

        if label not in self.controllers:
            worker.try_next_controller(1.0)
        elif (
            not self.is_partitioned(worker.host, label)
            and worker.host not in self.heartbeat_loss_hosts
        ):
            self.commands[label].append(Request(receive_response, "POST", "/checkin", body))

    def send_request(self, label: str, method: str, path: str, body: Any = None) -> list[Any]:
        """Send a user's request.

        The returned list is empty until the response arrives; then it has status, body and
        Retry-After.
        """
        response: list[Any] = []
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
        if path == "/work" and isinstance(body, dict):
            self.submissions.setdefault(str(body.get("uid")), body)

        def receive_response(status: int, answer: bytes, retry: float | None) -> None:
            response.extend([status, json.loads(answer) if answer else None, retry])
            if path.endswith("/abort") and status == 200 and response[1]["stage"] == "withdrawn":
                self.cancelled_at.setdefault(path.split("/")[2], self.now)

        self.commands[label].append(Request(receive_response, method, path, data))
        return response

    def request(self, label: str, method: str, path: str, body: Any = None) -> tuple[Any, ...]:
        """Send a user's request, run until its response arrives and return it."""
        response = self.send_request(label, method, path, body)
        self.run_until(lambda: bool(response), 5.0)
        return tuple(response)

    def _call(self, label: str, call: HttpCall) -> None:
        sent_at = self.now * self.clock_rates.get(label, 1.0)

        def respond(status: int | None, body: bytes) -> None:
            controller = self.controllers.get(label)
            if controller is not None and controller is caller:
                self.commands[label].append(CallCompleted(call.on_response, status, body, sent_at))

        caller = self.controllers[label]
        if call.address == STATE_ADDRESS:
            if self.is_partitioned(label, "state"):
                self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
            elif call.path.startswith("/changes") and not self.state.down:
                self._watch_changes(label, call, respond)
            elif label in self.refused_controllers:
                self.scheduled.append((self.now + self.step_s, lambda: respond(503, b"")))
            elif call.path == "/txn" and label in self.unanswered_transactions:
                self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
                delay_s = self.unanswered_transactions[label]
                if delay_s <= 0:
                    self.state.handle(call.method, call.path, call.body, self.now)
                else:
                    self.scheduled.append(
                        (self.now + delay_s, lambda: self._execute_transaction(call))
                    )
            else:
                status, answer = self.state.handle(call.method, call.path, call.body, self.now)
                wait_s = self.step_s + self.state_delay_s
                if wait_s > call.timeout_s:
                    self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
                else:
                    self.scheduled.append(
                        (self.now + wait_s, lambda: respond(status, _json(answer)))
                    )
        elif call.address == CLOUD_ADDRESS:
            sender = f"{label} {caller.components.context.incarnation}"
            delay_s = self.unanswered_cloud_actions.get(label, 0.0)
            if self.is_partitioned(label, "cloud"):
                self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
            elif delay_s and call.method == "POST":
                self.scheduled.append(
                    (self.now + delay_s, lambda: self._execute_cloud_action(call, sender))
                )
                self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
            else:
                status, answer = self._handle_cloud_request(call, sender)
                self.scheduled.append(
                    (self.now + self.step_s, lambda: respond(status, _json(answer)))
                )
        elif call.path == "/beat":
            other = CONTROLLER_LABELS[int(call.address.split(":")[0].rpartition(".")[2])]
            if other in self.controllers and not self.is_partitioned(label, other):
                for after_s in self.peer_message_delays(label, other, call.body or b""):
                    self._deliver_peer_message(other, call.body or b"", after_s)
        else:
            self._send_direct_command(label, call, respond)

    def _deliver_peer_message(self, label: str, body: bytes, after_s: float) -> None:
        def arrive() -> None:
            if label in self.controllers:
                self.commands[label].append(PeerMessage(body))

        if after_s <= 0:
            arrive()
        else:
            self.scheduled.append((self.now + after_s, arrive))

    def _record_owner_change(self) -> None:
        """Record the token of a new owner of the only shard: the revision of its record.

        Nothing is recorded while there is no shard or more than one.
        """
        shards = [
            entry for key, entry in self.state.entries.items() if key.startswith("live/block/")
        ]
        if len(shards) != 1:
            return
        record, stamp, _ = shards[0]
        owner = (record["holder"], record["boot"])
        if owner != self._shard_owner:
            self._shard_owner = owner
            self.fencing_tokens.append(stamp)

    def is_confirmed(self, reported: int, answered: int) -> bool:
        """Return whether a machine that reported one token may get tasks under another.

        `reported` is the highest token that the machine has reported, `answered` the token of the
        response that has the tasks. The machine may get them if `reported` belongs to the owner of
        `answered` or to a later one.
        """
        return reported >= max(stamp for stamp in self.fencing_tokens if stamp <= answered)

    def _execute_transaction(self, call: HttpCall) -> None:
        self.state.handle(call.method, call.path, call.body, self.now)

    def _watch_changes(
        self, label: str, call: HttpCall, respond: Callable[[int | None, bytes], None]
    ) -> None:
        query = call.path.partition("?")[2]
        args = dict(part.partition("=")[::2] for part in query.split("&"))
        self.state.requests += 1
        until = self.now + int(args["hold_ms"]) / 1000

        def poll_changes() -> None:
            if self.is_partitioned(label, "state"):
                self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
                return
            unavailable = self.state.down or label in self.refused_controllers
            if unavailable and self.now < until:
                self.scheduled.append((self.now + self.step_s, poll_changes))
                return
            if unavailable:
                respond(503, b"")
                return
            events = self.state.events_after(args["under"], int(args["after"]))
            if events["news"] or self.now >= until:
                respond(200, _json(events))
            else:
                self.scheduled.append((self.now + self.step_s, poll_changes))

        self.scheduled.append((self.now + self.step_s + self.state_delay_s, poll_changes))

    def _send_direct_command(
        self, label: str, call: HttpCall, respond: Callable[[int | None, bytes], None]
    ) -> None:
        worker = self.workers_by_address.get(call.address)
        if worker is not None and worker.host not in self.workers:
            worker = None  # released
        unreachable = (
            worker is None
            or worker.hung
            or worker.host in self.response_loss_hosts | self.command_loss_hosts
        )
        if worker is None or unreachable or self.is_partitioned(worker.host, label):
            self.scheduled.append((self.now + call.timeout_s, lambda: respond(None, b"")))
            return
        status, answer = worker.handle_direct_command(json.loads(call.body or b"{}"))
        self.scheduled.append((self.now + self.step_s, lambda: respond(status, _json(answer))))

    def _execute_cloud_action(self, call: HttpCall, sender: str) -> None:
        self._handle_cloud_request(call, sender)

    def _is_in_use(self, host: str) -> bool:
        """Return whether the machine has a task placed by the shard's present owner."""
        worker = self.workers.get(host)
        return worker is not None and any(
            task["stage"] != "ended" and task["token"] >= self.fencing_tokens[-1] > 0
            for task in worker.tasks.values()
        )

    def _record_cloud_action(self, sender: str, name: str, hosts: list[str]) -> None:
        in_use = [host for host in hosts if not name and self._is_in_use(host)]
        self.cloud_actions.append(
            CloudAction(self.now, self.state.revision, sender, name, hosts, in_use)
        )

    def _handle_cloud_request(self, call: HttpCall, sender: str = "") -> tuple[int, Any]:
        body = json.loads(call.body) if call.body else {}
        if self.cloud_down:
            return 503, {"error": "trouble"}
        if call.path == "/catalog":
            return 200, {"builds": list(self.machine_types)}
        if call.path.startswith("/rentals?"):
            hosts = [
                {
                    "uid": w.host,
                    "addr": w.address,
                    "build": w.machine_type,
                    "hall": w.zone,
                    "loaners": w.spot,
                    "stage": "running",
                }
                for w in self.workers.values()
            ]
            args = dict(part.partition("=")[::2] for part in call.path.partition("?")[2].split("&"))
            self.machine_list_requests += 1
            hosts.sort(key=lambda h: str(h["uid"]))
            hosts = [h for h in hosts if str(h["uid"]) > args.get("after", "")]
            page = int(args["page"])
            return 200, {"hosts": hosts[:page], "has_next": len(hosts) > page}
        if call.path == "/rentals/release":
            self._record_cloud_action(sender, "", body["hosts"])
            for host in body["hosts"]:
                if self.workers.pop(host, None) is not None:
                    self.released_hosts.append(host)
            return 200, {}
        if body["hire"] in self.rentals:
            return 200, {"hosts": self.rentals[body["hire"]]}
        assert body["number"] <= 50
        count = min(body["number"], self.capacity - len(self.workers))
        if (body["hall"], body["loaners"]) in self.refused_offers:
            count = 0
        if count <= 0:
            return 503, {"error": "no capacity"}
        hosts = [
            self.add_machine(body["hall"], body["loaners"], body["build"]) for _ in range(count)
        ]
        self.rentals[body["hire"]] = hosts
        self._record_cloud_action(sender, body["hire"], hosts)
        return 200, {"hosts": hosts}

    # -- time ------------------------------------------------------------------------------

    def step(self) -> None:
        self.now += self.step_s
        self.state.expire_leases(self.now)
        due = [act for at, act in self.scheduled if at <= self.now]
        self.scheduled = [(at, act) for at, act in self.scheduled if at > self.now]
        for act in due:
            act()
        for worker in list(self.workers.values()):
            worker.step()
        self._record_owner_change()
        for label, controller in list(self.controllers.items()):
            if label in self.paused_controllers:
                continue
            batch, self.commands[label] = self.commands[label], []
            now = self.now * self.clock_rates.get(label, 1.0)
            wall = 1e6 + self.now + self.wall_clock_offsets_s.get(label, 0.0)
            for effect in controller.step(batch, now, wall):
                if isinstance(effect, SendResponse):
                    effect.pending_response(effect.status, effect.body, effect.retry_after)
                else:
                    self._call(label, effect)
        for job_id, at in self.cancelled_at.items():
            if self.now > at + self.cancel_s and any(
                name.startswith(job_id + "/")
                for worker in self.workers.values()
                for name in worker.running_tasks()
            ):
                self.violations.append(
                    f"{self.now:.2f} {job_id} still runs too long after it was cancelled"
                )
        self._check_team_limits()
        assert not self.violations, self.violations

    def _check_team_limits(self) -> None:
        """Check that no team's running tasks use more CPUs than its limit."""
        for limited in self.facts.get("teams", TEAMS):
            cpus_max = limited.get("cpus_max", 0.0)
            if not cpus_max:
                continue
            used = 0.0
            for worker in self.workers.values():
                for name in worker.running_tasks():
                    spec = self.submissions.get(name.partition("/")[0])
                    if spec is not None and spec["crew"] == limited["name"]:
                        used += spec["cpus"]
            if used > cpus_max + 1e-6:
                self.violations.append(
                    f"{self.now:.2f} team {limited['name']} uses {used} CPUs of at most {cpus_max}"
                )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / self.step_s)):
            self.step()

    def run_until(self, met: Callable[[], bool], within_s: float) -> None:
        for _ in range(round(within_s / self.step_s)):
            if met():
                return
            self.step()
        assert met(), f"condition not met within {within_s} s"

    def running_tasks(self, name: str = "") -> list[str]:
        return [p for w in self.workers.values() for p in w.running_tasks() if p.startswith(name)]

    def job_state(self, uid: str) -> Any:
        entry = self.state.entries.get(f"live/job/{uid}")
        return entry[0].get("stage", "open") if entry else None


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()
