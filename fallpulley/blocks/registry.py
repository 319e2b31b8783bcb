"""The shared records of sessions, leadership, blocks and machines, as last seen."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TypeVar

import msgspec

from fallpulley.blocks.messages import (
    BlockHead,
    BlockRecord,
    FormatMark,
    Former,
    Part,
    Retired,
    Session,
    TeamHome,
    decode_head,
    decode_part,
)
from fallpulley.blocks.packing import entry_cache
from fallpulley.fleet.messages import Catalog, MachineType

log = logging.getLogger(__name__)

LEADER = "live/leader"
FORMAT = "live/format"
CATALOG = "live/catalog"
SHARES = "live/shares"
BLOCKS, SESSIONS, TEAMS, RETIRED = "live/block/", "live/session/", "live/team/", "live/retire/"
# Not under BLOCKS: there a version that does not know parts would take each for a block.
PARTS = "live/machines/"

T = TypeVar("T")
Kind = tuple[str, str, bool]  # type, zone, spot


def part_key(label: str, number: int) -> str:
    """Where a part of a block's machines stands."""
    return f"{PARTS}{label}/{number}"


def _named_part(key: str) -> tuple[str, int] | None:
    label, _, number = key[len(PARTS) :].rpartition("/")
    return (label, int(number)) if label and number.isdigit() else None


