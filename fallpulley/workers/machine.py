"""A machine of a held block as its holder knows it, and what a report changes."""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from fallpulley.fleet.messages import MachineType
from fallpulley.placement.plan import MachineSnapshot
from fallpulley.records.shard_record import MachineEntry
from fallpulley.workers.messages import Heartbeat, TaskState, TaskStatus

# Tasks after which a machine's own run times count as much as the assumption that it is like
# all others, and how many of the latest are looked at.
SPEED_PRIOR_SAMPLES, MAX_SPEED_SAMPLES = 4, 12
# Machines of a type differ by up to a tenth; below this factor it is the tasks that differ.
CLEARLY_SLOW = 1.4


class TaskRun(msgspec.Struct, eq=False):
    """An attempt of a task: commanded, perhaps on its machine, not proved gone."""

    job_id: str
    task_index: int
    attempt: int
    machine_id: str
    commanded_at: float
    estimated_run_s: float  # run time without the fetch
    resources: tuple[float, float, float]
    reported: bool = False
    state: str = TaskState.FETCHING
    started_at: float | None = None
    stop_grace_s: float | None = None  # the windup to stop it with, once it is to stop

    @property
    def task_id(self) -> str:
        return f"{self.job_id}/{self.task_index}"


class Machine:
    def __init__(self, machine_id: str, entry: MachineEntry, since: int, now: float) -> None:
        self.machine_id = machine_id
        self.entry = entry
        # The token it is commanded under: the stamp of the record that gave it to us. Any stamp
        # from there up to the record's newest is ours alone, so it may rise on the way.
        self.fencing_token = since
        self.fenced = False  # has reported with our token
        # Since when its reports come without showing that it hears us; None: it does.
        self.unacknowledged_since: float | None = None
        self.start_unacknowledged = False  # a `run` went out that no check-in has settled yet
        self.newest_heartbeat = (0, -1)  # (shift, tick) of its newest check-in
        self.snapshot: MachineSnapshot | None = (
            None  # the planner's picture; None: something has changed
        )
        self.unfenced_heartbeat_at = float("-inf")  # when it last reported without our token
        self.unfenced_responses = 0  # answers to it before it showed our token
        self.prompted_at = float("-inf")
        self.granted_at = now
        self.agent_epoch = 0
        self.sequence = -1
        self.online = False  # reports now, as far as we know
        self.ever_online = False
        self.last_heartbeat_at = float("-inf")
        self.last_response_at = float("-inf")
        self.preempted_at: float | None = None
        self.tasks: dict[str, TaskStatus] = {}
        self.reported_tasks: list[TaskStatus] = []  # the same as the last report had it
        self.runs: dict[str, TaskRun] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetching: dict[str, float] = {}
        self.speed_samples = 0
        self.speed_log_sum = 0.0  # sum of the logarithms of run times over estimates
        self.failed_jobs: set[str] = set()
        self.completed_tasks = 0
        self.refuses_tasks_until = float("-inf")
        self.marked_occupied = False  # marked in the block's record: tasks may be started
        self.draining = False  # takes no new tasks: it is to leave the block when it is empty
        self.release_decided = False  # it may be returned to the cloud at any moment
        self.leaving_shard = False  # a record without this machine is being written
        self.idle_since: float | None = None
        self.fence_in_flight = False
        self.next_fence_at = float("-inf")
        self.fence_failures = 0
        self.failed_in_cloud = False  # the cloud says it has stopped

    @property
    def usable(self) -> bool:
        return (
            self.online
            and self.fenced
            and self.unacknowledged_since is None
            and not self.leaving_shard
            and not self.release_decided
            and not self.failed_in_cloud
            and self.preempted_at is None
        )

    @property
    def full(self) -> bool:
        """No room for anything more, as far as the planner has looked."""
        snapshot = self.snapshot
        return (
            snapshot is not None and snapshot.profile is not None and snapshot.profile.cpus[0] < 0.5
        )

    @property
    def empty(self) -> bool:
        return not self.runs and not self.tasks

    @property
    def slowness(self) -> float:
        """Run times here over estimates. Tasks of a job differ far more than machines do, so
        only a clear and repeated difference counts: that of a faulty machine. In tenths, or each
        slow machine would be of a kind of its own to every job's list schedule."""
        ratio = math.exp(self.speed_log_sum / (self.speed_samples + SPEED_PRIOR_SAMPLES))
        return round(ratio, 1) if ratio > CLEARLY_SLOW else 1.0

    def record_run_time_ratio(self, ratio: float) -> None:
        self.speed_samples = min(self.speed_samples + 1, MAX_SPEED_SAMPLES)
        keep = 1 - 1 / MAX_SPEED_SAMPLES if self.speed_samples == MAX_SPEED_SAMPLES else 1.0
        self.speed_log_sum = self.speed_log_sum * keep + math.log(max(0.2, min(8.0, ratio)))

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        return (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)

    def is_stale_copy(self, heartbeat: Heartbeat) -> bool:
        """A check-in that is no newer than one that came before. One that was only overtaken by
        an answer of `/do` is not: its worker waits for the reply."""
        if (heartbeat.agent_epoch, heartbeat.sequence) <= self.newest_heartbeat:
            return True
        self.newest_heartbeat = (heartbeat.agent_epoch, heartbeat.sequence)
        return False

    def is_unchanged(self, heartbeat: Heartbeat) -> bool:
        """The report tells nothing but that the machine still reports."""
        return (
            self.fenced
            and not self.start_unacknowledged
            and self.unacknowledged_since is None
            and self.preempted_at is None
            and heartbeat.preemption_notice_s is None
            and heartbeat.agent_epoch == self.agent_epoch
            and heartbeat.tasks == self.reported_tasks
        )

    def advance_token(self, newest: int) -> bool:
        """Take the next of the tokens that are ours up to the record's newest stamp."""
        if self.fencing_token >= newest:
            return False
        self.fencing_token += 1
        return True

    def cache_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """The machine keeps the most recently used images."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while total > cache_gb and len(self.images) > 1:
            _, freed = self.images.popitem(last=False)
            total -= freed


class HeartbeatChanges(msgspec.Struct):
    """What a report tells about tasks; the holder's block acts on it."""

    vanished: list[TaskRun] = []
    start_missed: bool = False  # an order of ours was not taken
    exited: list[tuple[TaskRun | None, TaskStatus]] = []
    started: list[TaskRun] = []
    unknown_tasks: list[TaskStatus] = []


