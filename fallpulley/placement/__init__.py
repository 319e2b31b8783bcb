"""Placement of pending tasks on machines by MOWS: which task starts where, and when.

The algorithm is described in docs/design.md. In comments, `T 3-1` cites section 3-1 of the thesis
that MOWS is taken from, and `exception 4` the fourth deviation of this implementation from it.

Each step of the thesis has a module: `estimate` (run times, T 5-2-6), `remaining_time` and `queue`
(queue order, T 3-1), `profile` (backfilling, T 3-2) and `machine_pool` (earliest finish time,
T 3-4); `plan` combines them. `eligibility` defines which machines can take a task, and `victims`
selects running tasks to stop for urgent ones. These modules and `snapshot` are pure: they import
nothing that reads a shard. The package `scheduling` builds their input from a shard's state and
decides when to plan.
"""
