"""Plans for owned shards: what `placement` decides is made from their state, and carried out."""
