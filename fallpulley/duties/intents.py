"""Records an action before it goes out, and deletes the record once the cloud has confirmed it."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_access import ControllerAccess
from fallpulley.duties.messages import Action, Duty, Intent, duty_key, intent_key
from fallpulley.duties.registry import DutyRegistry
from fallpulley.state.transactions import Change, RequestPriority, WriteResult

log = logging.getLogger(__name__)


class IntentWriter:
    """Writes and deletes the intents of this controller's duties.

    Each action has a subject, a text under which at most one intent is written at a time.
    """

    def __init__(self, access: ControllerAccess, duty_registry: DutyRegistry) -> None:
        self._access = access
        self._duty_registry = duty_registry
        self._intent_count = 0
        self._writing: set[str] = set()  # subjects of intents that are being written
        # Subject -> revision of its intent, from its commit until the watch cache shows it.
        self._committed_revisions: dict[str, int] = {}
        self._deleting: set[str] = set()  # keys of intents that are being deleted

    @property
    def has_writes_in_flight(self) -> bool:
        """An intent was sent to the state service and its outcome is not known yet."""
        return bool(self._writing)

    def is_deleting(self, key: str) -> bool:
        """The intent's action is resolved, and its record about to be deleted."""
        return key in self._deleting

    def on_deleted(self, key: str) -> None:
        """The records show that the intent was deleted, by whomever."""
        self._deleting.discard(key)

    def forget_visible(self) -> None:
        """Drop the committed intents that the watch cache shows by now."""
        for subject, revision in list(self._committed_revisions.items()):
            if self._access.watch.revision >= revision:
                del self._committed_revisions[subject]

    def write(
        self, duty: Duty, token: int, action: Action, subject: str, conditions: dict[str, int]
    ) -> None:
        """Record an action under the duty's token, if `conditions` hold too (key -> revision).

        The action goes out once the watch cache shows the intent.
        """
        if subject in self._writing or subject in self._committed_revisions:
            return
        self._writing.add(subject)
        self._intent_count += 1

        def on_result(result: WriteResult) -> None:
            # Without a response, the records show whether the intent is there; one that appears
            # late is carried out as any other.
            self._writing.discard(subject)
            if result.committed:
                self._committed_revisions[subject] = result.revision

        value = msgspec.json.encode(Intent(duty, token, action))
        self._access.compare_and_set(
            {duty_key(duty): token, **conditions},
            Change(intent_key(duty, token, self._intent_count), value),
            on_result,
            RequestPriority.ACCEPT,
        )

    def delete(self, key: str) -> None:
        """Delete an intent whose action is resolved: nobody has to repeat it."""
        if key in self._deleting or key not in self._duty_registry.intents:
            return
        self._deleting.add(key)
        intent, mod_revision = self._duty_registry.intents[key]
        log.info("intent resolved duty=%s token=%d", intent.duty, intent.token)

        def on_result(result: WriteResult) -> None:
            if not result.committed:
                self._deleting.discard(key)

        self._access.compare_and_set(
            {key: mod_revision}, Change(key, None), on_result, RequestPriority.PROGRESS
        )
