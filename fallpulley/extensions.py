"""Optional parts of a controller: the hooks that they may override, and all that are turned on.

An extension is imported only where the operators' settings turn it on (`controller.wiring`).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

from fallpulley.effects import OperatorRequest
from fallpulley.fleet.action_guard import ActionGuard, PermitAll
from fallpulley.records.shard_record import OwnerProcess
from fallpulley.shards.shard import Shard

E = TypeVar("E", bound="Extension")

PERMIT_ALL = PermitAll()


class Extension:
    """An optional part of a controller. A hook that it does not override does nothing."""

    # Messages between controllers that begin so are for this extension.
    peer_message_prefix: bytes | None = None
    # Operators' requests with this path are for this extension.
    operator_path: str | None = None
    # It decides which machines shards exchange, in place of the balancer.
    balances_shards = False
    # What has to permit actions on machines; None: nothing more than usual.
    action_guard: ActionGuard | None = None

    # -- events ----------------------------------------------------------------------------

    def watches(self, key: str) -> bool:
        """Whether changes of this record are for the extension."""
        return False

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """A watched record has changed; `value` is None where it was deleted."""

    def on_session_began(self, controller_id: str) -> None:
        """The records show a new incarnation of a controller."""

    def on_shard_acquired(self, shard: Shard, previous: OwnerProcess | None) -> None:
        """This controller owns the shard from now on; `previous` owned it last, if anybody did."""

    def on_shard_updated(self, shard: Shard) -> None:
        """A newer record of a shard that this controller owns."""

    def on_shard_lost(self, shard_id: str) -> None:
        """Another controller owns the shard now."""

    def on_peer_message(self, body: bytes) -> None:
        """A message of another controller that begins with `peer_message_prefix`."""

    def on_operator_request(self, request: OperatorRequest) -> None:
        """A request to `operator_path`, to be responded to."""

    # -- time ------------------------------------------------------------------------------

    def on_step(self) -> None:
        """Once in every step of the owner, after the session was renewed."""

    def on_leadership_checked(self) -> None:
        """Once a tick, before machines are rented and released."""

    def on_shards_checked(self) -> None:
        """Once a tick, after all shards of this controller and before records are written."""

    # -- decisions -------------------------------------------------------------------------

    def hold_off_s(self) -> float:
        """How long to leave a free leadership to others, in seconds."""
        return 0.0

    def shards_to_open(self) -> list[str]:
        """Controllers that are to have a shard whether or not the machines need one."""
        return []

    def shard_of_team(self, team: str) -> str | None:
        """The shard for a team's new jobs; None: whichever has the least work."""
        return None

    def shard_for_rental(self, asked_for: str) -> str:
        """The shard that gets machines rented for the shard `asked_for`: that one, or another."""
        return asked_for


class Extensions:
    """All extensions that are turned on, asked in the order in which they were added."""

    def __init__(self) -> None:
        self._extensions: list[Extension] = []

    def add(self, extension: Extension) -> None:
        """Called while the controller is put together, before its first step."""
        self._extensions.append(extension)

    def __iter__(self) -> Iterator[Extension]:
        return iter(self._extensions)

    def find(self, kind: type[E]) -> E | None:
        """The extension of this class, if it is turned on."""
        found = (each for each in self._extensions if isinstance(each, kind))
        return next(found, None)

    def watching(self, key: str) -> Extension | None:
        """The extension that this record is for; None: none of them."""
        return next((each for each in self._extensions if each.watches(key)), None)

    def for_peer_message(self, body: bytes) -> Extension | None:
        """The extension that a message of another controller is for; None: none of them."""
        for each in self._extensions:
            if each.peer_message_prefix is not None and body.startswith(each.peer_message_prefix):
                return each
        return None

    def for_operator_path(self, path: str) -> Extension | None:
        """The extension that an operator's request is for; None: none of them."""
        return next((each for each in self._extensions if each.operator_path == path), None)

    @property
    def balance_shards(self) -> bool:
        """Whether an extension exchanges machines between shards: the balancer must not."""
        return any(each.balances_shards for each in self._extensions)

    def hold_off_s(self) -> float:
        """How long to leave a free leadership to others, in seconds."""
        return max((each.hold_off_s() for each in self._extensions), default=0.0)

    def shards_to_open(self) -> list[str]:
        """Controllers that are to have a shard whether or not the machines need one."""
        return [name for each in self._extensions for name in each.shards_to_open()]

    def shard_of_team(self, team: str) -> str | None:
        """The shard for a team's new jobs; None: whichever has the least work."""
        for each in self._extensions:
            shard_id = each.shard_of_team(team)
            if shard_id is not None:
                return shard_id
        return None

    def shard_for_rental(self, asked_for: str) -> str:
        """The shard that gets machines rented for the shard `asked_for`."""
        for each in self._extensions:
            asked_for = each.shard_for_rental(asked_for)
        return asked_for

    def action_guard(self) -> ActionGuard:
        """What has to permit actions on machines."""
        guards = (each.action_guard for each in self._extensions)
        return next((guard for guard in guards if guard is not None), PERMIT_ALL)
