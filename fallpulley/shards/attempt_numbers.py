"""Numbers of attempts: no two holders, and no two attempts of one, have the same."""

from __future__ import annotations

# A number is a stamp of the block's record that is the holder's alone, then a counter.
COUNTER_BITS = 22


class AttemptNumbers:
    """Counts up from the stamp of the takeover, and goes on from a newer one before the counter is
    used up: thousands of machines start a few million tasks within hours."""

    def __init__(self, acquired_revision: int, bits: int = COUNTER_BITS) -> None:
        self._bits = bits
        self._mod_revision = acquired_revision
        self._counter = 0
        self.issued = 0
        self.first = (
            acquired_revision << bits
        )  # attempts of this holder have this number or a higher one

    @property
    def needs_new_revision(self) -> bool:
        """The counter is half used: a newer stamp of the record is wanted."""
        return self._counter >= 1 << (self._bits - 1)

    def next(self, newest_revision: int) -> int | None:
        """A number not used before; `newest_stamp`: of the record, which is the holder's own.
        None where the counter is used up and the record has not changed since."""
        if self.needs_new_revision and newest_revision > self._mod_revision:
            self._mod_revision = newest_revision
            self._counter = 0
        if self._counter + 1 >= 1 << self._bits:
            return None
        self._counter += 1
        self.issued += 1
        return (self._mod_revision << self._bits) + self._counter
