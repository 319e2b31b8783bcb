"""Planning of a controller's shards: builds the input of `placement` and applies its decisions.

`planner` decides when to plan, and `shard_plan` plans one shard. `snapshot_builder`,
`pending_jobs`, `age_bound`, `team_limits` and `preemption` turn the shard's state into input.
"""
