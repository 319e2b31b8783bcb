"""What must hold before an action on machines goes out."""

from __future__ import annotations

from typing import Protocol

from fallpulley.cloud.messages import RentalRequest


class ActionGuard(Protocol):
    """Permits actions on machines. The provider asks it before each action, and notifies it when
    the cloud has carried one out or refused it."""

    def may_adopt(self) -> bool:
        """Machines that no record knows may be added to shards, or released."""

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """The rental request for a shard may go out now; else it is asked for again."""

    def on_rental_resolved(self, request_id: str) -> None:
        """The cloud has answered the rental request for good."""

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """Which machines may be released now, of those named or of others; empty: not yet."""

    def on_released(self, machine_ids: list[str]) -> None:
        """The cloud has confirmed that the machines are gone."""

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Conditions under which records may be deleted, as keys and their revisions; None: they
        may not be at present."""


class PermitAll:
    """An `ActionGuard` that permits every action: leadership alone says whose they are."""

    def may_adopt(self) -> bool:
        """Always."""
        return True

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """Always."""
        return True

    def on_rental_resolved(self, request_id: str) -> None:
        """Nothing is recorded about it."""

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """All of those named."""
        return machine_ids

    def on_released(self, machine_ids: list[str]) -> None:
        """Nothing is recorded about it."""

    def cleanup_conditions(self) -> dict[str, int] | None:
        """No conditions."""
        return {}
