"""Exit codes of the command line."""

OK = 0
FAILED = 1
USAGE = 2
BAD_SETTINGS = 3
UNREACHABLE = 4
CONFLICT = 5
REFUSED = 6

EXPLAINED = (
    "Exit codes: 0 well, 1 failed, 2 wrong usage, 3 settings that cannot be used, 4 no controller"
    " answers, 5 somebody else changed it first, 6 refused."
)
