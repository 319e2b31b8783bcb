"""Durations derived from the settings: heartbeats, leases, sessions and the response window."""

from __future__ import annotations

import msgspec

from fallpulley.settings import Settings

# Factor that covers the drift between two monotonic clocks: each may drift by up to 0.05%, in
# opposite directions.
CLOCK_DRIFT = 1.001
# Share of the time in which a cancelled task must have ended (`cancel_s`) that is reserved for
# responses in flight, slow steps and clock drift.
CANCELLATION_SLACK_SHARE = 0.1
# A time of the monotonic clock before all others: of events that have not occurred, and of waits
# that are over.
LONG_AGO = float("-inf")
# Share of the heartbeat interval by which a worker's heartbeat may be late.
HEARTBEAT_JITTER_SHARE = 0.25


class Timing(msgspec.Struct, frozen=True):
    """The durations of heartbeats, leases and sessions, in seconds."""

    heartbeat_interval_s: float  # time between two heartbeats of a worker
    lease_s: float  # duration of a worker's lease
    # How long an owner that cannot reach the state service continues to respond to its machines.
    response_window_s: float
    session_s: float  # duration of a controller's session from its last renewal
    # Time from a response to a worker until the lease that it renewed has certainly expired.
    lease_expiry_s: float


def derive_timing(settings: Settings) -> Timing:
    """Return the durations of a deployment; an enabled standby may shorten sessions."""
    workers = settings.facts.workers
    slack_s = CANCELLATION_SLACK_SHARE * workers.cancel_s
    session_s = settings.operators.session_share * workers.lease_s
    standby = settings.operators.standby
    if standby.enabled:
        session_s = min(session_s, standby.session_s)
    return Timing(
        heartbeat_interval_s=workers.report_s,
        lease_s=workers.lease_s,
        response_window_s=workers.cancel_s - workers.lease_s - slack_s,
        session_s=session_s,
        lease_expiry_s=workers.lease_s * CLOCK_DRIFT + HEARTBEAT_JITTER_SHARE * workers.report_s,
    )
