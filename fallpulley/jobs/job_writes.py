"""Conditional writes of job records and progress values, by how long they may wait."""

from __future__ import annotations

from collections.abc import Callable

from fallpulley.context import ControllerContext
from fallpulley.state.transactions import Change, RequestPriority, Write, WriteResult

# A write that has not gone out by then is dropped: a user would ask again anyway.
MAX_ACCEPT_WAIT_SECONDS = 2.0
# What is dropped after this wait is decided anew.
MAX_PROGRESS_WAIT_SECONDS = 5.0


def write_acceptance(
    context: ControllerContext,
    conditions: dict[str, int],
    changes: list[Change],
    on_result: Callable[[WriteResult], None],
) -> None:
    """Write what a user waits for: acceptances, cancellations and completions of jobs.

    `conditions`: mod revisions that the keys must have, 0 where a key must not exist.
    """
    expires_at = context.now + MAX_ACCEPT_WAIT_SECONDS
    context.state_client.write(
        Write(conditions, changes, on_result, RequestPriority.ACCEPT, expires_at=expires_at)
    )


def write_progress(
    context: ControllerContext,
    key: str,
    mod_revision: int,
    value: bytes,
    on_result: Callable[[WriteResult], None],
) -> None:
    """Write one value that nobody waits for, if its key has `mod_revision` (0: does not exist)."""
    expires_at = context.now + MAX_PROGRESS_WAIT_SECONDS
    context.state_client.write(
        Write(
            {key: mod_revision},
            [Change(key, value)],
            on_result,
            RequestPriority.PROGRESS,
            expires_at=expires_at,
        )
    )
