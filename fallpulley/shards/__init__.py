"""Shards that this controller owns: their state, their machines' commands, and leases."""
