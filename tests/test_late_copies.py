"""Late copies of messages while controllers and machines come back within a second.

A copy of a start command that was carried out and answered would start the task again once its
machine has forgotten the attempt: on a second machine beside the first, or after a cancellation.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from fallpulley.effects import HttpCall, Request
from fallpulley.placement.plan import Booking
from fallpulley.workers.messages import TaskCommand, TaskOperation
from tests.simulated_cluster import CONTROLLER_LABELS, SimulatedCluster, Worker
from tests.test_jobs_and_takeovers import other_controllers, submit_job

# Time in which a controller or a machine comes back, in seconds.
RESTART_S = 0.3
# Interval between two deliveries of copies, in seconds: shorter than that of heartbeats.
COPY_INTERVAL_S = 0.4
KEEP_IDLE_MACHINES = {"idle_boots": 50.0}
# With these, an owner that is cut off from the state service responds to machines for 30 s.
LONG_RESPONSE_WINDOW = {"report_s": 1.0, "lease_s": 6.0, "cancel_s": 40.0}


class CopyingCluster(SimulatedCluster):
    """A cluster whose network can deliver every request once more, as late as it likes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        # Sender, address and body of each.
        self.direct_commands: list[tuple[str, str, dict[str, Any]]] = []
        super().__init__(*args, **kwargs)

    def _send_direct_command(self, label: str, call: HttpCall, respond: Any) -> None:
        self.direct_commands.append((label, call.address, json.loads(call.body or b"{}")))
        super()._send_direct_command(label, call, respond)

    def deliver_copies(self, sender: str | None = None) -> None:
        """Deliver all requests once more: those to machines, and all heartbeats to all controllers.

        With `sender`, deliver only the requests of this controller to machines.
        """
        for label, address, body in self.direct_commands:
            worker = self.workers_by_address[address]
            if sender in (None, label) and worker.host in self.workers and not worker.hung:
                worker.handle_direct_command(body)
        for bodies in self.sent_heartbeats.values() if sender is None else ():
            for label in self.controllers:
                self.commands[label] += [
                    Request(lambda *_: None, "POST", "/checkin", body) for body in bodies
                ]

    def run_with_copies(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.deliver_copies()
            self.run(COPY_INTERVAL_S)


def restart_machine(worker: Worker, new_epoch: bool) -> None:
    """Let a machine come back at once: it has lost its tasks, its token and its connection."""
    worker.tasks.clear()
    worker.agent_epoch = worker.agent_epoch + 1 if new_epoch else 1
    worker.sequence = worker.fencing_token = worker.reported_token = 0
    worker.heartbeat_in_flight = None
    worker.lease_start = worker.next_heartbeat_at = worker.cluster.now


def restart_owner(cluster: SimulatedCluster, new_owner: bool) -> None:
    """End the shard's owner; it is back within a second, or once another one owns the shard."""
    owner = cluster.owner()
    cluster.crash(owner)
    if new_owner:
        cluster.run_until(lambda: cluster.owner() != owner, 10.0)
    cluster.run(RESTART_S)
    cluster.start_controller(owner)


def cluster_with_running_job(
    task_s: float, pieces: int = 2, capacity: int = 6, **options: Any
) -> tuple[CopyingCluster, str]:
    """Return a cluster of two machines that run as many tasks of a job as fit, and the job."""
    cluster = CopyingCluster(2, **options)
    cluster.run_until(lambda: bool(cluster.shards()), 5.0)
    cluster.run(3.0)
    cluster.capacity = capacity
    uid = submit_job(cluster, 1, pieces=pieces)
    cluster.task_durations_s[uid] = task_s
    cluster.run_until(lambda: len(cluster.running_tasks(uid)) == min(pieces, 4), 20.0)
    return cluster, uid


def hand_over(cluster: CopyingCluster, uid: str, how: str) -> Worker:
    """Let the job's tasks end, move to other machines or be cancelled; return their machine."""
    worker = next(each for each in cluster.workers.values() if each.running_tasks())
    if how == "moved":
        worker.preemption_notice_s = 2.0
    elif how == "cancelled":
        status, body, _ = cluster.request(cluster.owner(), "POST", f"/work/{uid}/abort")
        assert (status, body["stage"]) == (200, "withdrawn")
    cluster.run_until(lambda: not worker.running_tasks(), 10.0)
    return worker


def test_start_command_is_never_sent_to_the_address_of_a_machine() -> None:
    # Guards against a start command whose late copy reaches a machine that has forgotten it.
    cluster, uid = cluster_with_running_job(12.0)
    (agent,) = cluster.controllers[cluster.owner()].components.owned_shards.agents.values()
    machine = next(iter(agent.shard.machines.values()))
    with pytest.raises(ValueError, match="only be sent in the response to a heartbeat"):
        agent.direct_commands.send(machine, [TaskCommand(TaskOperation.START, f"{uid}/0", 1)])


@pytest.mark.parametrize("back", ["owner", "new owner", "machine", "machine in a new epoch"])
@pytest.mark.parametrize("how", ["ended", "moved", "cancelled"])
def test_late_copies_start_no_task_again(how: str, back: str) -> None:
    # Guards against a task that a late copy of a message starts again on a machine that has
    # forgotten it. The cluster checks that no task runs on two machines or after a cancellation.
    task_s = 3.0 if how == "ended" else 12.0
    cluster, uid = cluster_with_running_job(task_s, operators=KEEP_IDLE_MACHINES)
    worker = hand_over(cluster, uid, how)
    cluster.run_with_copies(1.2)
    if back.startswith("machine"):
        restart_machine(worker, new_epoch=back != "machine")
    else:
        restart_owner(cluster, new_owner=back == "new owner")
    starts = len(cluster.task_starts)
    cluster.run_with_copies(20.0)
    assert worker.host in cluster.workers or how == "moved"
    cluster.run(40.0)
    if how != "moved":
        assert len(cluster.task_starts) == starts == 2
    assert cluster.job_state(uid) == ("withdrawn" if how == "cancelled" else "done")
    sent = [command for _, _, body in cluster.direct_commands for command in body["orders"]]
    assert all(command["verb"] != "run" for command in sent)
    assert how == "ended" or sent


def cut_off_owner(cluster: CopyingCluster) -> str:
    """Cut the owner off from all but machines and users; return it once it has been replaced."""
    deposed = cluster.owner()
    others = [*other_controllers(deposed), "state"]
    cluster.partitions.update((deposed, other) for other in others)
    cluster.run_until(lambda: cluster.owner() != deposed, 15.0)
    return deposed


def report_only_to(
    cluster: CopyingCluster, worker: Worker, label: str, seconds: float, copies: bool
) -> None:
    """Let a machine send its heartbeats to one controller, and perhaps copies of its commands."""
    until = cluster.now + seconds
    while cluster.now < until:
        if copies:
            cluster.deliver_copies(label)
        for _ in range(round(COPY_INTERVAL_S / cluster.step_s)):
            worker.controller_index = CONTROLLER_LABELS.index(label)
            cluster.step()


@pytest.mark.parametrize(
    ("task_s", "replaced_for_s", "new_epoch", "sequence", "copies"),
    [
        (6.0, 0.5, True, 0, False),  # it reports to the deposed owner first
        (12.0, 2.0, True, 0, True),
        (9.0, 1.0, False, 20, False),  # it had been up for a short time
        (12.0, 1.0, False, 0, True),  # copies have brought back the deposed owner's token
        (12.0, 4.0, False, 0, True),
        (12.0, 4.0, False, 5, True),
    ],
)
def test_deposed_owner_starts_nothing_on_a_machine_that_has_forgotten_its_successor(
    task_s: float, replaced_for_s: float, new_epoch: bool, sequence: int, copies: bool
) -> None:
    # Guards against a task on two machines: its owner was cut off from the state service and
    # replaced, and a machine that came back within a second had lost the successor's token.
    cluster, uid = cluster_with_running_job(
        task_s, pieces=6, capacity=2, workers=LONG_RESPONSE_WINDOW
    )
    deposed = cut_off_owner(cluster)
    cluster.run(replaced_for_s)
    worker = next(iter(cluster.workers.values()))
    restart_machine(worker, new_epoch)
    worker.sequence = sequence
    report_only_to(cluster, worker, deposed, 40.0, copies)
    cluster.run(60.0)
    assert cluster.job_state(uid) == "done"


def test_deposed_owner_starts_nothing_on_a_machine_that_it_reaches_late() -> None:
    # Guards against a task on two machines: a machine that an owner could not reach until it was
    # replaced came back within a second and then reported to that owner for the first time.
    cluster, uid = cluster_with_running_job(
        30.0, pieces=4, capacity=3, workers=LONG_RESPONSE_WINDOW
    )
    worker = next(each for each in cluster.workers.values() if each.running_tasks())
    first = cluster.owner()
    cluster.partitions.update((worker.host, other) for other in other_controllers(first))
    cluster.crash(first)
    cluster.run_until(lambda: cluster.owner() != first, 10.0)
    cluster.start_controller(first)
    cluster.run(0.5)
    deposed = cut_off_owner(cluster)
    cluster.partitions = {pair for pair in cluster.partitions if worker.host not in pair}
    cluster.run(0.5)
    (shard,) = cluster.controllers[cluster.owner()].components.owned_shards.shards.values()
    cluster.run_until(lambda: shard.machines[worker.host].heartbeat.online, 10.0)
    restart_machine(worker, new_epoch=True)
    report_only_to(cluster, worker, deposed, 5.0, copies=False)
    assert not worker.tasks
    cluster.partitions.clear()
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


def test_restarted_machine_gets_tasks_only_when_it_has_reported_the_token_again() -> None:
    # Guards against tasks on a machine that forgot all tokens, so that earlier owners' count again.
    cluster, uid = cluster_with_running_job(20.0, pieces=6, capacity=2)
    cluster.run(5.0)
    restart_machine(next(iter(cluster.workers.values())), new_epoch=False)
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 90.0)


