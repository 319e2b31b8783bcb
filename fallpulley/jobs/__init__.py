"""Jobs: users' requests about them, their records and dependencies, and open jobs' progress."""
