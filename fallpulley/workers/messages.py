"""What workers and controllers say to each other. Wire names end here."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]  # counts, tokens and attempts lie below 2^64

PULLING, RUNNING, SAVING, ENDED = "pulling", "running", "saving", "ended"


class PieceState(msgspec.Struct):
    piece: str
    attempt: Count = msgspec.field(name="try")
    stage: str = RUNNING
    cause: str | None = None
    saved: bool = False


class Report(msgspec.Struct):
    """`POST /checkin`, and the answers of `/do` and `/inspect`."""

    host: Annotated[str, Meta(min_length=1, max_length=200)]
    shift: Count
    tick: Count
    addr: str = ""
    build: str = ""
    hall: str = ""
    loaners: bool = False
    baton: Count = 0
    recall_s: float | None = None
    pieces: list[PieceState] = []


class Order(msgspec.Struct, omit_defaults=True):
    verb: str
    piece: str
    attempt: int = msgspec.field(name="try")
    windup_s: float | None = None


class Orders(msgspec.Struct):
    """The answer to a check-in."""

    baton: int
    orders: list[Order]


class Direct(msgspec.Struct):
    """`POST /do`."""

    baton: int
    shift: int
    orders: list[Order]


class Foreman(msgspec.Struct):
    foreman: str


def parse_report(body: bytes) -> Report | None:
    try:
        return msgspec.json.decode(body, type=Report)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
