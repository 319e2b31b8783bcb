"""The estimated remaining time of a job (T 3-1, Fig. 3-2), by which the queue is ordered."""

from __future__ import annotations

import math
from collections.abc import Iterable

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Bisection steps for the length of a schedule: 12 narrow the interval to 1/4096 of its width.
BISECTION_STEPS = 12

# The number of machines by capacity and slowness: machines equal in both are interchangeable in a
# list schedule.
MachineShapes = dict[tuple[Resources, float], int]
# How many tasks the machines of one shape run in parallel (their slots), and the run time of each
# task there in seconds. A plain tuple, because the search for the schedule's length unpacks it for
# every job: with a NamedTuple, which unpacks more slowly, the estimate took a quarter longer.
_TaskSlots = tuple[int, float]


def count_shapes(snapshots: Iterable[MachineSnapshot]) -> MachineShapes:
    """Count the machines of each capacity and slowness."""
    shapes: MachineShapes = {}
    for snapshot in snapshots:
        shape = (snapshot.capacity, snapshot.slowness)
        shapes[shape] = shapes.get(shape, 0) + 1
    return shapes


def remaining_time(
    resources: Resources, estimated_run_s: float, task_count: int, shapes: MachineShapes
) -> float:
    """Return the length in seconds of a list schedule of only this job's tasks (T 3-1, Fig. 3-2).

    The tasks are equal, so the length is the shortest time in which the slots of all machines,
    each running one task after the other, complete `task_count` tasks. Infinity if no machine is
    large enough for a task.
    """
    if task_count <= 0:
        return 0.0
    slots = _task_slots(resources, estimated_run_s, task_count, shapes)
    if not slots:
        return math.inf
    shortest_s = min(run_s for _, run_s in slots)
    if all(run_s == shortest_s for _, run_s in slots):
        # The usual case: all machines are equally fast, and the length needs no search.
        return shortest_s * math.ceil(task_count / sum(count for count, _ in slots))
    return _schedule_length(slots, task_count, shortest_s)


def _task_slots(
    resources: Resources, estimated_run_s: float, task_count: int, shapes: MachineShapes
) -> list[_TaskSlots]:
    """Return the slots for the job's tasks on each machine shape that is large enough for one."""
    slots: list[_TaskSlots] = []
    for (capacity, slowness), machines in shapes.items():
        per_machine = min(
            int((available + 1e-6) / needed) if needed > 0 else task_count
            for needed, available in zip(resources, capacity, strict=True)
        )
        if per_machine > 0:
            count = min(per_machine, task_count) * machines
            slots.append((count, estimated_run_s * slowness))
    return slots


def _schedule_length(slots: list[_TaskSlots], task_count: int, shortest_s: float) -> float:
    """Find by bisection the shortest time in which slots of different speed run all tasks."""
    tasks_per_s = sum(count / run_s for count, run_s in slots)
    longest_s = max(run_s for _, run_s in slots)
    high = longest_s * (1 + task_count / sum(count for count, _ in slots)) + shortest_s
    low = max(shortest_s, (task_count / tasks_per_s) * 0.5)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if sum(count * int(middle / run_s + 1e-9) for count, run_s in slots) >= task_count:
            high = middle
        else:
            low = middle
    return high
