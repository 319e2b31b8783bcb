"""This controller's local copy of the shared records."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.cloud.messages import Catalog, MachineType
from fallpulley.shared_records.decoding import decode_or_none
from fallpulley.shared_records.keys import (
    CATALOG_KEY,
    FORMAT_KEY,
    LEADER_KEY,
    PAGE_PREFIX,
    RELEASE_PREFIX,
    SESSION_PREFIX,
    SHARD_PREFIX,
    TEAM_PREFIX,
    parse_page_key,
)
from fallpulley.shared_records.machine_encoding import entry_cache
from fallpulley.shared_records.machine_shapes import MachineShape, ProcessorCounts
from fallpulley.shared_records.messages import FormatMarker, ReleaseRecord, Session, TeamShard
from fallpulley.shared_records.page_assembly import PageAssembly
from fallpulley.shared_records.shard_record import (
    OwnerProcess,
    ShardRecord,
    decode_page,
    decode_shard_header,
)
from fallpulley.shared_records.versioned import Versioned

log = logging.getLogger(__name__)

_decode_session = msgspec.json.Decoder(Session).decode
_decode_format_marker = msgspec.json.Decoder(FormatMarker).decode
_decode_release_record = msgspec.json.Decoder(ReleaseRecord).decode
_decode_team_shard = msgspec.json.Decoder(TeamShard).decode
_decode_catalog = msgspec.json.Decoder(Catalog).decode


class Registry:
    """The newest known sessions, leader, shards, machines, teams and other shared records.

    A shard whose machines are stored in pages is published in `shards` once its header and all
    pages in the versions that the header lists have been received.
    """

    def __init__(self) -> None:
        self.sessions: dict[str, Versioned[Session]] = {}  # controller -> session
        self.leader: Versioned[Session] | None = None
        self.shards: dict[str, Versioned[ShardRecord]] = {}
        self.record_bytes: dict[str, int] = {}  # shard -> size of its record's value, in bytes
        self.first_format_shards: set[str] = set()  # shards whose records are in the first format
        self.shard_of_machine: dict[str, str] = {}  # machine -> shard
        self.team_shards: dict[str, str] = {}  # team -> its only shard
        self.release_record_keys: dict[str, str] = {}  # machine -> key of its release record
        self.machines_by_release_record: dict[str, list[str]] = {}  # key -> machines
        # Controller -> newest record format that its last seen process can read.
        self.known_formats: dict[str, int] = {}
        self.record_format = 1  # newest format that records may be written in
        self.machine_types: dict[str, MachineType] = {}
        # Controller -> revision at which its last session ended.
        self.lost_sessions: dict[str, int] = {}
        self._assembly = PageAssembly()
        self._processor_counts = ProcessorCounts()

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> str | None:
        """Apply a change of a key; `value` is None if the key was deleted.

        Returns the id of the shard whose published record changed, or None if none did.
        """
        if key.startswith(SHARD_PREFIX):
            return self._on_shard_record(key, value, mod_revision)
        if key.startswith(PAGE_PREFIX):
            return self._on_page(key, value)
        self._on_small_record(key, value, mod_revision)
        return None

    def _on_small_record(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if key.startswith(SESSION_PREFIX):
            self._on_session(key, value, mod_revision)
        elif key == FORMAT_KEY:
            self._on_format_marker(value)
        elif key == LEADER_KEY:
            self._on_leader(value, mod_revision)
        elif key.startswith(RELEASE_PREFIX):
            self._on_release_record(key, value)
        elif key.startswith(TEAM_PREFIX):
            self._on_team(key, value)
        elif key == CATALOG_KEY:
            self._on_catalog(value)

    def leader_term(self, incarnation: str) -> int | None:
        """Return the revision at which the process became leader, None if it does not lead."""
        if self.leader is None or self.leader.value.incarnation != incarnation:
            return None
        return self.leader.mod_revision

    def _on_session(self, key: str, value: bytes | None, mod_revision: int) -> None:
        controller_id = key[len(SESSION_PREFIX) :]
        session = decode_or_none(key, value, _decode_session)
        if session is None:
            self.sessions.pop(controller_id, None)
            return
        self.sessions[controller_id] = Versioned(session, mod_revision)
        if self.known_formats.get(controller_id) != session.record_format:
            log.info(
                "controller published its newest record format controller=%s format=%d",
                controller_id,
                session.record_format,
            )
        self.known_formats[controller_id] = session.record_format

    def _on_format_marker(self, value: bytes | None) -> None:
        marker = decode_or_none(FORMAT_KEY, value, _decode_format_marker)
        if marker is not None:
            self.record_format = max(self.record_format, marker.record_format)

    def _on_leader(self, value: bytes | None, mod_revision: int) -> None:
        leader = decode_or_none(LEADER_KEY, value, _decode_session)
        self.leader = None if leader is None else Versioned(leader, mod_revision)
        controller_id = leader.controller_id if leader is not None else "none"
        log.info("leader changed controller=%s revision=%d", controller_id, mod_revision)

    def _on_release_record(self, key: str, value: bytes | None) -> None:
        for machine_id in self.machines_by_release_record.pop(key, ()):
            self.release_record_keys.pop(machine_id, None)
        record = decode_or_none(key, value, _decode_release_record)
        if record is not None:
            machine_ids = record.machine_ids or [key[len(RELEASE_PREFIX) :]]
            self.machines_by_release_record[key] = machine_ids
            self.release_record_keys.update(dict.fromkeys(machine_ids, key))

    def _on_team(self, key: str, value: bytes | None) -> None:
        record = decode_or_none(key, value, _decode_team_shard)
        if record is not None:
            self.team_shards[key[len(TEAM_PREFIX) :]] = record.shard_id

    def _on_catalog(self, value: bytes | None) -> None:
        catalog = decode_or_none(CATALOG_KEY, value, _decode_catalog)
        if catalog is not None:
            self.machine_types = {
                machine_type.name: machine_type for machine_type in catalog.machine_types
            }
            self._processor_counts.clear()

    def _on_shard_record(self, key: str, value: bytes | None, mod_revision: int) -> str | None:
        shard_id = key[len(SHARD_PREFIX) :]
        self.record_bytes[shard_id] = len(value or b"")
        header = decode_or_none(key, value, decode_shard_header)
        if header is not None and not header.record.compact:
            self.first_format_shards.add(shard_id)
        else:
            self.first_format_shards.discard(shard_id)
        if header is not None and header.page_versions:
            self._assembly.set_header(shard_id, header, mod_revision)
            return self._publish_assembled(shard_id)
        self._assembly.remove_header(shard_id)
        if header is None:
            self._remove_shard(shard_id)
        else:
            self._publish(shard_id, Versioned(header.record, mod_revision))
        return shard_id

    def _on_page(self, key: str, value: bytes | None) -> str | None:
        parsed = parse_page_key(key)
        if parsed is None:
            return None
        shard_id, number = parsed
        page = decode_or_none(key, value, decode_page)
        self._assembly.set_page(shard_id, number, page)
        return None if page is None else self._publish_assembled(shard_id)

    def mismatched_page_keys(self) -> set[str]:
        """Return the keys of pages that a header lists in vain, and of those that none lists."""
        return self._assembly.mismatched_page_keys()

    def _publish_assembled(self, shard_id: str) -> str | None:
        """Publish a shard's record if its pages are complete.

        Returns the shard's id if the record was published, otherwise None.
        """
        published = self.shards.get(shard_id)
        assembled = self._assembly.assemble(
            shard_id, -1 if published is None else published.mod_revision
        )
        if assembled is None:
            return None
        self._publish(shard_id, assembled)
        return shard_id

    def _publish(self, shard_id: str, shard: Versioned[ShardRecord]) -> None:
        old = self.shards.get(shard_id)
        before = old.value.machines.keys() if old is not None else set()
        after = shard.value.machines.keys()
        self._forget_machines(shard_id, before - after)
        self.shards[shard_id] = shard
        for machine_id in after if old is None else after - before:
            self.shard_of_machine[machine_id] = shard_id
        entry_cache.ensure_size(sum(len(record.machines) for record, _ in self.shards.values()))

    def _remove_shard(self, shard_id: str) -> None:
        old = self.shards.pop(shard_id, None)
        if old is not None:
            self._forget_machines(shard_id, set(old.value.machines))

    def _forget_machines(self, shard_id: str, machine_ids: set[str]) -> None:
        """Remove machines that left a shard, except those that another shard has received since."""
        for machine_id in machine_ids:
            if self.shard_of_machine.get(machine_id) == shard_id:
                del self.shard_of_machine[machine_id]

    def processors(self, shard_id: str) -> float:
        """Return the processors of all machines in a shard's record."""
        return sum(self.processors_by_shape(shard_id).values())

    def processors_by_shape(self, shard_id: str) -> dict[MachineShape, float]:
        """Return the processors of a shard's machines by machine type, zone and spot."""
        return self._processor_counts.by_shape(shard_id, self.shards[shard_id], self.machine_types)

    def owners(self) -> dict[str, OwnerProcess]:
        """Return the process that owns each shard, by shard."""
        return {
            shard_id: OwnerProcess(record.owner, record.incarnation)
            for shard_id, (record, _) in self.shards.items()
        }

    def owner_of(self, shard_id: str) -> str | None:
        """Return the controller that owns a shard; None if there is no such shard."""
        entry = self.shards.get(shard_id)
        return None if entry is None else entry.value.owner

    def is_owner_alive(self, record: ShardRecord) -> bool:
        """Return whether the process that owns the shard has a session."""
        session = self.sessions.get(record.owner)
        return session is not None and session.value.incarnation == record.incarnation

    def has_ended(self, process: OwnerProcess, controller_id: str, incarnation: str) -> bool:
        """Return whether a process is known to have ended, because its controller has a newer one.

        `controller_id` and `incarnation` are those of this process. Changes of records arrive in
        the order of their revisions, so a session with another incarnation is a newer one.
        """
        session = self.sessions.get(process.controller_id)
        if session is not None and session.value.incarnation != process.incarnation:
            return True
        return process.controller_id == controller_id and process.incarnation != incarnation

    def previous_owners(
        self, record: ShardRecord, controller_id: str, incarnation: str
    ) -> list[OwnerProcess]:
        """Return the previous owners to write when a shard changes owners.

        These are its recorded previous owners and its present owner, except those known to have
        ended. `controller_id` and `incarnation` are those of this process.
        """
        owners = [*record.previous_owners, OwnerProcess(record.owner, record.incarnation)]
        return [
            process
            for process in dict.fromkeys(owners)
            if not self.has_ended(process, controller_id, incarnation)
        ]
