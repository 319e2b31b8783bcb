"""The access to its controller that is given to an extension with records of its own."""

from __future__ import annotations

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteCallback
from fallpulley.state.watch_cache import WatchCache

# A write that is still queued after this time is abandoned; its extension decides again.
MAX_WRITE_WAIT_SECONDS = 2.0


class ControllerAccess(msgspec.Struct, frozen=True):
    """The components that extensions read, and the way they write their records."""

    context: ControllerContext
    watch: WatchCache
    registry: Registry
    session: SessionLease
    leadership: Leadership
    owned_shards: OwnedShards

    @property
    def is_leader(self) -> bool:
        """Whether this controller is the leader, by the records as last seen."""
        return self.leadership.term is not None

    def compare_and_set(
        self,
        conditions: dict[str, int],
        change: Change,
        on_result: WriteCallback,
        priority: RequestPriority,
        *,
        isolated: bool = False,
    ) -> None:
        """Write one record if every key in `conditions` still has the given revision.

        `isolated` keeps the write out of transactions with other writes, whose conditions could
        fail and take this write with them.
        """
        self.context.state_client.write(
            Write(
                conditions,
                [change],
                on_result,
                priority,
                isolated=isolated,
                expires_at=self.context.now + MAX_WRITE_WAIT_SECONDS,
            )
        )
