"""Failures of every kind; each begins now, and gives back what ends it."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.traces.adapter import Cluster
from tests.traces.corruption import Corruption
from tests.traces.timeline import Action, Timeline

Failure = Callable[[Cluster, random.Random], Action]


def nothing() -> None:
    pass


def any_label(cluster: Cluster, chance: random.Random) -> str:
    """A controller; one time in two the one whose failure costs most."""
    draw = chance.random()
    if draw < 0.3:
        return cluster.owner()
    return cluster.leader() if draw < 0.5 else chance.choice(cluster.labels)


def some_hosts(cluster: Cluster, chance: random.Random) -> list[str]:
    hosts = cluster.hosts()
    return chance.sample(hosts, min(len(hosts), chance.choice([1, 1, 2, 4])))


def boot_missing(cluster: Cluster, labels: list[str]) -> None:
    for label in labels:
        if label not in cluster.running():
            cluster.boot(label)


# -- controllers ---------------------------------------------------------------------------


def controller_ends(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    cluster.crash(label)
    return lambda: boot_missing(cluster, [label])


def controller_restarts_at_once(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    cluster.crash(label)
    cluster.boot(label)
    return nothing


def all_controllers_end(cluster: Cluster, chance: random.Random) -> Action:
    for label in cluster.labels:
        cluster.crash(label)
    return lambda: boot_missing(cluster, cluster.labels)


def controller_stands_still(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
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
        cluster.cut(one, other)

    def heal() -> None:
        for one, other in ends:
            cluster.heal(one, other)

    return heal


def cut_from_controllers(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    others = [other for other in cluster.labels if other != label]
    return _cut(cluster, [(label, other) for other in chance.sample(others, chance.choice([1, 2]))])


def cut_from_state(cluster: Cluster, chance: random.Random) -> Action:
    return _cut(cluster, [(any_label(cluster, chance), "state")])


def cut_from_all_but_workers(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    others = [other for other in cluster.labels if other != label]
    return _cut(cluster, [(label, other) for other in [*others, "state", "cloud"]])


def cut_from_workers(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    return _cut(cluster, [(host, label) for host in some_hosts(cluster, chance)])


def workers_cut_from_all(cluster: Cluster, chance: random.Random) -> Action:
    hosts = some_hosts(cluster, chance)
    return _cut(cluster, [(host, label) for host in hosts for label in cluster.labels])


def messages_late_doubled_and_lost(cluster: Cluster, chance: random.Random) -> Action:
    def link(one: str, other: str, body: bytes) -> list[float]:
        return [chance.random() * 3.0 for _ in range(chance.choice([0, 1, 1, 2]))]

    cluster.set_link(link)
    return lambda: cluster.set_link(lambda one, other, body: [0.0])


def answers_damaged(cluster: Cluster, chance: random.Random) -> Action:
    """Some answers and messages cannot be read."""
    cluster.set_tamper(Corruption(chance, chance.choice([0.02, 0.2])))
    return lambda: cluster.set_tamper(None)


NETWORK: list[Failure] = [
    cut_from_controllers,
    cut_from_state,
    cut_from_all_but_workers,
    cut_from_workers,
    workers_cut_from_all,
    messages_late_doubled_and_lost,
]

# -- the state service ---------------------------------------------------------------------


def state_down(cluster: Cluster, chance: random.Random) -> Action:
    cluster.set_state_down(True)
    return lambda: cluster.set_state_down(False)


def state_slow(cluster: Cluster, chance: random.Random) -> Action:
    cluster.set_state_delay(chance.choice([0.2, 0.6, 1.5]))
    return lambda: cluster.set_state_delay(0.0)


def state_refuses_one(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    cluster.set_refused(label, True)
    return lambda: cluster.set_refused(label, False)


def transactions_unanswered(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    cluster.set_unanswered(label, chance.choice([0.0, 1.0, 3.0, 10.0]))
    return lambda: cluster.set_unanswered(label, None)


def state_limits_lower(cluster: Cluster, chance: random.Random) -> Action:
    """Values, transactions and changes a second are refused that were allowed before."""
    cluster.set_state_limits(chance.choice([500, 900, 2048]), chance.choice([2, 5]), 4.0)
    return lambda: cluster.set_state_limits(16 * 1024, 16, 0.0)


STATE: list[Failure] = [state_down, state_slow, state_refuses_one, transactions_unanswered]

# -- machines ------------------------------------------------------------------------------


def machines_hang(cluster: Cluster, chance: random.Random) -> Action:
    hosts = some_hosts(cluster, chance)
    for host in hosts:
        cluster.set_hung(host, True)

    def resume() -> None:
        for host in hosts:
            cluster.set_hung(host, False)

    return resume


def machines_unheard(cluster: Cluster, chance: random.Random) -> Action:
    """Answers, reports or direct commands are lost."""
    hosts = some_hosts(cluster, chance)
    way = chance.choice(["response_loss_hosts", "heartbeat_loss_hosts", "command_loss_hosts"])
    for host in hosts:
        cluster.set_unheard(host, way, True)

    def heard() -> None:
        for host in hosts:
            cluster.set_unheard(host, way, False)

    return heard


def tasks_fail(cluster: Cluster, chance: random.Random) -> Action:
    hosts = some_hosts(cluster, chance)
    cause = chance.choice(["error", "error", "full", "in_use", "unknown", "killed"])
    for host in hosts:
        cluster.set_cause(host, cause)

    def done() -> None:
        for host in hosts:
            cluster.set_cause(host, None)

    return done


def spot_notice(cluster: Cluster, chance: random.Random) -> Action:
    """Machines report that they will be taken, and are taken at the end."""
    hosts = some_hosts(cluster, chance)
    for host in hosts:
        cluster.set_recall(host, chance.choice([2.0, 10.0]))

    def take() -> None:
        for host in hosts:
            cluster.take_machine(host)

    return take


def machines_taken(cluster: Cluster, chance: random.Random) -> Action:
    for host in some_hosts(cluster, chance):
        cluster.take_machine(host)
    return nothing


def machines_appear(cluster: Cluster, chance: random.Random) -> Action:
    """The cloud lists machines that nobody here has rented."""
    for _ in range(chance.choice([1, 2])):
        cluster.add_machine(chance.choice("ab"), spot=chance.random() < 0.5)
    return nothing


def old_reports_again(cluster: Cluster, chance: random.Random) -> Action:
    """Late copies of check-ins arrive at every controller."""
    for host in some_hosts(cluster, chance):
        reports = cluster.reports_of(host)
        for label in cluster.running():
            if reports:
                body = chance.choice(reports[-30:])
                cluster.request(label, "POST", "/checkin", body)
    return nothing


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


def cloud_down(cluster: Cluster, chance: random.Random) -> Action:
    cluster.set_cloud_down(True)
    return lambda: cluster.set_cloud_down(False)


def cloud_late(cluster: Cluster, chance: random.Random) -> Action:
    label = any_label(cluster, chance)
    cluster.set_cloud_late(label, chance.uniform(1.0, 9.0))
    return lambda: cluster.set_cloud_late(label, None)


def cut_from_cloud(cluster: Cluster, chance: random.Random) -> Action:
    return _cut(cluster, [(any_label(cluster, chance), "cloud")])


CLOUD: list[Failure] = [cloud_down, cloud_late, cut_from_cloud]


class Failures:
    """Draws failures, so that several are there at the same time."""

    def __init__(
        self, timeline: Timeline, chance: random.Random, kinds: list[Failure], every_s: float
    ) -> None:
        self.timeline = timeline
        self.chance = chance
        self.kinds = kinds
        self.every_s = every_s

    def begin(self, seconds: float) -> None:
        """Failures begin for so long; the last one has ended by then as well."""
        cluster, until = self.timeline.cluster, self.timeline.cluster.now + seconds

        def next_one() -> None:
            left_s = until - cluster.now
            if left_s <= 0:
                return
            end = self.chance.choice(self.kinds)(cluster, self.chance)
            lasts_s = self.chance.choice([0.3, 2.0, 5.0, 9.0, 15.0]) * self.chance.uniform(0.6, 1.4)
            self.timeline.after(min(lasts_s, left_s), end)
            self.timeline.after(self.chance.uniform(0.1, 2.0) * self.every_s, next_one)

        self.timeline.after(self.chance.uniform(0.1, 2.0) * self.every_s, next_one)
