"""Warm standby: followers keep a replica of the holder's decisions (docs/standby.md).

Nothing here is imported unless `[standby] enabled = true` stands in fallpulley.toml.
"""
