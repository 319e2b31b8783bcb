"""A plan: the tasks of the queue booked on machines, in queue order (T 3-2, T 3-4).

The input is snapshots of a shard's machines and its pending jobs, the output the bookings that
start now. Bookings that start later are not kept beyond the plan: they only reserve resources for
jobs ahead in the queue while the rest of it is planned.
"""

from __future__ import annotations

import heapq
import math

import msgspec

from fallpulley.placement.machine_pool import (
    EQUAL_FINISH_SHARE,
    FUTURE_START_UNITS,
    MIN_FINISH_UNIT_S,
    Candidate,
    MachinePool,
)
from fallpulley.placement.queue import PendingJob, is_eligible, queue_order
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Exception 7 (to MOWS, see `fallpulley.placement`): how many bookings with a future start one plan
# makes, for each machine. They only reserve resources until the next plan, which comes long before
# most of them start. Once they are used up, the plan books only tasks that start now, still without
# delaying the future bookings made before.
FUTURE_BOOKINGS_PER_MACHINE = 0.25


class Booking(msgspec.Struct):
    """A task that is to start now on a machine."""

    job_id: str
    # `make_plan` numbers the bookings of a job; `plan_shard` puts the task's index in its place.
    task_index: int
    machine_id: str
    duration_s: float  # estimated, with the image fetch


class Plan(msgspec.Struct):
    """The bookings from one pass over the queue."""

    starts: list[Booking]
    # By urgent job, the starts of its tasks that don't start now; infinity for tasks not booked.
    future_starts: dict[str, list[float]] = {}
    future_booking_count: int = 0  # number of bookings that don't start now


def make_plan(jobs: list[PendingJob], snapshots: list[MachineSnapshot], now: float) -> Plan:
    """Book the tasks in queue order, each where and when it finishes earliest."""
    builder = _PlanBuilder(snapshots, now)
    queue = sorted(jobs, key=queue_order)
    # Once no machine has room now for the smallest demand of the remaining jobs, none of them can
    # start, and the loop ends. Urgent jobs are still booked, to learn which would wait too long.
    for job, resources in zip(queue, _least_resources_left(queue), strict=True):
        has_room = builder.pool.prune(resources, len(builder.plan.starts))
        if not has_room and not job.urgent and not job.starved:
            break
        builder.place(job)
    return builder.plan


def _least_resources_left(queue: list[PendingJob]) -> list[Resources]:
    """Return for each job the least of each resource that it or any job behind it needs."""
    least: list[Resources] = []
    lowest = Resources(math.inf, math.inf, math.inf)
    for job in reversed(queue):
        cpus, gpus, memory_gb = job.resources
        # Most jobs need no less than those behind them, so no new object is made for them.
        if cpus < lowest.cpus or gpus < lowest.gpus or memory_gb < lowest.memory_gb:
            lowest = lowest.elementwise_minimum(job.resources)
        least.append(lowest)
    least.reverse()
    return least


class _PlanBuilder:
    """Builds one plan, job by job."""

    def __init__(self, snapshots: list[MachineSnapshot], now: float) -> None:
        self.pool = MachinePool(snapshots, now)
        self.plan = Plan(starts=[])
        self.future_bookings_left = max(1, int(FUTURE_BOOKINGS_PER_MACHINE * len(snapshots)))

    def place(self, job: PendingJob) -> None:
        """Book as many of the job's tasks as possible."""
        with_room = self.pool.machines_with_room(job)
        if with_room or self.future_bookings_left > 0:
            _JobPlacement(self, job, with_room).book_tasks()
        else:
            # Nothing can be booked: the usual case for a long queue and a fully used fleet.
            self.note_unbooked(job, job.task_count)

    def note_unbooked(self, job: PendingJob, count: int) -> None:
        """Record for an urgent job that `count` of its tasks got no booking at all."""
        if job.urgent and count > 0:
            self.plan.future_starts.setdefault(job.job_id, []).extend([math.inf] * count)


