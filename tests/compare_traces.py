"""Checks that the working tree's controllers do the same in every step as those of a revision.

    python3 -m tests.compare_traces REV [--jobs N] [--scenario NAME] [--hash-seed N]

Plays the scenarios of `tests/traces` with both sources and compares their traces: the commands that
each controller got, the effects it returned and the errors it logged.
Exit code 0: all traces are equal; 1: some differ; 2: a scenario could not be played.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from tests.traces import worktrees
from tests.traces.compare import Outcome, compare, lines_of
from tests.traces.scenarios import SCENARIOS

PLAY = pathlib.Path(__file__).parent / "traces" / "play.py"
DIFFERS, NOT_PLAYED = 1, 2


class NotPlayedError(Exception):
    """Playing a scenario failed; the message has the error output."""


def play(tree: pathlib.Path, scenario: str, trace: pathlib.Path, hash_seed: int) -> None:
    """Play a scenario in its own process, since both trees have modules of the same names.

    Raises:
        NotPlayedError: The process failed.
    """
    trace.parent.mkdir(parents=True, exist_ok=True)
    done = subprocess.run(
        [sys.executable, str(PLAY), str(tree), scenario, str(trace)],
        env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode != 0:
        raise NotPlayedError(f"{scenario} with {tree}:\n{done.stderr}")


class Comparison:
    """Compares the sources of a commit with the working tree."""

    def __init__(self, commit: str, hash_seed: int, hash_seed_at_hand: int) -> None:
        self.tree = worktrees.worktree_of(commit)
        self.kept_traces = worktrees.cached_traces(commit, hash_seed)
        self.new_traces = worktrees.working_tree_traces(hash_seed_at_hand)
        self.hash_seed = hash_seed
        self.hash_seed_at_hand = hash_seed_at_hand

    def compare(self, scenario: str) -> Outcome:
        """Play a scenario with both sources, the commit's only if no trace of it is kept."""
        before, after = self.kept_traces / f"{scenario}.gz", self.new_traces / f"{scenario}.gz"
        if not before.exists():
            play(self.tree, scenario, before, self.hash_seed)
        play(worktrees.ROOT, scenario, after, self.hash_seed_at_hand)
        return compare(lines_of(before), lines_of(after))


def arguments_of(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python3 -m tests.compare_traces")
    parser.add_argument("revision", metavar="REV")
    parser.add_argument(
        "--jobs",
        type=int,
        default=os.cpu_count() or 1,
        help="number of scenarios played in parallel",
    )
    parser.add_argument(
        "--scenario",
        action="append",
        choices=list(SCENARIOS),
        help="play only this scenario; may be repeated",
    )
    parser.add_argument(
        "--hash-seed",
        type=int,
        default=1,
        help="PYTHONHASHSEED of what is played: decides the order of sets",
    )
    parser.add_argument(
        "--hash-seed-at-hand",
        type=int,
        help="another hash seed for the working tree: shows what depends on the order of sets",
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    options = arguments_of(arguments)
    seed_at_hand = (
        options.hash_seed if options.hash_seed_at_hand is None else options.hash_seed_at_hand
    )
    comparison = Comparison(worktrees.commit_of(options.revision), options.hash_seed, seed_at_hand)
    scenarios = options.scenario or list(SCENARIOS)
    differ = 0
    with ThreadPoolExecutor(max(1, options.jobs)) as pool:
        outcomes = pool.map(comparison.compare, scenarios)
        try:
            for scenario, outcome in zip(scenarios, outcomes, strict=True):
                print(f"{scenario}: {outcome.text}", flush=True)
                differ += not outcome.equal
        except NotPlayedError as error:
            print(error, file=sys.stderr)
            return NOT_PLAYED
    print(f"{differ} of {len(scenarios)} scenarios differ" if differ else "all scenarios are equal")
    return DIFFERS if differ else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
