"""What must be so before an action on machines goes out."""

from __future__ import annotations

from typing import Protocol

from fallpulley.fleet.messages import RentalRequest


class ActionGuard(Protocol):
    """Asked by the provider before each action, and told when it is settled."""

    def may_adopt(self) -> bool:
        """Machines that no record knows may be granted to blocks, or returned."""

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """The rental may go out now; else it is asked for again."""

    def on_rental_resolved(self, request_id: str) -> None:
        """The cloud has answered the rental for good."""

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """Which machines may be returned now, of those named or of others; none: not yet."""

    def on_released(self, machine_ids: list[str]) -> None:
        """The cloud has confirmed that the machines are gone."""

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Conditions under which records may be dropped; None: not now."""


class PermitAll:
    """Every action may go out: the leadership alone says whose they are."""

    def may_adopt(self) -> bool:
        return True

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        return True

    def on_rental_resolved(self, request_id: str) -> None: ...

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        return machine_ids

    def on_released(self, machine_ids: list[str]) -> None: ...

    def cleanup_conditions(self) -> dict[str, int] | None:
        return {}
