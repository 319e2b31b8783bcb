"""A plan: the queue's tasks booked on the machines, in order (T 3-2, T 3-4).

Pure: snapshots of a shard's machines and its pending jobs go in, bookings that start now come
out. The profiles are made anew for each plan; bookings that start later only keep room for those
ahead in the queue.
"""

from __future__ import annotations

import heapq
import math

import msgspec

from fallpulley.placement.machine_pool import (
    EQUAL_FINISH_SHARE,
    FUTURE_START_GRAINS,
    MIN_GRAIN_S,
    Candidate,
    MachinePool,
)
from fallpulley.placement.queue import PendingJob, is_eligible, queue_order
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Exception 7: bookings for later only keep room free until the next plan, which comes long before
# most of them: so many for each machine are made in one plan. Beyond them only room that is free
# now is given out, and what was booked before stays protected.
FUTURE_BOOKINGS_PER_MACHINE = 0.25


class Booking(msgspec.Struct):
    """A task that is to start now."""

    job_id: str
    task_index: int  # in a plan: its number among the job's pending tasks
    machine_id: str
    duration_s: float  # with the image fetch


class Plan(msgspec.Struct):
    """What one pass over the queue has booked."""

    starts: list[Booking]
    # Of urgent jobs: when their tasks' later bookings start, infinity for tasks without any.
    later_starts: dict[str, list[float]] = {}
    booked_later: int = 0


def make_plan(jobs: list[PendingJob], snapshots: list[MachineSnapshot], now: float) -> Plan:
    """Book the tasks of the queue, in order, each at its earliest finish."""
    builder = _PlanBuilder(snapshots, now)
    queue = sorted(jobs, key=queue_order)
    # Once no machine has room now for the least that is left, nothing further can start, and the
    # rest of the queue need not be booked. Urgent jobs are, to learn which would wait too long.
    for job, resources in zip(queue, _least_resources_left(queue), strict=True):
        has_room = builder.pool.prune(resources, len(builder.plan.starts))
        if not has_room and not job.urgent and not job.starved:
            break
        builder.place(job)
    return builder.plan


def _least_resources_left(queue: list[PendingJob]) -> list[Resources]:
    """For each job, the least of each resource that a task of it or of a later job needs."""
    least: list[Resources] = []
    lowest = Resources(math.inf, math.inf, math.inf)
    for job in reversed(queue):
        cpus, gpus, memory_gb = job.resources
        # Most jobs need no less than those after them: no new object for these.
        if cpus < lowest.cpus or gpus < lowest.gpus or memory_gb < lowest.memory_gb:
            lowest = lowest.minimum(job.resources)
        least.append(lowest)
    least.reverse()
    return least


class _PlanBuilder:
    """One plan in the making."""

    def __init__(self, snapshots: list[MachineSnapshot], now: float) -> None:
        self.pool = MachinePool(snapshots, now)
        self.plan = Plan(starts=[])
        self.later_bookings_left = max(1, int(FUTURE_BOOKINGS_PER_MACHINE * len(snapshots)))

    def place(self, job: PendingJob) -> None:
        """Book as many of the job's tasks as there is room for."""
        with_room = self.pool.with_room_for(job)
        if with_room or self.later_bookings_left > 0:
            _JobPlacement(self, job, with_room).book_tasks()
        else:
            # Nearly all of a long queue behind a full fleet: nothing can be booked.
            self.note_unbooked(job, job.task_count)

    def note_unbooked(self, job: PendingJob, count: int) -> None:
        """Tasks of an urgent job for which not even a later start was found."""
        if job.urgent and count > 0:
            self.plan.later_starts.setdefault(job.job_id, []).extend([math.inf] * count)


