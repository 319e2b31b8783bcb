"""The exit codes of the command line; new codes are added here."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    UNREACHABLE = 4
    CONFLICT = 5
    REFUSED = 6


EXPLANATIONS = {
    ExitCode.OK: "success",
    ExitCode.FAILED: "failure",
    ExitCode.USAGE: "usage error",
    ExitCode.BAD_SETTINGS: "invalid settings",
    ExitCode.UNREACHABLE: "no controller available",
    ExitCode.CONFLICT: "conflict with another change",
    ExitCode.REFUSED: "request refused",
}

# Printed below the help text of the command line.
HELP_TEXT = (
    "Exit codes: " + ", ".join(f"{code.value} {EXPLANATIONS[code]}" for code in ExitCode) + "."
)
