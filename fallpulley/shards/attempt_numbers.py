"""Numbers of attempts: no two owners of a shard, and no two attempts of one owner, share one.

A number is a revision of the shard's record that only this owner has written, then a counter.
"""

from __future__ import annotations

COUNTER_BITS = 22  # of a number, the lowest bits


class AttemptNumbers:
    """Counts up from the revision at which the shard was acquired, and goes on from a newer one
    before the counter is used up: thousands of machines start a few million tasks within hours."""

    def __init__(self, acquired_revision: int, counter_bits: int = COUNTER_BITS) -> None:
        """`acquired_revision`: of the record that made this controller the shard's owner."""
        self._counter_bits = counter_bits
        self._revision = acquired_revision
        self._counter = 0
        self.issued = 0  # how many numbers have been given out
        self.first = acquired_revision << counter_bits  # a lower bound of all numbers of this owner

    @property
    def needs_new_revision(self) -> bool:
        """The counter is half used up: the record needs a newer revision to count on from."""
        return self._counter >= 1 << (self._counter_bits - 1)

    def next(self, newest_revision: int) -> int | None:
        """A number not used before; None where the counter is used up and there is no newer
        revision. `newest_revision`: of the shard's record, still written by this owner."""
        if self.needs_new_revision and newest_revision > self._revision:
            self._revision = newest_revision
            self._counter = 0
        if self._counter + 1 >= 1 << self._counter_bits:
            return None
        self._counter += 1
        self.issued += 1
        return (self._revision << self._counter_bits) + self._counter
