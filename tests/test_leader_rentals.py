"""Machines that the leader rents for an owner that does not lead."""

from __future__ import annotations

import msgspec
import pytest

from fallpulley.cloud.offer import Offer
from fallpulley.mesh.messages import RefusedOffer, RentalRefusals
from tests.simulated_cluster import CONTROLLER_LABELS, MACHINE_TYPE, SimulatedCluster
from tests.test_jobs_and_takeovers import ready_cluster, submit_job


def leader(cluster: SimulatedCluster) -> str:
    """Return the controller that rents machines, according to the state service."""
    return str(cluster.state.entries["live/leader"][0]["label"])


def give_shard_to_follower(cluster: SimulatedCluster) -> str:
    """Hand the only shard to a controller that does not lead, and return that controller."""
    owner = cluster.owner()
    follower = next(label for label in CONTROLLER_LABELS if label != leader(cluster))
    components = cluster.controllers[owner].components
    (shard_id,) = components.owned_shards.shards
    components.leadership.hand_off(shard_id, follower)
    cluster.run_until(lambda: cluster.owner() == follower, 5.0)
    cluster.run(10.0)
    assert cluster.owner() == follower != leader(cluster)
    return follower


@pytest.mark.parametrize("boot_s", [1.0, 5.0])
def test_owner_that_does_not_lead_rents_other_machines_when_the_cheapest_are_refused(
    boot_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an owner that asks for refused machines for ever: no task starts.
    monkeypatch.setitem(MACHINE_TYPE, "startup_s", boot_s)
    cluster = ready_cluster(1)
    give_shard_to_follower(cluster)
    cluster.refused_offers = {("b", True)}
    uid = submit_job(cluster, 1, hall="b", pieces=4, expect_s=30.0)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 40.0)


def rented_machines(lead: bool, refused: set[tuple[str, bool]]) -> int:
    """Return how many machines are rented for two jobs, by an owner that leads or not."""
    cluster = ready_cluster(1)
    cluster.capacity = 400
    if lead:
        cluster.run(10.0)  # so that the idle machine goes back, as it does during a handoff
    else:
        give_shard_to_follower(cluster)
    cluster.refused_offers = refused
    anywhere = submit_job(cluster, 1, pieces=40, expect_s=20.0)
    bound = submit_job(cluster, 2, pieces=12, hall="b", rank="high", loaners=False)
    for uid in (anywhere, bound):
        cluster.run_until(lambda uid=uid: cluster.job_state(uid) == "done", 60.0)
    return sum(len(hosts) for hosts in cluster.rentals.values())


@pytest.mark.parametrize("refused", [set(), {("a", True), ("b", True)}], ids=["none", "spot"])
def test_owner_that_does_not_lead_rents_no_more_machines_than_one_that_leads(
    refused: set[tuple[str, bool]],
) -> None:
    # Guards against machines that are rented twice, since the owner has not heard of the first yet.
    assert 0 < rented_machines(False, refused) <= rented_machines(True, refused)


def test_refusals_are_taken_from_the_leader_alone_and_only_in_time() -> None:
    # Guards against machines that are not asked for because of an old or foreign refusal.
    cluster = ready_cluster(1)
    follower = next(label for label in CONTROLLER_LABELS if label != leader(cluster))
    components = cluster.controllers[follower].components
    of_leader = cluster.controllers[leader(cluster)].components.context.incarnation

    def announce(incarnation: str, age_s: float) -> set[Offer]:
        sent_at = components.context.wall_time - age_s
        message = RentalRefusals(incarnation, sent_at, [RefusedOffer("box", "a", True, 5.0)])
        components.peer_messages.handle(msgspec.json.encode(message))
        return components.provider.refused_offers()

    assert announce(components.context.incarnation, 0.0) == set()
    assert announce(of_leader, 60.0) == set()
    assert announce(of_leader, 0.5) == {Offer("box", "a", True)}
    cluster.run(6.0)
    assert components.provider.refused_offers() == set()


def test_former_leader_rents_though_its_last_requests_to_the_cloud_had_no_answer() -> None:
    # Guards against unanswered requests that count as machines on their way for ever.
    cluster = ready_cluster(1)
    former = leader(cluster)
    cluster.partitions.add((former, "cloud"))
    uid = submit_job(cluster, 1, hall="b", pieces=4)
    cluster.run(3.0)
    cluster.partitions.add((former, "state"))
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)
    cluster.partitions.clear()
    cluster.run(10.0)
    owner = cluster.controllers[cluster.owner()].components
    (shard_id,) = owner.owned_shards.shards
    owner.leadership.hand_off(shard_id, former)
    cluster.run(30.0)
    assert cluster.owner() == former != leader(cluster)
    uid = submit_job(cluster, 2, hall="b", pieces=4)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 60.0)


def test_new_leader_rents_under_names_of_its_own_term_before_its_first_tick() -> None:
    # Guards against one name for the requests of two leaders: the cloud answers the second with the
    # machines of the first.
    cluster = ready_cluster(1)
    owner = give_shard_to_follower(cluster)
    first = leader(cluster)
    (second,) = set(CONTROLLER_LABELS) - {owner, first}
    cluster.crash(first)
    cluster.run(1.0)
    cluster.paused_controllers.add(owner)  # so that the other one is elected
    cluster.run_until(
        lambda: cluster.state.entries.get("live/leader", ({},))[0].get("label") == second, 5.0
    )
    cluster.paused_controllers.clear()
    components = cluster.controllers[second].components
    components.periodic._next_tick_at = cluster.now + 1.5
    submit_job(cluster, 1, owner, hall="b", pieces=4)
    cluster.run_until(lambda: bool(cluster.rentals), 1.4)
    assert components.leadership.term is not None
    assert {name.rpartition("-")[0] for name in cluster.rentals} == {
        f"hire-{components.leadership.term}"
    }
