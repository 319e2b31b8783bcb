"""What an owner knows of one of its machines, by concern."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from fallpulley.workers.messages import Heartbeat, HeartbeatVersion, TaskStatus

# Tasks after which a machine's own run times count as much as the assumption that it is like
# all others, and how many of the latest are looked at.
SPEED_PRIOR_SAMPLES, MAX_SPEED_SAMPLES = 4, 12
# Machines of a type differ by up to a tenth; below this factor it is the tasks that differ.
CLEARLY_SLOW = 1.4
# A single run time counts within these factors of its estimate.
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.2, 8.0

NEVER = float("-inf")


@dataclass(slots=True)
class HeartbeatState:
    """What the machine's heartbeats have said, and what was responded."""

    agent_epoch: int = 0  # of the newest state known, also from direct commands
    sequence: int = -1
    newest_received: HeartbeatVersion = (0, -1)  # of heartbeats alone
    online: bool = False  # sends heartbeats now, as far as we know
    ever_online: bool = False
    received_at: float = NEVER
    responded_at: float = NEVER
    reported_tasks: list[TaskStatus] = field(default_factory=list)  # as the last one had them
    start_unacknowledged: bool = False  # a start was sent that no heartbeat has confirmed

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether this tells more than all that came before."""
        return heartbeat.version > (self.agent_epoch, self.sequence)

    def advance(self, heartbeat: Heartbeat) -> None:
        """This is the newest state known."""
        self.agent_epoch, self.sequence = heartbeat.version

    def is_stale_copy(self, heartbeat: Heartbeat) -> bool:
        """A heartbeat that is no newer than one that came before.

        One that was only overtaken by the response to a direct command is not: its worker waits
        for the response.
        """
        if heartbeat.version <= self.newest_received:
            return True
        self.newest_received = heartbeat.version
        return False


@dataclass(slots=True)
class FencingState:
    """Which token the machine is commanded under, and whether it has shown it."""

    # The revision of the record that gave the machine to us. Any revision from there up to the
    # record's newest is ours alone, so the token may rise on the way.
    token: int
    fenced: bool = False  # has reported with our token
    # Since when its heartbeats come without showing that it hears us; None: it does.
    unacknowledged_since: float | None = None
    unfenced_heartbeat_at: float = NEVER  # when it last reported without our token
    unfenced_responses: int = 0  # responses to it before it showed our token
    prompted_at: float = NEVER
    probe_in_flight: bool = False
    next_probe_at: float = NEVER
    probe_failures: int = 0

    def advance_token(self, newest: int) -> bool:
        """Use the next of the tokens that are ours, up to the record's newest revision; False
        where there is none left."""
        if self.token >= newest:
            return False
        self.token += 1
        return True


@dataclass(slots=True)
class ImageCache:
    """Images that the machine has or fetches. It keeps the most recently used ones."""

    cached: OrderedDict[str, float] = field(default_factory=OrderedDict)  # image -> GB
    fetching: dict[str, float] = field(default_factory=dict)  # image -> when it is there

    def add(self, image: str, size_gb: float, cache_gb: float) -> None:
        """The image is used now; others make room for it."""
        self.cached[image] = size_gb
        self.cached.move_to_end(image)
        total = sum(self.cached.values())
        while total > cache_gb and len(self.cached) > 1:
            _, freed = self.cached.popitem(last=False)
            total -= freed


@dataclass(slots=True)
class SpeedEstimate:
    """How fast the machine is, from the run times of its tasks."""

    samples: int = 0
    log_sum: float = 0.0  # sum of the logarithms of run times over estimates

    @property
    def slowness(self) -> float:
        """Run times here over estimates.

        Tasks of a job differ far more than machines do, so only a clear and repeated difference
        counts: that of a faulty machine. In tenths, or each slow machine would be of a shape of
        its own to every job's list schedule.
        """
        ratio = math.exp(self.log_sum / (self.samples + SPEED_PRIOR_SAMPLES))
        return round(ratio, 1) if ratio > CLEARLY_SLOW else 1.0

    def record(self, ratio: float) -> None:
        """A task's run time over its estimate."""
        self.samples = min(self.samples + 1, MAX_SPEED_SAMPLES)
        keep = 1 - 1 / MAX_SPEED_SAMPLES if self.samples == MAX_SPEED_SAMPLES else 1.0
        bounded = max(MIN_RUN_TIME_RATIO, min(MAX_RUN_TIME_RATIO, ratio))
        self.log_sum = self.log_sum * keep + math.log(bounded)


@dataclass(slots=True)
class Reliability:
    """Whether tasks succeed on the machine."""

    failed_jobs: set[str] = field(default_factory=set)
    completed_tasks: int = 0
    refuses_tasks_until: float = NEVER


@dataclass(slots=True)
class ScaleInState:
    """Whether the machine is about to leave its shard, or the fleet."""

    draining: bool = False  # takes no new tasks: it is to leave the shard when it is empty
    release_decided: bool = False  # it may be released to the cloud at any moment
    leaving_shard: bool = False  # a record without this machine is being written
    idle_since: float | None = None
    preempted_at: float | None = None  # when the cloud takes it, by its notice
    failed_in_cloud: bool = False  # the cloud says that it has stopped
