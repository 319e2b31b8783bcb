"""Shares of the fleet for each controller's shard, moved while jobs run (docs/shares.md).

Nothing here is imported unless `[shares] enabled = true` stands in fallpulley.toml.
"""
