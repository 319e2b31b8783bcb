"""Requests of users: submissions of all kinds of jobs, queries, cancellations, invalid requests."""

from __future__ import annotations

import json
import random
from typing import Any

from tests.traces.adapter import Cluster
from tests.traces.timeline import Timeline

VALID_SUBMISSION: dict[str, Any] = {
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
}
PRIORITIES = ["best_effort", "standard", "high", "production"]

# Fields that make a valid submission malformed, or let it name something that does not exist.
INVALID_SUBMISSIONS: list[dict[str, Any]] = [
    {"uid": "nonsense"},
    {"uid": "job-1\n"},
    {"uid": 7},
    {"pieces": 0},
    {"pieces": 200_000},
    {"pieces": "many"},
    {"cpus": -1.0},
    {"cpus": 1e12},
    {"shape": "circle"},
    {"rank": "urgent"},
    {"crew": "nobody"},
    {"expect_s": 0.0},
    {"builds": []},
    {"builds": ["none such"]},
    {"hall": "z"},
    {"awaits": ["nonsense"]},
    {"awaits": ["job-777777"]},
    {"cpus": 64.0},
    {"mem_gb": 1000.0},
    {"cards": 2.0},
]
INVALID_BODIES = [b"", b"{", b"[]", b"null", b"\xff\xfe", b"[" * 2000, b'{"uid":"job-1"}', b"0"]
INVALID_REQUESTS = [
    ("GET", "/"),
    ("GET", "/nowhere"),
    ("PUT", "/work"),
    ("GET", "/work"),
    ("DELETE", "/work/job-000001"),
    ("POST", "/work/job-000001"),
    ("GET", "/work/job-000001/abort"),
    ("POST", "/work/job-000001/other"),
    ("GET", "/work/"),
    ("GET", "/work/nonsense"),
    ("GET", "/work/job-999999"),
    ("GET", "/work/job-999999?x=1"),
    ("POST", "/work/job-999999/abort"),
    ("POST", "/work/nonsense/abort"),
    ("GET", "/checkin"),
    ("PUT", "/checkin"),
    ("POST", "/up"),
    ("GET", "/up"),
    ("HEAD", "/up"),
    ("GET", "/up?verbose"),
    ("GET", "/shares"),
    ("GET", "/beat"),
]
INVALID_HEARTBEATS: list[Any] = [
    b"{",
    b"\xff",
    {"host": "", "shift": 1, "tick": 1},
    {"host": "vm-000001", "shift": -1, "tick": 1},
    {"host": "vm-999999", "shift": 1, "tick": 1},
    {"host": "vm-999998", "shift": 1, "tick": 1, "addr": "10.9.9.9:9", "build": "box", "hall": "a"},
    {"host": "vm-000001", "shift": 1, "tick": 1, "pieces": [{"piece": "x/1", "try": 1}]},
    {"host": "vm-000001", "shift": 1, "tick": 1, "baton": 1 << 70},
]


