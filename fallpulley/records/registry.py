"""The shared records of sessions, leadership, blocks and machines, as last seen."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TypeVar

import msgspec

from fallpulley.fleet.messages import Catalog, MachineType
from fallpulley.records.machine_encoding import entry_cache
from fallpulley.records.shard_record import (
    FormatMarker,
    MachinePage,
    PreviousOwner,
    ReleaseRecord,
    Session,
    ShardHeader,
    ShardRecord,
    TeamShard,
    decode_page,
    decode_shard_header,
)

log = logging.getLogger(__name__)

LEADER_KEY = "live/leader"
FORMAT_KEY = "live/format"
CATALOG_KEY = "live/catalog"
SHARES_KEY = "live/shares"
SHARD_PREFIX, SESSION_PREFIX, TEAM_PREFIX, RELEASE_PREFIX = (
    "live/block/",
    "live/session/",
    "live/team/",
    "live/retire/",
)
# Not under BLOCKS: there a version that does not know parts would take each for a block.
PAGE_PREFIX = "live/machines/"

T = TypeVar("T")
MachineShape = tuple[str, str, bool]  # type, zone, spot


def page_key(shard_id: str, number: int) -> str:
    """Where a part of a block's machines stands."""
    return f"{PAGE_PREFIX}{shard_id}/{number}"


def _parse_page_key(key: str) -> tuple[str, int] | None:
    shard_id, _, number = key[len(PAGE_PREFIX) :].rpartition("/")
    return (shard_id, int(number)) if shard_id and number.isdigit() else None


