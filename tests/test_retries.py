"""Tasks that failed are tried again, also where only machines on which they failed can run them."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from fallpulley.jobs.retry_state import MACHINE_AVOIDANCE_SECONDS, MAX_FAILED_MACHINES, RetryState
from tests.simulated_cluster import SimulatedCluster, Worker
from tests.test_jobs_and_takeovers import ready_cluster, submit_job

# "No job is left waiting for 90 s while a machine that fits has room", in seconds.
MAX_WAIT_S = 90.0


def fail_first_attempts(cluster: SimulatedCluster, uid: str, count: int) -> list[float]:
    """Let that many attempts of the job's tasks fail; the list has when each of them did."""
    failed_at: list[float] = []

    def exit_reason(task_id: str, worker: Worker) -> str:
        if task_id.partition("/")[0] != uid or len(failed_at) >= count:
            return "done"
        failed_at.append(cluster.now)
        return "error"

    cluster.exit_reason = exit_reason  # type: ignore[method-assign]
    return failed_at


@pytest.mark.parametrize(
    ("zone_of_other_work", "spec"),
    [
        ("a", {"hall": "b", "pieces": 1}),
        ("a", {"one_zone": True, "hall": "b", "shape": "ensemble", "pieces": 2}),
        # The other machine may run the task, but stays full.
        ("a", {"pieces": 1}),
    ],
    ids=["zone", "gang-in-zone", "other-machine-full"],
)
def test_task_is_tried_again_on_the_only_machine_with_room_after_it_failed_there(
    zone_of_other_work: str, spec: dict[str, Any]
) -> None:
    # Guards against a job that waits for ever beside an idle machine on which a task of it failed.
    cluster = ready_cluster(2)
    cluster.capacity = 2
    other = submit_job(cluster, 1, hall=zone_of_other_work, pieces=2, expect_s=600.0)
    cluster.task_durations_s[other] = 600.0
    cluster.run_until(lambda: len(cluster.running_tasks(other)) == 2, 10.0)
    failed_at = fail_first_attempts(cluster, "job-000002", spec["pieces"])
    uid = submit_job(cluster, 2, **spec)
    cluster.run_until(lambda: bool(failed_at), 20.0)
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == spec["pieces"], MAX_WAIT_S)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 20.0)


@pytest.mark.parametrize("capacity", [2, 3])
def test_job_whose_only_machine_is_faulty_gets_another(capacity: int) -> None:
    # Guards against a job that fails for ever on the only machine that it may use, since that
    # machine counts as its supply. While the cloud has no other one, it is tried again there.
    cluster = ready_cluster(2, operators={"idle_boots": 50.0})
    cluster.capacity = capacity
    faulty = next(worker for worker in cluster.workers.values() if worker.zone == "b")
    cluster.exit_reasons[faulty.host] = "error"
    uid = submit_job(cluster, 1, hall="b", pieces=2, loaners=False)
    cluster.run(60.0)
    assert (cluster.job_state(uid) == "done") == (capacity == 3)
    cluster.capacity = 3
    cluster.run_until(lambda: cluster.job_state(uid) == "done", MAX_WAIT_S)
    assert len(cluster.rentals) == 1


def test_job_that_fails_on_every_machine_gets_few_of_them() -> None:
    # Guards against a fleet that is rented for a job with a mistake.
    cluster = ready_cluster(2, operators={"idle_boots": 50.0})
    cluster.capacity = 20
    uid = submit_job(cluster, 1, hall="b", pieces=2)
    failed_at = fail_first_attempts(cluster, uid, 10_000)
    cluster.run(1000.0)
    assert len(failed_at) > 10
    assert sum(len(hosts) for hosts in cluster.rentals.values()) == MAX_FAILED_MACHINES - 1


def test_back_off_grows_though_the_retry_starts_in_the_step_of_the_failure() -> None:
    # Guards against a task that is tried again at once, for ever, on the only machine it may use.
    cluster = ready_cluster(2, operators={"idle_boots": 50.0})
    cluster.capacity = 2
    uid = submit_job(cluster, 1, hall="b", pieces=1)
    failed_at = fail_first_attempts(cluster, uid, 10_000)
    cluster.run(250.0)
    pauses = [after - before for before, after in itertools.pairwise(failed_at)]
    assert pauses == sorted(pauses) and pauses[-1] > MACHINE_AVOIDANCE_SECONDS


def test_thousands_of_failures_of_one_job_are_recorded() -> None:
    # Guards against a heartbeat that is refused, with all tasks in it, for the failure of one task.
    retries = RetryState()
    for number in range(5000):
        retries.record_failure(f"vm-{number % 2}", 0.0, 10.0, 20.0)
    assert retries.failure_count == 5000 and retries.not_before == 10.0 + 6 * 20.0


def test_back_off_of_the_only_machine_grows_up_to_half_of_the_longest_wait() -> None:
    # Guards against a job with a mistake that is tried again and again without a pause.
    retries = RetryState()
    retries.record_failure("vm-1", 0.0, 10.0, 20.0)
    retries.record_failure("vm-1", 0.0, 11.0, 20.0)  # another task of the same attempt
    assert not retries.machines_in_backoff(11.0)
    now, back_offs = 11.0, []
    for _ in range(6):
        retries.record_failure("vm-1", now + 1.0, now + 2.0, 20.0)
        now += 2.0
        back_offs.append(next(s for s in range(91) if not retries.machines_in_backoff(now + s)))
    assert back_offs == [5, 10, 20, 40, 45, 45]
    assert retries.avoided_machines(now + 44.9) and not retries.avoided_machines(now + 45.0)
