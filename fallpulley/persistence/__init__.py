"""Makes durable what owned shards know of their jobs, and reads it again after a failover."""
