"""Start fallpulley from a checkout: `python3 run.py --config FILE`."""

import os
import sys

_HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [_HERE, os.path.join(_HERE, "target", "deps")]

from fallpulley.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments[:1] == ["--config"]:
        arguments.insert(0, "serve")
    sys.exit(main(arguments))
