"""What must be so before an action on machines goes out."""

from __future__ import annotations

from typing import Protocol

from fallpulley.fleet.messages import RentalRequest


class ActionGate(Protocol):
    """Asked by the provider before each action, and told when it is settled."""

    def may_adopt(self) -> bool:
        """Machines that no record knows may be granted to blocks, or returned."""

    def may_rent(self, request: RentalRequest, block: str) -> bool:
        """The rental may go out now; else it is asked for again."""

    def rental_settled(self, hire: str) -> None:
        """The cloud has answered the rental for good."""

    def batch_to_return(self, hosts: list[str]) -> list[str]:
        """Which machines may be returned now, of those named or of others; none: not yet."""

    def returned(self, hosts: list[str]) -> None:
        """The cloud has confirmed that the machines are gone."""

    def clean_up_under(self) -> dict[str, int] | None:
        """Conditions under which records may be dropped; None: not now."""


class OpenGate:
    """Every action may go out: the leadership alone says whose they are."""

    def may_adopt(self) -> bool:
        return True

    def may_rent(self, request: RentalRequest, block: str) -> bool:
        return True

    def rental_settled(self, hire: str) -> None: ...

    def batch_to_return(self, hosts: list[str]) -> list[str]:
        return hosts

    def returned(self, hosts: list[str]) -> None: ...

    def clean_up_under(self) -> dict[str, int] | None:
        return {}
