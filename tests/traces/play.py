"""Plays one scenario with the sources of a tree: `python3 play.py TREE SCENARIO TRACE`.

This file is run as a script. `fallpulley` and `tests.simulated_cluster` are imported from the tree,
which need not have this package; `tests.traces` is always the package that this file is part of.
"""

from __future__ import annotations

import gzip
import importlib.util
import logging
import os
import pathlib
import sys
import time

PACKAGE = "tests.traces"


def import_sources_from(tree: str) -> None:
    """Let imports find the sources of the tree, but this package as `tests.traces`."""
    sys.path[0] = tree  # was the directory of this file
    here = pathlib.Path(__file__).parent
    spec = importlib.util.spec_from_file_location(
        PACKAGE, here / "__init__.py", submodule_search_locations=[str(here)]
    )
    assert spec is not None and spec.loader is not None
    package = importlib.util.module_from_spec(spec)
    sys.modules[PACKAGE] = package
    spec.loader.exec_module(package)


def stop_clocks() -> None:
    """Stop Python's clocks, so that no time limit depends on how busy this machine is."""
    for name in ("monotonic", "perf_counter", "process_time", "thread_time"):
        setattr(time, name, lambda: 0.0)


def play(name: str, trace: pathlib.Path) -> None:
    """Play a scenario and write its trace.

    The trace is written under a temporary name and then renamed, so that a trace that exists is
    complete.
    """
    from tests.traces.adapter import Cluster
    from tests.traces.recorder import Recorder
    from tests.traces.scenarios import SCENARIOS
    from tests.traces.scenarios import play as play_scenario

    scenario = SCENARIOS[name]
    unfinished = trace.with_suffix(f".{os.getpid()}")
    with gzip.open(unfinished, "wt", 1, encoding="ascii") as out:
        recorder = Recorder(out)
        recorder.install()
        cluster = Cluster(
            recorder, scenario.machines, scenario.capacity, scenario.operators, scenario.facts
        )
        try:
            play_scenario(scenario, cluster)
        except AssertionError as error:
            recorder.close(str(error))
        else:
            recorder.close()
    os.replace(unfinished, trace)


if __name__ == "__main__":
    logging.lastResort = None  # the recorder counts what is logged
    import_sources_from(sys.argv[1])
    stop_clocks()
    play(sys.argv[2], pathlib.Path(sys.argv[3]))
