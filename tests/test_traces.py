"""Traces of controllers: differences are found, and names of the sources make none."""

from __future__ import annotations

import functools
import io
import json
import logging
import pathlib
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from tests import compare_traces
from tests.traces import names, worktrees
from tests.traces.compare import Outcome, compare, lines_of
from tests.traces.corruption import Corruption
from tests.traces.names import MissingNameError
from tests.traces.recorder import Recorder


class Request(msgspec.Struct):
    ticket: Any
    method: str
    path: str
    body: bytes


class Result(msgspec.Struct):
    done: Any
    status: int | None
    body: bytes
    sent_at: float


class Answer(msgspec.Struct):
    ticket: Any
    status: int
    body: bytes = b""
    retry_after: float | None = None


class Call(msgspec.Struct):
    address: str
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    done: Any


class Question(msgspec.Struct):
    """A request under other names."""

    asker: Any
    verb: str
    where: str
    content: bytes


class Reply(msgspec.Struct):
    asker: Any
    number: int
    content: bytes = b""
    again_after: float | None = None


class Outgoing(msgspec.Struct):
    host: str
    verb: str
    where: str
    content: bytes | None
    patience_s: float
    then: Any


Effects = Callable[[list[Any]], list[Any]]


def ticket() -> Any:
    return functools.partial(print)


def recorded(effects_of: Effects, batches: list[list[Any]]) -> list[str]:
    """The trace of one controller that is told these batches."""
    out = io.StringIO()
    recorder = Recorder(out)
    controller = object()
    recorder.register_controller(controller, "node-0", 1)
    step = recorder.wrapped(lambda _, batch, now, wall: effects_of(batch))
    for number, batch in enumerate(batches):
        step(controller, batch, float(number), 1e6 + number)
    recorder.close()
    return out.getvalue().splitlines()


def answer_and_call(batch: list[Any]) -> list[Any]:
    answers = [Answer(command.ticket, 200, b"{}") for command in batch]
    return [*answers, Call("10.0.0.1:1", "POST", "/do", b"\xff", 1.5, print)]


def requests(number: int) -> list[Any]:
    return [Request(ticket(), "GET", f"/work/job-{n}", b"") for n in range(number)]


def trace_with(change: Callable[[list[Any]], None]) -> list[str]:
    """Three steps, the second one's effects changed."""
    steps = 0

    def effects_of(batch: list[Any]) -> list[Any]:
        nonlocal steps
        steps += 1
        found = answer_and_call(batch)
        if steps == 2:
            change(found)
        return found

    return recorded(effects_of, [requests(1), requests(2), requests(1)])


def leave_out(effects: list[Any]) -> None:
    del effects[1]


def swap(effects: list[Any]) -> None:
    effects[0], effects[1] = effects[1], effects[0]


def swap_tickets(effects: list[Any]) -> None:
    effects[0].ticket, effects[1].ticket = effects[1].ticket, effects[0].ticket


def one_byte_more(effects: list[Any]) -> None:
    effects[2].body += b"\xfe"


def difference(change: Callable[[list[Any]], None]) -> Outcome:
    return compare(trace_with(lambda effects: None), trace_with(change))


def test_equal_traces_are_told_as_equal_with_their_numbers() -> None:
    assert difference(lambda effects: None) == Outcome(True, "equal (3 steps, 7 effects)")


@pytest.mark.parametrize(
    ("change", "counts", "number"),
    [
        (leave_out, "3 effects before and 2 after", 2),
        (swap, "3 effects before and 3 after", 1),
        (swap_tickets, "3 effects before and 3 after", 1),
        (one_byte_more, "3 effects before and 3 after", 3),
    ],
)
def test_the_first_difference_is_told_with_its_step(
    change: Callable[[list[Any]], None], counts: str, number: int
) -> None:
    outcome = difference(change)
    assert not outcome.equal
    assert "differs at line 2: step of node-0 (process 1) at 1.00" in outcome.text
    assert f"{counts}, the first that differs is number {number}" in outcome.text


