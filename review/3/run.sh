#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/app/run.py ] || exit 2
PYTHONPATH="$PWD" exec python3 -B review/3/case.py
