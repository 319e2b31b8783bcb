"""Dispatch of changed records to the components of the controller that use them."""

from __future__ import annotations

from fallpulley.controller.job_sync import JobSync
from fallpulley.controller.shard_lifecycle import ShardLifecycle
from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extensions
from fallpulley.jobs.job_index import JOB_PREFIX
from fallpulley.shared_records.keys import FORMAT_KEY, SESSION_PREFIX
from fallpulley.shared_records.registry import Registry


class RecordDispatcher:
    """Passes each changed record to the components that use it.

    The watch cache calls it for every key, in the order of the state service's revisions.
    """

    def __init__(
        self,
        context: ControllerContext,
        registry: Registry,
        job_sync: JobSync,
        lifecycle: ShardLifecycle,
        extensions: Extensions,
    ) -> None:
        self.context = context
        self.registry = registry
        self.job_sync = job_sync
        self.lifecycle = lifecycle
        self.extensions = extensions

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Handle a changed record; `value` is None if it was deleted."""
        if key.startswith(JOB_PREFIX):
            self.job_sync.on_record(key[len(JOB_PREFIX) :], value, mod_revision)
            return
        extension = self.extensions.for_key(key)
        if extension is not None:
            extension.on_key_changed(key, value, mod_revision)
            return
        self._on_registry_record(key, value, mod_revision)

    def _on_registry_record(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Handle a record of the registry, such as a session, the leader or a shard."""
        owners = self.registry.owners()
        shard_id = self.registry.on_key_changed(key, value, mod_revision)
        if shard_id is not None:
            self.lifecycle.on_record(shard_id, owners.get(shard_id))
            self.lifecycle.update_change_rate_factor()
        elif key.startswith(SESSION_PREFIX):
            self.lifecycle.check_previous_owners()
            if value is not None:
                for extension in self.extensions:
                    extension.on_session_began(key[len(SESSION_PREFIX) :])
        elif key == FORMAT_KEY:
            self.context.record_format.adopt(self.registry.record_format)
            self.lifecycle.update_change_rate_factor()