class Registry:
    """The newest copy of each record. A block whose machines stand in parts is shown once its
    record and all parts that it names are from one revision."""

    def __init__(self) -> None:
        self.sessions: dict[str, tuple[Session, int]] = {}
        self.leader: tuple[Session, int] | None = None
        self.blocks: dict[str, tuple[BlockRecord, int]] = {}
        self.filled: dict[str, int] = {}  # block -> bytes of its record's value
        self.older: set[str] = set()  # blocks whose records are in the older format
        self.shard_of_machine: dict[str, str] = {}
        self._heads: dict[str, tuple[BlockHead, int]] = {}  # with parts, and their stamps
        self._parts: dict[str, dict[int, Part]] = {}  # block -> its parts as last seen
        self._kinds: dict[str, tuple[int, dict[Kind, float]]] = {}  # by block, with its stamp
        self.homes: dict[str, str] = {}
        self.retired: dict[str, str] = {}  # machine to be released -> its record's key
        self.retiring: dict[str, list[str]] = {}  # key -> its machines
        self.formats: dict[str, int] = {}  # label -> record format its last process seen knows
        self.format = 1  # that records may be written in
        self.machine_types: dict[str, MachineType] = {}
        self.lost_sessions: dict[str, int] = {}  # label -> stamp at which it was last dropped

    def on_key(self, key: str, value: bytes | None, stamp: int) -> str | None:
        """Take a record; returns the block whose record, as it is shown, has changed with it."""
        if key.startswith(BLOCKS):
            return self._on_head(key[len(BLOCKS) :], value, stamp)
        if key.startswith(PARTS):
            return self._on_part(key, value)
        self._on_other(key, value, stamp)
        return None

    def _on_other(self, key: str, value: bytes | None, stamp: int) -> None:
        if key.startswith(SESSIONS):
            label = key[len(SESSIONS) :]
            session = _decode(value, Session)
            if session is None:
                self.sessions.pop(label, None)
            else:
                self.sessions[label] = (session, stamp)
                if self.formats.get(label) != session.format:
                    log.info("controller format label=%s knows=%d", label, session.format)
                self.formats[label] = session.format
        elif key == FORMAT:
            mark = _decode(value, FormatMark)
            self.format = max(self.format, mark.format if mark is not None else 1)
        elif key == LEADER:
            leader = _decode(value, Session)
            self.leader = None if leader is None else (leader, stamp)
            log.info("leader %s term=%d", leader.label if leader else "none", stamp)
        elif key.startswith(RETIRED):
            for machine_id in self.retiring.pop(key, ()):
                self.retired.pop(machine_id, None)
            going = _decode(value, Retired)
            if going is not None:
                machine_ids = going.machine_ids or [key[len(RETIRED) :]]
                self.retiring[key] = machine_ids
                self.retired.update(dict.fromkeys(machine_ids, key))
        elif key.startswith(TEAMS):
            home = _decode(value, TeamHome)
            if home is not None:
                self.homes[key[len(TEAMS) :]] = home.block
        elif key == CATALOG:
            catalog = _decode(value, Catalog)
            if catalog is not None:
                self.machine_types = {
                    machine_type.name: machine_type for machine_type in catalog.machine_types
                }
                self._kinds.clear()

    def _on_head(self, label: str, value: bytes | None, stamp: int) -> str | None:
        self.filled[label] = len(value or b"")
        head = _head(value)
        if head is not None and not head.record.newer:
            self.older.add(label)
        else:
            self.older.discard(label)
        if head is None or not head.versions:
            self._heads.pop(label, None)
            self._show(label, None if head is None else head.record, stamp)
            return label
        self._heads[label] = (head, stamp)
        return self._assemble(label)

    def _on_part(self, key: str, value: bytes | None) -> str | None:
        named = _named_part(key)
        if named is None:
            return None
        label, number = named
        part = _part(value)
        parts = self._parts.setdefault(label, {})
        if part is None:
            parts.pop(number, None)
            return None
        parts[number] = part
        return self._assemble(label)

    def _assemble(self, label: str) -> str | None:
        """Show the block if its record and its parts belong together. One transaction writes both,
        but they arrive one after the other, and pages of a listing may lie a change apart."""
        entry = self._heads.get(label)
        if entry is None:
            return None
        head, stamp = entry
        shown = self.blocks.get(label)
        if shown is not None and shown[1] >= stamp:
            return None
        parts = self._parts.get(label, {})
        found: dict[int, Part] = {}
        for number, version in head.versions.items():
            part = parts.get(number)
            if part is None or part.version != version:
                return None
            found[number] = part
        machines = {}
        for part in found.values():
            machines.update(part.machines)
        record = head.record
        self._show(
            label,
            BlockRecord(record.holder, record.boot, machines, record.earlier, True, found),
            stamp,
        )
        return label

    def _show(self, label: str, record: BlockRecord | None, stamp: int) -> None:
        old = self.blocks.get(label)
        before = old[0].machines.keys() if old is not None else set()
        after = record.machines.keys() if record is not None else set()
        for machine_id in before - after:
            if self.shard_of_machine.get(machine_id) == label:
                del self.shard_of_machine[machine_id]
        if record is None:
            self.blocks.pop(label, None)
            return
        self.blocks[label] = (record, stamp)
        for machine_id in record.machines if old is None else after - before:
            self.shard_of_machine[machine_id] = label
        entry_cache.fit(sum(len(block.machines) for block, _ in self.blocks.values()))

    def processors(self, label: str) -> float:
        """Of all machines in a block's record."""
        return sum(self.kinds(label).values())

    def kinds(self, label: str) -> dict[Kind, float]:
        """Processors of a block's machines by type, zone and whether they are spot ones."""
        record, stamp = self.blocks[label]
        known = self._kinds.get(label)
        if known is not None and known[0] == stamp:
            return known[1]
        numbers = Counter((m.machine_type, m.zone, m.spot) for m in record.machines.values())
        found = {
            machine_type: number * self.machine_types[machine_type[0]].cpus
            for machine_type, number in numbers.items()
            if machine_type[0] in self.machine_types
        }
        self._kinds[label] = (stamp, found)
        return found

    def holder_of(self, label: str) -> str | None:
        entry = self.blocks.get(label)
        return None if entry is None else entry[0].holder

    def ended(self, former: Former, label: str, boot: str) -> bool:
        """A newer process of a label (`label` and `boot` are our own) means that the older one
        has ended: records come in one order, so a session seen now is the newest."""
        session = self.sessions.get(former.label)
        newer = session is not None and session[0].boot != former.boot
        return newer or (former.label == label and former.boot != boot)

    def formers(self, record: BlockRecord, label: str, boot: str) -> list[Former]:
        """The former holders of a block that changes hands: those not known to have ended."""
        found = [*record.earlier, Former(record.holder, record.boot)]
        return [f for f in dict.fromkeys(found) if not self.ended(f, label, boot)]

    def holder_alive(self, record: BlockRecord) -> bool:
        session = self.sessions.get(record.holder)
        return session is not None and session[0].boot == record.boot


def _head(value: bytes | None) -> BlockHead | None:
    if value is None:
        return None
    try:
        return decode_head(value)
    except msgspec.MsgspecError:
        log.error("state broken record %.80r", value)
        return None


def _part(value: bytes | None) -> Part | None:
    if value is None:
        return None
    try:
        return decode_part(value)
    except msgspec.MsgspecError:
        log.error("state broken part %.80r", value)
        return None


def _decode(value: bytes | None, shape: type[T]) -> T | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=shape)
    except msgspec.MsgspecError:
        log.error("state broken record %.80r", value)
        return None
