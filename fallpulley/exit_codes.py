"""Exit codes of the command line: the one place where a code is added."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    UNREACHABLE = 4
    CONFLICT = 5
    REFUSED = 6


EXPLANATIONS = {
    ExitCode.OK: "well",
    ExitCode.FAILED: "failed",
    ExitCode.USAGE: "wrong usage",
    ExitCode.BAD_SETTINGS: "settings that cannot be used",
    ExitCode.UNREACHABLE: "no controller answers",
    ExitCode.CONFLICT: "somebody else changed it first",
    ExitCode.REFUSED: "refused",
}

# Shown below the help of the command line.
HELP_TEXT = (
    "Exit codes: " + ", ".join(f"{code.value} {EXPLANATIONS[code]}" for code in ExitCode) + "."
)
