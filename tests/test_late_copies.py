"""Late copies of messages while controllers and machines come back within a second.

A copy of a start command that was carried out and answered would start the task again once its
machine has forgotten the attempt: on a second machine beside the first, or after a cancellation.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from fallpulley.effects import HttpCall, Request
from fallpulley.workers.messages import TaskCommand, TaskOperation
from tests.simulated_cluster import SimulatedCluster, Worker
from tests.test_jobs_and_takeovers import submit_job

# Time in which a controller or a machine comes back, in seconds.
RESTART_S = 0.3
# Interval between two deliveries of copies, in seconds: shorter than that of heartbeats.
COPY_INTERVAL_S = 0.4
KEEP_IDLE_MACHINES = {"idle_boots": 50.0}


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
