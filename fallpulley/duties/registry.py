"""Duties and intents as last seen in the shared records."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.duties.messages import DUTY_PREFIX, DutyRecord, Intent, Return

log = logging.getLogger(__name__)


class DutyRegistry:
    """Who does what, and which actions may be under way, the oldest first."""

    def __init__(self) -> None:
        self.duties: dict[str, tuple[DutyRecord, int]] = {}
        self.intents: dict[str, tuple[Intent, int]] = {}  # by key, with their stamps
        self.returning: dict[str, str] = {}  # machine -> the intent that returns it

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> list[str]:
        """Take a record; returns the machines that are to be used no more, or may be again."""
        if key.startswith(DUTY_PREFIX):
            self._on_duty_record(key[len(DUTY_PREFIX) :], value, mod_revision)
            return []
        return self._on_intent_record(key, value, mod_revision)

    def _on_duty_record(self, name: str, value: bytes | None, mod_revision: int) -> None:
        record = None
        if value is not None:
            try:
                record = msgspec.json.decode(value, type=DutyRecord)
            except msgspec.MsgspecError:
                log.error("state broken record duty=%s", name)
        if record is None:
            self.duties.pop(name, None)
            return
        self.duties[name] = (record, mod_revision)
        log.info("duty held duty=%s by=%s term=%d", name, record.owner, mod_revision)

    def _on_intent_record(self, key: str, value: bytes | None, mod_revision: int) -> list[str]:
        changed = []
        gone = self.intents.pop(key, None)
        if gone is not None and isinstance(gone[0].action, Return):
            for machine_id in gone[0].action.machine_ids:
                if self.returning.get(machine_id) == key:
                    del self.returning[machine_id]
                    changed.append(machine_id)
        if value is None:
            return changed
        try:
            intent = msgspec.json.decode(value, type=Intent)
        except msgspec.MsgspecError:
            log.error("state broken record intent=%s", key)
            return changed
        self.intents[key] = (intent, mod_revision)
        if isinstance(intent.action, Return):
            self.returning.update(dict.fromkeys(intent.action.machine_ids, key))
            changed += intent.action.machine_ids
        return changed

    def has_unresolved_intent(self, duty: str, token: int) -> bool:
        """An intent of the duty's former holder is not settled yet."""
        return any(i.duty == duty and i.token != token for i, _ in self.intents.values())
