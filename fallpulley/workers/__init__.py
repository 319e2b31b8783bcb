"""The messages exchanged with workers, and the state that a shard's owner keeps of machines."""
