"""The trees of sources that are played, and the directories of their traces.

The trees are the working tree and git worktrees of other revisions.
"""

from __future__ import annotations

import hashlib
import pathlib
import subprocess

ROOT = pathlib.Path(__file__).parent.parent.parent
WORK = ROOT / "target" / "traces"


def git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], check=True, capture_output=True, text=True
    )
    return done.stdout.strip()


def commit_of(revision: str) -> str:
    return git("rev-parse", "--verify", f"{revision}^{{commit}}")


def worktree_of(commit: str) -> pathlib.Path:
    """Return a worktree of the commit; it is created if missing, and kept."""
    tree = WORK / "trees" / commit
    if not (tree / ".git").exists():
        # --force: git may still list the worktree although its directory was removed.
        git("worktree", "add", "--force", "--quiet", "--detach", str(tree), commit)
    return tree


def hash_of_package() -> str:
    """Return a hash of all files that affect a trace, apart from the sources played."""
    here = pathlib.Path(__file__).parent
    files = [*sorted(here.glob("*.py")), here.parent / "data" / "production.json"]
    found = hashlib.sha256()
    for file in files:
        found.update(file.name.encode() + b"\0" + file.read_bytes() + b"\0")
    return found.hexdigest()[:16]


def cached_traces(commit: str, hash_seed: int) -> pathlib.Path:
    """Return the directory in which the traces of a commit are kept."""
    return WORK / "kept" / f"{commit[:16]}-{hash_of_package()}-{hash_seed}"


def working_tree_traces(hash_seed: int) -> pathlib.Path:
    """Return the directory of the working tree's traces, which are written anew each time."""
    return WORK / "at-hand" / str(hash_seed)
