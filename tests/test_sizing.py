"""Sizing of a shard's fleet: what is rented for work, and what the log tells of work without it."""

from __future__ import annotations

import itertools
import logging
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fallpulley.cloud.messages import MachineType
from fallpulley.cloud.offer import Offer
from fallpulley.fleet.demand_group import DemandGroup, DemandKey
from fallpulley.fleet.sizing import (
    PlannedRental,
    SizingPlan,
    SupplyUnit,
    size_fleet,
)
from fallpulley.placement.eligibility import eligible_machines
from fallpulley.resources import Resources
from tests.simulated_cluster import MACHINE_TYPE, SimulatedCluster
from tests.test_jobs_and_takeovers import ready_cluster, submit_job
from tests.test_leader_rentals import give_shard_to_follower

ALL_OFFERS = {("a", True), ("a", False), ("b", True), ("b", False)}


def test_work_without_a_machine_is_logged_now_and_then(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a job that waits for ever while the operators' log says nothing of it.
    cluster = ready_cluster(0)
    cluster.refused_offers = set(ALL_OFFERS)
    with caplog.at_level(logging.INFO, "fallpulley.fleet.unmet_demand"):
        submit_job(cluster, 1, hall="b", pieces=4)
        for logged_lines in (1, 2):
            cluster.run(50.0)
            assert len(caplog.records) == logged_lines
    line = caplog.records[0].getMessage()
    assert "shard=node-0 types=any zone=b spot=True tasks=4 missing_cpus=" in line
    assert line.endswith("all_refused=True")


def rented_machines(cluster: SimulatedCluster) -> int:
    return sum(len(hosts) for hosts in cluster.rentals.values())


@pytest.mark.parametrize(
    "overrides",
    [{}, {"hall": "b"}, {"loaners": False}, {"rank": "high"}, {"expect_s": 0.01}, {"cpus": 0.0}],
    ids=["any", "zone", "on-demand", "urgent", "short", "no processors"],
)
def test_job_that_needs_a_small_part_of_a_machine_gets_one(overrides: dict[str, object]) -> None:
    # Guards against a job that waits for ever since what it needs is rounded down to no machine.
    cluster = ready_cluster(0)
    uid = submit_job(cluster, 1, **{"pieces": 2, "cpus": 0.5, "mem_gb": 0.0} | overrides)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 30.0)
    cluster.run(30.0)
    # The machine has gone back, and none is rented for work that has ended.
    assert rented_machines(cluster) == 1 and not cluster.workers


def test_small_job_gets_a_machine_while_others_are_in_use_elsewhere() -> None:
    # Guards against a job whose need is rounded down since its shard has machines, in another zone.
    cluster = ready_cluster(0)
    long_job = submit_job(cluster, 1, hall="a", pieces=4)
    cluster.task_durations_s[long_job] = 100.0
    cluster.run_until(lambda: len(cluster.running_tasks(long_job)) == 4, 30.0)
    small_job = submit_job(cluster, 2, hall="b", pieces=1, cpus=1.0)
    cluster.run_until(lambda: cluster.job_state(small_job) == "done", 30.0)


def test_owner_that_does_not_lead_gets_a_machine_for_a_small_job() -> None:
    # Guards against a small need that is rounded down on its way to the leader.
    cluster = ready_cluster(1)
    give_shard_to_follower(cluster)
    assert not cluster.workers
    uid = submit_job(cluster, 1, pieces=1, cpus=0.5)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 30.0)
    assert rented_machines(cluster) == 1


def test_small_jobs_that_may_use_the_same_machine_get_one_together() -> None:
    # Guards against a machine for each group of small jobs, which one machine can take together.
    cluster = ready_cluster(0)
    jobs = [
        submit_job(cluster, uid, pieces=1, cpus=0.5, loaners=loaners, rank=rank)
        for uid, (loaners, rank) in enumerate(
            itertools.product([True, False], ["high", "standard"])
        )
    ]
    for uid in jobs:
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 30.0)
    assert rented_machines(cluster) == 1


