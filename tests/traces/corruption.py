"""Corruption to what controllers are told: answers and messages that cannot be read.

Commands are changed by position, as `recorder` reads them. Nothing is made up that could be taken
for a true answer: an answer that cannot be read leaves open what was carried out.
"""

from __future__ import annotations

import random
import re
from typing import Any

from tests.traces.recorder import fields_of

PAYLOAD = re.compile(rb'"([A-Za-z0-9+/=]{24,})"')


def is_outcome(fields: list[Any]) -> bool:
    """The outcome of a call: how it is told, status, body, when the call was sent."""
    return len(fields) == 4 and isinstance(fields[1], int) and isinstance(fields[2], bytes)


def is_message(fields: list[Any]) -> bool:
    return len(fields) == 1 and isinstance(fields[0], bytes)


class Corruption:
    """Damages a part of what comes."""

    def __init__(self, rng: random.Random, part: float) -> None:
        self.rng = rng
        self.part = part

    def __call__(self, batch: list[Any]) -> None:
        for command in batch:
            if self.rng.random() < self.part:
                self.corrupt(command)

    def corrupt(self, command: Any) -> None:
        names, fields = command.__struct_fields__, fields_of(command)
        if is_outcome(fields):
            if b'"news"' in fields[2] and self.rng.random() < 0.5:
                # The changes asked for are no longer kept, or are too many for one answer.
                setattr(command, names[1], self.rng.choice([410, 0]))
            elif fields[1] in (200, 409):
                setattr(command, names[2], self.corrupted(fields[2]))
        elif is_message(fields):
            setattr(command, names[0], self.corrupted_message(fields[0]))

    def corrupted(self, body: bytes) -> bytes:
        return self.rng.choice([b"", b"{", b"[]", b"\xff\xfe", body[: len(body) // 2]])

    def corrupted_message(self, body: bytes) -> bytes:
        payload = PAYLOAD.search(body)
        if payload is None or self.rng.random() < 0.5:
            return body[: self.rng.randrange(1 + len(body))]
        begin, end = payload.span(1)
        return body[:begin] + payload[1][::-1] + body[end:]
