"""The first difference between two traces, told with what came before it on both sides."""

from __future__ import annotations

import gzip
import itertools
import json
import pathlib
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

CONTEXT_LINES = 3
LINE_MOST = 400  # characters of a line that are shown
AROUND_MOST = 120  # and of a long value, on each side of where it differs
COMMANDS, EFFECTS = 4, 5  # where a step's commands and effects stand in its line
PARTS = ["controller", "process", "now", "wall", "commands", "effects", "errors logged"]


@dataclass(frozen=True)
class Outcome:
    equal: bool
    text: str


def lines_of(trace: pathlib.Path) -> Iterator[str]:
    with gzip.open(trace, "rt", encoding="ascii") as file:
        for line in file:
            yield line.rstrip("\n")


def compare(before: Iterable[str], after: Iterable[str]) -> Outcome:
    """`before` and `after` are the lines of two traces."""
    earlier: tuple[deque[str], deque[str]] = (
        deque(maxlen=CONTEXT_LINES),
        deque(maxlen=CONTEXT_LINES),
    )
    last = ""
    for number, (one, other) in enumerate(itertools.zip_longest(before, after), 1):
        if one != other:
            return Outcome(False, describe(number, one, other, list(earlier[0]), list(earlier[1])))
        earlier[0].append(one)
        earlier[1].append(other)
        last = one
    return end_of(last)


def end_of(last: str) -> Outcome:
    """Of two traces without a difference, by their last line."""
    end = json.loads(last) if last else []
    if not end or end[0] != "end":
        return Outcome(False, "neither trace has an end")
    _, broken, steps, effects = end
    rule = f"; both end with a rule broken: {broken}" if broken else ""
    return Outcome(True, f"equal ({steps} steps, {effects} effects){rule}")


def describe(
    number: int,
    one: str | None,
    other: str | None,
    earlier_one: list[str],
    earlier_other: list[str],
) -> str:
    found = [f"differs at line {number}: {where(one, other)}"]
    for name, line, earlier in (("before", one, earlier_one), ("after", other, earlier_other)):
        found.append(f"  {name}:")
        found += [f"      {shorten(text)}" for text in earlier]
        found.append(f"    > {shorten(line) if line is not None else 'no line'}")
    return "\n".join(found)


def where(one: str | None, other: str | None) -> str:
    """Which part of the step differs, and how."""
    if one is None or other is None:
        return f"the trace {'before' if one is None else 'after'} has ended"
    first, second = json.loads(one), json.loads(other)
    if "end" in (first[0], second[0]):
        return "an end"
    for position, part in enumerate(PARTS):
        if first[position] != second[position]:
            step = f"step of {second[0]} (process {second[1]}) at {second[2]:.2f}"
            if position in (COMMANDS, EFFECTS):
                return f"{step}, {in_list(part, first[position], second[position])}"
            return f"{step}, {part}: {first[position]} and {second[position]}"
    return "the same values written differently"


def in_list(part: str, one: list[Any], other: list[Any]) -> str:
    counts = f"{len(one)} {part} before and {len(other)} after"
    for number, (first, second) in enumerate(zip(one, other, strict=False), 1):
        if first != second:
            around = around_difference(json.dumps(first), json.dumps(second))
            return f"{counts}, the first that differs is number {number}:\n{around}"
    return f"{counts}, one begins with the other"


def around_difference(one: str, other: str) -> str:
    pairs = enumerate(zip(one, other, strict=False))
    at = next((n for n, (a, b) in pairs if a != b), min(len(one), len(other)))
    begin = max(0, at - AROUND_MOST)
    sides = [text[begin : at + AROUND_MOST] for text in (one, other)]
    return f"    - {sides[0]}\n    + {sides[1]}"


def shorten(line: str) -> str:
    return line if len(line) <= LINE_MOST else f"{line[:LINE_MOST]}... ({len(line)} characters)"
