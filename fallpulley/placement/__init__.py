"""Placement by MOWS: which pending task runs where and from when (docs/design.md).

A module for each step of the thesis (cited as T 3-1 and so on): `estimate` (run times, T 5-2-6),
`remaining_time` and `queue` (T 3-1), `profile` (T 3-2), `machine_pool` (T 3-4) and `plan`, which
joins them; `victims` is the one exception that stops tasks. These and `snapshot` are pure: they
import nothing that reads a shard. The others turn a shard's state into their input: `age_bound`,
`pending_jobs`, `preemption`, `shard_plan`, `snapshot_builder`, `team_limits`; `planner` says when.
"""
