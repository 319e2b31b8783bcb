"""The state that a shard's owner keeps for each machine, grouped by concern.

Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from fallpulley.timing import LONG_AGO
from fallpulley.workers.messages import Heartbeat, HeartbeatVersion, TaskStatus

# Weight, in samples, of the prior assumption that a machine is as fast as all others: after this
# many tasks, the machine's own run times weigh as much.
SPEED_PRIOR_SAMPLES = 4
# Number of samples beyond which older ones decay.
MAX_SPEED_SAMPLES = 12
# Ratio of run times to estimates up to which a machine is not treated as slow. Machines of a type
# differ by up to 10%; larger ratios below this one are caused by differences between tasks.
SLOW_MACHINE_RATIO = 1.4
# Bounds that the ratio of a single run time to its estimate is clamped to.
MIN_RUN_TIME_RATIO = 0.2
MAX_RUN_TIME_RATIO = 8.0


class HeartbeatState(msgspec.Struct):
    """The newest state that the machine has reported, and its latest heartbeat and response."""

    # Version of the newest known state, whether from a heartbeat or a response to a direct command.
    agent_epoch: int = 0
    sequence: int = -1
    # Version of the newest heartbeat received; responses to direct commands do not count.
    newest_received_version: HeartbeatVersion = (0, -1)
    online: bool = False  # its lease has not expired since its last heartbeat
    ever_online: bool = False  # it has been online since this owner acquired it
    received_at: float = LONG_AGO  # time of the last heartbeat
    responded_at: float = LONG_AGO  # time of the last response, which may have renewed its lease
    # Tasks in the newest known state, in the order reported.
    reported_tasks: list[TaskStatus] = msgspec.field(default_factory=list)
    start_unacknowledged: bool = False  # a start was sent, and no heartbeat applied since

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is newer than the newest known state."""
        return heartbeat.version > (self.agent_epoch, self.sequence)

    def advance(self, heartbeat: Heartbeat) -> None:
        """Record the heartbeat's version as that of the newest known state."""
        self.agent_epoch, self.sequence = heartbeat.version

    def record_and_check_stale(self, heartbeat: Heartbeat) -> bool:
        """Record the heartbeat's version; return whether one as new or newer was received before.

        A heartbeat that was overtaken only by the response to a direct command is not stale:
        its worker is waiting for the response.
        """
        if heartbeat.version <= self.newest_received_version:
            return True
        self.newest_received_version = heartbeat.version
        return False


class FencingState(msgspec.Struct):
    """The fencing token in commands to the machine, and whether the machine has confirmed it."""

    # Initially the revision of the record that gave the machine to this owner. All revisions from
    # that one to the record's newest belong to this owner alone, so the token may be raised to any
    # of them.
    token: int
    token_confirmed: bool = False  # the machine has reported a token of this owner
    reported_token: int = 0  # the token in the newest known state
    # Since when its heartbeats have arrived without showing that this owner's responses reach it;
    # None if the responses reach it.
    unacknowledged_since: float | None = None
    unconfirmed_heartbeat_at: float = LONG_AGO  # last heartbeat without a token of this owner
    possibly_restarted_at: float = LONG_AGO  # last sign that it has lost its tasks or its token
    unconfirmed_responses: int = 0  # responses sent before it reported a token of this owner
    prompted_at: float = LONG_AGO  # when a raised token last prompted a heartbeat
    probe_in_flight: bool = False  # a probe (an empty direct command) has no outcome yet
    next_probe_at: float = LONG_AGO  # earliest time of the next probe
    probe_failures: int = 0  # probes that the worker did not respond to

    def may_be_commanded(self, certainly_owned_at: float) -> bool:
        """Return whether the machine would refuse the commands of this owner if it were replaced.

        A machine that has restarted may have forgotten the token of a later owner, which runs its
        tasks elsewhere meanwhile. So this controller must have been the owner after the restart,
        or after the first heartbeat here.

        Args:
            certainly_owned_at: Latest time at which this controller certainly owned the shard.
        """
        uncertain_at = max(self.unconfirmed_heartbeat_at, self.possibly_restarted_at)
        return certainly_owned_at >= uncertain_at

    def advance_token(self, newest: int) -> bool:
        """Raise the token by one; return False if it is already at `newest`.

        `newest` is the newest revision of the shard's record.
        """
        if self.token >= newest:
            return False
        self.token += 1
        return True


class ImageCache(msgspec.Struct):
    """An estimate of the images that the machine has cached or is fetching.

    Workers do not report their images, so this is derived from the tasks started there. A machine
    evicts the least recently used images.
    """

    # Image -> size in GB, the least recently used image first.
    cached: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    # Image -> estimated time at which its fetch completes.
    fetching: dict[str, float] = msgspec.field(default_factory=dict)

    def add(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Add an image as the most recently used one, and evict others beyond the cache size."""
        self.cached[image] = size_gb
        self.cached.move_to_end(image)
        total = sum(self.cached.values())
        while total > cache_gb and len(self.cached) > 1:
            _, freed = self.cached.popitem(last=False)
            total -= freed


class SpeedEstimate(msgspec.Struct):
    """An estimate of the machine's speed from the run times of its tasks."""

    sample_count: int = 0  # recorded run times, at most `MAX_SPEED_SAMPLES`
    log_ratio_sum: float = 0.0  # decayed sum of the logarithms of run time / estimate

    @property
    def slowness(self) -> float:
        """The factor by which tasks run longer here than estimated; 1 for an ordinary machine.

        Tasks of a job differ far more than machines do, so only a large and repeated difference,
        as on a faulty machine, counts. Rounded to tenths: otherwise every slow machine would be a
        machine shape of its own in each job's list schedule.
        """
        ratio = math.exp(self.log_ratio_sum / (self.sample_count + SPEED_PRIOR_SAMPLES))
        return round(ratio, 1) if ratio > SLOW_MACHINE_RATIO else 1.0

    def record(self, ratio: float) -> None:
        """Add a sample: a task's run time divided by its estimate."""
        self.sample_count = min(self.sample_count + 1, MAX_SPEED_SAMPLES)
        decay = 1 - 1 / MAX_SPEED_SAMPLES if self.sample_count == MAX_SPEED_SAMPLES else 1.0
        bounded = max(MIN_RUN_TIME_RATIO, min(MAX_RUN_TIME_RATIO, ratio))
        self.log_ratio_sum = self.log_ratio_sum * decay + math.log(bounded)


class Reliability(msgspec.Struct):
    """Task failures and completions on the machine, and its latest refusal to start a task."""

    failed_jobs: set[str] = msgspec.field(
        default_factory=set
    )  # ids of jobs with a task that failed here
    completed_tasks: int = 0
    refuses_tasks_until: float = LONG_AGO  # no bookings before then, after a refused start


class DepartureState(msgspec.Struct):
    """Whether and why the machine is about to leave its shard or the fleet."""

    draining: bool = False  # gets no new tasks, and leaves the shard once it is empty
    release_decided: bool = False  # it may be released to the cloud at any time
    leaving_shard: bool = False  # a record without this machine is being written
    idle_since: float | None = None  # since when it has held no tasks; None while it holds any
    preempted_at: float | None = None  # when its preemption notice ends; None without a notice
    failed_in_cloud: bool = False  # the cloud lists it as stopped
