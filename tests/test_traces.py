"""Traces of controllers: differences are found, and renamed sources give the same trace."""

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
    pending_response: Any
    method: str
    path: str
    body: bytes


class CallCompleted(msgspec.Struct):
    on_response: Any
    status: int | None
    body: bytes
    sent_at: float


class SendResponse(msgspec.Struct):
    pending_response: Any
    status: int
    body: bytes = b""
    retry_after: float | None = None


class HttpCall(msgspec.Struct):
    address: str
    method: str
    path: str
    body: bytes | None
    timeout_s: float
    on_response: Any


class Question(msgspec.Struct):
    """`Request` under other names, as `Reply` is `SendResponse` and `Outgoing` is `HttpCall`."""

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


def new_pending_response() -> Any:
    """Return a callable like the one that a controller gets with each request."""
    return functools.partial(print)


def record_trace(effects_of: Effects, batches: list[list[Any]]) -> list[str]:
    """Return the trace of one controller that gets these batches of commands."""
    out = io.StringIO()
    recorder = Recorder(out)
    controller = object()
    recorder.register_controller(controller, "node-0", 1)
    step = recorder.wrap_step(lambda _, batch, now, wall: effects_of(batch))
    for number, batch in enumerate(batches):
        step(controller, batch, float(number), 1e6 + number)
    recorder.close()
    return out.getvalue().splitlines()


def respond_and_call(batch: list[Any]) -> list[Any]:
    answers = [SendResponse(command.pending_response, 200, b"{}") for command in batch]
    return [*answers, HttpCall("10.0.0.1:1", "POST", "/do", b"\xff", 1.5, print)]


def requests(number: int) -> list[Any]:
    return [Request(new_pending_response(), "GET", f"/work/job-{n}", b"") for n in range(number)]


def trace_with(change: Callable[[list[Any]], None]) -> list[str]:
    """Return a trace of three steps, with the second one's effects changed."""
    steps = 0

    def effects_of(batch: list[Any]) -> list[Any]:
        nonlocal steps
        steps += 1
        found = respond_and_call(batch)
        if steps == 2:
            change(found)
        return found

    return record_trace(effects_of, [requests(1), requests(2), requests(1)])


def drop_effect(effects: list[Any]) -> None:
    del effects[1]


def swap_effects(effects: list[Any]) -> None:
    effects[0], effects[1] = effects[1], effects[0]


def swap_pending_responses(effects: list[Any]) -> None:
    effects[0].pending_response, effects[1].pending_response = (
        effects[1].pending_response,
        effects[0].pending_response,
    )


def append_byte(effects: list[Any]) -> None:
    effects[2].body += b"\xfe"


def difference(change: Callable[[list[Any]], None]) -> Outcome:
    """Compare the unchanged trace with one whose second step's effects are changed."""
    return compare(trace_with(lambda effects: None), trace_with(change))


def test_equal_traces_are_reported_with_step_and_effect_counts() -> None:
    assert difference(lambda effects: None) == Outcome(True, "equal (3 steps, 7 effects)")


@pytest.mark.parametrize(
    ("change", "counts", "number"),
    [
        (drop_effect, "3 effects before and 2 after", 2),
        (swap_effects, "3 effects before and 3 after", 1),
        (swap_pending_responses, "3 effects before and 3 after", 1),
        (append_byte, "3 effects before and 3 after", 3),
    ],
)
def test_first_difference_is_reported_with_its_step(
    change: Callable[[list[Any]], None], counts: str, number: int
) -> None:
    outcome = difference(change)
    assert not outcome.equal
    assert "differs at line 2: step of node-0 (process 1) at 1.00" in outcome.text
    assert f"{counts}, the first that differs is number {number}" in outcome.text


def test_missing_effects_of_a_step_are_reported_with_their_count() -> None:
    outcome = difference(lambda effects: effects.clear())
    assert not outcome.equal and "3 effects before and 0 after" in outcome.text


def test_traces_without_an_end_line_are_not_equal() -> None:
    whole = trace_with(lambda effects: None)
    assert not compare(whole, whole[:-1]).equal
    assert not compare(whole[:-1], whole).equal
    assert not compare(whole[:-1], whole[:-1]).equal
    assert not compare([], []).equal


def test_rule_broken_in_both_traces_is_reported() -> None:
    line = json.dumps(["end", "twice", 3, 4])
    assert compare([line], [line]).text.endswith("both end with a rule broken: twice")
    assert not compare([line], [json.dumps(["end", "", 3, 4])]).equal


def test_trace_is_equal_when_classes_and_fields_are_renamed() -> None:
    def under_other_names(batch: list[Any]) -> list[Any]:
        replies = [Reply(command.asker, 200, b"{}") for command in batch]
        return [*replies, Outgoing("10.0.0.1:1", "POST", "/do", b"\xff", 1.5, print)]

    batch = [Question(new_pending_response(), "GET", f"/work/job-{n}", b"") for n in range(2)]
    renamed = record_trace(under_other_names, [batch])
    assert renamed == record_trace(respond_and_call, [requests(2)])
    assert '["10.0.0.1:1","POST","/do","\\udcff",1.5]' in renamed[0]


def test_trace_counts_errors_that_a_step_only_logs() -> None:
    recorder = Recorder(io.StringIO())
    recorder.out = out = io.StringIO()
    logger = logging.getLogger("traces")
    logger.addHandler(recorder._errors)
    controller = object()
    recorder.register_controller(controller, "node-0", 1)

    def failing(*arguments: Any) -> list[Any]:
        logger.error("step failed")
        return []

    recorder.wrap_step(failing)(controller, [], 1.0, 2.0)
    recorder.wrap_step(lambda *arguments: [])(controller, [], 2.0, 3.0)
    assert out.getvalue() == '["node-0",1,1.0,2.0,[],[],1]\n'


def test_attribute_is_found_under_its_old_and_new_name(monkeypatch: pytest.MonkeyPatch) -> None:
    class OldNames:
        cut = 1

    class NewNames:
        severed = 2

    monkeypatch.setitem(names.ATTRIBUTES, "partitions", ("severed", "cut"))
    assert (names.read(OldNames(), "partitions"), names.read(NewNames(), "partitions")) == (1, 2)
    renamed = NewNames()
    names.write(renamed, "partitions", 3)
    assert renamed.severed == 3
    with pytest.raises(MissingNameError, match="severed"):
        names.read(object(), "partitions")


def test_every_listed_name_exists_in_the_working_tree() -> None:
    for what in names.PLACES:
        assert names.find(what)
    cluster = names.find("SimulatedCluster")(1)
    owners = [names.find("Controller"), cluster, names.read(cluster, "state")]
    owners += names.read(cluster, "workers").values()
    for attribute, known in names.ATTRIBUTES.items():
        assert any(hasattr(owner, name) for owner in owners for name in known), attribute


def test_corrupting_a_batch_leaves_requests_and_unanswered_calls_unchanged() -> None:
    corruption = Corruption(random.Random(1), 1.0)
    for _ in range(50):
        kept = [
            Request(new_pending_response(), "GET", "/up", b"x"),
            CallCompleted(print, None, b"", 1.0),
        ]
        answer = CallCompleted(print, 200, b'{"ledger":7}', 1.0)
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