def apply_heartbeat(
    machine: Machine, heartbeat: Heartbeat, now: float, is_heartbeat: bool
) -> HeartbeatChanges:
    """Take in a newer report. Only a check-in's silence about a run settles that it is not there:
    an answer of `/do` can overtake a check-in's reply that carries the `run`."""
    outcome = HeartbeatChanges([], False, [], [], [])
    if heartbeat.agent_epoch != machine.agent_epoch:
        # A new session: the worker killed and forgot everything it had. One whose reports never
        # ceased has not had our answers, nor has one that never took what was last ordered.
        outcome.start_missed = (machine.online or machine.start_unacknowledged) and machine.fenced
        outcome.vanished.extend(machine.runs.values())
        machine.runs.clear()
        machine.fetching.clear()
    machine.agent_epoch, machine.sequence = heartbeat.agent_epoch, heartbeat.sequence
    machine.preempted_at = (
        None if heartbeat.preemption_notice_s is None else now + heartbeat.preemption_notice_s
    )
    machine.tasks = {status.task_id: status for status in heartbeat.tasks}
    machine.reported_tasks = heartbeat.tasks
    if heartbeat.address and heartbeat.address != machine.entry.address:
        machine.entry = MachineEntry(
            heartbeat.address,
            machine.entry.machine_type,
            machine.entry.zone,
            machine.entry.spot,
            machine.entry.occupied,
        )
    for status in heartbeat.tasks:
        run = machine.runs.get(status.task_id)
        if run is not None and run.attempt != status.attempt:
            run = None
        if status.state == TaskState.EXITED:
            if run is not None:
                del machine.runs[status.task_id]
            outcome.exited.append((run, status))
        elif run is None:
            outcome.unknown_tasks.append(status)
        else:
            run.reported = True
            if status.state in (TaskState.RUNNING, TaskState.SAVING) and run.started_at is None:
                run.started_at = now
                outcome.started.append(run)
            run.state = status.state
    if is_heartbeat:
        for name, run in list(machine.runs.items()):
            if name not in machine.tasks or machine.tasks[name].attempt != run.attempt:
                del machine.runs[name]
                outcome.vanished.append(run)
                outcome.start_missed = outcome.start_missed or not run.reported
        machine.start_unacknowledged = False
    return outcome


def capacity_of(machine_type: MachineType) -> tuple[float, float, float]:
    return machine_type.cpus, machine_type.gpus, machine_type.memory_gb
