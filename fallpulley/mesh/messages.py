"""What controllers tell each other: tagged tuples, once in a while, never needed for safety."""

from __future__ import annotations

import msgspec


class MachineRequest(msgspec.Struct, array_like=True):
    """Machines that a block's holder asks the leader for."""

    block: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class Heartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A sign of life: how fresh the sender's copy is, and its jobs' counts for display."""

    label: str
    boot: str
    sent_at: float  # time of day: a copy may come late
    fresh_s: float
    counts: list[tuple[str, int, int]]
    machine_requests: list[MachineRequest]
    targets: dict[str, int] = {}  # of the leader: block -> machines it should have


class CalledOff(msgspec.Struct, tag="called_off", array_like=True):
    """Jobs whose cancellation is durable, told to their block's holder at once: one that cannot
    read the records stops them sooner than its answer window would."""

    jobs: list[str]


Message = Heartbeat | CalledOff


def decode(body: bytes) -> Message | None:
    try:
        return msgspec.json.decode(body, type=Message)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
