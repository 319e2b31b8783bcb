"""Settings, request budgets, fleet and shard sizes, the adaptive limit and completion values."""

from __future__ import annotations

import base64
import pathlib

import msgspec
import pytest

from fallpulley.cli import main
from fallpulley.cloud.messages import MachineType
from fallpulley.cloud.offer import Offer
from fallpulley.effects import HttpCall, Response
from fallpulley.fleet.demand_group import DemandGroup
from fallpulley.fleet.sizing import SupplyUnit, size_fleet
from fallpulley.jobs.completion import chunk_capacity
from fallpulley.jobs.messages import JobRecord, parse_submission
from fallpulley.jobs.open_job import OpenJob
from fallpulley.placement.eligibility import ANY_MACHINE
from fallpulley.settings import SettingsError, load
from fallpulley.shard_sizes import (
    change_budget_share,
    machines_per_shard,
    shards_needed,
    target_sizes,
)
from fallpulley.state.client import StateClient
from fallpulley.state.token_bucket import TokenBucket
from fallpulley.state.transactions import Change, RequestPriority, Write
from fallpulley.wire.adaptive_limit import AdaptiveLimit
from fallpulley.workers.machine import TaskRun
from tests.simulated_cluster import controller_settings, job_spec

VALID_SETTINGS = """
label = "n0"
site = "s"
serve_on = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
later = "a field nobody knows"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[facts]
nodes = 1
zones = ["s"]
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 10.0
write_rps = 5.0
value_kb = 16.0
txn_ops = 16
[facts.cloud]
rps = 4.0
list_lag_s = 3.0
"""


