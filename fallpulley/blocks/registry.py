"""The shared records of sessions, leadership, blocks and machines, as last seen."""

from __future__ import annotations

import logging
from typing import TypeVar

import msgspec

from fallpulley.blocks.messages import (
    BlockRecord,
    FormatMark,
    Former,
    Retired,
    Session,
    TeamHome,
    decode_block,
)
from fallpulley.fleet.messages import Catalog, MachineType

log = logging.getLogger(__name__)

LEADER = "live/leader"
FORMAT = "live/format"
CATALOG = "live/catalog"
SHARES = "live/shares"
BLOCKS, SESSIONS, TEAMS, RETIRED = "live/block/", "live/session/", "live/team/", "live/retire/"

T = TypeVar("T")


class Registry:
    def __init__(self) -> None:
        self.sessions: dict[str, tuple[Session, int]] = {}
        self.leader: tuple[Session, int] | None = None
        self.blocks: dict[str, tuple[BlockRecord, int]] = {}
        self.filled: dict[str, int] = {}  # block -> bytes of its record's value
        self.older: set[str] = set()  # blocks whose records are in the older format
        self.host_block: dict[str, str] = {}
        self.homes: dict[str, str] = {}
        self.retired: dict[str, str] = {}  # machine to be released -> its record's key
        self.retiring: dict[str, list[str]] = {}  # key -> its machines
        self.formats: dict[str, int] = {}  # label -> record format its last process seen knows
        self.format = 1  # that records may be written in
        self.types: dict[str, MachineType] = {}
        self.lost_sessions: dict[str, int] = {}  # label -> stamp at which it was last dropped

    def on_key(self, key: str, value: bytes | None, stamp: int) -> None:
        if key.startswith(BLOCKS):
            label = key[len(BLOCKS) :]
            self.filled[label] = len(value or b"")
            record = _block(value)
            if record is not None and not record.newer:
                self.older.add(label)
            else:
                self.older.discard(label)
            self._on_block(label, record, stamp)
        elif key.startswith(SESSIONS):
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
            for host in self.retiring.pop(key, ()):
                self.retired.pop(host, None)
            going = _decode(value, Retired)
            if going is not None:
                hosts = going.hosts or [key[len(RETIRED) :]]
                self.retiring[key] = hosts
                self.retired.update(dict.fromkeys(hosts, key))
        elif key.startswith(TEAMS):
            home = _decode(value, TeamHome)
            if home is not None:
                self.homes[key[len(TEAMS) :]] = home.block
        elif key == CATALOG:
            catalog = _decode(value, Catalog)
            if catalog is not None:
                self.types = {kind.label: kind for kind in catalog.builds}

    def _on_block(self, label: str, record: BlockRecord | None, stamp: int) -> None:
        old = self.blocks.get(label)
        if old is not None:
            for host in old[0].machines:
                if self.host_block.get(host) == label:
                    del self.host_block[host]
        if record is None:
            self.blocks.pop(label, None)
            return
        self.blocks[label] = (record, stamp)
        for host in record.machines:
            self.host_block[host] = label

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


def _block(value: bytes | None) -> BlockRecord | None:
    if value is None:
        return None
    try:
        return decode_block(value)
    except msgspec.MsgspecError:
        log.error("state broken record %.80r", value)
        return None


def _decode(value: bytes | None, shape: type[T]) -> T | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=shape)
    except msgspec.MsgspecError:
        log.error("state broken record %.80r", value)
        return None
