"""The holder's side of the fleet: what its block should rent, and which machines go back."""

from __future__ import annotations

import logging

from fallpulley.blocks.held import FAULTY_JOBS, HeldBlock
from fallpulley.blocks.registry import Registry
from fallpulley.blocks.writer import BlockWriter
from fallpulley.core import Core
from fallpulley.fleet.demand import groups_of
from fallpulley.fleet.messages import MachineType
from fallpulley.fleet.provider import MachineProvider
from fallpulley.fleet.sizing import Group, Sizing, Supply, size_fleet
from fallpulley.mesh.messages import MachineRequest
from fallpulley.workers.machine import Machine

log = logging.getLogger(__name__)

SIZING_S = 1.0  # between two looks at the fleet: far below any boot time
# What a look took is to be so small a part of the time between two, up to a tenth of a boot time.
SIZING_SHARE, SIZING_BOOTS = 1 / 50, 0.1
# The same where the cloud has just answered: while thousands of machines are rented it does so
# several times a second, and each look is at all of them.
ANSWERED_SHARE = 1 / 5
# A machine that is not up after so many boot times is not counted on; after twice as many
# it goes back. Some take several times as long, a few never come.
LATE_BOOTS = 2.0
NEVER_BOOTS = 4.0
# After a takeover a machine may stay unreachable for this share of a lease.
UNCONFIRMED_LEASES = 0.25
# When more than this share of a zone is out of reach, it is the network: they will be back. A
# wave of recalls takes a third or a half of the cheap machines, among others that answer.
UNCONFIRMED_SHARE = 0.4
# A machine that was silent for so many leases goes back: most likely it is no more.
SILENT_LEASES = 2.5


# After a takeover, a block's work is known once its machines have reported.
KNOWN_REPORTS = 1.5

# A machine whose reports come but that has not heard us for so many reports is not counted on.
UNACKNOWLEDGED_REPORTS = 2.0

# The level of work is smoothed over so many boot times.
SMOOTH_BOOTS = 1.0
# A backlog above the level counts at this share.
BACKLOG_SHARE = 0.6

GroupKey = tuple[str, bool, tuple[str, ...] | None, str | None, bool]