def test_check_config_refuses_invalid_settings_and_names_the_field(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(VALID_SETTINGS)
    assert main(["check-config", str(path)]) == 0
    assert "label=n0" in capsys.readouterr().out
    for old, new, field in [
        ("lease_s = 10.0", "", "lease_s"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 10.0", "lease_s = 39.0", "cancel_s"),
        ('state = "127.0.0.1:4"', 'state = "nowhere"', "endpoints.state"),
        ("nodes = 1", 'nodes = "one"', "nodes"),
    ]:
        path.write_text(VALID_SETTINGS.replace(old, new))
        assert main(["check-config", str(path)]) == 3
        assert field in capsys.readouterr().err
    assert main(["check-config", str(tmp_path / "absent")]) == 3


def test_shard_size_follows_the_measured_capacity_of_an_owner() -> None:
    # A second shard, opened at 600 machines on 9% of a core, changed owners whenever a controller
    # came back; each time its tasks were uncertain until a response window and a lease had ended.
    def shard_size(share: float, report_s: float) -> int:
        facts = controller_settings("node-0").facts
        limits = msgspec.structs.replace(facts.machine_limits, core_share=share)
        workers = msgspec.structs.replace(facts.workers, report_s=report_s)
        facts = msgspec.structs.replace(facts, machine_limits=limits, workers=workers)
        return machines_per_shard(facts)

    assert shard_size(0.09, 4.0) >= 949
    assert shard_size(0.162, 1.5) >= 512
    assert shard_size(0.01, 1.5) < 100  # a smaller capacity still gives a smaller shard


def test_check_config_warns_of_a_fleet_beyond_capacity_with_the_values_needed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def warnings(limits: str, machines: str) -> str:
        path = tmp_path / "node.toml"
        path.write_text(f"{VALID_SETTINGS}\n[facts.machine_limits]\n{limits}")
        assert main(["check-config", str(path), "--machines", machines]) == 0
        return capsys.readouterr().err

    small = "core_share = 0.09\nmemory_mb = 122.0\nsockets = 1200"
    assert warnings(small, "200") == ""
    found = warnings(small, "4000")
    for field, needed in [("core_share", "1.33"), ("sockets", "5000"), ("memory_mb", "224")]:
        assert f"{field}: " in found and needed in found
    assert "facts.nodes" in found and len(found.splitlines()) == 4
    assert warnings("core_share = 1.6\nmemory_mb = 400.0\nsockets = 6000", "4500") == ""
    with pytest.raises(SystemExit):
        warnings(small, "0")


def test_check_config_warns_of_machine_limits_too_small_with_the_values_needed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def warnings(limits: str) -> str:
        path = tmp_path / "node.toml"
        path.write_text(f"{VALID_SETTINGS}\n[facts.machine_limits]\n{limits}")
        assert main(["check-config", str(path)]) == 0
        return capsys.readouterr().err

    assert warnings("core_share = 0.09\nmemory_mb = 122.0\nsockets = 1200") == ""
    # The lease of 10 s leaves 5 s for a start that takes 0.15 s of a whole core.
    assert "core_share: 0.02 is too small, 0.03 is needed" in warnings("core_share = 0.02")
    assert "memory_mb: 20 is too small, 24 is needed" in warnings("memory_mb = 20.0")
    assert "may be too small, 124 is needed" in warnings("memory_mb = 100.0\nsockets = 2000")


def test_operator_settings_file_is_optional_and_checked(tmp_path: pathlib.Path) -> None:
    (tmp_path / "node.toml").write_text(VALID_SETTINGS)
    assert load(str(tmp_path / "node.toml")).operators.age_bound > 0
    (tmp_path / "fallpulley.toml").write_text("idle_boots = 2.0")
    assert load(str(tmp_path / "node.toml")).operators.idle_boots == 2.0
    (tmp_path / "fallpulley.toml").write_text("idle_bots = 2.0")
    with pytest.raises(SettingsError, match="idle_bots"):
        load(str(tmp_path / "node.toml"))


def test_state_client_keeps_its_budget_orders_by_priority_and_groups_writes() -> None:
    sent: list[HttpCall] = []
    state = StateClient("state", 10.0, 5.0, 16, sent.append)  # type: ignore[arg-type]
    outcomes: list[int | None] = []
    for n in range(40):
        write = Write(
            {f"k{n}": 0},
            [Change(f"k{n}", b"1")],
            lambda s, _: outcomes.append(s),
            RequestPriority.BACKGROUND,
        )
        state.write(write)
    state.send_queued(0.0)
    at, changes = 0.0, sum(call.body.count(b'"set"') for call in sent if call.body)
    assert changes <= 5
    state.write(
        Write({"a": 0}, [Change("a", b"1")], lambda s, _: None, RequestPriority.INTERACTIVE)
    )
    sent.clear()
    while at < 2.0:
        at += 0.1
        state.send_queued(at)
    # Interactive writes are sent before background ones.
    assert sent[0].body is not None and b'"a"' in sent[0].body
    assert sum(call.body.count(b'"set"') for call in sent if call.body) <= 11


def test_write_budget_shares_add_up_and_also_apply_to_a_lowered_rate() -> None:
    for owners in (set(), {"a"}, {"a", "c"}, {"a", "b", "c"}):
        parts = {label: change_budget_share(label, owners, 3) for label in "abc"}
        assert sum(parts.values()) == pytest.approx(3.0)
        assert all(parts[label] == max(parts.values()) for label in owners)
    bucket = TokenBucket(9.0)
    bucket.set_rate_factor(change_budget_share("a", {"a"}, 3))
    assert bucket.rate == pytest.approx(18.0) and bucket.tokens <= 9.0
    bucket.lower_rate(6.0)
    assert bucket.rate == pytest.approx(12.0)
    bucket.set_rate_factor(change_budget_share("a", {"b"}, 3))
    assert bucket.rate == pytest.approx(3.0) and bucket.tokens <= 3.0


def test_a_conflict_in_a_group_fails_only_the_write_it_belongs_to() -> None:
    sent: list[HttpCall] = []
    state = StateClient("state", 10.0, 50.0, 16, sent.append)  # type: ignore[arg-type]
    outcomes: dict[str, int | None] = {}
    for name in ("a", "b"):
        state.write(
            Write(
                {name: 0},
                [Change(name, b"1")],
                lambda result, name=name: outcomes.__setitem__(name, result.status),  # type: ignore[misc]
            )
        )
    state.send_queued(0.0)
    (call,) = sent
    call.on_response(Response(409, b'{"failed":["a"],"ledger":7}', 0.0))
    assert outcomes == {"a": 409}
    state.send_queued(1.0)
    sent[1].on_response(Response(200, b'{"ledger":8}', 1.0))
    assert outcomes == {"a": 409, "b": 200}


def make_open_job(task_count: int) -> OpenJob:
    import msgspec

    spec = parse_submission(msgspec.json.encode(job_spec(1, pieces=task_count)))
    return OpenJob(spec.job_id, JobRecord("b", 0, task_count), spec, 1)


def test_completion_of_100000_tasks_is_stored_in_small_values() -> None:
    tasks = chunk_capacity(16.0)
    big = make_open_job(100_000)
    for index in range(0, 100_000, 3):
        big.progress.record_completion(index, 0.0)
    again = make_open_job(100_000)
    for chunk in big.progress.unsaved_chunks(tasks):
        value = base64.b64encode(big.progress.completed.chunk(chunk, tasks)).decode()
        assert len(value) < 16 * 1024 * 0.9
        again.progress.merge_stored_chunk(str(chunk), tasks, value, 5)
    assert again.progress.completed.count == big.progress.completed.count == 33_334
    assert again.is_durable(99_999) and not again.is_completed(99_998)


def test_retry_delay_grows_with_each_machine_that_a_job_fails_on() -> None:
    failing = make_open_job(4)
    failing.retry.record_failure("vm-1", 0.0, 0.0, 10.0)
    assert failing.retry.not_before < 0.0  # the first retry, on another machine, is immediate
    failing.retry.record_failure("vm-2", 0.0, 0.0, 10.0)
    first = failing.retry.not_before
    failing.retry.record_failure("vm-3", 0.0, 0.0, 10.0)
    assert 0.0 < first < failing.retry.not_before <= 60.0


MACHINE_TYPE = MachineType("box", 8.0, 0.0, 32.0, 1.0, 0.3, 40.0, ["a", "b"])


def test_fleet_grows_with_demand_and_idle_machines_are_released() -> None:
    work = [DemandGroup(ANY_MACHINE, 1600.0, 4.0)]
    sizing = size_fleet(work, [], {"box": MACHINE_TYPE}, set(), 0.5, 0.75, 100)
    assert sum(rental.count for rental in sizing.scale_out) == 10
    assert {rental.offer.spot for rental in sizing.scale_out} == {True}
    assert {rental.offer.zone for rental in sizing.scale_out} == {"a", "b"}
    # Work that may not use spot machines gets on-demand ones; refused offers are skipped.
    on_demand = [DemandGroup(ANY_MACHINE._replace(allow_spot=False), 160.0, 4.0)]
    sizing = size_fleet(
        on_demand, [], {"box": MACHINE_TYPE}, {Offer("box", "a", False)}, 0.5, 0.75, 100
    )
    assert [(rental.offer.zone, rental.offer.spot) for rental in sizing.scale_out] == [("b", False)]
    idle = [
        SupplyUnit("m1", "box", "a", True, 8.0, 100.0),
        SupplyUnit("m2", "box", "a", True, 8.0, 5.0),
    ]
    assert size_fleet([], idle, {"box": MACHINE_TYPE}, set(), 0.5, 0.75, 100).scale_in == ["m1"]


def test_adaptive_limit_shrinks_when_responses_slow_down_and_grows_again() -> None:
    limit = AdaptiveLimit(min_limit=4, max_limit=100)
    for _ in range(50):
        assert limit.enter()
        limit.leave(0.01)
    before = limit.limit
    for _ in range(200):
        entered = 0
        while limit.enter():
            entered += 1
        for _ in range(entered):
            limit.leave(1.0)
    slow = limit.limit
    assert slow < before
    for _ in range(400):
        entered = 0
        while limit.enter():
            entered += 1
        for _ in range(entered):
            limit.leave(0.01)
    assert limit.limit > slow


def test_shards_are_few_and_sized_by_their_load() -> None:
    assert shards_needed(40, 3, 60) == 1
    assert shards_needed(100, 3, 60) == 2
    assert shards_needed(1000, 3, 60) == 3
    sizes = target_sizes({"a": 300.0, "b": 100.0, "c": 0.0}, 20, 60)
    assert sum(sizes.values()) == 20
    assert sizes["a"] > 2 * sizes["b"] > 0
    assert target_sizes({"a": 1000.0, "b": 1.0}, 20, 60)["b"] >= 1
    assert sum(target_sizes({"a": 0.0, "b": 0.0}, 7, 60).values()) == 7


def test_requeued_task_is_in_the_queue_once() -> None:
    """Started tasks leave the queue lazily, so that requeued ones were once booked twice."""
    again = make_open_job(4)
    run = TaskRun(again.job_id, 0, 1, "vm-1", 0.0, 1.0, again.resources)
    for _ in range(3):
        again.runs[0] = again.runs[1] = run
        assert again.next_pending_tasks(10) == [2, 3]
        del again.runs[0], again.runs[1]
        again.requeue(0)
        again.requeue(1)
        assert sorted(again.next_pending_tasks(10)) == [0, 1, 2, 3]
    again.runs[3] = run
    del again.runs[3]
    again.requeue(3)
    assert sorted(again.next_pending_tasks(10)) == [0, 1, 2, 3]
