"""The start of a process: it is part of every takeover, on a few percent of a core."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_deployed_copy_starts_without_compiling_its_sources(tmp_path: Path) -> None:
    # Controllers cannot write beside their sources: without compiled ones every start of every
    # process compiled all of them, a third of the time from start to the first answer.
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    shutil.copy(ROOT / "run.py", tmp_path)
    shutil.copytree(
        ROOT / "fallpulley", tmp_path / "fallpulley", ignore=shutil.ignore_patterns("__pycache__")
    )
    # The build takes the deployment's defaults with it.
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    # The first part installs libraries: the environment of the tests has them already.
    local = deploy["build"].partition("&& ")[2]
    subprocess.run(["sh", "-ec", local], cwd=tmp_path, check=True)
    program = next(word for word in deploy["run"].split() if word.endswith(".py"))
    run = subprocess.run(
        [sys.executable, "-B", "-v", program, "check-config", "nothing.toml"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={k: v for k, v in os.environ.items() if not k.startswith("PYTHON")},
    )
    assert "settings: nothing.toml" in run.stderr
    ours = [line for line in run.stderr.splitlines() if "fallpulley" in line]
    assert any("code object from" in line and line.endswith(".pyc'") for line in ours)
    assert not [line for line in ours if "code object from" in line and ".pyc" not in line]
    assert (tmp_path / "target" / "app" / "fallpulley.toml").exists()
