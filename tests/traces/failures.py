"""The kinds of failures. Each function begins a failure and returns the action that ends it."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.traces.adapter import Cluster
from tests.traces.corruption import Corruption
from tests.traces.timeline import Action, Timeline

Failure = Callable[[Cluster, random.Random], Action]


def do_nothing() -> None:
    pass


def random_controller(cluster: Cluster, rng: random.Random) -> str:
    """Draw a controller.

    Half of the draws give one whose failure has the most effect: the first shard's owner (30 %) or
    the leader (20 %). The others give any controller.
    """
    draw = rng.random()
    if draw < 0.3:
        return cluster.owner()
    return cluster.leader() if draw < 0.5 else rng.choice(cluster.labels)


def random_hosts(cluster: Cluster, rng: random.Random) -> list[str]:
    hosts = cluster.hosts()
    return rng.sample(hosts, min(len(hosts), rng.choice([1, 1, 2, 4])))


def start_missing_controllers(cluster: Cluster, labels: list[str]) -> None:
    for label in labels:
        if label not in cluster.running():
            cluster.start_controller(label)


# -- controllers ---------------------------------------------------------------------------


def controller_crashes(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.crash(label)
    return lambda: start_missing_controllers(cluster, [label])


def controller_restarts_at_once(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.crash(label)
    cluster.start_controller(label)
    return do_nothing


def all_controllers_crash(cluster: Cluster, rng: random.Random) -> Action:
    for label in cluster.labels:
        cluster.crash(label)
    return lambda: start_missing_controllers(cluster, cluster.labels)


def controller_pauses(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.pause(label)
    return lambda: cluster.resume(label)


CONTROLLERS: list[Failure] = [
    controller_crashes,
    controller_crashes,
    controller_restarts_at_once,
    all_controllers_crash,
    controller_pauses,
]

# -- the network ---------------------------------------------------------------------------


def _partition(cluster: Cluster, ends: list[tuple[str, str]]) -> Action:
    for one, other in ends:
        cluster.add_partition(one, other)

    def heal() -> None:
        for one, other in ends:
            cluster.remove_partition(one, other)

    return heal


def controller_cut_off_from_peers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    others = [other for other in cluster.labels if other != label]
    return _partition(cluster, [(label, other) for other in rng.sample(others, rng.choice([1, 2]))])


def controller_cut_off_from_state(cluster: Cluster, rng: random.Random) -> Action:
    return _partition(cluster, [(random_controller(cluster, rng), "state")])


def controller_reaches_only_workers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    others = [other for other in cluster.labels if other != label]
    return _partition(cluster, [(label, other) for other in [*others, "state", "cloud"]])


def controller_cut_off_from_workers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    return _partition(cluster, [(host, label) for host in random_hosts(cluster, rng)])


def workers_cut_off_from_controllers(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    return _partition(cluster, [(host, label) for host in hosts for label in cluster.labels])


def peer_messages_delayed_duplicated_or_lost(cluster: Cluster, rng: random.Random) -> Action:
    def random_delays(one: str, other: str, body: bytes) -> list[float]:
        return [rng.random() * 3.0 for _ in range(rng.choice([0, 1, 1, 2]))]

    cluster.set_peer_message_delays(random_delays)
    return lambda: cluster.set_peer_message_delays(lambda one, other, body: [0.0])


def responses_corrupted(cluster: Cluster, rng: random.Random) -> Action:
    """Make some responses and peer messages unreadable."""
    cluster.set_corruption(Corruption(rng, rng.choice([0.02, 0.2])))
    return lambda: cluster.set_corruption(None)


NETWORK: list[Failure] = [
    controller_cut_off_from_peers,
    controller_cut_off_from_state,
    controller_reaches_only_workers,
    controller_cut_off_from_workers,
    workers_cut_off_from_controllers,
    peer_messages_delayed_duplicated_or_lost,
]

# -- the state service ---------------------------------------------------------------------


def state_down(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_state_down(True)
    return lambda: cluster.set_state_down(False)


def state_slow(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_state_delay(rng.choice([0.2, 0.6, 1.5]))
    return lambda: cluster.set_state_delay(0.0)


def state_refuses_controller(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_state_refused(label, True)
    return lambda: cluster.set_state_refused(label, False)


def transactions_unanswered(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_unanswered_transactions(label, rng.choice([0.0, 1.0, 3.0, 10.0]))
    return lambda: cluster.set_unanswered_transactions(label, None)


def state_limits_lower(cluster: Cluster, rng: random.Random) -> Action:
    """Lower the limits on values, transactions and changes per second."""
    cluster.set_state_limits(rng.choice([500, 900, 2048]), rng.choice([2, 5]), 4.0)
    return lambda: cluster.set_state_limits(16 * 1024, 16, 0.0)


STATE: list[Failure] = [state_down, state_slow, state_refuses_controller, transactions_unanswered]

# -- machines ------------------------------------------------------------------------------


def machines_hang(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    for host in hosts:
        cluster.set_hung(host, True)

    def resume() -> None:
        for host in hosts:
            cluster.set_hung(host, False)

    return resume


def machine_messages_lost(cluster: Cluster, rng: random.Random) -> Action:
    """Lose the heartbeats or direct commands of machines, or all that is sent to them."""
    hosts = random_hosts(cluster, rng)
    kind = rng.choice(["response_loss_hosts", "heartbeat_loss_hosts", "command_loss_hosts"])
    for host in hosts:
        cluster.set_message_loss(host, kind, True)

    def restore() -> None:
        for host in hosts:
            cluster.set_message_loss(host, kind, False)

    return restore


def tasks_fail(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    cause = rng.choice(["error", "error", "full", "in_use", "unknown", "killed"])
    for host in hosts:
        cluster.set_exit_reason(host, cause)

    def succeed() -> None:
        for host in hosts:
            cluster.set_exit_reason(host, None)

    return succeed


def machines_preempted(cluster: Cluster, rng: random.Random) -> Action:
    """Let machines report a preemption notice, and take them away at the end."""
    hosts = random_hosts(cluster, rng)
    for host in hosts:
        cluster.set_preemption_notice(host, rng.choice([2.0, 10.0]))

    def remove() -> None:
        for host in hosts:
            cluster.remove_machine(host)

    return remove


def machines_removed(cluster: Cluster, rng: random.Random) -> Action:
    for host in random_hosts(cluster, rng):
        cluster.remove_machine(host)
    return do_nothing


def machines_appear(cluster: Cluster, rng: random.Random) -> Action:
    """Add machines to the cloud's list that no controller has rented."""
    for _ in range(rng.choice([1, 2])):
        cluster.add_machine(rng.choice("ab"), spot=rng.random() < 0.5)
    return do_nothing