class Users:
    """Sends random requests of users while a scenario is played."""

    def __init__(
        self, timeline: Timeline, rng: random.Random, every_s: float, **overrides: list[Any]
    ) -> None:
        """Create users that send a request about every `every_s` seconds.

        `overrides` has, for fields of submissions, the values that these are drawn from.
        """
        self.timeline = timeline
        self.cluster: Cluster = timeline.cluster
        self.rng = rng
        self.every_s = every_s
        self.overrides = overrides
        self.sent: list[dict[str, Any]] = []

    def label(self) -> str:
        return self.rng.choice(self.cluster.running() or self.cluster.labels)

    def submit(self, duration_s: float = 4.0, **fields: Any) -> str:
        """Submit a new job whose tasks run for `duration_s` seconds, and return its name."""
        uid = f"job-{len(self.sent) + 1:06d}"
        submission = VALID_SUBMISSION | {"uid": uid} | fields
        self.sent.append(submission)
        self.cluster.set_task_duration(uid, duration_s)
        self.cluster.send_request(self.label(), "POST", "/work", submission)
        return uid

    def random_job(self) -> dict[str, Any]:
        """Return one of the last 12 submissions."""
        return self.rng.choice(self.sent[-12:])

    def submit_random(self) -> None:
        fields = {name: self.rng.choice(values) for name, values in self.overrides.items()}
        if self.sent and self.rng.random() < 0.25:
            fields["awaits"] = sorted({self.random_job()["uid"] for _ in range(2)})
        if fields.get("shape", "sweep") != "sweep":
            fields["pieces"] = min(fields.get("pieces", 4), 4)
        self.submit(self.rng.uniform(1.0, 12.0), **fields)

    def resubmit(self) -> None:
        """Submit a recent job again, often to another controller, sometimes with other content."""
        submission = dict(self.random_job())
        if self.rng.random() < 0.3:
            submission |= self.rng.choice(INVALID_SUBMISSIONS[3:])
        self.cluster.send_request(self.label(), "POST", "/work", json.dumps(submission).encode())

    def query(self) -> None:
        self.cluster.send_request(self.label(), "GET", f"/work/{self.random_job()['uid']}")

    def cancel(self) -> None:
        path = f"/work/{self.random_job()['uid']}/abort"
        for _ in range(self.rng.choice([1, 1, 2])):
            self.cluster.send_request(self.label(), "POST", path)

    def send_invalid(self) -> None:
        draw = self.rng.random()
        if draw < 0.4:
            method, path = self.rng.choice(INVALID_REQUESTS)
            self.cluster.send_request(self.label(), method, path, self.rng.choice(INVALID_BODIES))
        elif draw < 0.6:
            body = self.rng.choice(INVALID_BODIES)
            self.cluster.send_request(self.label(), "POST", "/work", body)
        elif draw < 0.8:
            number = 500_000 + self.rng.randrange(50)
            wrong = (
                VALID_SUBMISSION | {"uid": f"job-{number}"} | self.rng.choice(INVALID_SUBMISSIONS)
            )
            self.cluster.send_request(self.label(), "POST", "/work", json.dumps(wrong).encode())
        else:
            body = self.rng.choice(INVALID_HEARTBEATS)
            self.cluster.send_request(self.label(), "POST", "/checkin", body)

    def send_all_invalid(self) -> None:
        """Send every invalid request once to every running controller."""
        for label in self.cluster.running():
            for method, path in INVALID_REQUESTS:
                self.cluster.send_request(label, method, path)
                self.cluster.send_operator_request(label, method, path)
            for body in INVALID_BODIES:
                for path in ("/work", "/checkin", "/work/job-000001/abort"):
                    self.cluster.send_request(label, "POST", path, body)
                self.cluster.send_operator_request(label, "POST", "/shares", body)
                self.cluster.send_peer_message(label, body)
            for heartbeat in INVALID_HEARTBEATS:
                self.cluster.send_request(label, "POST", "/checkin", heartbeat)
            for number, wrong in enumerate(INVALID_SUBMISSIONS):
                body = json.dumps(
                    VALID_SUBMISSION | {"uid": f"job-{600_000 + number}"} | wrong
                ).encode()
                self.cluster.send_request(label, "POST", "/work", body)

    def send_random(self) -> None:
        draw = self.rng.random()
        if not self.sent or draw < 0.4:
            self.submit_random()
        elif draw < 0.5:
            self.resubmit()
        elif draw < 0.7:
            self.query()
        elif draw < 0.82:
            self.cancel()
        else:
            self.send_invalid()

    def begin(self, seconds: float) -> None:
        """Send random requests for so many seconds."""
        until = self.cluster.now + seconds

        def send_next() -> None:
            if self.cluster.now < until:
                self.send_random()
                self.timeline.after(self.rng.uniform(0.0, 2.0) * self.every_s, send_next)

        send_next()
