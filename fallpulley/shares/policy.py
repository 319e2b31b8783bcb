"""The operators' expression that gives weights: CEL over load, backlog and the hour of the day.

The library is loaded only where an expression is set. An expression can't loop, its length and its
macros are bounded, and one that takes too long or fails is not used again by this process.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Mapping

import msgspec

from fallpulley.jobs.messages import Priority
from fallpulley.settings import OPERATORS_FILE, Settings, SettingsError, SharesSettings
from fallpulley.shares.messages import Share, ShareTable

log = logging.getLogger(__name__)

MAX_EXPRESSION_LENGTH = 2000  # characters
MACROS = (".map(", ".filter(", ".all(", ".exists(", ".exists_one(")
MAX_MACROS = 4  # nested, each would multiply the time by the number of shards
# An evaluation that takes longer ends the policy: it would hold up the controller.
MAX_EVALUATION_SECONDS = 0.05
# Weights are changed where some controller's part of their sum changes by at least this.
MIN_PART_CHANGE = 0.1
# Characters of a wrong value that an error message quotes.
MAX_QUOTED_LENGTH = 80
# Work that an expression is tried on before it is used: none, and plenty of it.
TRIAL_WORK_SECONDS = (0.0, 1000.0)
TRIAL_HOUR = 12.0

Weights = dict[str, float]  # by controller_id


class PolicyError(Exception):
    """The expression can't be used; the message says why."""


class PolicyInput(msgspec.Struct, frozen=True):
    """The variables of an expression."""

    load: dict[str, float]  # shard -> unfinished work for each of its processors, in seconds
    backlog: dict[str, dict[Priority, float]]  # shard -> priority -> unfinished processor-seconds
    hour: float  # of the day, UTC


Evaluate = Callable[[PolicyInput], Weights]


def compile_expression(expression: str) -> Evaluate:
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
        raise PolicyError(_first_line(error)) from None

    def evaluate(values: PolicyInput) -> Weights:
        try:
            result = program.evaluate(
                {
                    "load": json_to_cel(values.load),
                    "backlog": json_to_cel(values.backlog),
                    "hour": json_to_cel(values.hour),
                }
            )
        except Exception as error:
            raise PolicyError(_first_line(error)) from None
        return _checked_weights(result)

    return evaluate


def _first_line(error: Exception) -> str:
    return str(error).partition("\n")[0]


def _checked_weights(result: object) -> Weights:
    if not isinstance(result, Mapping) or not result:
        raise PolicyError("gives no map of weights")
    weights: Weights = {}
    for controller_id, value in result.items():
        # The library's own boolean is a kind of integer, and errors within a map are values.
        is_number = isinstance(value, int | float) and type(value).__name__ != "BoolType"
        if not is_number:
            quoted = str(value)[:MAX_QUOTED_LENGTH]
            raise PolicyError(f"weight of {controller_id} is no number but {quoted}")
        weight = float(value)
        if not math.isfinite(weight) or weight < 0:
            raise PolicyError(f"weight of {controller_id} is {weight:g}")
        weights[str(controller_id)] = weight
    if sum(weights.values()) <= 0:
        raise PolicyError("gives no weight above 0")
    return weights


def check_expression(expression: str, controller_ids: list[str]) -> None:
    """Raise `PolicyError` for an expression that fails on ordinary values."""
    evaluate = compile_expression(expression)
    for work in TRIAL_WORK_SECONDS:
        load = dict.fromkeys(controller_ids, work)
        backlog = {name: dict.fromkeys(Priority, work) for name in controller_ids}
        weights = evaluate(PolicyInput(load, backlog, TRIAL_HOUR))
        unknown = sorted(weights.keys() - set(controller_ids))
        if unknown:
            raise PolicyError(f"names no controller: {', '.join(unknown)}")


def check_settings(settings: Settings) -> None:
    """Raise `SettingsError` when shares are enabled with a policy that can't be used."""
    shares = settings.operators.shares
    if not shares.enabled or not shares.policy:
        return
    try:
        check_expression(shares.policy, settings.controller_ids)
    except PolicyError as error:
        raise SettingsError(f"{OPERATORS_FILE}: shares.policy: {error}") from None


class Policy:
    """Evaluates the expression at intervals, and says when the shares are to change."""

    def __init__(
        self, settings: SharesSettings, clock: Callable[[], float] = time.perf_counter
    ) -> None:
        """`clock` measures how long an evaluation takes, in seconds."""
        self._settings = settings
        self._clock = clock
        self._evaluate: Evaluate | None = None
        self._ended = not settings.policy
        self._next_at = float("-inf")  # by the monotonic clock

    def wanted_shares(
        self, now: float, table: ShareTable, policy_input: Callable[[], PolicyInput]
    ) -> dict[str, Share] | None:
        """The shares that the policy wants now; None: no change.

        `policy_input` is called only when the expression is evaluated.
        """
        if self._ended or now < self._next_at:
            return None
        self._next_at = now + self._settings.policy_every_s
        try:
            weights = self._weights(policy_input())
        except PolicyError as error:
            log.info("share policy ended reason=%s", error)
            self._ended = True
            return None
        return _with_weights(table, weights)

    def _weights(self, policy_input: PolicyInput) -> Weights:
        if self._evaluate is None:
            self._evaluate = compile_expression(self._settings.policy)
        began_at = self._clock()
        weights = self._evaluate(policy_input)
        took_s = self._clock() - began_at
        if took_s > MAX_EVALUATION_SECONDS:
            raise PolicyError(f"took {took_s:.3f} s of {MAX_EVALUATION_SECONDS} s")
        return weights


def _with_weights(table: ShareTable, weights: Weights) -> dict[str, Share] | None:
    """The table's shares with new weights; None where no part of their sum differs enough."""
    old_weights = {name: share.weight for name, share in table.shares.items()}
    old_parts, new_parts = _parts_of_sum(old_weights), _parts_of_sum(weights)
    controller_ids = old_weights.keys() | weights.keys()
    if all(
        abs(old_parts.get(name, 0.0) - new_parts.get(name, 0.0)) < MIN_PART_CHANGE
        for name in controller_ids
    ):
        return None
    return {
        name: msgspec.structs.replace(
            table.shares.get(name, Share(0.0)), weight=weights.get(name, 0.0)
        )
        for name in sorted(controller_ids)
    }


def _parts_of_sum(weights: Weights) -> Weights:
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()} if total > 0 else {}
