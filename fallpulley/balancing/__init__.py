"""Shard balancing: target sizes of shards, moves of machines and hand-offs of shards."""
