"""Stand-ins for the cases: state service, cloud, workers and users, and real controllers.

All of it runs in one process on loopback addresses and the real clock; the controllers are
processes of their own, started with the run command of the deploy file. Where a page is silent, a
stand-in behaves like a sound server, client or platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = float(os.environ.get("WATCHED_S", "0")) + 117.0

Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any]]]


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is judged."""


_given_out: set[int] = set()


def free_port() -> int:
    """Return a free port of the loopback address, each only once.

    Ports of outgoing connections lie above the range.
    """
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _given_out:
                _given_out.add(port)
                return port


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():7.2f} {text}\n")
        self.file.flush()


# -- HTTP ----------------------------------------------------------------------------------


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def serve_http(port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1 on a port; a handler that returns status 0 gives no response."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, answer = await handler(method, target, body)
                if status == 0:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port, limit=1 << 20, backlog=512)


class HttpClient:
    """Sends requests over connections that stay open, one request at a time on each."""

    def __init__(self) -> None:
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def request(
        self, address: str, method: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int | None, Any, dict[str, str]]:
        """Return status, body and headers; the status is None if no response came."""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await self._connection(address)
                data = b"" if body is None else json.dumps(body).encode()
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                line, headers, answer = await _read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if writer is not None:
                writer.close()
            return None, None, {}
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.setdefault(address, []).append((reader, writer))
        return int(line.split(" ")[1]), json.loads(answer) if answer else None, headers

    async def _connection(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self.idle.get(address, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        host, _, port = address.partition(":")
        return await asyncio.open_connection(host, int(port), limit=1 << 20)


class Bucket:
    """A rate limit that allows bursts of some seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self.rate, self.capacity = rate, rate * burst_s
        self.tokens, self.at = self.capacity, time.monotonic()

    def take(self, count: float) -> bool:
        """Take tokens; return False, and take none, if there are too few."""
        now = time.monotonic()
        self.tokens = min(self.capacity, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


# -- state service -------------------------------------------------------------------------


class StateService:
    """The state service of the protocol."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.entries: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.limits = limits
        self.requests = Bucket(limits["rps"], 1.0)
        self.writes = Bucket(limits["write_rps"], 1.0)
        self.changed = asyncio.Event()
        self.refused = 0

    async def run(self) -> None:
        """End leases that were not renewed, up to 100 ms late."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, (_, until) in self.leases.items() if until < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, entry in self.entries.items() if entry[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]
                self.log.append({"drop": key, "stamp": self.revision})
            self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Answer a request."""
        if not self.requests.take(1):
            self.refused += 1
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.003)
        route, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        if route == "/txn":
            return self._commit(json.loads(body), len(body))
        if route == "/leases":
            life = json.loads(body)["life_ms"] / 1000
            lease = max(self.leases, default=0) + self.revision + 1
            self.leases[lease] = (life, time.monotonic() + life)
            return 200, {"tenure": lease}
        if route.startswith("/leases/"):
            return self._on_lease(method, int(route.split("/")[2]))
        if route == "/store":
            return self._page(args)
        if route.startswith("/store/"):
            entry = self.entries.get(route[len("/store/") :])
            if entry is None:
                return 404, {"ledger": self.revision}
            answer = {"k": route[len("/store/") :], "v": entry[0], "stamp": entry[1]}
            return 200, answer | ({"tenure": entry[2]} if entry[2] is not None else {})
        if route == "/changes":
            return await self._changes(args)
        return 400, {"error": "unknown"}

    def _on_lease(self, method: str, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            life = self.leases[lease][0]
            self.leases[lease] = (life, time.monotonic() + life)
        return 200, {"tenure": lease}

    def _page(self, args: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(args.get("under", "")) and key > args.get("after", "")
        )
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(1000, int(args.get("page", "1000")))]:
            pair = {"k": key, "v": self.entries[key][0], "stamp": self.entries[key][1]}
            size += len(json.dumps(pair))
            if size > 500 * 1024:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "has_next": len(keys) > len(pairs), "ledger": self.revision}

    async def _changes(self, args: dict[str, str]) -> tuple[int, Any]:
        prefix, after = args.get("under", ""), int(args["after"])
        until = time.monotonic() + int(args.get("hold_ms", "0")) / 1000
        while True:
            if len(self.log) > 10_000 and self.log[-10_000]["stamp"] > after:
                return 410, {"error": "too old"}
            news = [
                event
                for event in self.log
                if event["stamp"] > after and event.get("set", event.get("drop")).startswith(prefix)
            ]
            left = until - time.monotonic()
            if news or left <= 0:
                return 200, {"ledger": self.revision, "news": news}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _commit(self, txn: dict[str, Any], size: int) -> tuple[int, Any]:
        conditions, changes = txn.get("if", []), txn.get("then", [])
        if (
            size > 64 * 1024
            or len(changes) > self.limits["txn_ops"]
            or len(conditions) > 4 * self.limits["txn_ops"]
            or any(
                len(json.dumps(change["v"], separators=(",", ":"))) > 1024 * self.limits["value_kb"]
                for change in changes
                if "set" in change
            )
        ):
            return 400, {"error": "malformed"}
        if not self.writes.take(len(changes)):
            self.refused += 1
            return 429, {"error": "too many changes"}
        leases = [change.get("tenure") for change in changes]
        if any(lease is not None and lease not in self.leases for lease in leases):
            return 400, {"error": "no such lease"}
        failed = [
            one["k"]
            for one in conditions
            if self.entries.get(one["k"], (None, 0, None))[1] != one["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.entries[key] = (change["v"], self.revision, change.get("tenure"))
                self.log.append({"set": key, "v": change["v"], "stamp": self.revision})
            elif self.entries.pop(change["drop"], None) is not None:
                self.log.append({"drop": change["drop"], "stamp": self.revision})
        if changes:
            self._notify()
        return 200, {"ledger": self.revision}


# -- workers -------------------------------------------------------------------------------


@dataclasses.dataclass
class Piece:
    """A task on a machine."""

    name: str
    attempt: int
    stage: str
    cause: str = ""
    saved: bool = False
    ready_at: float = 0.0
    ends_at: float = 0.0

    def report(self) -> dict[str, Any]:
        """Return the entry of a report."""
        entry: dict[str, Any] = {"piece": self.name, "try": self.attempt, "stage": self.stage}
        if self.stage == "ended":
            entry["cause"] = self.cause
            if self.saved:
                entry["saved"] = True
        return entry


class Worker:
    """One machine and its agent, as the protocol has it."""

    def __init__(self, platform: Platform, host: str, build: str, hall: str, cheap: bool) -> None:
        self.platform, self.host, self.build, self.hall = platform, host, build, hall
        self.cheap = cheap
        self.type = platform.types[build]
        self.port = free_port()
        self.rented_at = time.monotonic()
        self.up_at = self.rented_at
        self.up = False
        self.gone = False
        self.shift, self.tick, self.baton = 1, 0, 0
        self.recall_at: float | None = None
        self.pieces: dict[str, Piece] = {}
        self.images: dict[str, float] = {}
        self.fetching: dict[str, float] = {}
        self.lease_from = 0.0
        self.node = random.randrange(len(platform.labels))
        self.change = asyncio.Event()
        self.raised_at = -1e9
        self.server: asyncio.Server | None = None
        self.client = HttpClient()

    @property
    def address(self) -> str:
        """The address for direct commands."""
        return f"127.0.0.1:{self.port}"

    def on_machine(self) -> list[str]:
        """Return the names of the tasks that are on the machine."""
        return [name for name, one in self.pieces.items() if one.stage in ("running", "saving")]

    def free(self) -> tuple[float, float]:
        """Return the processors and the memory that no task takes."""
        specs = [
            self.platform.jobs[name.partition("/")[0]]
            for name, one in self.pieces.items()
            if one.stage != "ended"
        ]
        cpus = self.type["cpus"] - sum(spec["cpus"] for spec in specs)
        return cpus, self.type["mem_gb"] - sum(spec["mem_gb"] for spec in specs)

    def vanish(self) -> None:
        """End the machine with all that is on it."""
        self.gone = True
        self.pieces.clear()
        if self.server is not None:
            self.server.close()

    def report(self) -> dict[str, Any]:
        """Return a report; each has a higher tick."""
        self.tick += 1
        left = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "host": self.host,
            "addr": self.address,
            "build": self.build,
            "hall": self.hall,
            "loaners": self.cheap,
            "shift": self.shift,
            "tick": self.tick,
            "baton": self.baton,
            "recall_s": left,
            "pieces": [one.report() for _, one in sorted(self.pieces.items())],
        }

    # -- running -------------------------------------------------------------------------

    async def run(self) -> None:
        """Boot, then report and run tasks until the machine is gone."""
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        if self.gone:
            return
        self.server = await serve_http(self.port, self.on_direct)
        self.lease_from = time.monotonic()
        self.up = True
        steps = asyncio.create_task(self._run_pieces())
        try:
            await self._report_repeatedly()
        finally:
            steps.cancel()

    async def _report_repeatedly(self) -> None:
        report_s = self.platform.workers_settings["report_s"]
        await asyncio.sleep(random.uniform(0, report_s))
        while not self.gone:
            sent_at = time.monotonic()
            self.change.clear()
            pause_s = await self._report_once(sent_at)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
            due = sent_at + report_s * random.uniform(0.75, 1.25)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change.wait(), max(0.0, due - time.monotonic()))

    async def _report_once(self, sent_at: float) -> float | None:
        """Send a report; return the pause until the next one, None for the usual one."""
        platform, shift = self.platform, self.shift
        label = platform.labels[self.node]
        if label in platform.cut:
            # Behind a cut, connections hang without an error.
            await asyncio.sleep(4.0)
            self.node = (self.node + 1) % len(platform.labels)
            return 1.0
        status, answer, _ = await self.client.request(
            platform.serve[label], "POST", "/checkin", self.report(), 4.0
        )
        if self.gone:
            return None
        if status == 421 and answer and answer.get("foreman") in platform.labels:
            other = platform.labels.index(answer["foreman"])
            if other != self.node:
                self.node = other
                return random.uniform(0.0, 0.5)
        if status != 200:
            if status not in (None, 421):
                platform.record(f"{self.host} report to {label} answered with {status}")
            self.node = (self.node + 1) % len(platform.labels)
            return 1.0
        if shift == self.shift and answer.get("baton", -1) >= self.baton:
            self._see_baton(answer["baton"])
            self.lease_from = max(self.lease_from, sent_at)
            self.execute(answer.get("orders", []))
        return None

    def _see_baton(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() > self.raised_at + self.platform.workers_settings["lease_s"] / 2:
                self.raised_at = time.monotonic()
                self.change.set()

    async def on_direct(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Answer a direct command or an inspection."""
        if self.gone or self.platform.owner() in self.platform.cut:
            return 0, None
        if method == "GET" and target == "/inspect":
            return 200, self.report()
        command = json.loads(body)
        if "baton" not in command or "shift" not in command:
            return 400, {"error": "missing"}
        if command["baton"] < self.baton or command["shift"] != self.shift:
            return 409, self.report()
        self._see_baton(command["baton"])
        self.execute(command.get("orders", []))
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out commands in order."""
        for order in orders:
            name, attempt, verb = order["piece"], order["try"], order["verb"]
            self.platform.record(f"{self.host} {verb} {name} try {attempt}")
            piece = self.pieces.get(name)
            same = piece is not None and piece.attempt == attempt
            if verb == "run" and not same:
                self._start(name, attempt)
            elif verb == "stop" and same and piece is not None:
                self._stop(piece, order.get("windup_s") or 0.0)
            elif verb == "clear" and same and piece is not None and piece.stage == "ended":
                del self.pieces[name]

    def _start(self, name: str, attempt: int) -> None:
        platform = self.platform
        spec = platform.jobs.get(name.partition("/")[0])
        now = time.monotonic()
        refused = ""
        if name in self.pieces and self.pieces[name].stage != "ended":
            refused = "in_use"
        elif spec is None:
            refused = "unknown"
        else:
            cpus, mem_gb = self.free()
            if spec["cpus"] > cpus + 1e-6 or spec["mem_gb"] > mem_gb + 1e-6:
                refused = "full"
        if refused or spec is None:
            if refused != "in_use":
                self.pieces[name] = Piece(name, attempt, "ended", refused)
            self.change.set()
            return
        platform.attempts.append((platform.record.now(), name, self.host))
        image = spec["kit"]
        if image not in self.images and image not in self.fetching:
            began = max([now, *self.fetching.values()])
            self.fetching[image] = began + spec["size_gb"] / self.type["fetch_gb_per_s"]
        self.pieces[name] = Piece(
            name, attempt, "pulling", ready_at=max(now, self.fetching.get(image, now))
        )

    def _stop(self, piece: Piece, windup_s: float) -> None:
        spec = self.platform.jobs[piece.name.partition("/")[0]]
        if piece.stage == "ended":
            return
        saves = spec["bookmark_s"] > 0 and windup_s >= spec["stow_s"]
        if piece.stage == "running" and saves:
            piece.stage, piece.ends_at = "saving", time.monotonic() + spec["stow_s"]
        elif piece.stage != "saving" or windup_s <= 0:
            self._end(piece, "stopped")

    def _end(self, piece: Piece, cause: str) -> None:
        piece.saved = piece.stage == "saving" and cause == "stopped"
        piece.stage, piece.cause = "ended", cause
        if cause == "done":
            self.platform.results.add(piece.name)
        self.platform.record(f"{self.host} {piece.name} try {piece.attempt} ended: {cause}")
        self.change.set()

    async def _run_pieces(self) -> None:
        lease_s = self.platform.workers_settings["lease_s"]
        while not self.gone:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.lease_from > lease_s:
                self.platform.record(f"{self.host} lease over, kills {len(self.pieces)} tasks")
                self.pieces.clear()
                self.fetching.clear()
                self.shift += 1
                self.lease_from = now
                self.change.set()
            for image, ready_at in list(self.fetching.items()):
                if now >= ready_at:
                    self.images[image] = now
                    del self.fetching[image]
            for piece in list(self.pieces.values()):
                self._step_piece(piece, now)

    def _step_piece(self, piece: Piece, now: float) -> None:
        platform = self.platform
        if piece.stage == "pulling" and now >= piece.ready_at:
            piece.stage = "running"
            platform.record(f"{self.host} {piece.name} try {piece.attempt} starts")
            again = piece.name in platform.results
            piece.ends_at = now if again else now + platform.duration_s(self, piece)
            self.change.set()
        elif piece.stage == "running" and now >= piece.ends_at:
            self._end(piece, platform.outcome(self, piece))
        elif piece.stage == "saving" and now >= piece.ends_at:
            self._end(piece, "stopped")


# -- cloud and the rest of the platform ------------------------------------------------------


class Platform:
    """The cloud, its machines, the state service and the controllers of one deployment."""

    def __init__(self, site: dict[str, Any], record: Record, folder: pathlib.Path) -> None:
        self.site, self.record, self.folder = site, record, folder
        self.types = {one["label"]: one for one in site["builds"]}
        self.workers_settings = site["facts"]["workers"]
        self.labels = [f"pulleyhand-{number}" for number in range(site["facts"]["nodes"])]
        self.serve = {label: f"127.0.0.1:{free_port()}" for label in self.labels}
        self.mesh = {label: f"127.0.0.1:{free_port()}" for label in self.labels}
        self.state_port, self.cloud_port = free_port(), free_port()
        self.state = StateService(site["facts"]["state"])
        self.cloud_calls = Bucket(site["facts"]["cloud"]["rps"], 2.0)
        self.machines: dict[str, Worker] = {}
        self.seen: list[tuple[float, list[dict[str, Any]]]] = []
        self.hires: dict[str, list[str]] = {}
        self.rented: list[tuple[float, str, str, bool]] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.results: set[str] = set()
        self.attempts: list[tuple[float, str, str]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.healthy: set[str] = set()
        self.cut: set[str] = set()  # controllers that no machine reaches, nor they any machine
        self.client = HttpClient()
        self.next_node = 0
        self.boot_s: Callable[[dict[str, Any]], float] = lambda build: build["startup_s"]
        self.duration_s: Callable[[Worker, Piece], float] = lambda worker, piece: 5.0
        self.outcome: Callable[[Worker, Piece], str] = lambda worker, piece: "done"

    def spawn(self, work: Any) -> None:
        """Run a coroutine until the case ends; an error in it is recorded."""

        async def guarded() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except Exception:
                self.record("stand-in failed: " + traceback.format_exc().replace("\n", " | "))
                raise

        task = asyncio.create_task(guarded())
        self.tasks.add(task)

    # -- the cloud -----------------------------------------------------------------------

    def add_machine(self, build: str, hall: str, cheap: bool, boot_s: float) -> Worker:
        """Add a machine that is up after some seconds."""
        worker = Worker(self, f"vm-{len(self.machines) + 1:06d}", build, hall, cheap)
        worker.up_at = worker.rented_at + boot_s
        self.machines[worker.host] = worker
        self.spawn(worker.run())
        return worker

    def listing(self) -> list[dict[str, Any]]:
        """Return the machines that are rented now, in the order of their names."""
        now = time.monotonic()
        return [
            {
                "uid": one.host,
                "addr": one.address,
                "build": one.build,
                "hall": one.hall,
                "loaners": one.cheap,
                "stage": "running" if one.up else "starting",
                "held_s": now - one.rented_at,
            }
            for one in self.machines.values()
            if not one.gone
        ]

    async def _keep_listings(self) -> None:
        while True:
            self.seen.append((time.monotonic(), self.listing()))
            self.seen = self.seen[-400:]
            await asyncio.sleep(0.1)

    async def on_cloud(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Answer a request to the cloud."""
        if not self.cloud_calls.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.2)
        route, _, query = target.partition("?")
        if route == "/catalog":
            return 200, {"builds": self.site["builds"]}
        if route == "/rentals" and method == "GET":
            args = dict(urllib.parse.parse_qsl(query))
            lag_s = self.site["facts"]["cloud"]["list_lag_s"]
            then = time.monotonic() - lag_s
            hosts = [known for at, known in self.seen if at <= then][-1:] or [self.seen[0][1]]
            found = [one for one in hosts[0] if one["uid"] > args.get("after", "")]
            page = int(args.get("page", "500"))
            return 200, {"hosts": found[:page], "has_next": len(found) > page}
        order = json.loads(body)
        if route == "/rentals/release":
            for host in order["hosts"]:
                worker = self.machines.get(host)
                if worker is not None and not worker.gone:
                    worker.vanish()
            self.record(f"cloud: released {order['hosts']}")
            return 200, {}
        if route == "/rentals":
            return self._rent(order)
        return 400, {"error": "malformed"}

    def _rent(self, order: dict[str, Any]) -> tuple[int, Any]:
        if order["hire"] in self.hires:
            return 200, {"hosts": self.hires[order["hire"]]}
        build = self.types.get(order["build"])
        if build is None or order["hall"] not in build["halls"] or not 0 < order["number"] <= 50:
            return 400, {"error": "malformed"}
        kind = "spot" if order["loaners"] else "count"
        in_use = sum(
            not one.gone
            and (one.build, one.hall, one.cheap)
            == (order["build"], order["hall"], order["loaners"])
            for one in self.machines.values()
        )
        capacity = self.site["capacity"].get((order["build"], order["hall"]), {}).get(kind, 0)
        number = min(order["number"], capacity - in_use)
        self.record(f"cloud: rental request {json.dumps(order)}, {max(0, number)} granted")
        if number <= 0:
            return 503, {"error": "no capacity"}
        workers = [
            self.add_machine(order["build"], order["hall"], order["loaners"], self.boot_s(build))
            for _ in range(number)
        ]
        self.hires[order["hire"]] = hosts = [one.host for one in workers]
        for _ in workers:
            self.rented.append((self.record.now(), order["build"], order["hall"], order["loaners"]))
        return 200, {"hosts": hosts}

    # -- controllers ---------------------------------------------------------------------

    def _settings(self, label: str) -> str:
        facts = self.site["facts"]
        zones = facts["zones"]
        lines = [
            f'label = "{label}"',
            f'site = "{zones[self.labels.index(label) % len(zones)]}"',
            f'serve_on = "{self.serve[label]}"',
            f'mesh_addr = "{self.mesh[label]}"',
        ]
        for at, other in enumerate(self.labels):
            if other != label:
                lines += [
                    "[[seeds]]",
                    f'label = "{other}"',
                    f'site = "{zones[at % len(zones)]}"',
                    f'address = "{self.mesh[other]}"',
                ]
        lines += [
            "[endpoints]",
            f'cloud = "127.0.0.1:{self.cloud_port}"',
            f'state = "127.0.0.1:{self.state_port}"',
            "[facts]",
            f"nodes = {facts['nodes']}",
            f"zones = {json.dumps(zones)}",
            f"skew_ms = {facts['skew_ms']}",
        ]
        for name in ("teams", "objectives"):
            for table in facts[name]:
                lines.append(f"[[facts.{name}]]")
                lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        for name in ("workers", "state", "cloud", "machine_limits"):
            lines.append(f"[facts.{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in facts[name].items()]
        return "\n".join(lines) + "\n"

    def start_controller(self, label: str) -> None:
        """Start a controller with the run command of the deploy file."""
        home = self.folder / label
        home.mkdir(exist_ok=True)
        (home / "node.toml").write_text(self._settings(label))
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(home / "node.toml")]
        with (self.folder / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                command, cwd=ROOT, stderr=log, env=os.environ | {"LOG_LEVEL": "info"}
            )
        self.record(f"controller {label} started: {' '.join(shlex.split(deploy['run']))}")

    def owner(self) -> str:
        """Return the controller that commands the machines: only its commands have a good token."""
        records = [
            one[0] for key, one in self.state.entries.items() if key.startswith("live/block/")
        ]
        return str(records[0]["holder"]) if records else ""

    def leader(self) -> str:
        """Return the controller that rents machines."""
        entry = self.state.entries.get("live/leader")
        return str(entry[0]["label"]) if entry is not None else ""

    def controller_log(self, label: str) -> str:
        """Return what a controller has logged."""
        return (self.folder / f"{label}.log").read_text(errors="replace")

    async def _probe_health(self) -> None:
        failures = dict.fromkeys(self.labels, 0)
        while True:
            for label in self.labels:
                status, _, _ = await self.client.request(self.serve[label], "GET", "/up", None, 1.0)
                failures[label] = 0 if status == 200 else failures[label] + 1
                if status == 200:
                    self.healthy.add(label)
                elif failures[label] >= 2:
                    self.healthy.discard(label)
            await asyncio.sleep(1.0)

    async def start(self) -> None:
        """Start everything; return once all machines that are up have seen a token.

        Raises:
            CannotRunError: They have seen none in time.
        """
        await serve_http(self.state_port, self.state.handle)
        await serve_http(self.cloud_port, self.on_cloud)
        for work in (self.state.run(), self._keep_listings()):
            self.spawn(work)
        for build, hall, cheap, number in self.site["machines"]:
            for _ in range(number):
                self.add_machine(build, hall, cheap, 0.0)
        await asyncio.sleep(0.2)
        for label in self.labels:
            self.start_controller(label)
        self.spawn(self._probe_health())
        await self.wait_until(
            lambda: all(one.baton > 0 for one in self.machines.values()) and bool(self.healthy),
            30.0,
            "machines hear a controller",
        )

    async def wait_until(self, met: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for a condition.

        Raises:
            CannotRunError: It was not met in time.
        """
        until = time.monotonic() + within_s
        while not met():
            if time.monotonic() > until:
                raise CannotRunError(f"not within {within_s} s: {what}")
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """End all processes that were started here, and all work of the stand-ins."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()

    # -- users ---------------------------------------------------------------------------

    async def user_request(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int | None, Any, dict[str, str]]:
        """Send a user's request to the next healthy controller, up to three in all."""
        status: int | None = None
        for _ in range(3):
            nodes = sorted(self.healthy) or self.labels
            self.next_node += 1
            label = nodes[self.next_node % len(nodes)]
            status, answer, headers = await self.client.request(
                self.serve[label], method, path, body, timeout_s
            )
            shown = {"uid": body["uid"]} if method == "POST" and body else ""
            self.record(f"user {method} {path} {shown} at {label}: {status} {json.dumps(answer)}")
            if status is not None:
                return status, answer, headers
        return None, None, {}

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job as users do.

        Raises:
            CannotRunError: It was not accepted.
        """
        self.jobs[spec["uid"]] = spec
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            status, _, headers = await self.user_request("POST", "/work", spec, 5.0)
            if status in (200, 201):
                return
            if status in (400, 422):
                break
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))
        raise CannotRunError(f"{spec['uid']} was not accepted")

    async def poll(self, uid: str) -> str:
        """Return the stage that a controller tells, or an empty text."""
        status, answer, _ = await self.user_request("GET", f"/work/{uid}", None, 2.0)
        return str(answer["stage"]) if status == 200 else ""


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission with all fields of the protocol."""
    return {
        "uid": f"job-{number:06d}",
        "shape": "sweep",
        "cards": 0.0,
        "builds": None,
        "hall": None,
        "one_zone": False,
        "apart": False,
        "loaners": True,
        "bookmark_s": 0.0,
        "stow_s": 0.0,
        "due_s": None,
    } | fields


class WaitCheck:
    """Judges how long one task waits while a machine that fits has room.

    The wait is counted from one look to the next, and starts anew whenever the task is on a
    machine or on its way to one, or no machine that fits has room.
    """

    def __init__(self, platform: Platform, name: str, fits: Callable[[Worker], bool]) -> None:
        self.platform, self.name, self.fits = platform, name, fits
        self.since: float | None = None
        self.longest_s = 0.0
        self.room_on = ""

    def _has_room(self, worker: Worker) -> bool:
        spec = self.platform.jobs[self.name.partition("/")[0]]
        cpus, mem_gb = worker.free()
        fresh = time.monotonic() - worker.lease_from < self.platform.workers_settings["lease_s"] / 2
        return (
            worker.up
            and not worker.gone
            and worker.recall_at is None
            and fresh
            and self.fits(worker)
            and cpus >= spec["cpus"]
            and mem_gb >= spec["mem_gb"]
        )

    def look(self) -> None:
        """Look at all machines once."""
        machines = self.platform.machines.values()
        held = any(
            self.name in one.pieces and one.pieces[self.name].stage != "ended" for one in machines
        )
        room = [one.host for one in machines if self._has_room(one)]
        if held or not room or self.name in self.platform.results:
            self.since = None
            return
        now = time.monotonic()
        if self.since is None:
            self.since = now
        self.longest_s, self.room_on = max(self.longest_s, now - self.since), room[0]


Case = Callable[[Platform, bool], Awaitable[int]]


def run_case(folder: pathlib.Path, site: dict[str, Any], case: Case) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def play(home: pathlib.Path) -> int:
        platform = Platform(site, record, home)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # Ended from outside: the processes started here are ended all the same.
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await platform.start()
                return await case(platform, trouble)
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            record(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            platform.stop()
            record(f"state service: {platform.state.refused} requests refused for their rate")
            for label in platform.labels:
                text = platform.controller_log(label)
                shown = [line for line in text.splitlines() if line.startswith(("E ", "W "))]
                for line in dict.fromkeys(shown):
                    record(f"log of {label}: {line} (x{shown.count(line)})")

    with tempfile.TemporaryDirectory() as temporary:
        result = asyncio.run(play(pathlib.Path(temporary)))
        if keep := os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(temporary).glob("*.log"):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
    meaning = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run")
    record(f"result: {result}, {meaning}")
    print(f"{folder.name}: {meaning}", file=sys.stderr)
    return result
