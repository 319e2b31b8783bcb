"""What controllers tell each other: tagged tuples, once in a while, never needed for safety."""

from __future__ import annotations

import msgspec


class MachineRequest(msgspec.Struct, array_like=True):
    """Machines that a block's holder asks the leader for."""

    shard_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A sign of life: how fresh the sender's copy is, and its jobs' counts for display."""

    controller_id: str
    incarnation: str
    sent_at: float  # time of day: a copy may come late
    staleness_s: float
    task_counts: list[tuple[str, int, int]]
    machine_requests: list[MachineRequest]
    target_sizes: dict[str, int] = {}  # of the leader: block -> machines it should have


class Cancellations(msgspec.Struct, tag="called_off", array_like=True):
    """Jobs whose cancellation is durable, told to their block's holder at once: one that cannot
    read the records stops them sooner than its answer window would."""

    job_ids: list[str]


PeerMessageBody = PeerHeartbeat | Cancellations


def decode(body: bytes) -> PeerMessageBody | None:
    try:
        return msgspec.json.decode(body, type=PeerMessageBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
