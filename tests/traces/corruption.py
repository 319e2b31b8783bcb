"""Corrupts the commands that controllers get: responses and peer messages become unreadable.

Fields of commands are changed by position, as `recorder` reads them. A corrupted response never
looks like a valid one: the controller does not learn from it whether its call was carried out.
"""

from __future__ import annotations

import random
import re
from typing import Any

from tests.traces.recorder import field_values

PAYLOAD = re.compile(rb'"([A-Za-z0-9+/=]{24,})"')


def is_outcome(fields: list[Any]) -> bool:
    """Return whether these are the fields of a completed call that got a response.

    They are the response handler, status, body and the time at which the call was sent.
    """
    return len(fields) == 4 and isinstance(fields[1], int) and isinstance(fields[2], bytes)


def is_message(fields: list[Any]) -> bool:
    """Return whether these are the fields of a peer message, which has only a body."""
    return len(fields) == 1 and isinstance(fields[0], bytes)


class Corruption:
    """Corrupts each command with a given probability, where its type allows it."""

    def __init__(self, rng: random.Random, probability: float) -> None:
        self.rng = rng
        self.probability = probability

    def __call__(self, batch: list[Any]) -> None:
        for command in batch:
            if self.rng.random() < self.probability:
                self.corrupt(command)

    def corrupt(self, command: Any) -> None:
        names, fields = command.__struct_fields__, field_values(command)
        if is_outcome(fields):
            if b'"news"' in fields[2] and self.rng.random() < 0.5:
                # 410: the changes asked for are no longer kept. 0: the response was too long.
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
