"""Times that follow from the settings: heartbeats, leases, and how long owners may respond."""

from __future__ import annotations

import msgspec

from fallpulley.settings import Settings

# Steady clocks drift apart by up to 0.05%; twice that covers two clocks running apart.
CLOCK_DRIFT = 1.001
# Of the time in which a cancellation must have reached all tasks, what is kept for responses under
# way, slow steps and the clocks' drift.
CANCELLATION_SLACK_SHARE = 0.1
# A worker's heartbeat may be late by this share of its interval.
HEARTBEAT_JITTER_SHARE = 0.25


class Timing(msgspec.Struct, frozen=True):
    """How long heartbeats, leases and sessions last; all in seconds."""

    heartbeat_interval_s: float  # between two heartbeats of a worker
    lease_s: float  # a worker's lease
    response_window_s: float  # how long an owner without the state service goes on responding
    session_s: float  # a controller's session, from its last renewal
    lease_expiry_s: float  # from a response to a worker until its lease has certainly expired


def timing_of(settings: Settings) -> Timing:
    """The times of one deployment. An optional standby may shorten sessions."""
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
