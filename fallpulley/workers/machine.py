"""A machine of a shard as the shard's owner knows it, and the attempts of tasks on it."""

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
    """An attempt of a task: commanded, perhaps on its machine, not confirmed gone."""

    job_id: str
    task_index: int
    attempt: int
    machine_id: str
    commanded_at: float
    estimated_run_s: float  # without the image fetch
    resources: Resources
    reported: bool = False
    state: TaskState = TaskState.FETCHING
    started_at: float | None = None
    stop_grace_s: float | None = None  # the grace period to stop it with, once it is to stop

    @property
    def task_id(self) -> str:
        """The task's name in the protocol."""
        return f"{self.job_id}/{self.task_index}"


class Machine:
    """In memory only: what is durable stands in the shard's record."""

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
        self.tasks: dict[str, TaskStatus] = {}  # as last reported, by task
        self.runs: dict[str, TaskRun] = {}  # that may be there, by task
        # The shard's record says that it may hold tasks: they may be started.
        self.marked_occupied = False
        # As the last plan saw it; None: something has changed since.
        self.snapshot: MachineSnapshot | None = None

    @property
    def usable(self) -> bool:
        """It runs tasks, hears us, and is to stay."""
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
        """No room for anything more, as far as the last plan has looked."""
        snapshot = self.snapshot
        return (
            snapshot is not None
            and snapshot.profile is not None
            and snapshot.profile.cpus[0] < MIN_FREE_CPUS
        )

    @property
    def empty(self) -> bool:
        """It holds no task, and none is on its way."""
        return not self.runs and not self.tasks

    def is_unchanged(self, heartbeat: Heartbeat) -> bool:
        """The heartbeat tells nothing but that the machine is still there."""
        return (
            self.fencing.fenced
            and not self.heartbeat.start_unacknowledged
            and self.fencing.unacknowledged_since is None
            and self.scale_in.preempted_at is None
            and heartbeat.preemption_notice_s is None
            and heartbeat.agent_epoch == self.heartbeat.agent_epoch
            and heartbeat.tasks == self.heartbeat.reported_tasks
        )
