"""Messages between controllers: heartbeats with task counts, and cancellations of jobs."""
