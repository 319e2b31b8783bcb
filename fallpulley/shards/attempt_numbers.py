"""Attempt numbers that are unique across all attempts of all owners of a shard.

The high bits of a number are a revision of the shard's record that only this owner has written;
the low bits are a counter.
"""

from __future__ import annotations

COUNTER_BITS = 22  # how many low bits of a number hold the counter


class AttemptNumbers:
    """Issues the attempt numbers of one owner of a shard.

    Numbers begin with the revision at which the shard was acquired. Before the counter is used up,
    they continue with a newer revision of the shard's record and a new counter: thousands of
    machines start a few million tasks within hours.
    """

    def __init__(self, acquired_revision: int, counter_bits: int = COUNTER_BITS) -> None:
        """Start counting.

        Args:
            acquired_revision: Revision of the record that made this controller the shard's owner.
            counter_bits: How many low bits of a number hold the counter.
        """
        self._counter_bits = counter_bits
        self._revision = acquired_revision
        self._counter = 0
        self.issued = 0  # how many numbers have been issued
        self.first = acquired_revision << counter_bits  # lower bound of this owner's numbers

    @property
    def needs_new_revision(self) -> bool:
        """Whether the counter is half used up, so that the record should get a newer revision."""
        return self._counter >= 1 << (self._counter_bits - 1)

    def next(self, newest_revision: int) -> int | None:
        """Return a number that was not issued before.

        Args:
            newest_revision: Newest revision of the shard's record, which this owner has written.

        Returns:
            The number, or None if the counter is used up and there is no newer revision.
        """
        if self.needs_new_revision and newest_revision > self._revision:
            self._revision = newest_revision
            self._counter = 0
        if self._counter + 1 >= 1 << self._counter_bits:
            return None
        self._counter += 1
        self.issued += 1
        return (self._revision << self._counter_bits) + self._counter
