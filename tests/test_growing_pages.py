"""Simulations in which the pages of a shard's record outgrow their values.

Machines are recorded as soon as they are rented, without addresses, which are then filled in.
Irregular addresses make a page several times larger at once.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.simulated_cluster import (
    CONTROLLER_LABELS,
    SimulatedCluster,
    job_spec,
)
from tests.test_scale import FACTS, STATE_FACTS, STEP_S, TASK_S, submit_work

MACHINES = 1500
VALUE_KB = 2.0


def growing_cluster(txn_ops: int) -> SimulatedCluster:
    """Return a cluster without machines whose cloud offers 1,500 with irregular addresses."""
    state = STATE_FACTS | {"value_kb": VALUE_KB, "txn_ops": txn_ops}
    cluster = SimulatedCluster(0, start=False, state=state, **FACTS)
    cluster.irregular_addresses = True
    cluster.state.value_bytes = int(VALUE_KB * 1024)
    cluster.state.txn_ops = txn_ops
    for label in CONTROLLER_LABELS:
        cluster.start_controller(label)
    cluster.step_s = STEP_S
    cluster.capacity = MACHINES
    cluster.run(2.0)
    return cluster


def start_two_tasks_on_each_machine(cluster: SimulatedCluster) -> None:
    submit_work(cluster, task_count=2 * MACHINES // 3, jobs=3)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 2 * MACHINES, 50.0)


def machines_in_release_records(cluster: SimulatedCluster) -> set[str]:
    return {
        machine_id
        for key, (value, _, _) in cluster.state.entries.items()
        if key.startswith("live/retire/")
        for machine_id in value["hosts"]
    }


@pytest.mark.parametrize("txn_ops", [4, 5, 6])
def test_all_machines_keep_their_tasks_while_their_pages_grow(txn_ops: int) -> None:
    """Guards against tasks started again while they ran on a machine lost from the record.

    Also against machines that got no task because an occupancy flag was written to one of two
    pages that had them and read from the other.
    """
    cluster = growing_cluster(txn_ops)
    start_two_tasks_on_each_machine(cluster)
    assert len(cluster.task_starts) == 2 * MACHINES
    assert cluster.recorded_machines() == set(cluster.workers)
    revision = cluster.state.revision
    cluster.run(10.0)
    assert cluster.state.revision - revision <= 1  # nothing is written again and again
    assert cluster.state.oversized_transactions == 0


@pytest.mark.parametrize(
    ("unanswered_after_s", "crash_after_s", "carried_out_after_s"),
    [(9.0, 13.0, 0.0), (11.0, 15.0, 0.0), (11.0, 13.0, 1.0)],
)
def test_failover_keeps_all_tasks_while_pages_grow_and_transactions_get_no_response(
    unanswered_after_s: float, crash_after_s: float, carried_out_after_s: float
) -> None:
    """Guards against tasks started again where a failover follows the loss of machines.

    The owner's last transactions are carried out, at once or late, and get no response.
    """
    cluster = growing_cluster(txn_ops=5)
    submit_work(cluster, task_count=2 * MACHINES // 3, jobs=3)
    cluster.run(unanswered_after_s)
    owner = cluster.owner()
    cluster.unanswered_transactions[owner] = carried_out_after_s
    cluster.run(crash_after_s - unanswered_after_s)
    cluster.crash(owner)
    cluster.unanswered_transactions.clear()
    cluster.run(3.0)
    cluster.start_controller(owner)
    cluster.run_until(lambda: len(cluster.running_tasks()) == 2 * MACHINES, 80.0)
    assert len(cluster.task_starts) == 2 * MACHINES
    assert cluster.recorded_machines() == set(cluster.workers)
    assert cluster.state.oversized_transactions == 0


def test_next_owner_starts_no_task_on_machines_that_are_to_be_released() -> None:
    """Guards against machines released in use: reported removed, they were still in a page."""
    cluster = growing_cluster(txn_ops=6)
    submit_work(cluster, task_count=2 * MACHINES // 3, jobs=3)
    cluster.run(TASK_S)
    cluster.cloud_down = True  # release records stay until the cloud answers again
    cluster.run_until(lambda: len(machines_in_release_records(cluster)) > 0, 60.0)
    cluster.run(0.5)
    cluster.crash(cluster.owner())
    label = next(iter(cluster.controllers))
    for number in range(10, 13):
        spec: dict[str, Any] = job_spec(number, pieces=2 * MACHINES // 3, expect_s=TASK_S)
        cluster.task_durations_s[spec["uid"]] = TASK_S
        cluster.send_request(label, "POST", "/work", spec)
    cluster.run(30.0)
    cluster.cloud_down = False
    cluster.run(10.0)
    releases = [action for action in cluster.cloud_actions if not action.rental_id]
    assert releases and not any(action.hosts_in_use for action in releases)
