"""Real controllers on loopback against stand-ins for state service, cloud and workers."""