def test_an_effect_left_out_at_the_end_of_a_step_is_told() -> None:
    outcome = difference(lambda effects: effects.clear())
    assert not outcome.equal and "3 effects before and 0 after" in outcome.text


def test_a_trace_that_ends_early_or_has_no_end_is_no_equal_one() -> None:
    whole = trace_with(lambda effects: None)
    assert not compare(whole, whole[:-1]).equal
    assert not compare(whole[:-1], whole).equal
    assert not compare(whole[:-1], whole[:-1]).equal
    assert not compare([], []).equal


def test_a_rule_that_breaks_on_both_sides_is_told() -> None:
    line = json.dumps(["end", "twice", 3, 4])
    assert compare([line], [line]).text.endswith("both end with a rule broken: twice")
    assert not compare([line], [json.dumps(["end", "", 3, 4])]).equal


def test_names_of_classes_and_fields_do_not_enter_a_trace() -> None:
    def under_other_names(batch: list[Any]) -> list[Any]:
        replies = [Reply(command.asker, 200, b"{}") for command in batch]
        return [*replies, Outgoing("10.0.0.1:1", "POST", "/do", b"\xff", 1.5, print)]

    batch = [Question(ticket(), "GET", f"/work/job-{n}", b"") for n in range(2)]
    renamed = recorded(under_other_names, [batch])
    assert renamed == recorded(answer_and_call, [requests(2)])
    assert '["10.0.0.1:1","POST","/do","\\udcff",1.5]' in renamed[0]


def test_an_error_that_a_step_only_logs_is_in_the_trace() -> None:
    recorder = Recorder(io.StringIO())
    recorder.out = out = io.StringIO()
    logger = logging.getLogger("traces")
    logger.addHandler(recorder._errors)
    controller = object()
    recorder.register_controller(controller, "node-0", 1)

    def failing(*arguments: Any) -> list[Any]:
        logger.error("step failed")
        return []

    recorder.wrapped(failing)(controller, [], 1.0, 2.0)
    recorder.wrapped(lambda *arguments: [])(controller, [], 2.0, 3.0)
    assert out.getvalue() == '["node-0",1,1.0,2.0,[],[],1]\n'


def test_a_name_is_found_before_and_after_a_renaming(monkeypatch: pytest.MonkeyPatch) -> None:
    class Before:
        cut = 1

    class After:
        severed = 2

    monkeypatch.setitem(names.ATTRIBUTES, "partitions", ("severed", "cut"))
    assert (names.read(Before(), "partitions"), names.read(After(), "partitions")) == (1, 2)
    after = After()
    names.write(after, "partitions", 3)
    assert after.severed == 3
    with pytest.raises(MissingNameError, match="severed"):
        names.read(object(), "partitions")


def test_every_name_is_there_in_the_sources_at_hand() -> None:
    for what in names.PLACES:
        assert names.find(what)
    cluster = names.find("SimulatedCluster")(1)
    owners = [names.find("Controller"), cluster, names.read(cluster, "state")]
    owners += names.read(cluster, "workers").values()
    for attribute, known in names.ATTRIBUTES.items():
        assert any(hasattr(owner, name) for owner in owners for name in known), attribute


def test_damage_changes_neither_requests_nor_failed_answers() -> None:
    corruption = Corruption(random.Random(1), 1.0)
    for _ in range(50):
        kept = [Request(ticket(), "GET", "/up", b"x"), Result(print, None, b"", 1.0)]
        answer = Result(print, 200, b'{"ledger":7}', 1.0)
        before = [repr(command) for command in kept]
        corruption([*kept, answer])
        assert [repr(command) for command in kept] == before
        assert answer.status == 200 and answer.body != b'{"ledger":7}'


def test_a_scenario_played_twice_gives_the_same_trace(tmp_path: pathlib.Path) -> None:
    traces = [tmp_path / "one.gz", tmp_path / "two.gz"]
    for trace in traces:
        compare_traces.play(worktrees.ROOT, "records_of_production", trace, hash_seed=1)
    outcome = compare(lines_of(traces[0]), lines_of(traces[1]))
    assert outcome.equal and "broken" not in outcome.text