class Autoscaler:
    def __init__(
        self, core: Core, registry: Registry, writer: BlockWriter, provider: MachineProvider
    ) -> None:
        self.core = core
        self.registry = registry
        self.writer = writer
        self.provider = provider
        self._last: dict[str, float] = {}
        self._wait_s: dict[str, float] = {}  # from the last look to the next
        self._levels: dict[GroupKey, float] = {}

    def tick(self, held: HeldBlock, leading: bool) -> list[MachineRequest]:
        """Give up what should go, rent as the leader, or say what the leader should rent."""
        now = self.core.now
        if not self.registry.types:
            return []
        # A partly filled rental is followed at once by one of the next kind.
        last = self._last.get(held.label, float("-inf"))
        wait_s = self._wait_s.get(held.label, SIZING_S)
        answered = self.provider.answered_at > last
        if now < last + (wait_s * SIZING_SHARE / ANSWERED_SHARE if answered else wait_s):
            return []
        self._last[held.label] = now
        began = self.core.clock()
        machine_requests = self._look(held, leading, min(now - last, wait_s))
        boot_s = min(kind.startup_s for kind in self.registry.types.values())
        took_s = min((self.core.clock() - began) / SIZING_SHARE, SIZING_BOOTS * boot_s)
        self._wait_s[held.label] = max(SIZING_S, took_s)
        return machine_requests

    def _look(self, held: HeldBlock, leading: bool, since_s: float) -> list[MachineRequest]:
        now = self.core.now
        self._look_over(held)
        if not held.loaded or (held.taken_over and now < held.taken_at + self._known_s(held)):
            return []
        sizing = self._size(held, since_s)
        for host in sizing.returns:
            self._give_up(held, held.machines[host], "idle")
        if leading:
            for rent in sizing.rents:
                self.provider.rent(held.label, rent.build, rent.zone, rent.spot, rent.number)
            return []
        return [MachineRequest(held.label, r.build, r.zone, r.spot, r.number) for r in sizing.rents]

    def _known_s(self, held: HeldBlock) -> float:
        """How long after a takeover the block's work is not known: what runs, and what is done
        but not yet durable, comes with the machines' reports. Taken for waiting, it once had 300
        machines rented at once."""
        if held.unconfirmed:
            return self.core.lease_s
        return KNOWN_REPORTS * self.core.report_s

    def _size(self, held: HeldBlock, since_s: float) -> Sizing:
        now = self.core.now
        types = self.provider.types or self.registry.types
        supply = []
        for machine in held.machines.values():
            if machine.leaving or machine.returning or machine.gone:
                continue
            if machine.recall_at is not None:
                continue
            kind = types.get(machine.entry.build)
            if kind is None or (machine.ever_up and not machine.up):
                continue
            since = machine.unacknowledged_since if machine.fenced else None
            if since is not None and now - since > UNACKNOWLEDGED_REPORTS * self.core.report_s:
                continue
            if not machine.ever_up and now - machine.got_at > LATE_BOOTS * kind.startup_s:
                continue
            idle = None
            if machine.usable and machine.empty and machine.idle_since is not None:
                idle = now - machine.idle_since
            supply.append(
                Supply(
                    machine.host,
                    kind.label,
                    machine.entry.zone,
                    machine.entry.spot,
                    kind.cpus,
                    idle,
                )
            )
        coming = self.provider.pending_for(held.label)
        for rental in coming:
            kind = types.get(rental.build)
            if kind is not None:
                supply += [
                    Supply(
                        f"{rental.hire}/{n}",
                        rental.build,
                        rental.hall,
                        rental.loaners,
                        kind.cpus,
                        None,
                    )
                    for n in range(rental.number)
                ]
        # Granted, but not in the record yet.
        for host, entry in self.writer.adding.get(held.label, {}).items():
            kind = types.get(entry.build)
            if kind is not None and host not in held.machines:
                supply.append(Supply(host, entry.build, entry.zone, entry.spot, kind.cpus, None))
        operators = self.core.settings.operators
        most = operators.machines_max or 10**6
        boot_s = min((kind.startup_s for kind in types.values()), default=60.0)
        groups = groups_of(held, types, now, operators.drain_boots * boot_s)
        self._smooth(held.label, groups, types, since_s)
        return size_fleet(
            groups,
            supply,
            types,
            self.provider.refused(),
            operators.drain_boots,
            operators.idle_boots,
            most - len(supply),
        )

    def _smooth(
        self, block: str, groups: list[Group], types: dict[str, MachineType], since_s: float
    ) -> None:
        """Jobs come in lumps that are over before a machine rented for them is up: what counts
        is the level of work over about a boot time, and backlogs far above it."""
        boot_s = min((kind.startup_s for kind in types.values()), default=60.0)
        weight = min(1.0, since_s / (SMOOTH_BOOTS * boot_s))
        seen = set()
        for group in groups:
            key = (block, group.spot_ok, group.builds, group.zone, group.urgent)
            seen.add(key)
            level = self._levels.get(key, group.work)
            level += weight * (group.work - level)
            self._levels[key] = level
            group.work = max(level, group.work * BACKLOG_SHARE)
        for key in list(self._levels):
            if key[0] == block and key not in seen:
                self._levels[key] *= 1 - weight
                if self._levels[key] > 1.0:
                    _, spot_ok, builds, zone, urgent = key
                    groups.append(
                        Group(spot_ok, builds, zone, self._levels[key], 0.0, urgent=urgent)
                    )

    def _look_over(self, held: HeldBlock) -> None:
        """Machines that never came, went silent, stopped or are faulty go back."""
        now = self.core.now
        for machine in held.machines.values():
            if machine.leaving:
                continue
            kind = self.registry.types.get(machine.entry.build)
            startup = kind.startup_s if kind else 60.0
            listed = self.provider.listed.get(machine.host)
            if listed is not None and listed.stage == "failed":
                machine.gone = True
            if machine.host in held.unconfirmed:
                continue
            unacknowledged_s = (
                now - machine.unacknowledged_since
                if machine.unacknowledged_since is not None
                else 0.0
            )
            if unacknowledged_s > SILENT_LEASES * self.core.lease_s and not machine.runs:
                self._give_up(held, machine, "hears nothing")
            elif not machine.up and not machine.runs:
                since = max(machine.heard_at, machine.got_at)
                if machine.host in self.provider.released:
                    self._give_up(held, machine, "released")
                elif machine.gone:
                    self._give_up(held, machine, "failed")
                elif machine.ever_up:
                    if now - since > SILENT_LEASES * self.core.lease_s:
                        self._give_up(held, machine, "silent")
                elif now - since > max(NEVER_BOOTS * startup, 2 * self.core.lease_s):
                    self._give_up(held, machine, "never up")
            elif (
                len(machine.failed_jobs) >= FAULTY_JOBS
                and machine.completed < 4 * len(machine.failed_jobs)
                and not machine.runs
            ):
                self._give_up(held, machine, "faulty")

    def prove(self, held: HeldBlock) -> None:
        """A machine that does not answer after a takeover holds back every job accepted before
        it. Nearly always it is dead; the cloud's answer to its release proves it empty. Only
        the leader asks for that."""
        if self.core.now - held.taken_at < UNCONFIRMED_LEASES * self.core.lease_s:
            return
        zones: dict[str, list[int]] = {}
        for host, machine in held.machines.items():
            zone = zones.setdefault(machine.entry.zone, [0, 0])
            zone[0] += host in held.unconfirmed
            zone[1] += 1
        for host in list(held.unconfirmed):
            machine = held.machines[host]
            missing, all_there = zones[machine.entry.zone]
            tried = machine.fence_fails >= 2 or not machine.entry.addr
            if host in self.provider.released:
                held.confirm_empty(host)
            elif (
                host not in self.provider.to_release
                and tried
                and missing <= max(1.0, UNCONFIRMED_SHARE * all_there)
            ):
                log.info("machine released as proof machine=%s block=%s", host, held.label)
                self.provider.to_release.add(host)

    def _give_up(self, held: HeldBlock, machine: Machine, why: str) -> None:
        """From here nothing is placed on it, whatever becomes of the write."""
        log.info("machine given up machine=%s why=%s block=%s", machine.host, why, held.label)
        machine.leaving = True
        held.marks_due[machine.host] = None
        held.dirty = True
        self.writer.remove(held.label, machine.host)
