"""Stopping work of lower rank for an urgent task: the one exception to MOWS's queue.

The thesis's own preemption (3-3) is within one workflow and is left out. This one serves the
aim on starting that users state for a class (`wait` in the objectives): a task of high rank
that would wait too long takes the room of lower-ranked tasks whose stop loses least.
"""

from __future__ import annotations

import heapq

import msgspec

from fallpulley.placement.plan import MachineSnapshot, PendingJob, eligible
from fallpulley.resources import Resources

# Work thrown away for a task may be at most this share of what the task itself brings.
MAX_LOST_WORK = 0.5


class Victim(msgspec.Struct):
    """A running task of lower rank, and the processor-seconds its stop would lose."""

    task_id: str
    priority_level: int
    resources: Resources
    lost_work: float


class Preemption(msgspec.Struct):
    machine_id: str
    task_ids: list[str]


def choose_victims(
    job: PendingJob,
    tasks: int,
    snapshots: list[MachineSnapshot],
    room: dict[str, Resources],
    victims: dict[str, list[Victim]],
    now: float,
) -> list[Preemption]:
    """Room for `tasks` tasks of the job, each where it costs least. Takes from what it is given:
    `room` and `victims` shrink by what was chosen."""
    preemptions: dict[str, set[str]] = {}
    most = MAX_LOST_WORK * job.estimated_run_s * max(job.resources.cpus, 1.0)

    def offer(number: int) -> tuple[float, int, list[Victim]] | None:
        snapshot = snapshots[number]
        found = _cheapest(job, room[snapshot.machine_id], victims.get(snapshot.machine_id, []))
        if found is None or found[0] > most:
            return None
        ready = snapshot.images.get(job.image)
        fetch_s = job.image_gb / snapshot.fetch_gb_per_s if ready is None else max(0.0, ready - now)
        return (found[0] + fetch_s * job.resources.cpus, number, found[1])

    allowed = [number for number, snapshot in enumerate(snapshots) if eligible(job, snapshot)]
    heap = [entry for number in allowed if (entry := offer(number))]
    heapq.heapify(heap)
    for _ in range(tasks):
        if not heap:
            break
        _, number, chosen = heapq.heappop(heap)
        snapshot = snapshots[number]
        free = room[snapshot.machine_id]
        for victim in chosen:
            free = free.plus(victim.resources)
        room[snapshot.machine_id] = free.minus(job.resources)
        if chosen:
            gone = {victim.task_id for victim in chosen}
            victims[snapshot.machine_id] = [
                v for v in victims[snapshot.machine_id] if v.task_id not in gone
            ]
            preemptions.setdefault(snapshot.machine_id, set()).update(gone)
        again = offer(number)
        if again is not None:
            heapq.heappush(heap, again)
    return [
        Preemption(machine_id, sorted(task_ids)) for machine_id, task_ids in preemptions.items()
    ]


def _cheapest(
    job: PendingJob, free: Resources, victims: list[Victim]
) -> tuple[float, list[Victim]] | None:
    """The victims to stop on one machine, least loss for the room first; none may be needed."""
    chosen: list[Victim] = []
    loss = 0.0
    cpus, gpus, memory_gb = free
    for victim in victims:
        if (
            cpus >= job.resources.cpus - 1e-6
            and gpus >= job.resources.gpus - 1e-6
            and memory_gb >= job.resources.memory_gb - 1e-6
        ):
            break
        if victim.priority_level >= job.priority_level:
            continue
        chosen.append(victim)
        loss += victim.lost_work
        cpus, gpus, memory_gb = (
            cpus + victim.resources.cpus,
            gpus + victim.resources.gpus,
            memory_gb + victim.resources.memory_gb,
        )
    if (
        cpus < job.resources.cpus - 1e-6
        or gpus < job.resources.gpus - 1e-6
        or memory_gb < job.resources.memory_gb - 1e-6
    ):
        return None
    return loss, chosen
