"""The failures of an open job's tasks, and where and when its tasks may be tried again."""

from __future__ import annotations

import msgspec

from fallpulley.timing import LONG_AGO

# The longest back-off of a job that has failed on more than one machine, in lease durations.
MAX_RETRY_BACKOFF_LEASES = 6.0
# The first back-off of a job or of a machine, in lease durations; it doubles with each further
# failure.
FIRST_RETRY_BACKOFF_LEASES = 0.25
# How often the back-off of a job is doubled at most: more than it takes to the longest one. A power
# with the number of failures in it would be too large for a float after a thousand of them.
MAX_RETRY_BACKOFF_DOUBLINGS = 5
# No task may wait this long beside a machine that fits and has room, in seconds.
MAX_WAIT_BESIDE_ROOM_SECONDS = 90.0
# A job that has failed on this many machines gets no further one rented: the mistake is taken for
# its own.
MAX_FAILED_MACHINES = 3
# How long a job avoids a machine after a failure there, in seconds. The rest of the longest wait is
# left for the next plan and the machine's next heartbeats.
MACHINE_AVOIDANCE_SECONDS = 0.5 * MAX_WAIT_BESIDE_ROOM_SECONDS


class MachineFailures(msgspec.Struct):
    """The failures of one job's tasks on one machine."""

    failed_at: float  # time of the latest failure, in seconds of the monotonic clock
    # Time after the latest failure in which the machine gets no task of the job even if no other
    # machine can run it, in seconds. Zero until an attempt that was started after a failure fails.
    backoff_s: float = 0.0

    def record(self, started_at: float, now: float, lease_s: float) -> None:
        """Record a further failure, of an attempt that was started at `started_at`."""
        if started_at >= self.failed_at:
            first_s = FIRST_RETRY_BACKOFF_LEASES * lease_s
            self.backoff_s = min(MACHINE_AVOIDANCE_SECONDS, max(first_s, 2 * self.backoff_s))
        self.failed_at = now


class RetryState(msgspec.Struct):
    """The failures of a job's tasks, and the time before which no task may be tried again."""

    machine_failures: dict[str, MachineFailures] = msgspec.field(default_factory=dict)  # by id
    failure_count: int = 0  # on all machines together
    not_before: float = LONG_AGO  # seconds of the monotonic clock
    # Until then, in seconds of the monotonic clock, the job avoids all machines on which it has
    # failed: it may come back from its back-off later than `MACHINE_AVOIDANCE_SECONDS` after them.
    untried_only_before: float = LONG_AGO

    def record_failure(
        self, machine_id: str, started_at: float, now: float, lease_s: float
    ) -> None:
        """Record that an attempt failed on a machine, and set the back-off of the job.

        After failures on one machine only, the job may be tried on another at once. After failures
        on several machines, it waits for an exponential back-off.

        Args:
            machine_id: The machine on which the attempt failed.
            started_at: When the attempt was started, in seconds of the monotonic clock.
            now: The current time, in seconds of the monotonic clock.
            lease_s: The duration of a worker's lease, in seconds.
        """
        self.failure_count += 1
        failures = self.machine_failures.get(machine_id)
        if failures is None:
            self.machine_failures[machine_id] = MachineFailures(now)
        else:
            failures.record(started_at, now, lease_s)
        if len(self.machine_failures) > 1:
            doublings = min(self.failure_count - 2, MAX_RETRY_BACKOFF_DOUBLINGS)
            backoff_leases = min(
                MAX_RETRY_BACKOFF_LEASES, FIRST_RETRY_BACKOFF_LEASES * 2.0**doublings
            )
            self.not_before = now + backoff_leases * lease_s
            self.untried_only_before = self.not_before + FIRST_RETRY_BACKOFF_LEASES * lease_s

    def machines_to_replace(self) -> set[str]:
        """Return the machines on which the job has failed, if it needs another one than these.

        It does once an attempt has failed that was started after another one's failure on the same
        machine. It does not if it has failed on `MAX_FAILED_MACHINES` or more: then the mistake is
        most likely its own, and it would fail on any further machine too.
        """
        if len(self.machine_failures) >= MAX_FAILED_MACHINES:
            return set()
        retried = any(failures.backoff_s > 0 for failures in self.machine_failures.values())
        return set(self.machine_failures) if retried else set()

    def avoided_machines(self, now: float) -> set[str]:
        """Return the machines to be avoided while another machine can run the job's tasks."""
        return {
            machine_id
            for machine_id, failures in self.machine_failures.items()
            if now < max(failures.failed_at + MACHINE_AVOIDANCE_SECONDS, self.untried_only_before)
        }

    def machines_in_backoff(self, now: float) -> set[str]:
        """Return the machines that may not be given a task of the job yet."""
        return {
            machine_id
            for machine_id, failures in self.machine_failures.items()
            if now < failures.failed_at + failures.backoff_s
        }
