"""Intents: actions recorded before they go out, and deleted once the cloud has confirmed them."""

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

    Each action has a deduplication key: while an intent is being written, or is committed but not
    yet visible in the watch cache, no other intent with the same key is written.
    """

    def __init__(self, access: ControllerAccess, duty_registry: DutyRegistry) -> None:
        self._access = access
        self._duty_registry = duty_registry
        self._intent_count = 0  # intents written by this process
        self._writing: set[str] = set()  # deduplication keys of intents that are being written
        # Deduplication key -> revision of its intent, from the commit until the watch cache shows
        # the intent.
        self._committed_revisions: dict[str, int] = {}
        self._deleting: set[str] = set()  # record keys of intents that are being deleted

    @property
    def has_writes_in_flight(self) -> bool:
        """Whether an intent was sent to the state service and its outcome is not known yet."""
        return bool(self._writing)

    def is_deleting(self, key: str) -> bool:
        """Return whether the intent's action is resolved and its record is being deleted."""
        return key in self._deleting

    def on_deleted(self, key: str) -> None:
        """Handle the deletion of an intent's record, by this or another controller."""
        self._deleting.discard(key)

    def forget_visible_intents(self) -> None:
        """Stop tracking the committed intents that the watch cache shows by now."""
        for deduplication_key, revision in list(self._committed_revisions.items()):
            if self._access.watch.revision >= revision:
                del self._committed_revisions[deduplication_key]

    def write(
        self,
        duty: Duty,
        token: int,
        action: Action,
        deduplication_key: str,
        conditions: dict[str, int],
    ) -> None:
        """Record an action under the duty's token if `conditions` (key -> revision) hold as well.

        The action is sent once the watch cache shows the intent.
        """
        if deduplication_key in self._writing or deduplication_key in self._committed_revisions:
            return
        self._writing.add(deduplication_key)
        self._intent_count += 1

        def on_result(result: WriteResult) -> None:
            # If the response was lost, the watch cache shows later whether the intent was written.
            # An intent that appears late is carried out like any other.
            self._writing.discard(deduplication_key)
            if result.committed:
                self._committed_revisions[deduplication_key] = result.revision

        value = msgspec.json.encode(Intent(duty, token, action))
        self._access.compare_and_set(
            {duty_key(duty): token, **conditions},
            Change(intent_key(duty, token, self._intent_count), value),
            on_result,
            RequestPriority.INTERACTIVE,
        )

    def delete(self, key: str) -> None:
        """Delete an intent whose action is resolved, so that no controller repeats the action."""
        if key in self._deleting or key not in self._duty_registry.intents:
            return
        self._deleting.add(key)
        intent, mod_revision = self._duty_registry.intents[key]
        log.info("intent resolved duty=%s token=%d", intent.duty, intent.token)

        def on_result(result: WriteResult) -> None:
            if not result.committed:
                self._deleting.discard(key)

        self._access.compare_and_set(
            {key: mod_revision}, Change(key, None), on_result, RequestPriority.BACKGROUND
        )
