"""Optional parts of a controller: the hooks that they may override, and the enabled ones.

An extension is imported only if the operators' settings enable it (`controller.wiring`).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

from fallpulley.effects import OperatorRequest
from fallpulley.fleet.action_guard import ActionGuard, PermitAll
from fallpulley.shards.shard import Shard
from fallpulley.shared_records.shard_record import OwnerProcess

ExtensionType = TypeVar("ExtensionType", bound="Extension")

PERMIT_ALL = PermitAll()


class Extension:
    """An optional part of a controller. The hooks do nothing by default."""

    # Peer messages that begin with this prefix are for this extension; None if there are none.
    peer_message_prefix: bytes | None = None
    # Operators' requests to this path are for this extension; None if there are none.
    operator_path: str | None = None
    # Whether it decides which machines shards exchange, in place of the balancer.
    balances_shards = False
    # Has to permit every action on a machine; None if no such permission is needed.
    action_guard: ActionGuard | None = None

    # -- events ----------------------------------------------------------------------------

    def watches(self, key: str) -> bool:
        """Return whether changes of the record under `key` are passed to this extension."""
        return False

    def on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Handle a change of a watched record; `value` is None if it was deleted."""

    def on_session_began(self, controller_id: str) -> None:
        """Handle a new incarnation of a controller, as the records show it."""

    def on_shard_acquired(self, shard: Shard, previous: OwnerProcess | None) -> None:
        """Handle the acquisition of a shard; `previous` is its last owner, None if it had none."""

    def on_shard_updated(self, shard: Shard) -> None:
        """Handle a newer record of a shard that this controller owns."""

    def on_shard_lost(self, shard_id: str) -> None:
        """Handle the loss of a shard to another controller."""

    def on_peer_message(self, body: bytes) -> None:
        """Handle a message from another controller that begins with `peer_message_prefix`."""

    def on_operator_request(self, request: OperatorRequest) -> None:
        """Handle a request to `operator_path`; the extension has to respond to it."""

    # -- timers ----------------------------------------------------------------------------

    def on_step(self) -> None:
        """Act once in every step of the controller, after its session was renewed."""

    def on_leadership_checked(self) -> None:
        """Act once a tick, before machines are rented and released."""

    def on_shards_checked(self) -> None:
        """Act once a tick, after the shards of this controller and before records are written."""

    # -- decisions -------------------------------------------------------------------------

    def leader_claim_delay_s(self) -> float:
        """Return how long to wait before claiming a vacant leadership, in seconds."""
        return 0.0

    def shards_to_create(self) -> list[str]:
        """Return the controllers that are to have a shard even if no further one is needed."""
        return []

    def shard_of_team(self, team: str) -> str | None:
        """Return the shard for a team's new jobs; None for the shard with the least work."""
        return None

    def shard_for_rental(self, requesting_shard: str) -> str:
        """Return the shard for machines rented for `requesting_shard`: that one or another."""
        return requesting_shard


class Extensions:
    """The enabled extensions of a controller, asked in the order in which they were added."""

    def __init__(self) -> None:
        self._extensions: list[Extension] = []

    def add(self, extension: Extension) -> None:
        """Add an extension; to be called before the controller's first step."""
        self._extensions.append(extension)

    def __iter__(self) -> Iterator[Extension]:
        return iter(self._extensions)

    def find(self, kind: type[ExtensionType]) -> ExtensionType | None:
        """Return the extension of the class `kind`; None if it is not enabled."""
        found = (each for each in self._extensions if isinstance(each, kind))
        return next(found, None)

    def for_key(self, key: str) -> Extension | None:
        """Return the extension that watches the record under `key`; None if there is none."""
        return next((each for each in self._extensions if each.watches(key)), None)

    def for_peer_message(self, body: bytes) -> Extension | None:
        """Return the extension that a peer message is for; None if there is none."""
        for each in self._extensions:
            if each.peer_message_prefix is not None and body.startswith(each.peer_message_prefix):
                return each
        return None

    def for_operator_path(self, path: str) -> Extension | None:
        """Return the extension for operators' requests to `path`; None if there is none."""
        return next((each for each in self._extensions if each.operator_path == path), None)

    @property
    def balances_shards(self) -> bool:
        """Whether an extension balances shards, so that the balancer must not."""
        return any(each.balances_shards for each in self._extensions)

    def leader_claim_delay_s(self) -> float:
        """Return how long to wait before claiming a vacant leadership, in seconds."""
        return max((each.leader_claim_delay_s() for each in self._extensions), default=0.0)

    def shards_to_create(self) -> list[str]:
        """Return the controllers that are to have a shard even if no further one is needed."""
        return [name for each in self._extensions for name in each.shards_to_create()]

    def shard_of_team(self, team: str) -> str | None:
        """Return the shard for a team's new jobs; None for the shard with the least work."""
        for each in self._extensions:
            shard_id = each.shard_of_team(team)
            if shard_id is not None:
                return shard_id
        return None

    def shard_for_rental(self, requesting_shard: str) -> str:
        """Return the shard for machines rented for `requesting_shard`."""
        for each in self._extensions:
            requesting_shard = each.shard_for_rental(requesting_shard)
        return requesting_shard

    def action_guard(self) -> ActionGuard:
        """Return the guard that has to permit actions on machines."""
        guards = (each.action_guard for each in self._extensions)
        return next((guard for guard in guards if guard is not None), PERMIT_ALL)
