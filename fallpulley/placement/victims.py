"""Preemption: selects the running tasks to stop for urgent ones (exception 4).

Users may state an objective of kind `wait` for a class: how soon its tasks should start. An urgent
task that would miss it gets the resources of tasks of lower priority, those whose stop loses the
least work. The preemption of the thesis (T 3-3) acts within one workflow and is not implemented.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

import msgspec

from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# The work lost by making room for a task may be at most this share of the task's own work.
MAX_LOST_WORK_SHARE = 0.5


class Victim(msgspec.Struct):
    """A running task that may be stopped to make room for an urgent one."""

    task_id: str
    priority_level: int
    resources: Resources
    lost_work: float  # by its stop, in processor-seconds


class Preemption(msgspec.Struct):
    """The tasks to stop on one machine."""

    machine_id: str
    task_ids: list[str]


class _VictimSet(NamedTuple):
    """The victims whose stop makes room for one task; empty if there is room already."""

    lost_work: float  # by all their stops, in processor-seconds
    victims: list[Victim]


class _PlacementOption(NamedTuple):
    """A way to make room for one task on one machine; the cheapest sorts first."""

    cost: float  # processor-seconds: work lost, and processors idle during the image fetch
    machine_index: int
    victims: list[Victim]


class _VictimSelection:
    """Selects machines and victims for the tasks of one job, the cheapest first."""

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
        self.preempted: dict[str, set[str]] = {}  # task ids by machine id
        self.options = [
            option
            for index, snapshot in enumerate(snapshots)
            if is_eligible(job, snapshot) and (option := self._placement_option(index))
        ]
        heapq.heapify(self.options)

    def _placement_option(self, index: int) -> _PlacementOption | None:
        """Return how to make room for a task on the machine; None if impossible or too costly."""
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
        return _PlacementOption(
            chosen.lost_work + fetch_s * job.resources.cpus, index, chosen.victims
        )

    def make_room(self) -> bool:
        """Make room for one more task where it costs least; return False if no machine is left."""
        if not self.options:
            return False
        option = heapq.heappop(self.options)
        machine_id = self.snapshots[option.machine_index].machine_id
        free = self.free[machine_id]
        for victim in option.victims:
            free = free.plus(victim.resources)
        self.free[machine_id] = free.minus(self.job.resources)
        if option.victims:
            stopped = {victim.task_id for victim in option.victims}
            self.victims[machine_id] = [
                victim for victim in self.victims[machine_id] if victim.task_id not in stopped
            ]
            self.preempted.setdefault(machine_id, set()).update(stopped)
        next_option = self._placement_option(option.machine_index)
        if next_option is not None:
            heapq.heappush(self.options, next_option)
        return True


def choose_victims(
    job: PendingJob,
    task_count: int,
    snapshots: list[MachineSnapshot],
    free: dict[str, Resources],
    victims: dict[str, list[Victim]],
    now: float,
) -> list[Preemption]:
    """Select the tasks to stop so that up to `task_count` tasks of the job get room.

    Each task gets the machine on which room costs least. `free` and `victims`, both by machine id,
    are changed in place: the chosen victims and the resources given to the job are taken out. The
    victims of a machine are chosen in the order in which they are listed.
    """
    selection = _VictimSelection(job, snapshots, free, victims, now)
    for _ in range(task_count):
        if not selection.make_room():
            break
    return [
        Preemption(machine_id, sorted(task_ids))
        for machine_id, task_ids in selection.preempted.items()
    ]


def _cheapest_victims(job: PendingJob, free: Resources, victims: list[Victim]) -> _VictimSet | None:
    """Take victims of one machine in their order until a task of the job fits.

    None if it does not fit even with all of them stopped.
    """
    chosen: list[Victim] = []
    lost_work = 0.0
    for victim in victims:
        if job.resources.fits_in(free):
            break
        if victim.priority_level >= job.priority_level:
            continue
        chosen.append(victim)
        lost_work += victim.lost_work
        free = free.plus(victim.resources)
    if not job.resources.fits_in(free):
        return None
    return _VictimSet(lost_work, chosen)
