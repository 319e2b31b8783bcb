"""Duties and intents as last seen in the shared records."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from fallpulley.duties.messages import DUTY_PREFIX, DutyRecord, Intent, Release, ScaleOut

log = logging.getLogger(__name__)


class OwnedDuty(NamedTuple):
    """The owner of a duty, and the fencing token under which it acts."""

    record: DutyRecord
    token: int


class RecordedIntent(NamedTuple):
    """An intent, and the revision at which it was recorded."""

    intent: Intent
    mod_revision: int


class DutyRegistry:
    """The owners of duties, and the intents whose actions may be in progress, oldest first."""

    def __init__(self) -> None:
        self.duties: dict[str, OwnedDuty] = {}  # by duty, only those that have an owner
        self.intents: dict[str, RecordedIntent] = {}  # by record key, oldest first
        # machine_id -> record key of the intent to release the machine
        self.release_intents: dict[str, str] = {}

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> list[str]:
        """Apply a change of a record; `value` is None if the record was deleted.

        Returns the machines for which an intent to release them was recorded or removed.
        """
        if key.startswith(DUTY_PREFIX):
            self._on_duty_record(key[len(DUTY_PREFIX) :], value, mod_revision)
            return []
        return self._on_intent_record(key, value, mod_revision)

    def _on_duty_record(self, duty: str, value: bytes | None, mod_revision: int) -> None:
        record = None
        if value is not None:
            try:
                record = msgspec.json.decode(value, type=DutyRecord)
            except msgspec.MsgspecError:
                log.error(
                    "stored record is malformed and treated as absent key=%s", DUTY_PREFIX + duty
                )
        if record is None:
            self.duties.pop(duty, None)
            return
        self.duties[duty] = OwnedDuty(record, mod_revision)
        log.info("duty claimed duty=%s owner=%s token=%d", duty, record.owner, mod_revision)

    def _on_intent_record(self, key: str, value: bytes | None, mod_revision: int) -> list[str]:
        changed = self._remove_intent(key)
        if value is None:
            return changed
        try:
            intent = msgspec.json.decode(value, type=Intent)
        except msgspec.MsgspecError:
            log.error("stored record is malformed and treated as absent key=%s", key)
            return changed
        self.intents[key] = RecordedIntent(intent, mod_revision)
        if isinstance(intent.action, Release):
            self.release_intents.update(dict.fromkeys(intent.action.machine_ids, key))
            changed += intent.action.machine_ids
        return changed

    def _remove_intent(self, key: str) -> list[str]:
        """Remove an intent.

        Returns the machines that no intent is to release any more.
        """
        removed = self.intents.pop(key, None)
        if removed is None or not isinstance(removed.intent.action, Release):
            return []
        changed = []
        for machine_id in removed.intent.action.machine_ids:
            if self.release_intents.get(machine_id) == key:
                del self.release_intents[machine_id]
                changed.append(machine_id)
        return changed

    def scale_outs(self) -> Iterator[tuple[str, ScaleOut]]:
        """Yield the recorded scale-outs with their record keys, oldest first."""
        for key, (intent, _) in self.intents.items():
            if isinstance(intent.action, ScaleOut):
                yield key, intent.action

    def releases(self) -> Iterator[tuple[str, Release]]:
        """Yield the recorded releases with their record keys, oldest first."""
        for key, (intent, _) in self.intents.items():
            if isinstance(intent.action, Release):
                yield key, intent.action

    def has_unresolved_intent(self, duty: str, token: int) -> bool:
        """Return whether an action of a previous owner of the duty may still be in progress."""
        return any(
            intent.duty == duty and intent.token != token for intent, _ in self.intents.values()
        )
