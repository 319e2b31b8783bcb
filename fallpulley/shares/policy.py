"""Evaluates the share policy, an expression in CEL (Common Expression Language) set by operators.

It computes the weights of the shares from load, backlog and the hour of the day. The CEL library
is imported only if an expression is set. CEL has no loops other than macros over the elements of a
list or map. The length of an expression and its number of macros are limited, and this process
stops using one that fails or takes too long.
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
# The CEL macros that iterate, as they are written in an expression.
MACROS = (".map(", ".filter(", ".all(", ".exists(", ".exists_one(")
# Maximum number of macros in an expression. Each one that is nested in another multiplies the
# evaluation time by the number of shards.
MAX_MACROS = 4
# Maximum duration of an evaluation, in seconds. The controller does nothing else meanwhile, so a
# policy that takes longer is disabled.
MAX_EVALUATION_SECONDS = 0.05
# The policy changes the weights only if some controller's fraction of their sum changes by at
# least this.
MIN_FRACTION_CHANGE = 0.1
# Maximum number of characters that an error message quotes from an invalid value.
MAX_QUOTED_LENGTH = 80
# Amounts of work, in seconds, with which an expression is evaluated when the settings are checked:
# none, and a large amount.
TRIAL_WORK_SECONDS = (0.0, 1000.0)
TRIAL_HOUR = 12.0  # hour of the day for these evaluations

Weights = dict[str, float]  # weights by controller id


class PolicyError(Exception):
    """Raised if an expression or its result cannot be used; the message says why."""


class PolicyInput(msgspec.Struct, frozen=True):
    """The variables of a policy expression, under the names that expressions use."""

    load: dict[str, float]  # unfinished work per processor by shard, in seconds
    # Unfinished work by shard and priority, in processor-seconds.
    backlog: dict[str, dict[Priority, float]]
    hour: float  # hour of the day in UTC, with fractions


WeightFunction = Callable[[PolicyInput], Weights]


def compile_expression(expression: str) -> WeightFunction:
    """Compile an expression into a function that computes the weights.

    Raises:
        PolicyError: The expression is too long, has too many macros or does not compile.
    """
    if len(expression) > MAX_EXPRESSION_LENGTH:
        raise PolicyError(f"expression is longer than {MAX_EXPRESSION_LENGTH} characters")
    if sum(expression.count(macro) for macro in MACROS) > MAX_MACROS:
        raise PolicyError(f"expression has more than {MAX_MACROS} macros")
    import celpy
    from celpy.adapter import json_to_cel

    try:
        environment = celpy.Environment()
        program = environment.program(environment.compile(expression))
    except Exception as error:  # the library's errors have no common base class
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
        return _parse_weights(result)

    return evaluate


def _first_line(error: Exception) -> str:
    return str(error).partition("\n")[0]


def _parse_weights(result: object) -> Weights:
    if not isinstance(result, Mapping) or not result:
        raise PolicyError("result is not a map of weights by controller")
    weights: Weights = {}
    for controller_id, value in result.items():
        # The library's BoolType is a subclass of int, and errors within a map become its values.
        is_number = isinstance(value, int | float) and type(value).__name__ != "BoolType"
        if not is_number:
            quoted = str(value)[:MAX_QUOTED_LENGTH]
            raise PolicyError(f"weight of {controller_id} is not a number: {quoted}")
        weight = float(value)
        if not math.isfinite(weight) or weight < 0:
            raise PolicyError(f"weight of {controller_id} is {weight:g}, not a number from 0 on")
        weights[str(controller_id)] = weight
    if sum(weights.values()) <= 0:
        raise PolicyError("result has no weight above 0")
    return weights


def check_expression(expression: str, controller_ids: list[str]) -> None:
    """Check that an expression compiles and gives valid weights for ordinary values.

    Raises:
        PolicyError: It does not.
    """
    evaluate = compile_expression(expression)
    for work in TRIAL_WORK_SECONDS:
        load = dict.fromkeys(controller_ids, work)
        backlog = {name: dict.fromkeys(Priority, work) for name in controller_ids}
        weights = evaluate(PolicyInput(load, backlog, TRIAL_HOUR))
        unknown = sorted(weights.keys() - set(controller_ids))
        if unknown:
            raise PolicyError(f"names no controller: {', '.join(unknown)}")


def check_settings(settings: Settings) -> None:
    """Check the share policy in the settings, if shares are enabled.

    Raises:
        SettingsError: The policy cannot be used.
    """
    shares = settings.operators.shares
    if not shares.enabled or not shares.policy:
        return
    try:
        check_expression(shares.policy, settings.controller_ids)
    except PolicyError as error:
        raise SettingsError(f"{OPERATORS_FILE}: shares.policy: {error}") from None


class Policy:
    """Evaluates the expression at intervals, and decides whether the shares have to change."""

    def __init__(
        self, settings: SharesSettings, clock: Callable[[], float] = time.perf_counter
    ) -> None:
        """Create a policy; `clock` returns seconds and is used to time the evaluations."""
        self._settings = settings
        self._clock = clock
        self._evaluate: WeightFunction | None = None
        self._disabled = not settings.policy
        self._next_at = float("-inf")  # time of the next evaluation, on the monotonic clock

    def wanted_shares(
        self, now: float, table: ShareTable, policy_input: Callable[[], PolicyInput]
    ) -> dict[str, Share] | None:
        """Return the shares that the policy wants now; None if the shares stay as they are.

        Args:
            now: The present time on the monotonic clock, in seconds.
            table: The present shares.
            policy_input: Returns the variables; called only if the expression is evaluated.
        """
        if self._disabled or now < self._next_at:
            return None
        self._next_at = now + self._settings.policy_every_s
        try:
            weights = self._evaluate_weights(policy_input())
        except PolicyError as error:
            log.info("share policy disabled until restart reason=%s", error)
            self._disabled = True
            return None
        return _shares_with_weights(table, weights)

    def _evaluate_weights(self, policy_input: PolicyInput) -> Weights:
        if self._evaluate is None:
            self._evaluate = compile_expression(self._settings.policy)
        started_at = self._clock()
        weights = self._evaluate(policy_input)
        elapsed_s = self._clock() - started_at
        if elapsed_s > MAX_EVALUATION_SECONDS:
            raise PolicyError(
                f"evaluation took {elapsed_s:.3f} s, more than {MAX_EVALUATION_SECONDS} s"
            )
        return weights


def _shares_with_weights(table: ShareTable, weights: Weights) -> dict[str, Share] | None:
    """Return the table's shares with new weights; None if no fraction changes enough."""
    old_weights = {name: share.weight for name, share in table.shares.items()}
    old_fractions, new_fractions = _normalize(old_weights), _normalize(weights)
    controller_ids = old_weights.keys() | weights.keys()
    if all(
        abs(old_fractions.get(name, 0.0) - new_fractions.get(name, 0.0)) < MIN_FRACTION_CHANGE
        for name in controller_ids
    ):
        return None
    return {
        name: msgspec.structs.replace(
            table.shares.get(name, Share(0.0)), weight=weights.get(name, 0.0)
        )
        for name in sorted(controller_ids)
    }


def _normalize(weights: Weights) -> Weights:
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()} if total > 0 else {}
