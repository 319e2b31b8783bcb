"""The leader, and who takes over or opens blocks."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable

import msgspec

from fallpulley.blocks.messages import BlockRecord, FormatMark, Former, Session
from fallpulley.blocks.registry import BLOCKS, FORMAT, LEADER, SESSIONS, Registry
from fallpulley.blocks.session import SessionLease
from fallpulley.blocks.shares import FULL_RECORDS, blocks_wanted, machines_per_block
from fallpulley.core import Core
from fallpulley.formats import NEWEST_FORMAT
from fallpulley.state.client import Change, RequestPriority, Write
from fallpulley.state.view import View

log = logging.getLogger(__name__)

# A controller without a block gets one back after this many worker leases.
SPARE_LEASES = 2.0


class Leadership:
    """Every step is one transaction, conditioned on what it was decided on: the old holder's
    session key as it was seen (gone, or replaced by a newer process), the block's stamp and
    our own session. Whoever comes second finds a stamp changed."""

    def __init__(self, core: Core, view: View, registry: Registry, session: SessionLease) -> None:
        self.core = core
        self.view = view
        self.registry = registry
        self.session = session
        self.per_block = machines_per_block(core.settings.facts)
        self._labels = sorted({core.label, *(seed.label for seed in core.settings.seeds)})
        self._busy: dict[str, float] = {}
        self._spare_since: tuple[str, float] | None = None
        self._leaderless_since: float | None = None
        # How long to leave a free lead to others (warm standby).
        self.hold_off_s: Callable[[], float] = lambda: 0.0
        # Blocks that are to be open besides those that the machines need, named by controllers.
        self.blocks_to_open: Callable[[], list[str]] = list

    @property
    def term(self) -> int | None:
        """The term in which we lead, or None."""
        leader = self.registry.leader
        if leader is None or leader[0].boot != self.core.boot or not self.session.live():
            return None
        return leader[1]

    def tick(self) -> None:
        if not self.view.ready or not self.session.live():
            return
        leader = self.registry.leader
        ours_of_old = leader is not None and (
            leader[0].label == self.core.label and leader[0].boot != self.core.boot
        )
        if leader is not None:
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = self.core.now
        if ours_of_old or self._lead_is_free():
            self._lead()
        leading = self.term is not None
        for label, (record, stamp) in self.registry.blocks.items():
            ours = record.holder == self.core.label and record.boot != self.core.boot
            if ours or (leading and not self.registry.holder_alive(record)):
                self._take(label, record, stamp)
        if leading:
            self._open_wanted()
            if self.registry.format < NEWEST_FORMAT:
                self._mark_format()
        self._hand_back()

    def _lead_is_free(self) -> bool:
        """Nobody leads, and whoever should go first has had the time."""
        since = self._leaderless_since
        return since is not None and self.core.now >= since + self.hold_off_s()

    def _open_wanted(self) -> None:
        """Open as many blocks as the machines need, for controllers that hold none."""
        for named in self.blocks_to_open():
            self._open(named, named)
        blocks = self.registry.blocks
        machines = sum(len(record.machines) for record, _ in blocks.values())
        controllers = len(self.registry.sessions)
        if len(blocks) < blocks_wanted(machines, controllers, self.per_block):
            label = self._without_block()
            if label is not None and label not in blocks:
                self._open(label, label)
                return
        full_bytes = FULL_RECORDS * self.core.value_bytes
        if self.core.newer_format and self.registry.older:
            return  # they shrink first: a second block would cost more than it carries
        if self.core.parts_format and not all(record.parts for record, _ in blocks.values()):
            return  # a record that is full is laid out in parts first
        if blocks and all(self.registry.filled[label] > full_bytes for label in blocks):
            # However few controllers there are, the records must hold all machines.
            more = (f"{self.core.label}.{number}" for number in itertools.count(2))
            names = itertools.chain(self._labels, more)
            self._open(next(name for name in names if name not in blocks), self.core.label)

    def _agreed_format(self) -> int:
        """The newest that all controllers have been seen to know: none comes back with a process
        that does not."""
        known = self.registry.formats
        if len(self._labels) < self.core.settings.facts.nodes:
            return self.core.record_format
        agreed = min(known.get(label, 0) for label in self._labels)
        return max(self.core.record_format, agreed)

    def _mark_format(self) -> None:
        """From here on records may be written in a newer format. There is no way back; nothing
        waits for it."""
        agreed = self._agreed_format()
        if agreed <= self.registry.format or not self._guard(FORMAT):
            return
        log.info("records newer format is marked format=%d", agreed)
        self.core.state.write(
            Write(
                {FORMAT: self.view.stamp(FORMAT)},
                [Change(FORMAT, msgspec.json.encode(FormatMark(agreed)))],
                lambda status, ledger: self._done(FORMAT, f"format {status}"),
                RequestPriority.ACCEPT,
                alone=True,
                expires_at=self.core.now + 0.9,
            )
        )

    def _without_block(self) -> str | None:
        """A live controller that holds no block, ourselves first."""
        holders = {record.holder for record, _ in self.registry.blocks.values()}
        free = sorted(set(self.registry.sessions) - holders)
        return self.core.label if self.core.label in free else next(iter(free), None)

    def _hand_back(self) -> None:
        """Holding several blocks after a takeover, give one to a controller without any, once
        it has been back for a while. To the new holder this is a takeover like any other."""
        ours = [
            label
            for label, (record, _) in self.registry.blocks.items()
            if (record.holder, record.boot) == (self.core.label, self.core.boot)
        ]
        to = self._without_block() if len(ours) > 1 else None
        if to is None or to == self.core.label:
            self._spare_since = None
            return
        if self._spare_since is None or self._spare_since[0] != to:
            self._spare_since = (to, self.core.now)
        if self.core.now - self._spare_since[1] < SPARE_LEASES * self.core.lease_s:
            return
        self.give(to if to in ours else max(ours), to)

    def give(self, label: str, to: str) -> None:
        """Make another live controller the holder of a block of ours."""
        key = BLOCKS + label
        if to not in self.registry.sessions or not self._guard(key):
            return
        record, stamp = self.registry.blocks[label]
        session, session_stamp = self.registry.sessions[to]
        log.info("block given block=%s to=%s", label, to)
        conditions = {key: stamp, SESSIONS + to: session_stamp}
        formers = self.registry.formers(record, self.core.label, self.core.boot)
        value = self._encode(record, to, session.boot, formers)
        self._write(key, conditions, value)

    def _guard(self, key: str) -> bool:
        """One write a key at a time; repeated when its answer is overdue."""
        now = self.core.now
        if now < self._busy.get(key, float("-inf")):
            return False
        self._busy[key] = now + 1.0
        return True

    def _done(self, key: str, what: str) -> None:
        log.debug("leadership write key=%s %s", key, what)
        self._busy[key] = self.core.now + 0.2

    def _lead(self) -> None:
        if not self._guard(LEADER):
            return
        value = msgspec.json.encode(Session(self.core.label, self.core.boot, self.session.format))
        self.core.state.write(
            Write(
                {
                    LEADER: self.view.stamp(LEADER),
                    self.session.key: self.view.stamp(self.session.key),
                },
                [Change(LEADER, value, self.session.tenure)],
                lambda status, ledger: self._done(LEADER, f"lead {status}"),
                RequestPriority.RENEWAL,
                alone=True,
                expires_at=self.core.now + 0.9,
            )
        )

    def _take(self, label: str, record: BlockRecord, stamp: int) -> None:
        key = BLOCKS + label
        if not self._guard(key):
            return
        log.info("takeover begins block=%s from=%s term=%d", label, record.holder, stamp)
        old = SESSIONS + record.holder
        conditions = {
            key: stamp,
            self.session.key: self.view.stamp(self.session.key),
            old: self.view.stamp(old),
        }
        formers = self.registry.formers(record, self.core.label, self.core.boot)
        formers = [former for former in formers if former.boot != self.core.boot]
        value = self._encode(record, self.core.label, self.core.boot, formers)
        self._write(key, conditions, value)

    def _open(self, label: str, holder: str) -> None:
        key = BLOCKS + label
        if not self._guard(key):
            return
        session, stamp = self.registry.sessions[holder]
        conditions = {key: 0, SESSIONS + holder: stamp}
        empty = BlockRecord(holder, session.boot, {})
        self._write(key, conditions, self._encode(empty, holder, session.boot, []))

    def _encode(self, record: BlockRecord, holder: str, boot: str, formers: list[Former]) -> bytes:
        """The record under another holder. Its parts stay as they are: one write, however many
        machines there are."""
        changed = msgspec.structs.replace(record, holder=holder, boot=boot, earlier=formers)
        return changed.encode(self.core.newer_format, self.core.value_bytes)

    def _write(self, key: str, conditions: dict[str, int], value: bytes) -> None:
        self.core.state.write(
            Write(
                conditions,
                [Change(key, value)],
                lambda status, ledger: self._done(key, f"take {status}"),
                RequestPriority.RENEWAL,
                alone=True,
                expires_at=self.core.now + 0.9,
            )
        )
