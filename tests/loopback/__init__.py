"""Real controllers on loopback with a simulated state service, cloud and workers."""