@pytest.mark.parametrize("had_tasks", [True, False])
def test_deposed_owner_starts_no_task_booked_before_its_machine_restarted(had_tasks: bool) -> None:
    # Guards against a task on two machines: the plan from before the restart still has bookings.
    cluster, _ = cluster_with_running_job(30.0, operators=KEEP_IDLE_MACHINES)
    zones = {worker.zone: worker for worker in cluster.workers.values()}
    busy_zone = next(zone for zone, worker in zones.items() if worker.running_tasks())
    waiting = submit_job(cluster, 2, pieces=1, cpus=8.0, hall=busy_zone)
    worker = zones[busy_zone if had_tasks else "ab".replace(busy_zone, "")]
    deposed = cut_off_owner(cluster)
    cluster.partitions.update((worker.host, other) for other in other_controllers(deposed))
    restart_machine(worker, new_epoch=False)
    worker.sequence = 50
    components = cluster.controllers[deposed].components
    (shard,) = components.owned_shards.shards.values()
    components.planner.next_plan_at = cluster.now + 100.0
    shard.bookings[worker.host] = [Booking(waiting, 0, worker.host, 4.0)]
    report_only_to(cluster, worker, deposed, 5.0, copies=False)
    assert worker.fencing_token == shard.machines[worker.host].fencing.token
    assert not worker.tasks


def test_task_lost_in_an_outage_starts_on_a_machine_that_did_not_restart() -> None:
    # Guards against a task that is booked on a machine on which it may not be started.
    cluster, uid = cluster_with_running_job(4.0, pieces=4, capacity=2)
    cluster.state.down = True
    cluster.run(2.5)
    restarted, other = cluster.workers.values()
    restart_machine(restarted, new_epoch=True)
    cluster.run(8.0)
    assert {host for _, _, host in cluster.task_starts[4:]} == {other.host}
    cluster.state.down = False
    cluster.run_until(lambda: cluster.job_state(uid) == "done", 30.0)
    assert len(cluster.task_starts) == 6
