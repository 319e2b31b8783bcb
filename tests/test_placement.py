"""The profile and the plan: nothing is overbooked, and no booking delays an earlier one."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fallpulley.placement.eligibility import ANY_MACHINE
from fallpulley.placement.estimate import (
    Corrections,
    estimate_remaining_run_time,
    estimate_run_time,
)
from fallpulley.placement.machine_pool import MachinePool
from fallpulley.placement.plan import make_plan
from fallpulley.placement.profile import Profile
from fallpulley.placement.queue import PendingJob, is_eligible, queue_order
from fallpulley.placement.remaining_time import count_shapes, remaining_time
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

Tasks = st.lists(
    st.tuples(st.integers(1, 8), st.integers(0, 2), st.integers(1, 16), st.integers(1, 30)),
    max_size=25,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(Tasks, Tasks)
def test_bookings_never_overbook_and_never_delay_earlier_ones(
    running: list[tuple[int, int, int, int]], queue: list[tuple[int, int, int, int]]
) -> None:
    room = [8.0, 2.0, 16.0]
    allocations = []
    for cpus, cards, mem, end in running:
        if cpus <= room[0] and cards <= room[1] and mem <= room[2]:
            room = [room[0] - cpus, room[1] - cards, room[2] - mem]
            allocations.append((float(end), float(cpus), float(cards), float(mem)))
    profile = Profile(0.0, Resources(8.0, 2.0, 16.0), allocations)
    booked = [(0.0, end, c, g, m) for end, c, g, m in allocations]
    for cpus, cards, mem, lasts in queue:
        need = Resources(float(cpus), float(cards), float(mem))
        start = profile.earliest_start(need, float(lasts))
        assert start is not None  # everything ends, so everything fits some time
        profile.book(start, float(lasts), need)
        booked.append((start, start + lasts, *need))
    # What was booked stays as booked; at no time does it exceed the machine.
    for at in {entry[0] for entry in booked} | {entry[1] for entry in booked}:
        now = [entry for entry in booked if entry[0] <= at + 1e-9 < entry[1] - 1e-9]
        assert sum(entry[2] for entry in now) <= 8.0 + 1e-6
        assert sum(entry[3] for entry in now) <= 2.0 + 1e-6
        assert sum(entry[4] for entry in now) <= 16.0 + 1e-6


def snapshot(machine_id: str, **overrides: object) -> MachineSnapshot:
    fields = {
        "machine_id": machine_id,
        "machine_type": "box",
        "zone": "a",
        "spot": False,
        "capacity": Resources(8.0, 0.0, 32.0),
        "fetch_gb_per_s": 1.0,
        "slowness": 1.0,
        "running": [],
        "images": {"img": 0.0},
        "fetch_free_at": 0.0,
    } | overrides
    return MachineSnapshot(**fields)  # type: ignore[arg-type]


def pending(name: str, tasks: int = 1, **overrides: object) -> PendingJob:
    restrictions = {key: overrides.pop(key) for key in ("allow_spot", "zone") if key in overrides}
    fields = {
        "job_id": name,
        "resources": Resources(4.0, 0.0, 4.0),
        "estimated_run_s": 10.0,
        "task_count": tasks,
        "image": "img",
        "image_gb": 5.0,
        "remaining_s": 10.0,
        "overdue": False,
        "submitted_at": 0.0,
        "eligible": ANY_MACHINE._replace(**restrictions),  # type: ignore[arg-type]
    } | overrides
    return PendingJob(**fields)  # type: ignore[arg-type]


def starts(
    jobs: list[PendingJob], snapshots: list[MachineSnapshot], now: float = 0.0
) -> list[tuple[str, str]]:
    return [(b.job_id, b.machine_id) for b in make_plan(jobs, snapshots, now).starts]


def test_shortest_job_starts_first_unless_another_waited_past_the_age_bound() -> None:
    long = pending("long", 2, remaining_s=50.0)
    short = pending("short", 2, remaining_s=10.0)
    assert {job for job, _ in starts([long, short], [snapshot("m")])} == {"short"}
    long.overdue = True
    assert {job for job, _ in starts([long, short], [snapshot("m")])} == {"long"}


def test_short_task_is_backfilled_only_if_it_delays_no_other() -> None:
    running = [(20.0, 4.0, 0.0, 4.0)]
    wide = pending("wide", resources=Resources(8.0, 0.0, 4.0), remaining_s=1.0)
    fits = pending("fits", estimated_run_s=15.0, remaining_s=5.0)
    delays = pending("delays", estimated_run_s=25.0, remaining_s=5.0)
    assert starts([wide, fits], [snapshot("m", running=running)]) == [("fits", "m")]
    assert starts([wide, delays], [snapshot("m", running=running)]) == []


def test_machine_with_a_cached_image_is_preferred_for_an_earlier_finish() -> None:
    cold = snapshot("cold", images={})
    assert starts([pending("j")], [cold, snapshot("warm")]) == [("j", "warm")]
    # Waiting for the busy machine with the image is preferred to a fetch on the idle one only if
    # it clearly finishes earlier.
    busy = snapshot("warm", running=[(2.0, 8.0, 0.0, 32.0)])
    assert starts([pending("j", image_gb=9.0)], [cold, busy]) == []
    busy = snapshot("warm", running=[(9.0, 8.0, 0.0, 32.0)])
    assert starts([pending("j")], [cold, busy]) == [("j", "cold")]


def test_spot_zone_and_spreading_constraints_are_kept() -> None:
    spot, here, there = snapshot("s", spot=True), snapshot("a"), snapshot("b", zone="b")
    assert starts([pending("j", allow_spot=False)], [spot]) == []
    assert starts([pending("j", zone="b")], [here, there]) == [("j", "b")]
    one = starts([pending("j", 4, one_zone=True)], [here, there])
    assert len(one) == 2 and len({machine_id for _, machine_id in one}) == 1
    spread = starts([pending("j", 4, zone_limits={"a": 1, "b": 1})], [here, there])
    assert sorted(machine_id for _, machine_id in spread) == ["a", "b"]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 60), st.integers(1, 6))
def test_remaining_time_is_the_length_of_a_list_schedule(tasks: int, machines: int) -> None:
    snapshots = [snapshot(f"m{n}") for n in range(machines)]
    waves = -(-tasks // (2 * machines))
    found = remaining_time(Resources(4.0, 0.0, 4.0), 10.0, tasks, count_shapes(snapshots))
    assert 10.0 * waves <= found <= 10.0 * waves * 1.02 + 0.1


def test_estimates_follow_measured_run_times() -> None:
    learned = Corrections()
    for _ in range(200):
        learned.record_run_time("c", 10.0, 20.0)
    assert 1.9 < learned.factor("c") <= 2.0
    assert learned.factor("other") == 1.0
    assert estimate_run_time(10.0, 0, 0.0) == 10.0
    assert 18.0 < estimate_run_time(10.0, 20, 400.0) < 20.0
    assert estimate_remaining_run_time(10.0, 4.0) == 6.0
    assert estimate_remaining_run_time(10.0, 30.0) > 0


def test_queue_is_ordered_by_remaining_time_before_submission_time() -> None:
    jobs = [pending("a", remaining_s=3.0), pending("b", remaining_s=2.0, submitted_at=1.0)]
    assert [job.job_id for job in sorted(jobs, key=queue_order)] == ["b", "a"]


def test_capacity_freed_for_an_urgent_task_does_not_go_back_to_an_overdue_job() -> None:
    """With the age bound above high priorities, preempted tasks were never completed.

    Those of an overdue job got their own capacity back and were preempted again.
    """
    overdue_job = pending("old", 2, overdue=True, priority_level=0)
    urgent = pending("urgent", 2, priority_level=2, remaining_s=99.0)
    assert {job for job, _ in starts([overdue_job, urgent], [snapshot("m")])} == {"urgent"}


def test_jobs_waiting_for_a_full_fleet_do_not_examine_its_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each waiting job once examined each machine in each plan: 100 ms and more for 600."""
    checks: list[int] = []
    original = MachinePool.earliest_finish
    monkeypatch.setattr(
        MachinePool,
        "earliest_finish",
        lambda self, job, at: checks.append(at) or original(self, job, at),
    )
    full = [snapshot(f"m{n}", running=[(20.0 + n, 8.0, 0.0, 8.0)]) for n in range(40)]
    jobs = [pending(f"j{n:02}", 20, remaining_s=float(n), priority_level=2) for n in range(20)]
    make_plan(jobs[:2], full, 0.0)
    checks_of_two_jobs = len(checks)
    make_plan(jobs, full, 0.0)
    assert 0 < checks_of_two_jobs == len(checks) - checks_of_two_jobs


def test_job_that_disallows_spot_machines_does_not_examine_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each plan checked nine tenths of a fleet in vain for each urgent job.
    busy = [(9.0, 8.0, 0.0, 32.0)]
    spots = [snapshot(f"s{n}", spot=True, running=busy) for n in range(90)]
    plain = [snapshot(f"p{n}", running=busy) for n in range(10)]
    checks = 0

    def counted_is_eligible(job: PendingJob, at: MachineSnapshot) -> bool:
        nonlocal checks
        checks += 1
        return is_eligible(job, at)

    for module in ("plan", "machine_pool"):
        monkeypatch.setattr(f"fallpulley.placement.{module}.is_eligible", counted_is_eligible)
    jobs = [pending(f"j{n}", allow_spot=False, priority_level=2) for n in range(5)]
    plan = make_plan(jobs, spots + plain, 0.0)
    assert plan.future_booking_count == 5
    assert checks <= 5 * len(plain)