class Registry:
    """The newest copy of each record. A block whose machines stand in parts is shown once its
    record and all parts that it names are from one revision."""

    def __init__(self) -> None:
        self.sessions: dict[str, tuple[Session, int]] = {}
        self.leader: tuple[Session, int] | None = None
        self.shards: dict[str, tuple[ShardRecord, int]] = {}
        self.record_bytes: dict[str, int] = {}  # block -> bytes of its record's value
        self.first_format_shards: set[str] = set()  # blocks whose records are in the older format
        self.shard_of_machine: dict[str, str] = {}
        self._headers: dict[str, tuple[ShardHeader, int]] = {}  # with parts, and their stamps
        self._pages: dict[str, dict[int, MachinePage]] = {}  # block -> its parts as last seen
        self._processors_by_shape: dict[
            str, tuple[int, dict[MachineShape, float]]
        ] = {}  # by block, with its stamp
        self.team_shards: dict[str, str] = {}
        self.release_records: dict[str, str] = {}  # machine to be released -> its record's key
        self.machines_by_release_record: dict[str, list[str]] = {}  # key -> its machines
        self.known_formats: dict[
            str, int
        ] = {}  # label -> record format its last process seen knows
        self.record_format = 1  # that records may be written in
        self.machine_types: dict[str, MachineType] = {}
        self.lost_sessions: dict[str, int] = {}  # label -> stamp at which it was last dropped

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> str | None:
        """Take a record; returns the block whose record, as it is shown, has changed with it."""
        if key.startswith(SHARD_PREFIX):
            return self._on_shard_record(key[len(SHARD_PREFIX) :], value, mod_revision)
        if key.startswith(PAGE_PREFIX):
            return self._on_page(key, value)
        self._on_small_record(key, value, mod_revision)
        return None

    def _on_small_record(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if key.startswith(SESSION_PREFIX):
            shard_id = key[len(SESSION_PREFIX) :]
            session = _decode(value, Session)
            if session is None:
                self.sessions.pop(shard_id, None)
            else:
                self.sessions[shard_id] = (session, mod_revision)
                if self.known_formats.get(shard_id) != session.record_format:
                    log.info("controller format label=%s knows=%d", shard_id, session.record_format)
                self.known_formats[shard_id] = session.record_format
        elif key == FORMAT_KEY:
            mark = _decode(value, FormatMarker)
            self.record_format = max(
                self.record_format, mark.record_format if mark is not None else 1
            )
        elif key == LEADER_KEY:
            leader = _decode(value, Session)
            self.leader = None if leader is None else (leader, mod_revision)
            log.info("leader %s term=%d", leader.controller_id if leader else "none", mod_revision)
        elif key.startswith(RELEASE_PREFIX):
            for machine_id in self.machines_by_release_record.pop(key, ()):
                self.release_records.pop(machine_id, None)
            going = _decode(value, ReleaseRecord)
            if going is not None:
                machine_ids = going.machine_ids or [key[len(RELEASE_PREFIX) :]]
                self.machines_by_release_record[key] = machine_ids
                self.release_records.update(dict.fromkeys(machine_ids, key))
        elif key.startswith(TEAM_PREFIX):
            home = _decode(value, TeamShard)
            if home is not None:
                self.team_shards[key[len(TEAM_PREFIX) :]] = home.shard_id
        elif key == CATALOG_KEY:
            catalog = _decode(value, Catalog)
            if catalog is not None:
                self.machine_types = {
                    machine_type.name: machine_type for machine_type in catalog.machine_types
                }
                self._processors_by_shape.clear()

    def _on_shard_record(self, shard_id: str, value: bytes | None, mod_revision: int) -> str | None:
        self.record_bytes[shard_id] = len(value or b"")
        header = _decode_header(value)
        if header is not None and not header.record.compact:
            self.first_format_shards.add(shard_id)
        else:
            self.first_format_shards.discard(shard_id)
        if header is None or not header.page_versions:
            self._headers.pop(shard_id, None)
            self._publish(shard_id, None if header is None else header.record, mod_revision)
            return shard_id
        self._headers[shard_id] = (header, mod_revision)
        return self._assemble(shard_id)

    def _on_page(self, key: str, value: bytes | None) -> str | None:
        named = _parse_page_key(key)
        if named is None:
            return None
        shard_id, number = named
        page = _decode_page(value)
        pages = self._pages.setdefault(shard_id, {})
        if page is None:
            pages.pop(number, None)
            return None
        pages[number] = page
        return self._assemble(shard_id)

    def _assemble(self, shard_id: str) -> str | None:
        """Show the block if its record and its parts belong together. One transaction writes both,
        but they arrive one after the other, and pages of a listing may lie a change apart."""
        entry = self._headers.get(shard_id)
        if entry is None:
            return None
        header, mod_revision = entry
        shown = self.shards.get(shard_id)
        if shown is not None and shown[1] >= mod_revision:
            return None
        pages = self._pages.get(shard_id, {})
        found: dict[int, MachinePage] = {}
        for number, version in header.page_versions.items():
            page = pages.get(number)
            if page is None or page.version != version:
                return None
            found[number] = page
        machines = {}
        for page in found.values():
            machines.update(page.machines)
        record = header.record
        self._publish(
            shard_id,
            ShardRecord(
                record.owner, record.incarnation, machines, record.previous_owners, True, found
            ),
            mod_revision,
        )
        return shard_id

    def _publish(self, shard_id: str, record: ShardRecord | None, mod_revision: int) -> None:
        old = self.shards.get(shard_id)
        before = old[0].machines.keys() if old is not None else set()
        after = record.machines.keys() if record is not None else set()
        for machine_id in before - after:
            if self.shard_of_machine.get(machine_id) == shard_id:
                del self.shard_of_machine[machine_id]
        if record is None:
            self.shards.pop(shard_id, None)
            return
        self.shards[shard_id] = (record, mod_revision)
        for machine_id in record.machines if old is None else after - before:
            self.shard_of_machine[machine_id] = shard_id
        entry_cache.fit(sum(len(record.machines) for record, _ in self.shards.values()))

    def processors(self, shard_id: str) -> float:
        """Of all machines in a block's record."""
        return sum(self.processors_by_shape(shard_id).values())

    def processors_by_shape(self, shard_id: str) -> dict[MachineShape, float]:
        """Processors of a block's machines by type, zone and whether they are spot ones."""
        record, mod_revision = self.shards[shard_id]
        known = self._processors_by_shape.get(shard_id)
        if known is not None and known[0] == mod_revision:
            return known[1]
        numbers = Counter((m.machine_type, m.zone, m.spot) for m in record.machines.values())
        found = {
            machine_type: number * self.machine_types[machine_type[0]].cpus
            for machine_type, number in numbers.items()
            if machine_type[0] in self.machine_types
        }
        self._processors_by_shape[shard_id] = (mod_revision, found)
        return found

    def owners(self) -> dict[str, PreviousOwner]:
        """Who owns each shard now."""
        return {
            shard_id: PreviousOwner(record.owner, record.incarnation)
            for shard_id, (record, _) in self.shards.items()
        }

    def owner_of(self, shard_id: str) -> str | None:
        entry = self.shards.get(shard_id)
        return None if entry is None else entry[0].owner

    def has_ended(self, previous: PreviousOwner, shard_id: str, incarnation: str) -> bool:
        """A newer process of a label (`label` and `boot` are our own) means that the older one
        has ended: records come in one order, so a session seen now is the newest."""
        session = self.sessions.get(previous.controller_id)
        compact = session is not None and session[0].incarnation != previous.incarnation
        return compact or (
            previous.controller_id == shard_id and previous.incarnation != incarnation
        )

    def previous_owners(
        self, record: ShardRecord, shard_id: str, incarnation: str
    ) -> list[PreviousOwner]:
        """The former holders of a block that changes hands: those not known to have ended."""
        found = [*record.previous_owners, PreviousOwner(record.owner, record.incarnation)]
        return [f for f in dict.fromkeys(found) if not self.has_ended(f, shard_id, incarnation)]

    def owner_alive(self, record: ShardRecord) -> bool:
        session = self.sessions.get(record.owner)
        return session is not None and session[0].incarnation == record.incarnation


def _decode_header(value: bytes | None) -> ShardHeader | None:
    if value is None:
        return None
    try:
        return decode_shard_header(value)
    except msgspec.MsgspecError:
        log.error("state broken record %.80r", value)
        return None


def _decode_page(value: bytes | None) -> MachinePage | None:
    if value is None:
        return None
    try:
        return decode_page(value)
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
