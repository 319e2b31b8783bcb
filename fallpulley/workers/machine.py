"""A machine as the owner of its shard knows it, and the attempts of tasks on it."""

from __future__ import annotations

import msgspec

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.records.shard_record import MachineEntry
from fallpulley.resources import Resources
from fallpulley.workers.machine_parts import (
    FencingState,
    HeartbeatState,
    ImageCache,
    Reliability,
    ScaleInState,
    SpeedEstimate,
)
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus

# A machine with fewer free processors than this has no room worth planning for.
MIN_FREE_CPUS = 0.5


class TaskRun(msgspec.Struct, eq=False):
    """An attempt of a task: commanded or adopted, and not confirmed gone from its machine."""

    job_id: str
    task_index: int
    attempt: int
    machine_id: str
    commanded_at: float  # or adopted; by the steady clock
    estimated_run_s: float  # without the image fetch
    resources: Resources
    reported: bool = False  # the machine has listed it
    state: TaskState = TaskState.FETCHING
    started_at: float | None = None  # when it was first known to be past its image fetch
    stop_grace_s: float | None = None  # grace period of its stop; None: it is not to stop

    @property
    def task_id(self) -> str:
        """The task's name in the protocol."""
        return f"{self.job_id}/{self.task_index}"


class Machine:
    """One machine, in memory only: what is durable is in the shard's record.

    What is known of it is grouped by concern; `machine_parts` has the groups.
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
        self.scale_in = ScaleInState()
        self.tasks: dict[str, TaskStatus] = {}  # as the machine last listed them, by task_id
        self.runs: dict[str, TaskRun] = {}  # attempts that may be on the machine, by task_id
        # The record's occupancy flag is set, so tasks may be started.
        self.flagged_occupied = False
        # The machine in the last plan; None: something has changed since.
        self.snapshot: MachineSnapshot | None = None

    @property
    def usable(self) -> bool:
        """Whether it may get tasks: it is online, our commands reach it, and it is to stay."""
        scale_in, fencing = self.scale_in, self.fencing
        return (
            self.heartbeat.online
            and fencing.fenced
            and fencing.unacknowledged_since is None
            and not scale_in.leaving_shard
            and not scale_in.release_decided
            and not scale_in.failed_in_cloud
            and scale_in.preempted_at is None
        )

    @property
    def full(self) -> bool:
        """Whether the last plan found no room on it, and nothing has changed since."""
        snapshot = self.snapshot
        return (
            snapshot is not None
            and snapshot.profile is not None
            and snapshot.profile.cpus[0] < MIN_FREE_CPUS
        )

    @property
    def empty(self) -> bool:
        """Whether it holds no task, and no start is on its way to it."""
        return not self.runs and not self.tasks

    def is_unchanged(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat shows nothing new but that the machine is still online."""
        return (
            self.fencing.fenced
            and not self.heartbeat.start_unacknowledged
            and self.fencing.unacknowledged_since is None
            and self.scale_in.preempted_at is None
            and heartbeat.preemption_notice_s is None
            and heartbeat.agent_epoch == self.heartbeat.agent_epoch
            and heartbeat.tasks == self.heartbeat.reported_tasks
        )
