"""Client of the state service: requests, conditional writes and the watch cache."""