class _JobPlacement:
    """The bookings of one job: its candidates, best first, and the zones still open to it.

    The first candidates are machines with room now. Others join in the order in which they get
    room, and only while one of them could still beat the best candidate.
    """

    def __init__(self, builder: _PlanBuilder, job: PendingJob, with_room: list[int]) -> None:
        """`with_room`: the machines, by index, on which a task of the job could start now."""
        self.builder, self.pool, self.plan = builder, builder.pool, builder.plan
        self.job = job
        self.zone = job.zone
        self.zone_limits = dict(job.zone_limits) if job.zone_limits is not None else None
        self.grain_s = max(job.estimated_run_s * EQUAL_FINISH_SHARE, MIN_GRAIN_S)
        self.first_start = len(self.plan.starts)
        self.booked_count = 0
        pool = self.pool
        self.candidates: list[Candidate] = [
            candidate for index in with_room if (candidate := pool.earliest_finish(job, index))
        ]
        heapq.heapify(self.candidates)
        self.examined = set(with_room)
        self.further = (
            pool.by_next_change(self.examined, job.allow_spot)
            if builder.later_bookings_left > 0
            else []
        )
        self.next_further = 0

    def book_tasks(self) -> None:
        """Book tasks until all are or nothing is left that they could get."""
        job, builder, candidates = self.job, self.builder, self.candidates
        while self.booked_count < job.task_count:
            if builder.later_bookings_left > 0:
                self._add_further_candidates()
            if not candidates:
                break
            candidate = heapq.heappop(candidates)
            if self._is_open(candidate):
                self._book(candidate)
        builder.note_unbooked(job, job.task_count - self.booked_count)
        if job.all_at_once:
            self._withhold_incomplete_gang()

    def _add_further_candidates(self) -> None:
        """Add the machines that get room so early that they could beat the best candidate."""
        job, pool, further, candidates = self.job, self.pool, self.further, self.candidates
        # Local names: the loop goes over most machines for many jobs.
        examined, snapshots, now = self.examined, pool.snapshots, pool.now
        run_s, grain_s = job.estimated_run_s, self.grain_s
        position = self.next_further
        while position < len(further):
            changes_at, index = further[position]
            lower_bound = (max(changes_at, now) + run_s) / grain_s + FUTURE_START_GRAINS - 0.5
            if candidates and lower_bound > candidates[0][0]:
                break
            position += 1
            if index in examined or not is_eligible(job, snapshots[index]):
                continue
            candidate = pool.earliest_finish(job, index)
            if candidate is not None:
                heapq.heappush(candidates, candidate)
        self.next_further = position

    def _is_open(self, candidate: Candidate) -> bool:
        """Whether the job's zones and the bound on later bookings allow the candidate."""
        _, _, _, index, start, _ = candidate
        zone = self.pool.snapshots[index].zone
        if self.zone is not None and zone != self.zone:
            return False
        if self.zone_limits is not None and self.zone_limits.get(zone, 0) <= 0:
            return False
        return start <= self.pool.now or self.builder.later_bookings_left > 0

    def _book(self, candidate: Candidate) -> None:
        """Book a task, and make the machine a candidate for the next one."""
        _, _, _, index, start, duration_s = candidate
        job, pool, plan = self.job, self.pool, self.plan
        snapshot = pool.snapshots[index]
        pool.book(job, index, start, duration_s)
        if job.one_zone:
            self.zone = snapshot.zone
        if self.zone_limits is not None:
            self.zone_limits[snapshot.zone] -= 1
        if start <= pool.now:
            plan.starts.append(
                Booking(job.job_id, self.booked_count, snapshot.machine_id, duration_s)
            )
        else:
            plan.booked_later += 1
            self.builder.later_bookings_left -= 1
            if job.urgent:
                plan.later_starts.setdefault(job.job_id, []).append(start)
        self.booked_count += 1
        following = pool.earliest_finish(job, index)
        if following is not None:
            heapq.heappush(self.candidates, following)

    def _withhold_incomplete_gang(self) -> None:
        """Start all of a gang's tasks or none: otherwise the bookings only keep the room."""
        starts = self.plan.starts
        count = len(starts) - self.first_start
        if count < self.job.task_count:
            self.plan.booked_later += count
            del starts[self.first_start :]
