"""Whether this controller can take requests, and whether it may respond to machines."""

from __future__ import annotations

from fallpulley.context import ControllerContext
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.peers import HEARTBEAT_SECONDS, Peers
from fallpulley.state.watch_cache import WatchCache

# A controller that could read nothing for so long after its start calls that an outage.
NEVER_READ_HEARTBEATS = 4.0
# Without state service and peers for so many heartbeats, a controller calls itself isolated.
ISOLATED_HEARTBEATS = 5.0


class Health:
    """Judged from this controller's own sight of the state service and of its peers."""

    def __init__(
        self, context: ControllerContext, watch: WatchCache, session: SessionLease, peers: Peers
    ) -> None:
        self.context = context
        self.watch = watch
        self.session = session
        self.peers = peers
        self._started_at = 0.0

    def on_step(self) -> None:
        """A step begins: the first one is the controller's start."""
        if self._started_at == 0.0:
            self._started_at = self.context.now

    def staleness_s(self) -> float:
        """How old this controller's copy of the records is, in seconds."""
        return self.context.now - self.watch.fresh_at

    def is_healthy(self) -> bool:
        """All but a controller that alone has lost the state service can take requests.

        One that reaches neither the state service nor any peer cannot tell an outage from being
        cut off: users are better served by others. In an outage seen by all, peers are heard.
        """
        if self._is_isolated():
            return False
        if self.watch.ready:
            return not self.peers.is_stale(self.watch.fresh_at)
        # Nothing read yet: healthy only if nobody else can read either.
        waited_s = self.context.now - self._started_at
        return waited_s > NEVER_READ_HEARTBEATS * HEARTBEAT_SECONDS and not self.peers.is_stale(
            self._started_at - HEARTBEAT_SECONDS
        )

    def _is_isolated(self) -> bool:
        last_contact = max(self.watch.fresh_at, self._started_at)
        return (
            bool(self.context.settings.peers)
            and self.context.now - last_contact > ISOLATED_HEARTBEATS * HEARTBEAT_SECONDS
            and self.peers.has_no_live_peer()
        )

    def is_serving(self) -> bool:
        """Within the response window: nobody can have confirmed our machines empty yet."""
        last = min(self.session.renewed_at, self.watch.fresh_at)
        return self.context.now < last + self.context.timing.response_window_s
