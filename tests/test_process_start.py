"""The start of a process, which is part of every takeover and has a few percent of a core."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_deployed_copy_starts_without_compiling_its_sources(tmp_path: Path) -> None:
    # Controllers cannot write compiled files beside their sources. Without them each start of a
    # process compiled all sources, a third of the time from the start to the first response.
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    shutil.copy(ROOT / "run.py", tmp_path)
    shutil.copytree(
        ROOT / "fallpulley", tmp_path / "fallpulley", ignore=shutil.ignore_patterns("__pycache__")
    )
    # The build also copies the deployment's default settings.
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    # The first part installs libraries, which the environment of the tests already has.
    build_commands = deploy["build"].partition("&& ")[2]
    subprocess.run(["sh", "-ec", build_commands], cwd=tmp_path, check=True)
    program = next(word for word in deploy["run"].split() if word.endswith(".py"))
    run = subprocess.run(
        [sys.executable, "-B", "-v", program, "check-config", "nothing.toml"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={k: v for k, v in os.environ.items() if not k.startswith("PYTHON")},
    )
    assert "settings: nothing.toml" in run.stderr
    own_lines = [line for line in run.stderr.splitlines() if "fallpulley" in line]
    assert any("code object from" in line and line.endswith(".pyc'") for line in own_lines)
    assert not [line for line in own_lines if "code object from" in line and ".pyc" not in line]
    assert (tmp_path / "target" / "app" / "fallpulley.toml").exists()
