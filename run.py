"""Start fallpulley without installing it: `python3 run.py --config FILE`, from a checkout or from
the compiled copy that the build makes under target/app."""

import os
import sys

_HERE = os.path.dirname(os.path.abspath(__file__))
_ABOVE = os.path.dirname(_HERE)
_DEPS = (os.path.join(_HERE, "target", "deps"), os.path.join(_ABOVE, "deps"))
sys.path[:0] = [_HERE, *(path for path in _DEPS if os.path.isdir(path))]

from fallpulley.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments[:1] == ["--config"]:
        arguments.insert(0, "serve")
    sys.exit(main(arguments))