def test_gang_that_lacks_a_small_part_of_a_machine_gets_another() -> None:
    # Guards against a gang that waits for ever since the machine of its last task is rounded down.
    cluster = ready_cluster(0)
    uid = submit_job(cluster, 1, shape="ensemble", pieces=17, cpus=1.0, mem_gb=1.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)
    assert rented_machines(cluster) == 3


@pytest.mark.parametrize(
    "gang",
    [
        {"pieces": 3, "cpus": 5.0},
        {"pieces": 2, "cpus": 8.0, "one_zone": True},
        {"pieces": 2, "cpus": 2.0, "apart": True},
    ],
    ids=["uneven", "one-zone", "spread"],
)
def test_gang_gets_the_machines_that_hold_all_its_tasks(gang: dict[str, object]) -> None:
    # Guards against a gang that waits for ever beside machines with enough processors in sum.
    cluster = ready_cluster(0)
    uid = submit_job(cluster, 1, **{"shape": "ensemble", "mem_gb": 1.0} | gang)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 100.0)


class ClusterWithLargeMachines(SimulatedCluster):
    """A cluster whose cloud also offers a type with more memory, GPUs and a higher price."""

    machine_types = (
        MACHINE_TYPE,
        MACHINE_TYPE
        | {"label": "large", "cards": 2.0, "mem_gb": 128.0, "hourly": 3.0, "spot_price": 0.9},
    )


@pytest.mark.parametrize("machines", [0, 2])
@pytest.mark.parametrize("needs", [{"mem_gb": 100.0}, {"cards": 1.0}, {"cpus": 0.0, "cards": 1.0}])
def test_job_gets_a_machine_of_the_only_type_that_holds_its_tasks(
    machines: int, needs: dict[str, float]
) -> None:
    # Guards against a job that waits for ever since machines with too little memory, or without
    # GPUs, count as its supply and are what is rented for it.
    cluster = ClusterWithLargeMachines(machines)
    cluster.run_until(lambda: bool(cluster.shards()), 10.0)
    cluster.run(4.0)
    uid = submit_job(cluster, 1, pieces=2, **needs)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)
    assert rented_machines(cluster) <= 2


SMALL_TYPE = MachineType("small", 8.0, 0.0, 32.0, 1.0, 0.3, 40.0, ["a"])
LARGE_TYPE = MachineType("large", 16.0, 0.0, 64.0, 1.0, 0.9, 40.0, ["a"])
GPU_TYPE = MachineType("gpu", 4.0, 2.0, 128.0, 2.0, 1.8, 40.0, ["a"])


def demand_group(
    resources: Resources, work: float, key: tuple[object, ...] = (True, None, None, False)
) -> DemandGroup:
    """Return the group of one task; `key`: spot, types, zone, urgent."""
    allow_spot, type_names, zone, urgent = key
    types = TWO_ZONE_TYPES.values()
    eligible = eligible_machines(resources, allow_spot, type_names, zone, types)  # type: ignore[arg-type]
    group = DemandGroup.from_key(DemandKey(eligible, bool(urgent)), work)
    group.task_count, group.largest_task_cpus = 1, resources.cpus
    return group


def size_for_large_task(supply: list[SupplyUnit]) -> SizingPlan:
    """Size the fleet for one task that needs a large machine."""
    group = demand_group(Resources(12.0, 0.0, 1.0), 60.0)
    machine_types = {"small": SMALL_TYPE, "large": LARGE_TYPE}
    return size_fleet([group], supply, machine_types, set(), 1.3, 0.5, 100)


def test_large_task_gets_a_machine_beside_small_ones_with_enough_processors_in_sum() -> None:
    # Guards against a task that waits for ever beside machines each of which is too small for it.
    small = [SupplyUnit(f"s{number}", "small", "a", True, 8.0, 100.0) for number in range(3)]
    plan = size_for_large_task(small)
    assert plan.scale_out == [PlannedRental(Offer("large", "a", True), 1)]
    # It is kept until the task is done, however long it is idle and whatever else is there.
    plan = size_for_large_task([*small, SupplyUnit("l", "large", "a", False, 16.0, 200.0)])
    assert plan.scale_out == []
    assert plan.scale_in == ["s0", "s1", "s2"]


