"""Conditional writes of job records and progress values, with a maximum wait in the queue."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.controller_context import ControllerContext
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult

# How long a write that a user waits for may stay queued before it is dropped. The user is told to
# ask again, and would do so by then in any case.
MAX_INTERACTIVE_WAIT_SECONDS = 2.0
# How long a write that nobody waits for may stay queued before it is dropped. The owner of the
# shard then decides again what to write.
MAX_BACKGROUND_WAIT_SECONDS = 5.0


def write_interactive(
    context: ControllerContext,
    conditions: dict[str, int],
    changes: list[Change],
    on_result: Callable[[WriteResult], None],
) -> None:
    """Queue a write that a user waits for: the acceptance, cancellation or completion of a job.

    Args:
        context: The controller's context.
        conditions: The revision that each of these keys must have; 0 if it must not exist.
        changes: The changes to make, all of them or none.
        on_result: Called with the outcome of the write.
    """
    expires_at = context.now + MAX_INTERACTIVE_WAIT_SECONDS
    context.state_client.write(
        Write(conditions, changes, on_result, RequestPriority.INTERACTIVE, expires_at=expires_at)
    )


def write_in_background(
    context: ControllerContext,
    key: str,
    mod_revision: int,
    value: bytes,
    on_result: Callable[[WriteResult], None],
) -> None:
    """Queue a write of one value that nobody waits for.

    Used for progress values and for records of jobs that are cancelled because a dependency is.

    Args:
        context: The controller's context.
        key: The key to write.
        mod_revision: The revision that the key must have; 0 if it must not exist.
        value: The encoded value.
        on_result: Called with the outcome of the write.
    """
    expires_at = context.now + MAX_BACKGROUND_WAIT_SECONDS
    context.state_client.write(
        Write(
            {key: mod_revision},
            [Change(key, value)],
            on_result,
            RequestPriority.BACKGROUND,
            expires_at=expires_at,
        )
    )
