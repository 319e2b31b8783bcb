"""Writing of the completions and progress of owned shards' jobs, and loading after a failover."""
