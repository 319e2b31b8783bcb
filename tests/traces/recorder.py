"""Writes down every step of every controller: what it was told, and what it asked for.

Commands and effects are written by position: no name of a class or of a field enters the trace, and
neither do callables. The controller that an answer leaves is proved right by the number of the
request that its ticket came with.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import Any, TextIO

from tests.traces.names import find, name_on

Step = Callable[[Any, list[Any], float, float], list[Any]]
CorruptBatch = Callable[[list[Any]], None]


class ErrorCount(logging.Handler):
    """How many errors were logged: an exception inside a step is caught there and only logged."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.count += 1


def plain(value: Any) -> Any:
    """The value as JSON has it; bytes that are no UTF-8 stay apart from each other."""
    if isinstance(value, bytes):
        return value.decode("utf-8", "surrogateescape")
    return value


def fields_of(struct: Any) -> list[Any]:
    return [getattr(struct, name) for name in struct.__struct_fields__]


class Recorder:
    """One trace: a line for every step in which something came or went, and one at its end."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.steps = 0
        self.effects = 0
        # Changes what a controller is told before it is recorded: answers may come damaged.
        self.corrupt: CorruptBatch | None = None
        self._errors = ErrorCount()
        self._processes: dict[int, tuple[str, int]] = {}  # by the controller's identity
        # Requests that wait for their answers, by their tickets' identity.
        self._waiting: dict[int, tuple[int, Any]] = {}
        self._requests = 0

    def install(self) -> None:
        """From now on every controller's steps are recorded."""
        logging.getLogger().addHandler(self._errors)
        controller_class = find("Controller")
        name = name_on(controller_class, "step")
        setattr(controller_class, name, self.wrapped(getattr(controller_class, name)))

    def wrapped(self, step: Step) -> Step:
        def recorded(controller: Any, batch: list[Any], now: float, wall: float) -> list[Any]:
            before = self._errors.count
            if self.corrupt is not None:
                self.corrupt(batch)
            recorded_commands = [self.command(command) for command in batch]
            effects = step(controller, batch, now, wall)
            recorded_effects = [self.effect(effect) for effect in effects]
            self._note(
                controller,
                now,
                wall,
                recorded_commands,
                recorded_effects,
                self._errors.count - before,
            )
            return effects

        return recorded

    def register_controller(self, controller: object, label: str, process: int) -> None:
        self._processes[id(controller)] = (label, process)

    def command(self, command: Any) -> list[Any]:
        fields = fields_of(command)
        found = [plain(value) for value in fields if is_plain(value)]
        tickets = [value for value in fields if not is_plain(value)]
        if tickets and isinstance(found[0], str):  # a request, not the outcome of a call
            self._requests += 1
            self._waiting[id(tickets[0])] = (self._requests, tickets[0])
            found.append(self._requests)
        return found

    def effect(self, effect: Any) -> list[Any]:
        self.effects += 1
        fields = fields_of(effect)
        found = [plain(value) for value in fields if is_plain(value)]
        for value in fields:
            if not is_plain(value) and id(value) in self._waiting:
                found.append(self._waiting.pop(id(value))[0])
        return found

    def _note(
        self,
        controller: object,
        now: float,
        wall: float,
        commands: list[Any],
        effects: list[Any],
        errors: int,
    ) -> None:
        self.steps += 1
        if commands or effects or errors:
            label, process = self._processes[id(controller)]
            self.write([label, process, now, wall, commands, effects, errors])

    def write(self, line: list[Any]) -> None:
        self.out.write(json.dumps(line, separators=(",", ":")) + "\n")

    def close(self, broken: str = "") -> None:
        """The last line; `broken` tells of a rule of the world that did not hold."""
        self.write(["end", broken, self.steps, self.effects])


def is_plain(value: Any) -> bool:
    return value is None or isinstance(value, str | bytes | int | float)
