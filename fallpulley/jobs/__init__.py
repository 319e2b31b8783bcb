"""Job requests from users, job records, dependencies between jobs, and progress of open jobs."""
