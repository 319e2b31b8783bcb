"""The shards that this controller owns: their state, commands to their machines, and leases."""
