"""Failures of every kind; each begins now, and gives back what ends it."""

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
    """A controller; one time in two the one whose failure costs most."""
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


def controller_ends(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.crash(label)
    return lambda: start_missing_controllers(cluster, [label])


def controller_restarts_at_once(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.crash(label)
    cluster.start_controller(label)
    return do_nothing


def all_controllers_end(cluster: Cluster, rng: random.Random) -> Action:
    for label in cluster.labels:
        cluster.crash(label)
    return lambda: start_missing_controllers(cluster, cluster.labels)


def controller_stands_still(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.pause(label)
    return lambda: cluster.resume(label)


CONTROLLERS: list[Failure] = [
    controller_ends,
    controller_ends,
    controller_restarts_at_once,
    all_controllers_end,
    controller_stands_still,
]

# -- the network ---------------------------------------------------------------------------


def _cut(cluster: Cluster, ends: list[tuple[str, str]]) -> Action:
    for one, other in ends:
        cluster.add_partition(one, other)

    def heal() -> None:
        for one, other in ends:
            cluster.remove_partition(one, other)

    return heal


def cut_from_controllers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    others = [other for other in cluster.labels if other != label]
    return _cut(cluster, [(label, other) for other in rng.sample(others, rng.choice([1, 2]))])


def cut_from_state(cluster: Cluster, rng: random.Random) -> Action:
    return _cut(cluster, [(random_controller(cluster, rng), "state")])


def cut_from_all_but_workers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    others = [other for other in cluster.labels if other != label]
    return _cut(cluster, [(label, other) for other in [*others, "state", "cloud"]])


def cut_from_workers(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    return _cut(cluster, [(host, label) for host in random_hosts(cluster, rng)])


def workers_cut_from_all(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    return _cut(cluster, [(host, label) for host in hosts for label in cluster.labels])


def messages_late_doubled_and_lost(cluster: Cluster, rng: random.Random) -> Action:
    def link(one: str, other: str, body: bytes) -> list[float]:
        return [rng.random() * 3.0 for _ in range(rng.choice([0, 1, 1, 2]))]

    cluster.set_peer_message_delays(link)
    return lambda: cluster.set_peer_message_delays(lambda one, other, body: [0.0])


def answers_damaged(cluster: Cluster, rng: random.Random) -> Action:
    """Some answers and messages cannot be read."""
    cluster.set_corruption(Corruption(rng, rng.choice([0.02, 0.2])))
    return lambda: cluster.set_corruption(None)


NETWORK: list[Failure] = [
    cut_from_controllers,
    cut_from_state,
    cut_from_all_but_workers,
    cut_from_workers,
    workers_cut_from_all,
    messages_late_doubled_and_lost,
]

# -- the state service ---------------------------------------------------------------------


def state_down(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_state_down(True)
    return lambda: cluster.set_state_down(False)


def state_slow(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_state_delay(rng.choice([0.2, 0.6, 1.5]))
    return lambda: cluster.set_state_delay(0.0)


def state_refuses_one(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_state_refused(label, True)
    return lambda: cluster.set_state_refused(label, False)


def transactions_unanswered(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_unanswered_transactions(label, rng.choice([0.0, 1.0, 3.0, 10.0]))
    return lambda: cluster.set_unanswered_transactions(label, None)


def state_limits_lower(cluster: Cluster, rng: random.Random) -> Action:
    """Values, transactions and changes a second are refused that were allowed before."""
    cluster.set_state_limits(rng.choice([500, 900, 2048]), rng.choice([2, 5]), 4.0)
    return lambda: cluster.set_state_limits(16 * 1024, 16, 0.0)


STATE: list[Failure] = [state_down, state_slow, state_refuses_one, transactions_unanswered]

# -- machines ------------------------------------------------------------------------------


def machines_hang(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    for host in hosts:
        cluster.set_hung(host, True)

    def resume() -> None:
        for host in hosts:
            cluster.set_hung(host, False)

    return resume


def machines_unheard(cluster: Cluster, rng: random.Random) -> Action:
    """Answers, reports or direct commands are lost."""
    hosts = random_hosts(cluster, rng)
    way = rng.choice(["response_loss_hosts", "heartbeat_loss_hosts", "command_loss_hosts"])
    for host in hosts:
        cluster.set_message_loss(host, way, True)

    def heard() -> None:
        for host in hosts:
            cluster.set_message_loss(host, way, False)

    return heard


def tasks_fail(cluster: Cluster, rng: random.Random) -> Action:
    hosts = random_hosts(cluster, rng)
    cause = rng.choice(["error", "error", "full", "in_use", "unknown", "killed"])
    for host in hosts:
        cluster.set_exit_reason(host, cause)

    def done() -> None:
        for host in hosts:
            cluster.set_exit_reason(host, None)

    return done


def spot_notice(cluster: Cluster, rng: random.Random) -> Action:
    """Machines report that they will be taken, and are taken at the end."""
    hosts = random_hosts(cluster, rng)
    for host in hosts:
        cluster.set_preemption_notice(host, rng.choice([2.0, 10.0]))

    def take() -> None:
        for host in hosts:
            cluster.remove_machine(host)

    return take


def machines_taken(cluster: Cluster, rng: random.Random) -> Action:
    for host in random_hosts(cluster, rng):
        cluster.remove_machine(host)
    return do_nothing


def machines_appear(cluster: Cluster, rng: random.Random) -> Action:
    """The cloud lists machines that nobody here has rented."""
    for _ in range(rng.choice([1, 2])):
        cluster.add_machine(rng.choice("ab"), spot=rng.random() < 0.5)
    return do_nothing


def old_reports_again(cluster: Cluster, rng: random.Random) -> Action:
    """Late copies of check-ins arrive at every controller."""
    for host in random_hosts(cluster, rng):
        reports = cluster.sent_heartbeats(host)
        for label in cluster.running():
            if reports:
                body = rng.choice(reports[-30:])
                cluster.send_request(label, "POST", "/checkin", body)
    return do_nothing


MACHINES: list[Failure] = [
    machines_hang,
    machines_hang,
    machines_unheard,
    machines_unheard,
    tasks_fail,
    spot_notice,
    machines_taken,
    machines_appear,
    old_reports_again,
]

# -- the cloud -----------------------------------------------------------------------------


def cloud_down(cluster: Cluster, rng: random.Random) -> Action:
    cluster.set_cloud_down(True)
    return lambda: cluster.set_cloud_down(False)


def cloud_late(cluster: Cluster, rng: random.Random) -> Action:
    label = random_controller(cluster, rng)
    cluster.set_unanswered_cloud_actions(label, rng.uniform(1.0, 9.0))
    return lambda: cluster.set_unanswered_cloud_actions(label, None)


def cut_from_cloud(cluster: Cluster, rng: random.Random) -> Action:
    return _cut(cluster, [(random_controller(cluster, rng), "cloud")])


CLOUD: list[Failure] = [cloud_down, cloud_late, cut_from_cloud]


class Failures:
    """Draws failures, so that several are there at the same time."""

    def __init__(
        self, timeline: Timeline, rng: random.Random, kinds: list[Failure], every_s: float
    ) -> None:
        self.timeline = timeline
        self.rng = rng
        self.kinds = kinds
        self.every_s = every_s

    def begin(self, seconds: float) -> None:
        """Failures begin for so long; the last one has ended by then as well."""
        cluster, until = self.timeline.cluster, self.timeline.cluster.now + seconds

        def next_one() -> None:
            left_s = until - cluster.now
            if left_s <= 0:
                return
            end = self.rng.choice(self.kinds)(cluster, self.rng)
            lasts_s = self.rng.choice([0.3, 2.0, 5.0, 9.0, 15.0]) * self.rng.uniform(0.6, 1.4)
            self.timeline.after(min(lasts_s, left_s), end)
            self.timeline.after(self.rng.uniform(0.1, 2.0) * self.every_s, next_one)

        self.timeline.after(self.rng.uniform(0.1, 2.0) * self.every_s, next_one)
