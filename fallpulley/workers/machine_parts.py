"""What the owner of a shard knows of one of its machines, by concern.

Times are in seconds by the steady clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from fallpulley.workers.messages import Heartbeat, HeartbeatVersion, TaskStatus

# Tasks after which a machine's own run times count as much as the assumption that it is like
# all others, and how many of the latest count.
SPEED_PRIOR_SAMPLES = 4
MAX_SPEED_SAMPLES = 12
# Machines of a type differ by up to a tenth; below this factor it is the tasks that differ.
CLEARLY_SLOW = 1.4
# A single run time counts within these factors of its estimate.
MIN_RUN_TIME_RATIO = 0.2
MAX_RUN_TIME_RATIO = 8.0

NEVER = float("-inf")


class HeartbeatState(msgspec.Struct):
    """The newest heartbeats of the machine, and the responses to them."""

    # Version of the newest state known, also from responses to direct commands.
    agent_epoch: int = 0
    sequence: int = -1
    newest_received: HeartbeatVersion = (0, -1)  # of heartbeats alone
    online: bool = False  # its lease has not expired since its last heartbeat
    ever_online: bool = False  # since we have owned the machine
    received_at: float = NEVER  # the last heartbeat
    responded_at: float = NEVER  # the last response, which may have renewed its lease
    reported_tasks: list[TaskStatus] = msgspec.field(
        default_factory=list
    )  # those of the newest state
    start_unacknowledged: bool = False  # a start was sent that no heartbeat has confirmed

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether this is newer than the newest state known."""
        return heartbeat.version > (self.agent_epoch, self.sequence)

    def advance(self, heartbeat: Heartbeat) -> None:
        """The newest state known is this one from now on."""
        self.agent_epoch, self.sequence = heartbeat.version

    def is_stale_copy(self, heartbeat: Heartbeat) -> bool:
        """Whether an equally new or newer heartbeat came before. Records the version.

        One that was only overtaken by the response to a direct command is not: its worker waits
        for the response.
        """
        if heartbeat.version <= self.newest_received:
            return True
        self.newest_received = heartbeat.version
        return False


class FencingState(msgspec.Struct):
    """The token that the machine is commanded with, and whether it has reported one of ours."""

    # At first the revision of the record that gave the machine to us. Any revision from there up to
    # the record's newest is ours alone, so the token may be raised that far.
    token: int
    fenced: bool = False  # has reported a token of ours
    # Since when its heartbeats come without showing that our responses reach it; None: they do.
    unacknowledged_since: float | None = None
    unfenced_heartbeat_at: float = NEVER  # the last one without a token of ours
    unfenced_responses: int = 0  # responses to it before it reported a token of ours
    prompted_at: float = NEVER  # when a heartbeat was last prompted by a raised token
    probe_in_flight: bool = False  # an empty direct command has no outcome yet
    next_probe_at: float = NEVER  # no probe before then
    probe_failures: int = 0  # probes without a worker's response

    def advance_token(self, newest: int) -> bool:
        """Raise the token by one, up to `newest`, the record's newest revision; False where it is
        there already."""
        if self.token >= newest:
            return False
        self.token += 1
        return True


class ImageCache(msgspec.Struct):
    """Images that the machine has or fetches. It keeps the most recently used ones.

    This is reckoned from what was started there: workers do not report their images.
    """

    cached: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)  # image -> GB
    fetching: dict[str, float] = msgspec.field(default_factory=dict)  # image -> when the fetch ends

    def add(self, image: str, size_gb: float, cache_gb: float) -> None:
        """The image is used now; the least recently used ones make room for it."""
        self.cached[image] = size_gb
        self.cached.move_to_end(image)
        total = sum(self.cached.values())
        while total > cache_gb and len(self.cached) > 1:
            _, freed = self.cached.popitem(last=False)
            total -= freed


class SpeedEstimate(msgspec.Struct):
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


class Reliability(msgspec.Struct):
    """Whether tasks succeed on the machine, and whether it lets them start."""

    failed_jobs: set[str] = msgspec.field(default_factory=set)  # with a task that failed here
    completed_tasks: int = 0
    refuses_tasks_until: float = NEVER  # it has refused a start: no bookings before then


class ScaleInState(msgspec.Struct):
    """Whether the machine is about to leave its shard, or the fleet, and why."""

    draining: bool = False  # takes no new tasks: it is to leave the shard when it is empty
    release_decided: bool = False  # it may be released to the cloud at any moment
    leaving_shard: bool = False  # a record without this machine is being written
    idle_since: float | None = None  # None: it holds tasks
    preempted_at: float | None = None  # when the cloud takes it, by its preemption notice
    failed_in_cloud: bool = False  # the cloud says that it has stopped
