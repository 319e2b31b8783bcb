"""Records of sessions, leadership and blocks in the state service."""

from __future__ import annotations

import msgspec


class Session(msgspec.Struct):
    """`live/session/<label>` and `live/leader`, attached to the controller's lease."""

    label: str
    boot: str


class MachineEntry(msgspec.Struct, array_like=True):
    """A machine of a block, and what is known of it for ever."""

    addr: str
    build: str
    zone: str
    spot: bool
    # It may hold tasks. Written before the first `run` and taken back once the machine is
    # proved empty, so that a successor need not wait for machines that cannot hold any.
    used: bool = False


class BlockRecord(msgspec.Struct):
    """`live/block/<label>`: who holds the block, and its machines.

    The record's stamp is the block's fencing token: every change raises it.
    """

    holder: str
    boot: str
    machines: dict[str, MachineEntry]


class TeamHome(msgspec.Struct):
    """`live/team/<name>`: the one block of a team with a limit."""

    block: str


class Grant(msgspec.Struct):
    """The answer to `POST /leases`."""

    tenure: int
