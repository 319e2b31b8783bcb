#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the project's own program. Their stand-ins are one file
# in plain Python, review/lab_2.py, without dependencies: it is compiled under target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m compileall -q review/lab_2.py review/[4-8]/case.py
