"""Warm standby: followers keep replicas of the decisions of shard owners (docs/standby.md).

A controller that takes over a shard after a failover uses its replica as a hint. The package is
imported only if `[standby] enabled = true` is set in fallpulley.toml.
"""
