"""Which tasks to stop for an urgent one: the one exception to MOWS's queue (exception 4).

The thesis's own preemption (T 3-3) is within one workflow and is left out. This one serves the
objective on starting that users state for a class (`wait`): an urgent task that would wait too
long gets the room of tasks of lower priority whose stop loses least.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

import msgspec

from fallpulley.placement.profile import EPSILON
from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Work lost for a task may be at most this share of what the task itself brings.
MAX_LOST_WORK_SHARE = 0.5


class Victim(msgspec.Struct):
    """A running task of lower priority, and the processor-seconds its stop would lose."""

    task_id: str
    priority_level: int
    resources: Resources
    lost_work: float


class Preemption(msgspec.Struct):
    """Tasks to stop on one machine."""

    machine_id: str
    task_ids: list[str]


class _VictimSet(NamedTuple):
    """Tasks whose stop makes room for one task; none where there is room already."""

    lost_work: float
    victims: list[Victim]


class _Offer(NamedTuple):
    """The room that a machine can make, the cheapest first."""

    cost: float  # processor-seconds: the work lost, and the processors idle during a fetch
    machine_index: int
    victims: list[Victim]


class _VictimChoice:
    """The machines on which one job's tasks may get room, cheapest first."""

    def __init__(
        self,
        job: PendingJob,
        snapshots: list[MachineSnapshot],
        free: dict[str, Resources],
        victims: dict[str, list[Victim]],
        now: float,
    ) -> None:
        self.job = job
        self.snapshots = snapshots
        self.free = free
        self.victims = victims
        self.now = now
        self.max_lost_work = (
            MAX_LOST_WORK_SHARE * job.estimated_run_s * max(job.resources.cpus, 1.0)
        )
        self.preempted: dict[str, set[str]] = {}  # machine -> tasks
        self.offers = [
            offer
            for index, snapshot in enumerate(snapshots)
            if is_eligible(job, snapshot) and (offer := self._offer(index))
        ]
        heapq.heapify(self.offers)

    def _offer(self, index: int) -> _Offer | None:
        """What room for a task costs on the machine; None: too much, or there is not enough."""
        snapshot, job = self.snapshots[index], self.job
        chosen = _cheapest_victims(
            job, self.free[snapshot.machine_id], self.victims.get(snapshot.machine_id, [])
        )
        if chosen is None or chosen.lost_work > self.max_lost_work:
            return None
        ready_at = snapshot.images.get(job.image)
        fetch_s = (
            job.image_gb / snapshot.fetch_gb_per_s
            if ready_at is None
            else max(0.0, ready_at - self.now)
        )
        return _Offer(chosen.lost_work + fetch_s * job.resources.cpus, index, chosen.victims)

    def make_room(self) -> bool:
        """Make room for one more task at the cheapest machine; False: there is none."""
        if not self.offers:
            return False
        offer = heapq.heappop(self.offers)
        machine_id = self.snapshots[offer.machine_index].machine_id
        free = self.free[machine_id]
        for victim in offer.victims:
            free = free.plus(victim.resources)
        self.free[machine_id] = free.minus(self.job.resources)
        if offer.victims:
            stopped = {victim.task_id for victim in offer.victims}
            self.victims[machine_id] = [
                victim for victim in self.victims[machine_id] if victim.task_id not in stopped
            ]
            self.preempted.setdefault(machine_id, set()).update(stopped)
        following = self._offer(offer.machine_index)
        if following is not None:
            heapq.heappush(self.offers, following)
        return True


def choose_victims(
    job: PendingJob,
    task_count: int,
    snapshots: list[MachineSnapshot],
    free: dict[str, Resources],
    victims: dict[str, list[Victim]],
    now: float,
) -> list[Preemption]:
    """The stops that make room for so many tasks of the job, each where it costs least.

    `free` and `victims`, by machine, shrink by what was chosen. A machine's victims are in the
    order in which they are to be stopped.
    """
    choice = _VictimChoice(job, snapshots, free, victims, now)
    for _ in range(task_count):
        if not choice.make_room():
            break
    return [
        Preemption(machine_id, sorted(task_ids))
        for machine_id, task_ids in choice.preempted.items()
    ]


def _cheapest_victims(job: PendingJob, free: Resources, victims: list[Victim]) -> _VictimSet | None:
    """The victims to stop on one machine, in their order, until a task of the job fits; None: it
    does not fit with all of them stopped."""
    chosen: list[Victim] = []
    lost_work = 0.0
    for victim in victims:
        if _covers(free, job.resources):
            break
        if victim.priority_level >= job.priority_level:
            continue
        chosen.append(victim)
        lost_work += victim.lost_work
        free = free.plus(victim.resources)
    if not _covers(free, job.resources):
        return None
    return _VictimSet(lost_work, chosen)


def _covers(free: Resources, needed: Resources) -> bool:
    """As a profile compares them (`Profile.fits_now`), so that what is freed fits there too."""
    return (
        free.cpus >= needed.cpus - EPSILON
        and free.gpus >= needed.gpus - EPSILON
        and free.memory_gb >= needed.memory_gb - EPSILON
    )
