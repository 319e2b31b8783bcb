"""Queue order, booking and earliest finish: the thesis's 3-1, 3-2 and 3-4 for one block.

Pure: a picture of the block goes in, bookings that start now come out. The profile is made
anew for each plan; bookings that start later only keep room for those ahead in the queue.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

import msgspec

from fallpulley.placement.profile import Profile
from fallpulley.resources import Resources

# Machines of one type differ by up to a tenth in speed: finishes that lie closer together
# than that share of the estimate are the same for all we know, and cost decides.
EQUAL_FINISH_SHARE = 0.1
# Room that is free is certain; room that will be free hangs on estimates that are often wrong
# by half. Waiting for it must promise to finish earlier by this share of the estimate.
FUTURE_START_PENALTY = 0.5
# Ranks from here on are served before all others.
URGENT_PRIORITY_LEVEL = 2
# Bookings for later only keep room free until the next plan, which comes long before most of
# them: so many for each machine are made in one plan. Beyond them only room that is free now is
# given out, and what was booked before stays protected.
FUTURE_BOOKINGS_PER_MACHINE = 0.25


# Machines without room are sorted out after so many further starts: a look at all of them for every
# job cost more than the jobs' own.
SHRINK_STARTS = 16


class MachineSnapshot(msgspec.Struct, eq=False):
    """A machine that can be given tasks."""

    machine_id: str
    machine_type: str
    zone: str
    spot: bool
    capacity: Resources
    fetch_gb_per_s: float
    slowness: float  # observed run times over estimates, 1 for an ordinary machine
    running: list[tuple[float, float, float, float]]
    images: dict[str, float]  # image -> when it is (or will be) there
    fetch_free_at: float  # when fetches in progress are through
    profile: Profile | None = None  # made from `running`; plans work on copies
    valid_until: float = math.inf  # the picture holds until then, if nothing changes on the machine


class PendingJob(msgspec.Struct):
    """A job with tasks to place."""

    job_id: str
    resources: Resources
    estimated_run_s: float
    task_count: int  # how many may be placed
    image: str
    image_gb: float
    remaining_s: float  # estimated remaining time of the job: its place in the queue
    overdue: bool  # waited past the age bound
    submitted_at: float
    allow_spot: bool
    priority_level: int = 1  # the job's priority class
    machine_types: list[str] | None = None
    zone: str | None = None
    zone_limits: dict[str, int] | None = None  # for jobs spread over zones
    one_zone: bool = False
    avoided_machines: set[str] | None = None  # machines where it failed
    all_at_once: bool = False  # all tasks start at one time, or none
    starved: bool = False  # the first tasks of a job that has waited too long for any


class Booking(msgspec.Struct):
    job_id: str
    task_index: int  # in a plan: the how-manieth of the job's waiting tasks
    machine_id: str
    duration_s: float  # with the image fetch


def queue_order(waiting: PendingJob) -> tuple[float, float, float, float, float, float]:
    """Shortest estimated remaining time first; a job past the age bound before the others.

    Tasks of a job have equal upward rank (none has children), so their order is free.
    Exception: jobs of a high rank form a queue of their own before the rest, or those with
    long tasks would wait behind every short one of lower rank. The age bound does not cross
    the two: room made by stopping an old job's tasks would go back to that same job.
    Exception: the first tasks of a job that none of has run for too long go before all, or in
    a lasting burst of urgent or of short work the largest jobs would never begin.
    """
    urgent = waiting.priority_level >= URGENT_PRIORITY_LEVEL
    if waiting.starved:
        return (0, 0, 0, waiting.submitted_at, 0.0, 0.0)
    if waiting.overdue:
        return (1, not urgent, 0, waiting.submitted_at, 0.0, 0.0)
    return (1, not urgent, 1, waiting.remaining_s, -waiting.estimated_run_s, waiting.submitted_at)


# Machines that are alike to a list schedule: their size and slowness, and how many there are.
MachineShapes = dict[tuple[Resources, float], int]


def count_shapes(snapshots: Iterable[MachineSnapshot]) -> MachineShapes:
    shapes: MachineShapes = {}
    for snapshot in snapshots:
        shape = (snapshot.capacity, snapshot.slowness)
        shapes[shape] = shapes.get(shape, 0) + 1
    return shapes


def remaining_time(
    resources: Resources, estimated_run_s: float, tasks: int, shapes: MachineShapes
) -> float:
    """The finish of a list schedule of the job's tasks on the given machines (thesis Fig. 3-2).

    All tasks are alike, so the schedule's length is the least T in which the machines'
    places, each taking its tasks one after the other, hold them all.
    """
    if tasks <= 0:
        return 0.0
    places: list[tuple[int, float]] = []
    for (size, slowness), machines in shapes.items():
        count = min(
            int((s + 1e-6) / n) if n > 0 else tasks for n, s in zip(resources, size, strict=True)
        )
        if count > 0:
            places.append((min(count, tasks) * machines, estimated_run_s * slowness))
    if not places:
        return math.inf
    low = min(took for _, took in places)
    if all(took == low for _, took in places):
        # Nearly always: no machine is clearly slower than the others.
        return low * math.ceil(tasks / sum(count for count, _ in places))
    total = sum(count / took for count, took in places)
    high = max(took for _, took in places) * (1 + tasks / sum(c for c, _ in places)) + low
    low = max(low, (tasks / total) * 0.5)
    for _ in range(12):
        middle = (low + high) / 2
        if sum(count * int(middle / took + 1e-9) for count, took in places) >= tasks:
            high = middle
        else:
            low = middle
    return high


def eligible(job: PendingJob, snapshot: MachineSnapshot) -> bool:
    return (
        (job.allow_spot or not snapshot.spot)
        and (job.machine_types is None or snapshot.machine_type in job.machine_types)
        and (job.zone is None or snapshot.zone == job.zone)
        and (job.avoided_machines is None or snapshot.machine_id not in job.avoided_machines)
        and job.resources.cpus <= snapshot.capacity.cpus + 1e-6
        and job.resources.gpus <= snapshot.capacity.gpus + 1e-6
        and job.resources.memory_gb <= snapshot.capacity.memory_gb + 1e-6
    )


class Plan(msgspec.Struct):
    starts: list[Booking]
    later: dict[str, list[float]] = {}  # urgent jobs: when their later bookings start
    booked_later: int = 0
    cut_short: bool = False


# What a task would get on a machine, best first: its finish in grains with what else counts,
# room left, finish, the machine, start, length.
Candidate = tuple[float, float, float, int, float, float]


class _Planner:
    """One plan's work: copies of the profiles it books in, and where there is room now.

    Only machines with room now can start something, so a job looks at those first. Machines
    without are looked at in the order in which they get room, and only while one of them
    could still beat the best that was found.
    """

    def __init__(self, snapshots: list[MachineSnapshot], now: float) -> None:
        self.slots = snapshots
        self.now = now
        self.plan = Plan(starts=[], later={})
        self.profiles: list[Profile] = []
        self.copied: set[int] = set()
        ends: list[tuple[float, int]] = []
        self.roomy: list[int] = []
        for number, snapshot in enumerate(snapshots):
            profile = snapshot.profile
            if profile is None:
                profile = snapshot.profile = Profile(
                    now, *snapshot.capacity, running=snapshot.running
                )
            profile.begin_at(now)
            self.profiles.append(profile)
            if profile.cpus[0] > 1e-6 or profile.gpus[0] > 1e-6:
                self.roomy.append(number)
            else:
                ends.append((profile.next_change(), number))
        ends.sort()
        self.ends = ends
        self.plain_ends: list[tuple[float, int]] | None = None  # those of ordinary machines
        self.fetch_free: dict[int, float] = {}
        self.fetching: dict[tuple[int, str], float] = {}
        self.later_left = max(1, int(FUTURE_BOOKINGS_PER_MACHINE * len(snapshots)))
        # Needs that no machine has room for now. Room only shrinks while a plan is made.
        self.no_room: list[Resources] = []
        self.shrunk_to: Resources | None = None
        self.shrunk_at = 0  # how many starts there were then

    def candidate(self, job: PendingJob, number: int) -> Candidate | None:
        snapshot, now, image = self.slots[number], self.now, job.image
        run_s = job.estimated_run_s * snapshot.slowness
        ready = snapshot.images.get(image)
        if ready is None:
            ready = self.fetching.get((number, image)) if self.fetching else None
            if ready is None:
                free = self.fetch_free.get(number, snapshot.fetch_free_at)
                ready = (free if free > now else now) + job.image_gb / snapshot.fetch_gb_per_s
        profile = self.profiles[number]
        start = profile.earliest(job.resources, run_s + ready - now if ready > now else run_s)
        if start is None:
            return None
        # Among equal finishes, ordinary machines are left to jobs that need them.
        cost = 1.0 if job.allow_spot and not snapshot.spot else 0.0
        if start > now:
            cost += FUTURE_START_PENALTY / EQUAL_FINISH_SHARE
        else:
            start = now
        took = run_s + ready - start if ready > start else run_s
        finish = start + took
        left = profile.cpus[0] - job.resources.cpus
        grain = job.estimated_run_s * EQUAL_FINISH_SHARE
        return (
            round(finish / (grain if grain > 1e-3 else 1e-3)) + cost,
            left,
            finish,
            number,
            start,
            took,
        )

    def book(self, job: PendingJob, number: int, start: float, took: float) -> None:
        profile = self.profiles[number]
        if number not in self.copied:
            self.copied.add(number)
            profile = self.profiles[number] = profile.copy()
        profile.book(start if start > self.now else profile.times[0], took, job.resources)
        snapshot = self.slots[number]
        key = (number, job.image)
        if job.image not in snapshot.images and key not in self.fetching:
            free = self.fetch_free.get(number, snapshot.fetch_free_at)
            ready = max(self.now, free) + job.image_gb / snapshot.fetch_gb_per_s
            self.fetching[key] = self.fetch_free[number] = ready

    def job(self, job: PendingJob) -> None:
        snapshots, now, plan = self.slots, self.now, self.plan
        zone = job.zone
        zone_room = dict(job.zone_limits) if job.zone_limits is not None else None
        allowed: list[int] = []
        if not self._known_full(job.resources):
            roomy = [n for n in self.roomy if self.profiles[n].fits_now(job.resources)]
            if not roomy:
                self.no_room.append(job.resources)
            allowed = [n for n in roomy if eligible(job, snapshots[n])]
        heap = [entry for number in allowed if (entry := self.candidate(job, number))]
        heapq.heapify(heap)
        looked = set(allowed)
        rest = self._rest(looked, job.allow_spot) if self.later_left > 0 else []
        pointer = 0
        grain = max(job.estimated_run_s * EQUAL_FINISH_SHARE, 1e-3)
        first = len(plan.starts)
        booked = 0
        while booked < job.task_count:
            # While later bookings may be made: whoever gets room so early that it could win.
            while self.later_left > 0 and pointer < len(rest):
                end, number = rest[pointer]
                least = (
                    (max(end, now) + job.estimated_run_s) / grain
                    + FUTURE_START_PENALTY / EQUAL_FINISH_SHARE
                    - 0.5
                )
                if heap and least > heap[0][0]:
                    break
                pointer += 1
                if number in looked or not eligible(job, snapshots[number]):
                    continue
                entry = self.candidate(job, number)
                if entry is not None:
                    heapq.heappush(heap, entry)
            if not heap:
                break
            _, _, _, number, start, took = heapq.heappop(heap)
            snapshot = snapshots[number]
            if (zone is not None and snapshot.zone != zone) or (
                zone_room is not None and zone_room.get(snapshot.zone, 0) <= 0
            ):
                continue
            if start > now and self.later_left <= 0:
                plan.cut_short = True
                continue
            self.book(job, number, start, took)
            if job.one_zone:
                zone = snapshot.zone
            if zone_room is not None:
                zone_room[snapshot.zone] -= 1
            if start <= now:
                plan.starts.append(Booking(job.job_id, booked, snapshot.machine_id, took))
            else:
                plan.booked_later += 1
                self.later_left -= 1
                if job.priority_level >= URGENT_PRIORITY_LEVEL:
                    plan.later.setdefault(job.job_id, []).append(start)
            booked += 1
            again = self.candidate(job, number)
            if again is not None:
                heapq.heappush(heap, again)
        if job.priority_level >= URGENT_PRIORITY_LEVEL and booked < job.task_count:
            plan.later.setdefault(job.job_id, []).extend([math.inf] * (job.task_count - booked))
        if job.all_at_once and len(plan.starts) - first < job.task_count:
            # The bookings keep the room; the ensemble starts when all of them start now.
            plan.booked_later += len(plan.starts) - first
            del plan.starts[first:]

    def _known_full(self, resources: Resources) -> bool:
        c, g, m = resources
        return any(c >= full[0] and g >= full[1] and m >= full[2] for full in self.no_room)

    def _rest(self, looked: set[int], allow_spot: bool) -> list[tuple[float, int]]:
        """The machines without room now for a job, by when they get any. One that has some room,
        but not enough, is like the others: more comes with its next change, not before. Jobs that
        may not use spot machines look at the others alone: a tenth of some fleets."""
        profiles, snapshots = self.profiles, self.slots
        ends = self.ends
        if not allow_spot:
            if self.plain_ends is None:
                self.plain_ends = [entry for entry in ends if not snapshots[entry[1]].spot]
            ends = self.plain_ends
        partly = [
            (profiles[n].next_change(), n)
            for n in self.roomy
            if n not in looked and (allow_spot or not snapshots[n].spot)
        ]
        return sorted(partly + ends) if partly else ends

    def shrink(self, least: Resources) -> bool:
        """Forget machines without room now for anything that is left; False: none has any."""
        starts = len(self.plan.starts)
        if least == self.shrunk_to and starts < self.shrunk_at + SHRINK_STARTS:
            return bool(self.roomy)  # little or nothing was taken since the last look
        self.shrunk_to, self.shrunk_at = least, starts
        kept: list[int] = []
        for number in self.roomy:
            if self.profiles[number].fits_now(least):
                kept.append(number)
            else:
                self.ends.append((self.profiles[number].next_change(), number))
        if len(kept) != len(self.roomy):
            self.roomy = kept
            self.ends.sort()
            self.plain_ends = None
        return bool(kept)


def make_plan(jobs: list[PendingJob], snapshots: list[MachineSnapshot], now: float) -> Plan:
    """Book the tasks of the queue, in order, each at its earliest finish."""
    planner = _Planner(snapshots, now)
    jobs = sorted(jobs, key=queue_order)
    # Smallest need of this and all later jobs: once no machine has that much room now,
    # nothing further can start, and the rest of the queue need not be booked. Urgent jobs are,
    # to tell which have to wait too long.
    least: list[Resources] = []
    low = Resources(math.inf, math.inf, math.inf)
    for job in reversed(jobs):
        low = low.minimum(job.resources)
        least.append(low)
    least.reverse()
    for place, job in enumerate(jobs):
        if (
            not planner.shrink(least[place])
            and job.priority_level < URGENT_PRIORITY_LEVEL
            and not job.starved
        ):
            break
        planner.job(job)
    return planner.plan