ZONES = ["a", "b"]
# Sizings until nothing more is rented for the same work: a few, since groups share machines.
MAX_SIZINGS = 5
AMOUNTS = [0.0, 0.001, 0.5, 1.0, 3.9, 8.0, 12.0, 16.0]


class Work(NamedTuple):
    """A group's work as it was drawn."""

    resources: Resources  # of each task
    work: float
    task_count: int
    allow_spot: bool
    type_names: tuple[str, ...] | None
    zone: str | None
    urgent: bool

    def group(self) -> DemandGroup:
        key = (self.allow_spot, self.type_names, self.zone, self.urgent)
        group = demand_group(self.resources, self.work, key)
        group.task_count = self.task_count
        return group

    def can_run_on(self, machine: SupplyUnit) -> bool:
        """Return whether the machine can take a task, compared amount by amount."""
        machine_type = TWO_ZONE_TYPES[machine.machine_type]
        return (
            (self.allow_spot or not machine.spot)
            and (self.type_names is None or machine.machine_type in self.type_names)
            and (self.zone is None or machine.zone == self.zone)
            and self.resources.cpus <= machine_type.cpus
            and self.resources.gpus <= machine_type.gpus
            and self.resources.memory_gb <= machine_type.memory_gb
        )


def fits_some_type(work: Work) -> bool:
    machines = [SupplyUnit("m", name, "", False, 0.0, None) for name in TWO_ZONE_TYPES]
    return any(work._replace(zone=None).can_run_on(machine) for machine in machines)


WORK = st.builds(
    Work,
    st.builds(
        Resources,
        st.sampled_from(AMOUNTS),
        st.sampled_from([0.0, 0.0, 0.5, 2.0]),
        st.sampled_from([0.0, 1.0, 40.0, 64.0, 128.0]),
    ),
    st.sampled_from([0.0, 0.01, 30.0, 900.0]),
    st.integers(0, 3),
    st.booleans(),
    st.sampled_from([None, ("large",), ("large", "small"), ("gpu", "large")]),
    st.sampled_from([None, *ZONES]),
    st.booleans(),
).filter(fits_some_type)
WORK_LISTS = st.lists(WORK, max_size=5, unique_by=lambda work: work.group().key)


def planned_supply(plan: SizingPlan, sizing: int = 0) -> list[SupplyUnit]:
    types = TWO_ZONE_TYPES
    return [
        SupplyUnit(
            f"n{sizing}.{number}.{index}",
            *rental.offer,
            types[rental.offer.machine_type].cpus,
            None,
        )
        for number, rental in enumerate(plan.scale_out)
        for index in range(rental.count)
    ]


TWO_ZONE_TYPES = {
    machine_type.name: msgspec.structs.replace(machine_type, zones=ZONES)
    for machine_type in (SMALL_TYPE, LARGE_TYPE, GPU_TYPE)
}
SUPPLY_SHAPES = st.tuples(
    st.sampled_from(["small", "large", "gpu"]), st.sampled_from(ZONES), st.booleans()
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(WORK_LISTS, st.lists(SUPPLY_SHAPES, max_size=4), st.booleans())
def test_any_work_has_a_machine_that_can_take_it_after_one_sizing(
    all_work: list[Work], shapes: list[tuple[str, str, bool]], spot_refused: bool
) -> None:
    # Guards against work without a machine, whatever else is there, and against endless rentals.
    groups = [work.group() for work in all_work]
    refused = {Offer(name, zone, True) for name in TWO_ZONE_TYPES for zone in ZONES}
    supply = [
        SupplyUnit(f"m{number}", *shape, TWO_ZONE_TYPES[shape[0]].cpus, 0.0)
        for number, shape in enumerate(shapes)
    ]

    def size() -> SizingPlan:
        return size_fleet(
            groups, supply, TWO_ZONE_TYPES, refused if spot_refused else set(), 1.3, 0.5, 100
        )

    plan = size()
    supply += planned_supply(plan)
    for work in all_work:
        assert any(work.can_run_on(machine) for machine in supply) or not work.task_count
    assert plan.unmet == []
    for sizing in range(1, MAX_SIZINGS):
        plan = size()
        if not plan.scale_out:
            break
        supply += planned_supply(plan, sizing)
    assert not plan.scale_out
