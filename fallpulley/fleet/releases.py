"""Scale in: release of machines to the cloud, and deletion of the release records."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from fallpulley.cloud.messages import MAX_RELEASED_MACHINES, ReleaseRequest
from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.fleet.action_guard import ActionGuard
from fallpulley.fleet.cloud import CALL_TIMEOUT_SECONDS, CloudClient
from fallpulley.shared_records.registry import Registry
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult
from fallpulley.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

# Time until the next attempt after a failed release call, in seconds.
RELEASE_RETRY_SECONDS = 0.5


class Releases:
    """Releases the machines in release records and those requested directly.

    Deletes a record once all of its machines are released. Sends one call at a time.
    """

    def __init__(
        self,
        context: ControllerContext,
        watch: WatchCache,
        registry: Registry,
        cloud: CloudClient,
        action_guard: Callable[[], ActionGuard],
    ) -> None:
        self.context = context
        self.watch = watch
        self.registry = registry
        self.cloud = cloud
        self.requested: set[str] = set()  # machines to be released regardless of records
        # When the cloud confirmed each release, by machine_id, in seconds of the monotonic clock.
        self.released_at: dict[str, float] = {}
        self.next_attempt_at = float("-inf")
        self._action_guard = action_guard
        self._records_being_deleted: set[str] = set()

    def request(self, machine_id: str) -> None:
        """Request the release of a machine, even if it was released before."""
        self.released_at.pop(machine_id, None)
        self.requested.add(machine_id)

    def tick(self) -> None:
        """Send the next release call if there are machines to release."""
        now = self.context.now
        if now < self.next_attempt_at:
            return
        to_release = self._machines_to_release()
        machine_ids = self._action_guard().next_release_batch(to_release[:MAX_RELEASED_MACHINES])
        if not machine_ids:
            return

        def on_response(response: Response) -> None:
            self._on_response(machine_ids, response)

        body = msgspec.json.encode(ReleaseRequest(machine_ids))
        if self.cloud.call("POST", "/rentals/release", body, on_response):
            self.next_attempt_at = now + CALL_TIMEOUT_SECONDS + RELEASE_RETRY_SECONDS

    def _machines_to_release(self) -> list[str]:
        """Return the machines to release: those in release records first, then requested ones."""
        recorded = self.registry.release_record_keys
        machine_ids = [
            machine_id
            for machine_id, key in recorded.items()
            if key not in self._records_being_deleted
        ]
        machine_ids += [machine_id for machine_id in self.requested if machine_id not in recorded]
        return machine_ids

    def _on_response(self, machine_ids: list[str], response: Response) -> None:
        if not response.ok:
            self.next_attempt_at = self.context.now + RELEASE_RETRY_SECONDS
            return
        self.next_attempt_at = float("-inf")
        for machine_id in machine_ids:
            self.released_at[machine_id] = self.context.now
            self.requested.discard(machine_id)
        for key in {
            self.registry.release_record_keys.get(machine_id) for machine_id in machine_ids
        }:
            if key is not None and self._all_released(key):
                self._delete_record(key)
        self._action_guard().on_released(machine_ids)
        log.info("machines released count=%d first_machine=%s", len(machine_ids), machine_ids[0])

    def _all_released(self, key: str) -> bool:
        machine_ids = self.registry.machines_by_release_record[key]
        return all(machine_id in self.released_at for machine_id in machine_ids)

    def _delete_record(self, key: str) -> None:
        conditions = self._action_guard().cleanup_conditions()
        if conditions is None:
            return  # the record stays, so its machines will be released again
        self._records_being_deleted.add(key)

        def on_result(result: WriteResult) -> None:
            self._records_being_deleted.discard(key)

        self.context.state_client.write(
            Write(
                {key: self.watch.mod_revision(key), **conditions},
                [Change(key, None)],
                on_result,
                RequestPriority.BACKGROUND,
            )
        )
