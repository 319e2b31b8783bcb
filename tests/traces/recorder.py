"""Records every step of every controller: the commands that it got and the effects it returned.

Commands and effects are written by position, so the trace has no names of classes or fields. It has
no callables either: requests are numbered instead, and a response is written with the number of the
request whose callable (`pending_response`) it carries. A response sent to the wrong request
therefore shows in the trace.
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
    """Counts logged errors: a step catches an exception inside it and only logs it."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.count += 1


def json_value(value: Any) -> Any:
    """Return the value for the trace; different bytes stay different, also if not UTF-8."""
    if isinstance(value, bytes):
        return value.decode("utf-8", "surrogateescape")
    return value


def field_values(struct: Any) -> list[Any]:
    """Return the values of a struct's fields in their order."""
    return [getattr(struct, name) for name in struct.__struct_fields__]


class Recorder:
    """Writes one trace: a line for each step with commands, effects or errors, and an end line."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.steps = 0
        self.effects = 0
        # Changes a batch of commands before it is recorded and passed on; None: no corruption.
        self.corrupt: CorruptBatch | None = None
        self._errors = ErrorCount()
        # id() of a controller object -> its label and the number of its process.
        self._processes: dict[int, tuple[str, int]] = {}
        # id() of the callable of an unanswered request -> number of the request, the callable. It
        # is kept so that its id() is not used again.
        self._unanswered: dict[int, tuple[int, Any]] = {}
        self._request_count = 0

    def install(self) -> None:
        """Record the steps of every controller from now on."""
        logging.getLogger().addHandler(self._errors)
        controller_class = find("Controller")
        name = name_on(controller_class, "step")
        setattr(controller_class, name, self.wrap_step(getattr(controller_class, name)))

    def wrap_step(self, step: Step) -> Step:
        """Return a `step` that also records its commands, effects and logged errors."""

        def recorded_step(controller: Any, batch: list[Any], now: float, wall: float) -> list[Any]:
            before = self._errors.count
            if self.corrupt is not None:
                self.corrupt(batch)
            recorded_commands = [self.record_command(command) for command in batch]
            effects = step(controller, batch, now, wall)
            recorded_effects = [self.record_effect(effect) for effect in effects]
            self._write_step(
                controller,
                now,
                wall,
                recorded_commands,
                recorded_effects,
                self._errors.count - before,
            )
            return effects

        return recorded_step

    def register_controller(self, controller: object, label: str, process: int) -> None:
        self._processes[id(controller)] = (label, process)

    def record_command(self, command: Any) -> list[Any]:
        """Return a command's fields as written; a request gets its number at the end."""
        fields = field_values(command)
        values = [json_value(value) for value in fields if is_written(value)]
        callables = [value for value in fields if not is_written(value)]
        if callables and isinstance(values[0], str):  # a request, not a completed call
            self._request_count += 1
            self._unanswered[id(callables[0])] = (self._request_count, callables[0])
            values.append(self._request_count)
        return values

    def record_effect(self, effect: Any) -> list[Any]:
        """Return an effect's fields as written; a response has its request's number at the end."""
        self.effects += 1
        fields = field_values(effect)
        values = [json_value(value) for value in fields if is_written(value)]
        for value in fields:
            if not is_written(value) and id(value) in self._unanswered:
                values.append(self._unanswered.pop(id(value))[0])
        return values

    def _write_step(
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

    def close(self, broken_rule: str = "") -> None:
        """Write the end line; `broken_rule` describes a violated invariant of the cluster."""
        self.write(["end", broken_rule, self.steps, self.effects])


def is_written(value: Any) -> bool:
    """Return whether a field's value is written to the trace; callables are not."""
    return value is None or isinstance(value, str | bytes | int | float)
