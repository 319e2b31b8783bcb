"""Small records in the state service: sessions, the format marker, teams, machines to release."""

from __future__ import annotations

import msgspec


class Session(
    msgspec.Struct,
    rename={"controller_id": "label", "incarnation": "boot", "record_format": "format"},
):
    """`live/session/<controller>` and `live/leader`, attached to the controller's lease."""

    controller_id: str
    incarnation: str
    # The newest record format that the process knows. The first version did not publish it.
    record_format: int = 1


class FormatMarker(msgspec.Struct, rename={"record_format": "format"}):
    """`live/format`: records may be written in this format. Never lowered."""

    record_format: int


class ReleaseRecord(msgspec.Struct, omit_defaults=True, rename={"machine_ids": "hosts"}):
    """`live/retire/<machine>`: machines to be released; empty in the first format, which means
    the machine in the key alone."""

    machine_ids: list[str] = []


class TeamShard(msgspec.Struct, rename={"shard_id": "block"}):
    """`live/team/<name>`: the one shard of a team with a limit."""

    shard_id: str


class LeaseGrant(msgspec.Struct, rename={"lease_id": "tenure"}):
    """The response to `POST /leases`."""

    lease_id: int