class _JobPlacement:
    """Books the tasks of one job: holds its candidates, best first, and its zone restrictions.

    The first candidates are machines with room now. Other machines are added in the order in
    which their free resources change, as long as one of them could beat the best candidate.
    """

    def __init__(self, builder: _PlanBuilder, job: PendingJob, with_room: list[int]) -> None:
        """Collect the candidates on `with_room`, the machines (by index) with room now."""
        self.builder, self.pool, self.plan = builder, builder.pool, builder.plan
        self.job = job
        self.zone = job.eligible.zone
        self.zone_limits = dict(job.zone_limits) if job.zone_limits is not None else None
        self.finish_unit_s = max(job.estimated_run_s * EQUAL_FINISH_SHARE, MIN_FINISH_UNIT_S)
        self.first_start_index = len(self.plan.starts)
        self.booked_count = 0
        pool = self.pool
        self.candidates: list[Candidate] = [
            candidate for index in with_room if (candidate := pool.earliest_finish(job, index))
        ]
        heapq.heapify(self.candidates)
        self.examined = set(with_room)
        self.later_machines = (
            pool.by_next_change(self.examined, job.eligible.allow_spot)
            if builder.future_bookings_left > 0
            else []
        )
        self.next_later = 0

    def book_tasks(self) -> None:
        """Book tasks until all are booked or no candidate is left."""
        job, builder, candidates = self.job, self.builder, self.candidates
        while self.booked_count < job.task_count:
            if builder.future_bookings_left > 0:
                self._add_later_candidates()
            if not candidates:
                break
            candidate = heapq.heappop(candidates)
            if self._is_allowed(candidate):
                self._book(candidate)
        builder.note_unbooked(job, job.task_count - self.booked_count)
        if job.all_at_once:
            self._withhold_incomplete_gang()

    def _add_later_candidates(self) -> None:
        """Add machines whose next change is early enough to beat the best candidate."""
        job, pool, machines, candidates = self.job, self.pool, self.later_machines, self.candidates
        # Local names for speed: for many jobs the loop visits most machines.
        examined, snapshots, now = self.examined, pool.snapshots, pool.now
        run_s, finish_unit_s = job.estimated_run_s, self.finish_unit_s
        position = self.next_later
        while position < len(machines):
            changes_at, index = machines[position]
            lower_bound = (max(changes_at, now) + run_s) / finish_unit_s + FUTURE_START_UNITS - 0.5
            if candidates and lower_bound > candidates[0][0]:
                break
            position += 1
            if index in examined or not is_eligible(job, snapshots[index]):
                continue
            candidate = pool.earliest_finish(job, index)
            if candidate is not None:
                heapq.heappush(candidates, candidate)
        self.next_later = position

    def _is_allowed(self, candidate: Candidate) -> bool:
        """Return whether the zone restrictions and the limit on future bookings allow it."""
        _, _, _, index, start, _ = candidate
        zone = self.pool.snapshots[index].zone
        if self.zone is not None and zone != self.zone:
            return False
        if self.zone_limits is not None and self.zone_limits.get(zone, 0) <= 0:
            return False
        return start <= self.pool.now or self.builder.future_bookings_left > 0

    def _book(self, candidate: Candidate) -> None:
        """Book a task with the candidate, and add the machine's candidate for the next task."""
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
            plan.future_booking_count += 1
            self.builder.future_bookings_left -= 1
            if job.urgent:
                plan.future_starts.setdefault(job.job_id, []).append(start)
        self.booked_count += 1
        next_candidate = pool.earliest_finish(job, index)
        if next_candidate is not None:
            heapq.heappush(self.candidates, next_candidate)

    def _withhold_incomplete_gang(self) -> None:
        """Drop a gang's starts unless all of its tasks start; its resources stay reserved."""
        starts = self.plan.starts
        count = len(starts) - self.first_start_index
        if count < self.job.task_count:
            self.plan.future_booking_count += count
            del starts[self.first_start_index :]
