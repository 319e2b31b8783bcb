"""Times that follow from the settings: heartbeats, leases, and how long owners may respond."""

from __future__ import annotations

from dataclasses import dataclass

from fallpulley.settings import Settings

# Steady clocks drift apart by up to 0.05%; twice that covers two clocks running apart.
CLOCK_DRIFT = 1.001
# Of the time that a cancellation has, what is kept for responses under way, slow steps and the
# clocks' drift.
SLACK_SHARE = 0.1
# A worker's heartbeat may be late by so much of its interval.
HEARTBEAT_JITTER = 0.25


@dataclass(frozen=True, slots=True)
class Timing:
    """All in seconds."""

    report_s: float  # between two heartbeats of a worker
    lease_s: float  # a worker's
    response_window_s: float  # how long an owner without the state service goes on responding
    session_s: float  # a controller's session ends this long after its last renewal
    lease_expiry_s: float  # a worker's lease has certainly expired so long after a response to it


def timing_of(settings: Settings) -> Timing:
    """The times of one deployment."""
    workers = settings.facts.workers
    slack_s = SLACK_SHARE * workers.cancel_s
    session_s = settings.operators.session_share * workers.lease_s
    standby = settings.operators.standby
    if standby.enabled:
        session_s = min(session_s, standby.session_s)
    return Timing(
        report_s=workers.report_s,
        lease_s=workers.lease_s,
        response_window_s=workers.cancel_s - workers.lease_s - slack_s,
        session_s=session_s,
        lease_expiry_s=workers.lease_s * CLOCK_DRIFT + HEARTBEAT_JITTER * workers.report_s,
    )
