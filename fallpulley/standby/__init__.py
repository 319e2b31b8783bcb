"""Warm standby: followers keep a replica of an owner's decisions (docs/standby.md).

Nothing here is imported unless `[standby] enabled = true` stands in fallpulley.toml.
"""
