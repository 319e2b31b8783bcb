"""Permission for actions on machines: renting, releasing and adopting them."""

from __future__ import annotations

from typing import Protocol

from fallpulley.cloud.messages import RentalRequest


class ActionGuard(Protocol):
    """Permits or defers actions on machines.

    The machine provider asks it before each action, and notifies it when the cloud has carried out
    or refused a rental, or carried out a release.
    """

    def may_adopt(self) -> bool:
        """Return whether machines that are in no record may be added to shards or released."""

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """Return whether a rental request for a shard may be sent now.

        If not, the provider asks again on a later tick.
        """

    def on_rental_resolved(self, request_id: str) -> None:
        """Record that the cloud has filled or refused a rental request."""

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """Return the machines that may be released now, or an empty list if none may be yet.

        They need not be among `machine_ids`, the machines whose release is requested.
        """

    def on_released(self, machine_ids: list[str]) -> None:
        """Record that the cloud has confirmed the release of these machines."""

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Return the conditions for deleting release records (key -> required revision).

        None means that no record may be deleted at present.
        """


class PermitAll:
    """An `ActionGuard` that permits every action.

    Leadership alone decides which controller acts: the provider runs only on the leader.
    """

    def may_adopt(self) -> bool:
        """Return True."""
        return True

    def may_scale_out(self, request: RentalRequest, shard_id: str) -> bool:
        """Return True."""
        return True

    def on_rental_resolved(self, request_id: str) -> None:
        """Do nothing: there is no state to update."""

    def next_release_batch(self, machine_ids: list[str]) -> list[str]:
        """Return all of the given machines."""
        return machine_ids

    def on_released(self, machine_ids: list[str]) -> None:
        """Do nothing: there is no state to update."""

    def cleanup_conditions(self) -> dict[str, int] | None:
        """Return no conditions."""
        return {}
