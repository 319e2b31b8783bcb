"""Cluster membership: controllers' sessions, leader election and ownership of shards."""
