"""A job's estimated remaining time (T 3-1, Fig. 3-2): its place in the queue."""

from __future__ import annotations

import math
from collections.abc import Iterable

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Halvings of the interval that holds the schedule's length: to a four-thousandth of it.
BISECTION_STEPS = 12

# Machines that are alike to a list schedule: capacity and slowness -> how many there are.
MachineShapes = dict[tuple[Resources, float], int]
# How many tasks machines of one shape run side by side, and how long each of them takes there. A
# plain tuple, since the schedule's length is searched with it for every job: with a NamedTuple,
# whose unpacking is slower, the estimate took a quarter longer.
_Places = tuple[int, float]


def count_shapes(snapshots: Iterable[MachineSnapshot]) -> MachineShapes:
    """How many machines there are of each capacity and slowness."""
    shapes: MachineShapes = {}
    for snapshot in snapshots:
        shape = (snapshot.capacity, snapshot.slowness)
        shapes[shape] = shapes.get(shape, 0) + 1
    return shapes


def remaining_time(
    resources: Resources, estimated_run_s: float, task_count: int, shapes: MachineShapes
) -> float:
    """The seconds that a list schedule of the job's tasks alone takes (T 3-1, Fig. 3-2).

    All tasks are alike, so the schedule's length is the least time in which the machines'
    places, each running its tasks one after the other, hold them all. Infinity: no machine is
    large enough for a task.
    """
    if task_count <= 0:
        return 0.0
    places = _places(resources, estimated_run_s, task_count, shapes)
    if not places:
        return math.inf
    shortest_s = min(run_s for _, run_s in places)
    if all(run_s == shortest_s for _, run_s in places):
        # Nearly always: no machine is clearly slower than the others.
        return shortest_s * math.ceil(task_count / sum(count for count, _ in places))
    return _schedule_length(places, task_count, shortest_s)


def _places(
    resources: Resources, estimated_run_s: float, task_count: int, shapes: MachineShapes
) -> list[_Places]:
    """The places for a task of the job on each shape of machine that has any."""
    places: list[_Places] = []
    for (capacity, slowness), machines in shapes.items():
        per_machine = min(
            int((available + 1e-6) / needed) if needed > 0 else task_count
            for needed, available in zip(resources, capacity, strict=True)
        )
        if per_machine > 0:
            count = min(per_machine, task_count) * machines
            places.append((count, estimated_run_s * slowness))
    return places


def _schedule_length(places: list[_Places], task_count: int, shortest_s: float) -> float:
    """By bisection, the least time in which places of different speed run all tasks."""
    tasks_per_s = sum(count / run_s for count, run_s in places)
    longest_s = max(run_s for _, run_s in places)
    high = longest_s * (1 + task_count / sum(count for count, _ in places)) + shortest_s
    low = max(shortest_s, (task_count / tasks_per_s) * 0.5)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if sum(count * int(middle / run_s + 1e-9) for count, run_s in places) >= task_count:
            high = middle
        else:
            low = middle
    return high
