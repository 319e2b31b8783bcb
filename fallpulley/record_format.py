"""The formats of stored records, and which of them is written.

A process publishes the newest format that it knows. A newer one is written once every controller
knows it, and never taken back.
"""

from __future__ import annotations

import logging

from fallpulley.settings import StateLimits
from fallpulley.state.client import StateClient

log = logging.getLogger(__name__)

# What every version reads.
FIRST_FORMAT = 1
# Machines by runs of numbered names, progress values that name their size, several machines in a
# release record, jobs that depend on others.
COMPACT_FORMAT = 2
# A shard's machines may stand in several values, its pages.
PAGED_FORMAT = 3
NEWEST_FORMAT = PAGED_FORMAT

# Of the room that a value has, what a record may fill.
MAX_VALUE_SHARE = 0.95


class RecordFormat:
    """The format in which this controller writes, and the limits that values must keep."""

    def __init__(self, limits: StateLimits, nodes: int, state_client: StateClient) -> None:
        self.number = FIRST_FORMAT
        # Of what holds now and what will hold after an upgrade, the stricter of each.
        self.strictest_limits = limits.strictest()
        self._limits = limits
        self._nodes = nodes
        self._state_client = state_client
        if self.strictest_limits.value_kb < limits.value_kb:
            state_client.future_value_bytes = self.strictest_limits.value_kb * 1024
            state_client.on_future_limits = self._on_future_limits

    @property
    def compact(self) -> bool:
        """Records may be written as the first version could not read them."""
        return self.number >= COMPACT_FORMAT

    @property
    def paged(self) -> bool:
        """A shard's machines may stand in several values."""
        return self.number >= PAGED_FORMAT

    @property
    def txn_ops(self) -> int:
        """Puts and deletes that one transaction may hold."""
        return self.strictest_limits.txn_ops

    @property
    def value_bytes(self) -> int:
        """What a value may hold now.

        Once no controller needs the first format, no more than the state service will allow, so
        that nothing changes when its future limits begin to hold.
        """
        limits = self.strictest_limits if self.compact else self._limits
        return int(limits.value_kb * 1024 * MAX_VALUE_SHARE)

    def adopt(self, number: int) -> None:
        """Write records in this format from now on; there is no way back."""
        if self.number >= number:
            return
        log.info("record format adopted format=%d", number)
        if not self.compact:
            future = self.strictest_limits
            self._state_client.expect_lower_rates(
                future.rps / self._nodes, future.write_rps / self._nodes
            )
        self.number = number

    def _on_future_limits(self) -> None:
        """A value was refused that was allowed before.

        Future limits hold only after the last controller was upgraded, whether or not all have
        been seen since: nobody needs the first format any more.
        """
        log.info("state limits lowered value_kb=%g", self.strictest_limits.value_kb)
        self.adopt(COMPACT_FORMAT)
