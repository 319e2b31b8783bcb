"""The owner's state of a machine of its shard, and of the task attempts on that machine."""

from __future__ import annotations

import msgspec

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources
from fallpulley.shared_records.shard_record import MachineEntry
from fallpulley.workers.machine_state import (
    DepartureState,
    FencingState,
    HeartbeatState,
    ImageCache,
    Reliability,
    SpeedEstimate,
)
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus

# A machine with fewer free processors counts as full: so few are not worth a planning run.
MIN_FREE_CPUS = 0.5


class TaskRun(msgspec.Struct, eq=False):
    """A started or adopted attempt of a task that is not confirmed gone from its machine."""

    job_id: str
    task_index: int
    attempt: int
    machine_id: str
    commanded_at: float  # when it was started or adopted, in seconds of the monotonic clock
    estimated_run_s: float  # estimated run time in seconds, without the image fetch
    resources: Resources
    reported: bool = False  # the machine has listed it in a reported state
    state: TaskState = TaskState.FETCHING
    # When its image fetch was first known to be complete, in seconds of the monotonic clock; None
    # until then.
    running_since: float | None = None
    # Grace period of its stop command in seconds; None if it is not to stop.
    stop_grace_s: float | None = None

    @property
    def task_id(self) -> str:
        """The task's id in the workers' protocol."""
        return f"{self.job_id}/{self.task_index}"


class Machine:
    """A machine of a shard, as its owner knows it.

    This state is held in memory only; durable facts are in the shard's record. It is grouped by
    concern into the classes of `machine_state`.
    """

    def __init__(
        self, machine_id: str, entry: MachineEntry, fencing_token: int, now: float
    ) -> None:
        self.machine_id = machine_id
        self.entry = entry
        self.granted_at = now
        self.heartbeat = HeartbeatState()
        self.fencing = FencingState(fencing_token)
        self.images = ImageCache()
        self.speed = SpeedEstimate()
        self.reliability = Reliability()
        self.departure = DepartureState()
        self.tasks: dict[str, TaskStatus] = {}  # tasks as the machine last listed them, by task_id
        self.runs: dict[str, TaskRun] = {}  # attempts that may be on the machine, by task_id
        # Whether the occupancy flag is set in the shard's record: only then may tasks be started.
        self.occupancy_flag = False
        # The machine as the last plan saw it; None if something has changed since.
        self.placement_snapshot: MachineSnapshot | None = None

    @property
    def usable(self) -> bool:
        """Whether it can get tasks: it is online, commands reach it and it is not about to leave.

        A draining machine is usable as well, although no new tasks are placed on it.
        """
        departure, fencing = self.departure, self.fencing
        return (
            self.heartbeat.online
            and fencing.token_confirmed
            and fencing.unacknowledged_since is None
            and not departure.leaving_shard
            and not departure.release_decided
            and not departure.failed_in_cloud
            and departure.preempted_at is None
        )

    @property
    def full(self) -> bool:
        """Whether it had no free capacity in the last plan, and nothing has changed since."""
        snapshot = self.placement_snapshot
        return (
            snapshot is not None
            and snapshot.profile is not None
            and snapshot.profile.cpus[0] < MIN_FREE_CPUS
        )

    @property
    def empty(self) -> bool:
        """Whether it holds no task and no start command is on its way to it."""
        return not self.runs and not self.tasks

    def is_unchanged(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat shows only that the machine is still online."""
        return (
            self.fencing.token_confirmed
            and heartbeat.fencing_token >= self.fencing.reported_token
            and not self.heartbeat.start_unacknowledged
            and self.fencing.unacknowledged_since is None
            and self.departure.preempted_at is None
            and heartbeat.preemption_notice_s is None
            and heartbeat.agent_epoch == self.heartbeat.agent_epoch
            and heartbeat.tasks == self.heartbeat.reported_tasks
        )
