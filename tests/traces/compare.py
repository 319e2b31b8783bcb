"""Finds the first difference between two traces and describes it with the lines before it."""

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
LINE_CHARS = 400  # characters shown of a line
EXCERPT_CHARS = 120  # characters shown of a long value before and after the first difference
COMMANDS, EFFECTS = 4, 5  # positions of a step's commands and effects in its line
PARTS = ["controller", "process", "now", "wall", "commands", "effects", "errors logged"]


@dataclass(frozen=True)
class Outcome:
    """Whether two traces are equal, and a description for the reader."""

    equal: bool
    text: str


def lines_of(trace: pathlib.Path) -> Iterator[str]:
    """Yield the lines of a compressed trace."""
    with gzip.open(trace, "rt", encoding="ascii") as file:
        for line in file:
            yield line.rstrip("\n")


def compare(before: Iterable[str], after: Iterable[str]) -> Outcome:
    """Compare the lines of two traces."""
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
    return end_outcome(last)


def end_outcome(last: str) -> Outcome:
    """Return the outcome for two traces without a difference, from their last line."""
    end = json.loads(last) if last else []
    if not end or end[0] != "end":
        return Outcome(False, "neither trace has an end line")
    _, broken_rule, steps, effects = end
    rule = f"; both end with a rule broken: {broken_rule}" if broken_rule else ""
    return Outcome(True, f"equal ({steps} steps, {effects} effects){rule}")


def describe(
    number: int,
    one: str | None,
    other: str | None,
    earlier_one: list[str],
    earlier_other: list[str],
) -> str:
    found = [f"differs at line {number}: {describe_difference(one, other)}"]
    for name, line, earlier in (("before", one, earlier_one), ("after", other, earlier_other)):
        found.append(f"  {name}:")
        found += [f"      {shorten(text)}" for text in earlier]
        found.append(f"    > {shorten(line) if line is not None else 'no line'}")
    return "\n".join(found)


def describe_difference(one: str | None, other: str | None) -> str:
    """Describe which part of the step differs, and how."""
    if one is None or other is None:
        return f"the trace {'before' if one is None else 'after'} has ended"
    first, second = json.loads(one), json.loads(other)
    if "end" in (first[0], second[0]):
        return "the end line of a trace"
    for position, part in enumerate(PARTS):
        if first[position] != second[position]:
            step = f"step of {second[0]} (process {second[1]}) at {second[2]:.2f}"
            if position in (COMMANDS, EFFECTS):
                return f"{step}, {list_difference(part, first[position], second[position])}"
            return f"{step}, {part}: {first[position]} and {second[position]}"
    return "the same values in a different JSON encoding"


def list_difference(part: str, one: list[Any], other: list[Any]) -> str:
    counts = f"{len(one)} {part} before and {len(other)} after"
    for number, (first, second) in enumerate(zip(one, other, strict=False), 1):
        if first != second:
            excerpt = difference_excerpt(json.dumps(first), json.dumps(second))
            return f"{counts}, the first that differs is number {number}:\n{excerpt}"
    return f"{counts}, the shorter list is a prefix of the longer one"


def difference_excerpt(one: str, other: str) -> str:
    """Return the two values around their first difference, as removed and added lines."""
    pairs = enumerate(zip(one, other, strict=False))
    at = next((n for n, (a, b) in pairs if a != b), min(len(one), len(other)))
    begin = max(0, at - EXCERPT_CHARS)
    sides = [text[begin : at + EXCERPT_CHARS] for text in (one, other)]
    return f"    - {sides[0]}\n    + {sides[1]}"


def shorten(line: str) -> str:
    return line if len(line) <= LINE_CHARS else f"{line[:LINE_CHARS]}... ({len(line)} characters)"