def old_heartbeats_repeated(cluster: Cluster, rng: random.Random) -> Action:
    """Send copies of earlier heartbeats to every controller."""
    for host in random_hosts(cluster, rng):
        heartbeats = cluster.sent_heartbeats(host)
        for label in cluster.running():
            if heartbeats:
                body = rng.choice(heartbeats[-30:])
                cluster.send_request(label, "POST", "/checkin", body)
    return do_nothing


MACHINES: list[Failure] = [
    machines_hang,
    machines_hang,
    machine_messages_lost,
    machine_messages_lost,
    tasks_fail,
    machines_preempted,
    machines_removed,
    machines_appear,
    old_heartbeats_repeated,
]

# -- the cloud -----------------------------------------------------------------------------


def cloud_down(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_cloud_down(True)
    return lambda: cluster.set_cloud_down(False)


def cloud_actions_unanswered(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_unanswered_cloud_actions(label, rng.uniform(1.0, 9.0))
    return lambda: cluster.set_unanswered_cloud_actions(label, None)


def controller_cut_off_from_cloud(cluster: Cluster, rng: random.Random) -> Action:
    return _partition(cluster, [(random_controller(cluster, rng), "cloud")])


CLOUD: list[Failure] = [cloud_down, cloud_actions_unanswered, controller_cut_off_from_cloud]


class Failures:
    """Begins random failures at random times, so that several overlap."""

    def __init__(
        self, timeline: Timeline, rng: random.Random, kinds: list[Failure], every_s: float
    ) -> None:
        self.timeline = timeline
        self.rng = rng
        self.kinds = kinds
        self.every_s = every_s

    def begin(self, seconds: float) -> None:
        """Begin failures for so many seconds; all of them have ended by then as well."""
        cluster, until = self.timeline.cluster, self.timeline.cluster.now + seconds

        def begin_next() -> None:
            remaining_s = until - cluster.now
            if remaining_s <= 0:
                return
            end = self.rng.choice(self.kinds)(cluster, self.rng)
            duration_s = self.rng.choice([0.3, 2.0, 5.0, 9.0, 15.0]) * self.rng.uniform(0.6, 1.4)
            self.timeline.after(min(duration_s, remaining_s), end)
            self.timeline.after(self.rng.uniform(0.1, 2.0) * self.every_s, begin_next)

        self.timeline.after(self.rng.uniform(0.1, 2.0) * self.every_s, begin_next)
