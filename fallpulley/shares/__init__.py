"""Optional extension: each controller's shard gets a share of the fleet that operators set.

Shares can be changed while jobs run; machines then move between shards (docs/shares.md). A
controller imports these modules only if fallpulley.toml sets `[shares] enabled = true`; the
command `fallpulley shares` imports those that it needs.
"""
