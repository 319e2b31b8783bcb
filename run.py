"""Start fallpulley without installing it: `python3 run.py --config FILE`.

Works in a checkout and in the compiled copy that the build makes under target/app.
"""

import os
import sys

_ROOT = os.path.dirname(os.path.abspath(__file__))
_PARENT = os.path.dirname(_ROOT)
_DEPS = (os.path.join(_ROOT, "target", "deps"), os.path.join(_PARENT, "deps"))
sys.path[:0] = [_ROOT, *(path for path in _DEPS if os.path.isdir(path))]

from fallpulley.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments[:1] == ["--config"]:
        arguments.insert(0, "serve")
    sys.exit(main(arguments))
