"""Queue order, booking and earliest finish: the thesis's 3-1, 3-2 and 3-4 for one block.

Pure: a picture of the block goes in, bookings that start now come out. The profile is made
anew for each plan; bookings that start later only keep room for those ahead in the queue.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

import msgspec

from fallpulley.placement.profile import Profile

Need = tuple[float, float, float]

# Machines of one type differ by up to a tenth in speed: finishes that lie closer together
# than that share of the estimate are the same for all we know, and cost decides.
SAME_FINISH = 0.1
# Room that is free is certain; room that will be free hangs on estimates that are often wrong
# by half. Waiting for it must promise to finish earlier by this share of the estimate.
UNSURE = 0.5
# Ranks from here on are served before all others.
URGENT_RANK = 2
# Bookings in one plan. Past this the rest of the queue waits for the next plan: it would
# start nothing that conservative backfilling allows, except at great cost.
BOOKINGS_MOST = 600


class Slot(msgspec.Struct):
    """A machine that can be given tasks."""

    host: str
    build: str
    zone: str
    spot: bool
    size: Need
    fetch_rate: float
    slowness: float  # observed run times over estimates, 1 for an ordinary machine
    running: list[tuple[float, float, float, float]]
    images: dict[str, float]  # image -> when it is (or will be) there
    fetch_free_at: float  # when fetches in progress are through


class Waiting(msgspec.Struct):
    """A job with tasks to place."""

    job: str
    need: Need
    estimate_s: float
    tasks: list[int]  # in order; only as many as may be placed
    image: str
    image_gb: float
    remaining_s: float  # estimated remaining time of the job: its place in the queue
    overdue: bool  # waited past the age bound
    submitted: float
    spot_ok: bool
    rank: int = 1  # the job's priority class
    builds: list[str] | None = None
    zone: str | None = None
    zone_room: dict[str, int] | None = None  # for jobs spread over zones
    one_zone: bool = False
    avoid: set[str] | None = None  # machines where it failed
    together: bool = False  # all tasks start at one time, or none


class Booking(msgspec.Struct):
    job: str
    index: int
    host: str
    estimate_s: float  # with the image fetch


def queue_order(waiting: Waiting) -> tuple[float, float, float, float, float]:
    """Shortest estimated remaining time first; a job past the age bound before the others.

    Tasks of a job have equal upward rank (none has children), so their order is free.
    Exception: jobs of a high rank form a queue of their own before the rest, or those with
    long tasks would wait behind every short one of lower rank. The age bound does not cross
    the two: room made by stopping an old job's tasks would go back to that same job.
    """
    urgent = waiting.rank >= URGENT_RANK
    if waiting.overdue:
        return (not urgent, 0, waiting.submitted, 0.0, 0.0)
    return (not urgent, 1, waiting.remaining_s, -waiting.estimate_s, waiting.submitted)


def remaining_time(need: Need, estimate_s: float, tasks: int, machines: list[Slot]) -> float:
    """The finish of a list schedule of the job's tasks on the given machines (thesis Fig. 3-2).

    All tasks are alike, so the schedule's length is the least T in which the machines'
    places, each taking its tasks one after the other, hold them all.
    """
    if tasks <= 0:
        return 0.0
    places: list[tuple[int, float]] = []
    for slot in machines:
        count = min(
            int((size + 1e-6) / n) if n > 0 else tasks
            for n, size in zip(need, slot.size, strict=True)
        )
        if count > 0:
            places.append((min(count, tasks), estimate_s * slot.slowness))
    if not places:
        return math.inf
    low = min(took for _, took in places)
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


def eligible(job: Waiting, slot: Slot) -> bool:
    return (
        (job.spot_ok or not slot.spot)
        and (job.builds is None or slot.build in job.builds)
        and (job.zone is None or slot.zone == job.zone)
        and (job.avoid is None or slot.host not in job.avoid)
        and job.need[0] <= slot.size[0] + 1e-6
        and job.need[1] <= slot.size[1] + 1e-6
        and job.need[2] <= slot.size[2] + 1e-6
    )


class Plan(msgspec.Struct):
    starts: list[Booking]
    later: dict[str, list[float]] = {}  # urgent jobs: when their later bookings start
    booked_later: int = 0
    cut_short: bool = False


def make_plan(
    jobs: list[Waiting],
    slots: list[Slot],
    now: float,
    prefer: Callable[[Waiting, Slot], float] | None = None,
) -> Plan:
    """Book every task of the queue, in order, at its earliest finish."""
    plan = Plan(starts=[], later={})
    profiles = {slot.host: Profile(now, *slot.size, running=slot.running) for slot in slots}
    jobs = sorted(jobs, key=queue_order)
    # Smallest need of this and all later jobs: once no machine has that much room now,
    # nothing further can start, and the rest of the queue need not be booked.
    least: list[Need] = []
    low: Need = (math.inf, math.inf, math.inf)
    for job in reversed(jobs):
        low = (min(low[0], job.need[0]), min(low[1], job.need[1]), min(low[2], job.need[2]))
        least.append(low)
    least.reverse()
    fetch_free = {slot.host: slot.fetch_free_at for slot in slots}
    booked = 0
    for place, job in enumerate(jobs):
        if not any(profile.room_now(least[place]) for profile in profiles.values()):
            break
        if booked >= BOOKINGS_MOST:
            plan.cut_short = True
            break
        booked += _book_job(plan, job, slots, profiles, fetch_free, now, prefer)
    return plan


def _book_job(
    plan: Plan,
    job: Waiting,
    slots: list[Slot],
    profiles: dict[str, Profile],
    fetch_free: dict[str, float],
    now: float,
    prefer: Callable[[Waiting, Slot], float] | None,
) -> int:
    grain = max(job.estimate_s * SAME_FINISH, 1e-3)
    chosen_zone = job.zone
    zone_room = dict(job.zone_room) if job.zone_room is not None else None

    def candidate(number: int, slot: Slot) -> tuple[float, float, float, int, float, float] | None:
        if zone_room is not None and zone_room.get(slot.zone, 0) <= 0:
            return None
        if chosen_zone is not None and slot.zone != chosen_zone:
            return None
        run_s = job.estimate_s * slot.slowness
        ready = slot.images.get(job.image)
        if ready is None:
            ready = max(now, fetch_free[slot.host]) + job.image_gb / slot.fetch_rate
        profile = profiles[slot.host]
        start = profile.earliest(job.need, run_s + max(0.0, ready - now))
        if start is None:
            return None
        took = run_s + max(0.0, ready - start)
        finish = start + took
        cost = prefer(job, slot) if prefer else 0.0
        if start > now:
            cost += UNSURE / SAME_FINISH
        left = profile.cpus[0] - job.need[0]
        return (round(finish / grain) + cost, left, finish, number, start, took)

    heap = []
    for number, slot in enumerate(slots):
        if eligible(job, slot):
            entry = candidate(number, slot)
            if entry is not None:
                heap.append(entry)
    heapq.heapify(heap)
    booked = 0
    first = len(plan.starts)
    for index in job.tasks:
        entry = None
        while heap:
            entry = heapq.heappop(heap)
            slot = slots[entry[3]]
            blocked = (chosen_zone is not None and slot.zone != chosen_zone) or (
                zone_room is not None and zone_room.get(slot.zone, 0) <= 0
            )
            if not blocked:
                break
            entry = None
        if entry is None:
            break
        _, _, _, number, start, took = entry
        slot = slots[number]
        profiles[slot.host].book(start, took, job.need)
        if job.image not in slot.images:
            ready = max(now, fetch_free[slot.host]) + job.image_gb / slot.fetch_rate
            slot.images[job.image] = ready
            fetch_free[slot.host] = ready
        if job.one_zone:
            chosen_zone = slot.zone
        if zone_room is not None:
            zone_room[slot.zone] -= 1
        if start <= now:
            plan.starts.append(Booking(job.job, index, slot.host, took))
        else:
            plan.booked_later += 1
            if job.rank >= URGENT_RANK:
                plan.later.setdefault(job.job, []).append(start)
        booked += 1
        if booked >= BOOKINGS_MOST:
            break
        again = candidate(number, slot)
        if again is not None:
            heapq.heappush(heap, again)
    if job.together and len(plan.starts) - first < len(job.tasks):
        # The bookings keep the room; the ensemble starts when all of them start now.
        plan.booked_later += len(plan.starts) - first
        del plan.starts[first:]
    return booked
