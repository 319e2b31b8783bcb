"""Builds the snapshots of a shard's machines that a plan works on."""

from __future__ import annotations

import math

from fallpulley.cloud.messages import MachineType
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.estimate import estimate_remaining_run_time
from fallpulley.placement.profile import HeldResources
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine, TaskRun
from fallpulley.workers.messages import TaskState

# Read for every task: looking up an enum member takes ten times as long as a module constant.
_EXITED = TaskState.EXITED

# The least remaining time of a fetch in progress, also when its estimate has passed.
MIN_FETCH_SECONDS = 0.5
# The time that a task needs to exit after a stop, in addition to saving its checkpoint.
TASK_EXIT_SECONDS = 1.0
# Lower bound of a machine type's fetch rate, so that a fetch time can be computed if the rate is 0.
MIN_FETCH_GB_PER_SECOND = 1e-3


def machine_snapshots(
    shard: Shard, machine_types: dict[str, MachineType], now: float, certainly_owned_at: float
) -> list[MachineSnapshot]:
    """Return snapshots of the machines that may be given tasks now.

    `certainly_owned_at` is the latest time at which this controller certainly owned the shard.

    A snapshot is reused until something changes on the machine or one of its tasks should have
    ended: hundreds of machines stay the same from one plan to the next.
    """
    snapshots = []
    builder = _SnapshotBuilder(shard, now)
    ownership_uncertain = certainly_owned_at < now
    for machine in shard.machines.values():
        if (
            not machine.usable
            or not machine.occupancy_flag
            or now < machine.reliability.refuses_tasks_until
            or machine.departure.draining
            or (ownership_uncertain and not machine.fencing.may_be_commanded(certainly_owned_at))
        ):
            continue
        snapshot = machine.placement_snapshot
        if snapshot is None or now >= snapshot.valid_until:
            machine_type = machine_types.get(machine.entry.machine_type)
            if machine_type is None or _holds_unknown_tasks(machine):
                # What is free on the machine is unknown: either its type is, or it holds unknown
                # tasks, and then only until these are stopped.
                continue
            snapshot = machine.placement_snapshot = builder.build(machine, machine_type)
        snapshots.append(snapshot)
    return snapshots


def _holds_unknown_tasks(machine: Machine) -> bool:
    return any(
        status.state is not _EXITED and task_id not in machine.runs
        for task_id, status in machine.tasks.items()
    )


class _SnapshotBuilder:
    """Builds the snapshots of one plan.

    The run-time estimate of a job is computed once, since it may have tasks on many machines.
    """

    def __init__(self, shard: Shard, now: float) -> None:
        self.shard = shard
        self.now = now
        self._estimates: dict[str, float] = {}

    def build(self, machine: Machine, machine_type: MachineType) -> MachineSnapshot:
        """Return a snapshot of the machine with the estimated ends of its tasks and fetches."""
        now, slowness = self.now, machine.speed.slowness
        fetch_free_at = now
        images = dict.fromkeys(machine.images.cached, 0.0)
        for image, ready_at in machine.images.fetching.items():
            images[image] = max(ready_at, now + MIN_FETCH_SECONDS)
            fetch_free_at = max(fetch_free_at, images[image])
        running: list[HeldResources] = []
        first_end = math.inf
        for run in machine.runs.values():
            ends_at = now + self._remaining_s(run, slowness, images)
            running.append((ends_at, *run.resources))
            first_end = min(first_end, ends_at)
        return MachineSnapshot(
            machine.machine_id,
            machine_type.name,
            machine.entry.zone,
            machine.entry.spot,
            machine_type.capacity,
            max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_SECOND),
            slowness,
            running,
            images,
            fetch_free_at,
            valid_until=first_end,
        )

    def _remaining_s(self, run: TaskRun, slowness: float, images: dict[str, float]) -> float:
        """Estimate the seconds until the task leaves the machine."""
        now = self.now
        job = self.shard.jobs.get(run.job_id)
        estimate_s = run.estimated_run_s if job is None else self._estimate_s(job) * slowness
        if run.running_since is not None:
            remaining_s = estimate_remaining_run_time(estimate_s, now - run.running_since)
        else:
            ready_at = images.get(job.spec.image, now) if job is not None else now
            remaining_s = estimate_s + max(0.0, ready_at - now)
        if run.stop_grace_s is not None and job is not None:
            remaining_s = min(remaining_s, job.spec.checkpoint_save_s + TASK_EXIT_SECONDS)
        return remaining_s

    def _estimate_s(self, job: OpenJob) -> float:
        estimate_s = self._estimates.get(job.job_id)
        if estimate_s is None:
            estimate_s = self._estimates[job.job_id] = self.shard.estimate_run_s(job)
        return estimate_s
