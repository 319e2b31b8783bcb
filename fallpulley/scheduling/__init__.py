"""Planning of a controller's shards: builds the input of `placement` and applies its decisions.

`planner` decides when to plan, and `shard_plan` plans one shard. `snapshot_builder`,
`pending_jobs`, `age_bound`, `team_limits` and `preemption` turn the shard's state into input. What
`T 3-1` or `exception 4` in comments refers to is explained in `fallpulley.placement`.
"""
