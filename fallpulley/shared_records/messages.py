"""Records of sessions, the record format, teams and machines to release, and lease grants."""

from __future__ import annotations

import msgspec


class Session(
    msgspec.Struct,
    rename={"controller_id": "label", "incarnation": "boot", "record_format": "format"},
):
    """The value of `live/session/<controller>` and `live/leader`, bound to a controller's lease."""

    controller_id: str
    incarnation: str
    # Newest record format that the process can read. The first version did not publish it.
    record_format: int = 1


class FormatMarker(msgspec.Struct, rename={"record_format": "format"}):
    """The value of `live/format`: the newest format that may be written. It is never lowered."""

    record_format: int


class ReleaseRecord(msgspec.Struct, omit_defaults=True, rename={"machine_ids": "hosts"}):
    """The value of `live/retire/<machine>`: machines to be released to the cloud."""

    machine_ids: list[str] = []  # empty in the first format: only the machine in the key


class TeamShard(msgspec.Struct, rename={"shard_id": "block"}):
    """The value of `live/team/<name>`: the only shard that holds jobs of a team with a limit."""

    shard_id: str


class LeaseGrant(msgspec.Struct, rename={"lease_id": "tenure"}):
    """The response to `POST /leases`."""

    lease_id: int
