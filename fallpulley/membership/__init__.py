"""Who is there, who leads, and which controller owns which shard."""
