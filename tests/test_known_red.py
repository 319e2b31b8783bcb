"""The list of known failures hides nothing but what it names."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KnownRed, read_known_red, unknown_tests

ROOT = Path(__file__).parent.parent


LINE = "tests/test_x.py::test_a{} | python3 -m pytest, seed 7 | a job ran twice | issue 16\n"


def test_each_line_has_four_fields() -> None:
    entry = ("python3 -m pytest, seed 7", "a job ran twice", "issue 16")
    lines = "".join(map(LINE.format, range(5)))
    expected = {f"tests/test_x.py::test_a{number}": entry for number in range(5)}
    assert read_known_red("# a comment\n\n" + lines) == expected


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_x.py::test_a",
        "a | b | c",
        "a | b | c |",
        "a | b |  | d",
        "a | | c | d",
        "| b | c | d",
        "a | b | c | d |",
        "a | b | c | d | e",
    ],
)
def test_a_line_without_four_filled_fields_is_refused(line: str) -> None:
    with pytest.raises(ValueError, match="not `test"):
        read_known_red(LINE.format(1) + line + "\n")


def test_a_test_listed_twice_is_refused() -> None:
    for second in (LINE.format(1), LINE.format(1).replace("seed 7", "seed 8")):
        with pytest.raises(ValueError, match="listed twice"):
            read_known_red(LINE.format(1) + LINE.format(2) + second)


def test_a_line_that_names_no_test_is_found() -> None:
    listed = dict.fromkeys(
        [
            "tests/test_wire.py::test_none",
            "tests/gone.py::test_a",
            "tests/test_process_start.py::test_a",
        ],
        KnownRed("command", "seen", "issue"),
    )
    assert unknown_tests(listed, ["tests/test_wire.py::test_other"]) == [
        "tests/test_wire.py::test_none",
        "tests/gone.py::test_a",
    ]


def _run_one_test(root: Path, body: str, known_red: str) -> subprocess.CompletedProcess[str]:
    """Runs a suite of the one test `test_it` beside a KNOWN-RED.txt."""
    tests = root / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tests / "test_it.py").write_text(f"def test_it():\n    {body}\n")
    (root / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--rootdir", ".", "tests"]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)


LISTED = "tests/test_it.py::test_it | pytest, seed 7 | a job ran twice | issue 1\n"


@pytest.mark.parametrize(("body", "code"), [("assert False", 0), ("assert True", 1)])
def test_a_listed_test_may_fail_but_not_pass(tmp_path: Path, body: str, code: int) -> None:
    run = _run_one_test(tmp_path, body, LISTED)
    assert run.returncode == code, run.stdout
    assert "known red: tests/test_it.py::test_it: a job ran twice (issue 1)" in run.stdout


@pytest.mark.parametrize(
    ("known_red", "message"),
    [
        ("tests/test_it.py::test_it | a cause | issue 1\n", "not `test"),
        (LISTED + LISTED, "listed twice"),
        (LISTED.replace("::test_it", "::test_other"), "names no test"),
    ],
)
def test_a_list_that_is_wrong_fails_the_run(tmp_path: Path, known_red: str, message: str) -> None:
    run = _run_one_test(tmp_path, "assert True", known_red)
    assert run.returncode == pytest.ExitCode.USAGE_ERROR, run.stdout
    assert message in run.stderr
