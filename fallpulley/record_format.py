"""The formats of stored records, and the choice of the one to write.

Each process publishes the newest format that it can read. Controllers begin to write a newer format
once all of them can read it, and never go back to an older one.
"""

from __future__ import annotations

import logging

from fallpulley.settings import StateLimits
from fallpulley.state.client import StateClient

log = logging.getLogger(__name__)

# The format that every version can read.
FIRST_FORMAT = 1
# Adds machines encoded as ranges of numbered names, progress values that contain their size,
# release records with several machines, and jobs that depend on others.
COMPACT_FORMAT = 2
# Adds shard records whose machines are split into several values, the record's pages.
PAGED_FORMAT = 3
NEWEST_FORMAT = PAGED_FORMAT

# Share of the size limit of values that controllers use.
MAX_VALUE_SHARE = 0.95


class RecordFormat:
    """The record format that this controller writes, and the limits on values and transactions."""

    def __init__(
        self, limits: StateLimits, controller_count: int, state_client: StateClient
    ) -> None:
        self.number = FIRST_FORMAT
        # For each limit, the lower of the present one and the one announced in the settings for
        # some time after an upgrade.
        self.strictest_limits = limits.strictest()
        self._limits = limits
        self._controller_count = controller_count
        self._state_client = state_client
        if self.strictest_limits.value_kb < limits.value_kb:
            state_client.future_max_value_bytes = self.strictest_limits.value_kb * 1024
            state_client.on_future_limits = self._on_future_limits

    @property
    def compact(self) -> bool:
        """Whether records may be written in formats that the first version cannot read."""
        return self.number >= COMPACT_FORMAT

    @property
    def paged(self) -> bool:
        """Whether a shard's machines may be split into several values."""
        return self.number >= PAGED_FORMAT

    @property
    def max_transaction_changes(self) -> int:
        """Maximum number of changes (puts and deletes) in one transaction."""
        return self.strictest_limits.txn_ops

    @property
    def max_value_bytes(self) -> int:
        """Maximum size in bytes of a value that this controller writes.

        Once no controller needs the first format, the announced limit counts if it is lower, so
        that nothing changes when it comes into force.
        """
        limits = self.strictest_limits if self.compact else self._limits
        return int(limits.value_kb * 1024 * MAX_VALUE_SHARE)

    def adopt(self, number: int) -> None:
        """Write records in this format from now on; do nothing if it is not newer."""
        if self.number >= number:
            return
        log.info("record format adopted format=%d", number)
        if not self.compact:
            future = self.strictest_limits
            self._state_client.expect_lower_rates(
                future.rps / self._controller_count, future.write_rps / self._controller_count
            )
        self.number = number

    def _on_future_limits(self) -> None:
        """Adopt the compact format: the state service refused a value that it allowed before.

        The announced limits come into force only after the last controller was upgraded. So no
        controller needs the first format any more, even if not all have been seen since.
        """
        log.info(
            "state service enforces its announced lower limits value_kb=%g",
            self.strictest_limits.value_kb,
        )
        self.adopt(COMPACT_FORMAT)
