"""Shard balancing: target sizes of shards, moves of machines and handoffs of shards."""
