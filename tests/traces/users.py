"""What users send: jobs of every kind, questions, cancellations, and requests that are wrong."""

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

# Bodies of submissions that are malformed, or name what is not there.
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
    """Draws what users send over the time of a scenario."""

    def __init__(
        self, timeline: Timeline, rng: random.Random, every_s: float, **overrides: list[Any]
    ) -> None:
        """`over`: what values a field of the jobs is drawn from."""
        self.timeline = timeline
        self.cluster: Cluster = timeline.cluster
        self.rng = rng
        self.every_s = every_s
        self.overrides = overrides
        self.sent: list[dict[str, Any]] = []

    def label(self) -> str:
        return self.rng.choice(self.cluster.running() or self.cluster.labels)

    def submit(self, lasts_s: float = 4.0, **fields: Any) -> str:
        """A new job; returns its name."""
        uid = f"job-{len(self.sent) + 1:06d}"
        specification = VALID_SUBMISSION | {"uid": uid} | fields
        self.sent.append(specification)
        self.cluster.set_task_duration(uid, lasts_s)
        self.cluster.send_request(self.label(), "POST", "/work", specification)
        return uid

    def any_job(self) -> dict[str, Any]:
        return self.rng.choice(self.sent[-12:])

    def submit_random(self) -> None:
        fields = {name: self.rng.choice(values) for name, values in self.overrides.items()}
        if self.sent and self.rng.random() < 0.25:
            fields["awaits"] = sorted({self.any_job()["uid"] for _ in range(2)})
        if fields.get("shape", "sweep") != "sweep":
            fields["pieces"] = min(fields.get("pieces", 4), 4)
        self.submit(self.rng.uniform(1.0, 12.0), **fields)

    def resubmit(self) -> None:
        """The same once more, somewhere else; at times with another content."""
        specification = dict(self.any_job())
        if self.rng.random() < 0.3:
            specification |= self.rng.choice(INVALID_SUBMISSIONS[3:])
        self.cluster.send_request(self.label(), "POST", "/work", json.dumps(specification).encode())

    def query(self) -> None:
        self.cluster.send_request(self.label(), "GET", f"/work/{self.any_job()['uid']}")

    def cancel(self) -> None:
        path = f"/work/{self.any_job()['uid']}/abort"
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
        """Every wrong request once, to every controller."""
        for label in self.cluster.running():
            for method, path in INVALID_REQUESTS:
                self.cluster.send_request(label, method, path)
                self.cluster.send_operator_request(label, method, path)
            for body in INVALID_BODIES:
                for path in ("/work", "/checkin", "/work/job-000001/abort"):
                    self.cluster.send_request(label, "POST", path, body)
                self.cluster.send_operator_request(label, "POST", "/shares", body)
                self.cluster.send_peer_message(label, body)
            for report in INVALID_HEARTBEATS:
                self.cluster.send_request(label, "POST", "/checkin", report)
            for number, wrong in enumerate(INVALID_SUBMISSIONS):
                body = json.dumps(
                    VALID_SUBMISSION | {"uid": f"job-{600_000 + number}"} | wrong
                ).encode()
                self.cluster.send_request(label, "POST", "/work", body)

    def send_one(self) -> None:
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
        """Requests come for so long."""
        until = self.cluster.now + seconds

        def next_one() -> None:
            if self.cluster.now < until:
                self.send_one()
                self.timeline.after(self.rng.uniform(0.0, 2.0) * self.every_s, next_one)

        next_one()
