"""Duties and intents as last seen in the shared records."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from fallpulley.duties.messages import DUTY_PREFIX, DutyRecord, Intent, Release, ScaleOut

log = logging.getLogger(__name__)


class OwnedDuty(NamedTuple):
    """Who owns a duty, and the token under which its actions go out."""

    record: DutyRecord
    token: int


class RecordedIntent(NamedTuple):
    """An intent, and the revision at which it was recorded."""

    intent: Intent
    mod_revision: int


class DutyRegistry:
    """Who owns which duty, and which actions may be under way, the oldest first."""

    def __init__(self) -> None:
        self.duties: dict[str, OwnedDuty] = {}
        self.intents: dict[str, RecordedIntent] = {}  # by key
        self.release_intents: dict[str, str] = {}  # machine_id -> key of the intent to release it

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> list[str]:
        """Apply a change of a record.

        Returns the machines of which the release has just been recorded, or is so no more.
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
                log.error("record undecodable key=%s", DUTY_PREFIX + duty)
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
            log.error("record undecodable key=%s", key)
            return changed
        self.intents[key] = RecordedIntent(intent, mod_revision)
        if isinstance(intent.action, Release):
            self.release_intents.update(dict.fromkeys(intent.action.machine_ids, key))
            changed += intent.action.machine_ids
        return changed

    def _remove_intent(self, key: str) -> list[str]:
        """The machines that no intent releases any more."""
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
        """The recorded scale-outs by key, the oldest first."""
        for key, (intent, _) in self.intents.items():
            if isinstance(intent.action, ScaleOut):
                yield key, intent.action

    def releases(self) -> Iterator[tuple[str, Release]]:
        """The recorded releases by key, the oldest first."""
        for key, (intent, _) in self.intents.items():
            if isinstance(intent.action, Release):
                yield key, intent.action

    def has_unresolved_intent(self, duty: str, token: int) -> bool:
        """An action of a previous owner of the duty may still be under way."""
        return any(
            intent.duty == duty and intent.token != token for intent, _ in self.intents.values()
        )
