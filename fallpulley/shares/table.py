"""Validates tables of shares and applies operators' requests to them, by pure functions."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

from fallpulley.settings import Team
from fallpulley.shares.messages import (
    MAX_REMEMBERED_OPERATIONS,
    SetShares,
    Share,
    ShareOperation,
    ShareTable,
)


class Deployment(msgspec.Struct, frozen=True):
    """The facts about a deployment that a table of shares is validated against."""

    controller_ids: Collection[str]
    teams: Mapping[str, Team]  # by name
    team_shards: Mapping[str, str]  # for each team with a limit, the shard that holds its jobs
    processors: float  # number of processors in the whole fleet; 0: not known yet


class RefusedError(Exception):
    """Raised for shares that this deployment cannot have; the message is sent to the operator."""


class ConflictError(Exception):
    """Raised if a request expects another revision of the table than the present one."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"the shares have revision {revision}")
        self.revision = revision


def validate_shares(shares: Mapping[str, Share], deployment: Deployment) -> None:
    """Check that the deployment can have these shares.

    Raises:
        RefusedError: It cannot.
    """
    if not shares:
        raise RefusedError("no shares")
    shard_of_team: dict[str, str] = {}
    for controller_id, share in shares.items():
        if controller_id not in deployment.controller_ids:
            raise RefusedError(f"no controller {controller_id}")
        _validate_numbers(controller_id, share)
        for team in share.teams:
            _validate_team(controller_id, team, shard_of_team, deployment)
            shard_of_team[team] = controller_id
    if sum(share.weight for share in shares.values()) <= 0:
        raise RefusedError("no share has a weight above 0")
    floors = sum(share.floor for share in shares.values())
    if deployment.processors > 0 and floors > deployment.processors:
        raise RefusedError(f"floors of {floors:g} exceed the fleet of {deployment.processors:g}")


def _validate_numbers(controller_id: str, share: Share) -> None:
    for name, value in (
        ("weight", share.weight),
        ("floor", share.floor),
        ("ceiling", share.ceiling),
    ):
        if not math.isfinite(value) or value < 0:
            raise RefusedError(f"{name} of {controller_id} is {value:g}, not a number from 0 on")
    if 0 < share.ceiling < share.floor:
        raise RefusedError(f"ceiling of {controller_id} is below its floor")


def _validate_team(
    controller_id: str, name: str, shard_of_team: Mapping[str, str], deployment: Deployment
) -> None:
    team = deployment.teams.get(name)
    if team is None:
        raise RefusedError(f"no team {name}")
    if shard_of_team.get(name, controller_id) != controller_id:
        raise RefusedError(f"team {name} stands at {shard_of_team[name]} and at {controller_id}")
    shard_id = deployment.team_shards.get(name)
    if team.limited and shard_id is not None and shard_id != controller_id:
        raise RefusedError(f"team {name} has a limit and lives in block {shard_id}")


def apply_request(table: ShareTable, request: SetShares, deployment: Deployment) -> ShareTable:
    """Return the table that a request produces.

    If the request was already carried out, this is `table` itself.

    Raises:
        ConflictError: The request expects another revision.
        RefusedError: The deployment cannot have the requested shares.
    """
    if revision_of_operation(table, request.operation) is not None:
        return table
    if request.expect is not None and request.expect != table.revision:
        raise ConflictError(table.revision)
    validate_shares(request.shares, deployment)
    revision = table.revision + 1
    operations = [*table.operations, ShareOperation(request.operation, revision)]
    return ShareTable(revision, dict(request.shares), operations[-MAX_REMEMBERED_OPERATIONS:])


def revision_of_operation(table: ShareTable, name: str) -> int | None:
    """Return the revision that the named operation produced; None if it is not remembered."""
    return next(
        (operation.revision for operation in table.operations if operation.name == name), None
    )
