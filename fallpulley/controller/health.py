"""The controller's health: whether it takes requests, and whether it may respond to machines."""

from __future__ import annotations

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.peers import PEER_HEARTBEAT_INTERVAL_SECONDS, Peers
from fallpulley.state.watch_cache import WatchCache

# A controller that has read no records for this many peer heartbeat intervals after its start
# assumes an outage of the state service, unless a peer has reached it.
STARTUP_OUTAGE_HEARTBEATS = 4.0
# A controller is isolated if it has not reached the state service for more than this many peer
# heartbeat intervals and no peer is live.
ISOLATED_HEARTBEATS = 5.0


class Health:
    """Judges the controller by its own contact with the state service and with its peers."""

    def __init__(
        self, context: ControllerContext, watch: WatchCache, session: SessionLease, peers: Peers
    ) -> None:
        self.context = context
        self.watch = watch
        self.session = session
        self.peers = peers
        self._started_at = 0.0

    def on_step(self) -> None:
        """Record the time of the first step as the controller's start."""
        if self._started_at == 0.0:
            self._started_at = self.context.now

    def staleness_s(self) -> float:
        """Return the age of this controller's copy of the records, in seconds."""
        return self.context.now - self.watch.fresh_at

    def is_healthy(self) -> bool:
        """Return whether this controller can take requests.

        It cannot if it has lost the state service while a peer has not. Neither can it if it
        reaches neither the service nor any peer: whether the service is down or the controller is
        cut off is unknown then, and other controllers serve users better. In an outage that affects
        all controllers, peers' heartbeats still arrive and report it, so that all stay healthy.
        """
        if self._is_isolated():
            return False
        if self.watch.ready:
            return not self.peers.is_watch_cache_stale(self.watch.fresh_at)
        # Nothing was read yet: healthy only if no peer can read the records either.
        waited_s = self.context.now - self._started_at
        return (
            waited_s > STARTUP_OUTAGE_HEARTBEATS * PEER_HEARTBEAT_INTERVAL_SECONDS
            and not self.peers.is_watch_cache_stale(
                self._started_at - PEER_HEARTBEAT_INTERVAL_SECONDS
            )
        )

    def _is_isolated(self) -> bool:
        last_contact = max(self.watch.fresh_at, self._started_at)
        return (
            bool(self.context.settings.peers)
            and self.context.now - last_contact
            > ISOLATED_HEARTBEATS * PEER_HEARTBEAT_INTERVAL_SECONDS
            and self.peers.has_no_live_peer()
        )

    def certainly_owned_at(self) -> float:
        """Return the latest time at which this controller certainly owned the shards it holds.

        No other controller can acquire them while its session exists, unless it hands them over
        itself. After that, the last read of the records has shown that it still owned them when the
        read was sent.
        """
        return self.context.now if self.session.is_live() else self.watch.fresh_at

    def may_respond_to_machines(self) -> bool:
        """Return whether this controller may respond to its machines.

        It may within the response window, which begins at its last renewal of the session or at its
        last read of the records, whichever is earlier. Until the window ends, no other controller
        can have confirmed its machines empty.
        """
        last = min(self.session.renewed_at, self.watch.fresh_at)
        return self.context.now < last + self.context.timing.response_window_s
