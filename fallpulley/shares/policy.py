"""An operators' expression that gives weights: CEL over load, backlog and the hour of the day.

The library is loaded only where an expression is set. An expression can't loop, its length and its
macros are bounded, and one that takes too long or fails is not used again by this process.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from fallpulley.jobs.messages import Priority
from fallpulley.settings import SharesSettings
from fallpulley.shares.messages import Share, ShareTable

log = logging.getLogger(__name__)

MAX_EXPRESSION_LENGTH = 2000  # characters
MACROS = (".map(", ".filter(", ".all(", ".exists(", ".exists_one(")
MAX_MACROS = 4  # nested, each would multiply the time by the number of blocks
# An evaluation that takes longer ends the policy: it would hold up the controller.
EVALUATION_S = 0.05
# Parts of the fleet, by weights, that differ by less are left as they are.
HYSTERESIS = 0.1

Weights = dict[str, float]


class PolicyError(Exception):
    """The expression can't be used; the message says why."""


class PolicyInput(msgspec.Struct, frozen=True):
    """What an expression sees."""

    load: dict[str, float]  # block -> unfinished work for each of its processors, in seconds
    backlog: dict[str, dict[Priority, float]]  # block -> priority -> unfinished processor-seconds
    hour: float  # of the day, UTC


Evaluate = Callable[[PolicyInput], Weights]


def compiled(expression: str) -> Evaluate:
    """The expression as a function; raises `PolicyError` when it can't be one."""
    if len(expression) > MAX_EXPRESSION_LENGTH:
        raise PolicyError(f"longer than {MAX_EXPRESSION_LENGTH} characters")
    if sum(expression.count(macro) for macro in MACROS) > MAX_MACROS:
        raise PolicyError(f"more than {MAX_MACROS} macros")
    import celpy
    from celpy.adapter import json_to_cel

    try:
        environment = celpy.Environment()
        program = environment.program(environment.compile(expression))
    except Exception as error:  # the library's own errors have no common class
        raise PolicyError(str(error).partition("\n")[0]) from None

    def evaluate(values: PolicyInput) -> Weights:
        try:
            found = program.evaluate(
                {
                    "load": json_to_cel(values.load),
                    "backlog": json_to_cel(values.backlog),
                    "hour": json_to_cel(values.hour),
                }
            )
        except Exception as error:
            raise PolicyError(str(error).partition("\n")[0]) from None
        return _weights(found)

    return evaluate


def _weights(found: Any) -> Weights:
    if not isinstance(found, Mapping) or not found:
        raise PolicyError("gives no map of weights")
    weights: Weights = {}
    for label, value in found.items():
        # The library's own boolean is a kind of integer, and errors within a map are values.
        is_number = isinstance(value, int | float) and type(value).__name__ != "BoolType"
        if not is_number:
            raise PolicyError(f"weight of {label} is no number but {str(value)[:80]}")
        weight = float(value)
        if not math.isfinite(weight) or weight < 0:
            raise PolicyError(f"weight of {label} is {weight:g}")
        weights[str(label)] = weight
    if sum(weights.values()) <= 0:
        raise PolicyError("gives no weight above 0")
    return weights


def check_expression(expression: str, labels: list[str]) -> None:
    """Raise `PolicyError` for an expression that fails on ordinary values."""
    evaluate = compiled(expression)
    for work in (0.0, 1000.0):
        backlog = {label: dict.fromkeys(Priority, work) for label in labels}
        weights = evaluate(PolicyInput(dict.fromkeys(labels, work), backlog, 12.0))
        unknown = sorted(weights.keys() - set(labels))
        if unknown:
            raise PolicyError(f"names no controller: {', '.join(unknown)}")


class Policy:
    """Evaluates the expression now and then, and says when shares are to change."""

    def __init__(
        self, settings: SharesSettings, clock: Callable[[], float] = time.perf_counter
    ) -> None:
        self.settings = settings
        self.clock = clock
        self._evaluate: Evaluate | None = None
        self._ended = not settings.policy
        self._next_at = float("-inf")

    def wished(
        self, now: float, table: ShareTable, values: Callable[[], PolicyInput]
    ) -> dict[str, Share] | None:
        """The shares that the policy wants now; None: no change."""
        if self._ended or now < self._next_at:
            return None
        self._next_at = now + self.settings.policy_every_s
        try:
            weights = self._weights(values())
        except PolicyError as error:
            log.info("share policy failed and is not used again why=%s", error)
            self._ended = True
            return None
        return _changed(table, weights)

    def _weights(self, values: PolicyInput) -> Weights:
        if self._evaluate is None:
            self._evaluate = compiled(self.settings.policy)
        began = self.clock()
        weights = self._evaluate(values)
        took_s = self.clock() - began
        if took_s > EVALUATION_S:
            raise PolicyError(f"took {took_s:.3f} s of {EVALUATION_S} s")
        return weights


def _changed(table: ShareTable, weights: Weights) -> dict[str, Share] | None:
    """The table's shares with new weights, where some part differs enough."""
    old = {label: share.weight for label, share in table.shares.items()}
    parts, wanted = _parts(old), _parts(weights)
    labels = old.keys() | weights.keys()
    if all(abs(parts.get(n, 0.0) - wanted.get(n, 0.0)) < HYSTERESIS for n in labels):
        return None
    return {
        label: msgspec.structs.replace(
            table.shares.get(label, Share(0.0)), weight=weights.get(label, 0.0)
        )
        for label in sorted(labels)
    }


def _parts(weights: Mapping[str, float]) -> Weights:
    total = sum(weights.values())
    return {label: weight / total for label, weight in weights.items()} if total > 0 else {}
