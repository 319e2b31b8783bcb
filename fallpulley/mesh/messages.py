"""Messages between controllers: sent about once a second, never needed for safety."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

# Peers accept messages as POST requests to this path of their mesh address.
PEER_MESSAGES_PATH = "/beat"


class TaskCount(NamedTuple):
    """How many tasks of a job are completed and running; an array on the wire."""

    job_id: str
    completed: int
    running: int


class MachineRequest(msgspec.Struct, array_like=True):
    """Machines that a shard's owner asks the leader for."""

    shard_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """Shows that a controller is live, how fresh its watch cache is, and its jobs' progress."""

    controller_id: str
    incarnation: str
    sent_at: float  # wall time, in seconds since the epoch: a message may be delivered late
    staleness_s: float  # the age of the sender's last successful watch
    task_counts: list[TaskCount]  # for display
    machine_requests: list[MachineRequest]
    target_sizes: dict[str, int] = {}  # from the leader: shard_id -> machines it should have


class Cancellations(msgspec.Struct, tag="called_off", array_like=True):
    """Jobs whose cancellation is durable, sent to their shard's owner at once: one that cannot
    read the records stops them before its response window ends."""

    job_ids: list[str]


PeerMessageBody = PeerHeartbeat | Cancellations


def decode(body: bytes) -> PeerMessageBody | None:
    """The message; None if it is malformed or of a kind that this version does not know."""
    try:
        return msgspec.json.decode(body, type=PeerMessageBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
