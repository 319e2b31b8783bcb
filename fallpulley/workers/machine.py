"""A machine of a held block as its holder knows it, and what a report changes."""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from fallpulley.blocks.messages import MachineEntry
from fallpulley.fleet.messages import MachineType
from fallpulley.placement.plan import Slot
from fallpulley.workers.messages import ENDED, PULLING, RUNNING, SAVING, PieceState, Report

# Tasks after which a machine's own run times count as much as the assumption that it is like
# all others, and how many of the latest are looked at.
SPEED_PRIOR, SPEED_SPAN = 4, 12
# Machines of a type differ by up to a tenth; below this factor it is the tasks that differ.
CLEARLY_SLOW = 1.4


class Run(msgspec.Struct, eq=False):
    """An attempt of a task: commanded, perhaps on its machine, not proved gone."""

    job: str
    index: int
    attempt: int
    host: str
    sent_at: float
    estimate_s: float  # run time without the fetch
    need: tuple[float, float, float]
    seen: bool = False
    stage: str = PULLING
    running_at: float | None = None
    stopping: float | None = None  # the windup to stop it with, once it is to stop

    @property
    def piece(self) -> str:
        return f"{self.job}/{self.index}"


class Machine:
    def __init__(self, host: str, entry: MachineEntry, since: int, now: float) -> None:
        self.host = host
        self.entry = entry
        # The token it is commanded under: the stamp of the record that gave it to us. Any stamp
        # from there up to the record's newest is ours alone, so it may rise on the way.
        self.token = since
        self.fenced = False  # has reported with our token
        # Since when its reports come without showing that it hears us; None: it does.
        self.unacknowledged_since: float | None = None
        self.ordered = False  # a `run` went out that no check-in has settled yet
        self.checked = (0, -1)  # (shift, tick) of its newest check-in
        self.slot: Slot | None = None  # the planner's picture; None: something has changed
        self.unfenced_at = float("-inf")  # when it last reported without our token
        self.unfenced_answers = 0  # answers to it before it showed our token
        self.prompted_at = float("-inf")
        self.got_at = now
        self.shift = 0
        self.tick = -1
        self.up = False  # reports now, as far as we know
        self.ever_up = False
        self.heard_at = float("-inf")
        self.replied_at = float("-inf")
        self.recall_at: float | None = None
        self.pieces: dict[str, PieceState] = {}
        self.reported: list[PieceState] = []  # the same as the last report had it
        self.runs: dict[str, Run] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetching: dict[str, float] = {}
        self.speed_seen = 0
        self.speed_log = 0.0  # sum of the logarithms of run times over estimates
        self.failed_jobs: set[str] = set()
        self.completed = 0
        self.refuse_until = float("-inf")
        self.used = False  # marked in the block's record: tasks may be started
        self.draining = False  # takes no new tasks: it is to leave the block when it is empty
        self.returning = False  # it may be returned to the cloud at any moment
        self.leaving = False  # a record without this machine is being written
        self.idle_since: float | None = None
        self.fence_busy = False
        self.fence_at = float("-inf")
        self.fence_fails = 0
        self.gone = False  # the cloud says it has stopped

    @property
    def usable(self) -> bool:
        return (
            self.up
            and self.fenced
            and self.unacknowledged_since is None
            and not self.leaving
            and not self.returning
            and not self.gone
            and self.recall_at is None
        )

    @property
    def full(self) -> bool:
        """No room for anything more, as far as the planner has looked."""
        slot = self.slot
        return slot is not None and slot.profile is not None and slot.profile.cpus[0] < 0.5

    @property
    def empty(self) -> bool:
        return not self.runs and not self.pieces

    @property
    def slowness(self) -> float:
        """Run times here over estimates. Tasks of a job differ far more than machines do, so
        only a clear and repeated difference counts: that of a faulty machine. In tenths, or each
        slow machine would be of a kind of its own to every job's list schedule."""
        ratio = math.exp(self.speed_log / (self.speed_seen + SPEED_PRIOR))
        return round(ratio, 1) if ratio > CLEARLY_SLOW else 1.0

    def learn_speed(self, ratio: float) -> None:
        self.speed_seen = min(self.speed_seen + 1, SPEED_SPAN)
        keep = 1 - 1 / SPEED_SPAN if self.speed_seen == SPEED_SPAN else 1.0
        self.speed_log = self.speed_log * keep + math.log(max(0.2, min(8.0, ratio)))

    def newer(self, report: Report) -> bool:
        return (report.shift, report.tick) > (self.shift, self.tick)

    def is_copy(self, report: Report) -> bool:
        """A check-in that is no newer than one that came before. One that was only overtaken by
        an answer of `/do` is not: its worker waits for the reply."""
        if (report.shift, report.tick) <= self.checked:
            return True
        self.checked = (report.shift, report.tick)
        return False

    def same(self, report: Report) -> bool:
        """The report tells nothing but that the machine still reports."""
        return (
            self.fenced
            and not self.ordered
            and self.unacknowledged_since is None
            and self.recall_at is None
            and report.recall_s is None
            and report.shift == self.shift
            and report.pieces == self.reported
        )

    def raise_token(self, newest: int) -> bool:
        """Take the next of the tokens that are ours up to the record's newest stamp."""
        if self.token >= newest:
            return False
        self.token += 1
        return True

    def remember_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """The machine keeps the most recently used images."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while total > cache_gb and len(self.images) > 1:
            _, freed = self.images.popitem(last=False)
            total -= freed


class Outcome(msgspec.Struct):
    """What a report tells about tasks; the holder's block acts on it."""

    vanished: list[Run] = []
    missed: bool = False  # an order of ours was not taken
    ended: list[tuple[Run | None, PieceState]] = []
    began: list[Run] = []
    has_unaccounted_tasks: list[PieceState] = []


def absorb(machine: Machine, report: Report, now: float, checkin: bool) -> Outcome:
    """Take in a newer report. Only a check-in's silence about a run settles that it is not there:
    an answer of `/do` can overtake a check-in's reply that carries the `run`."""
    outcome = Outcome([], False, [], [], [])
    if report.shift != machine.shift:
        # A new session: the worker killed and forgot everything it had. One whose reports never
        # ceased has not had our answers, nor has one that never took what was last ordered.
        outcome.missed = (machine.up or machine.ordered) and machine.fenced
        outcome.vanished.extend(machine.runs.values())
        machine.runs.clear()
        machine.fetching.clear()
    machine.shift, machine.tick = report.shift, report.tick
    machine.recall_at = None if report.recall_s is None else now + report.recall_s
    machine.pieces = {piece.piece: piece for piece in report.pieces}
    machine.reported = report.pieces
    if report.addr and report.addr != machine.entry.addr:
        machine.entry = MachineEntry(
            report.addr,
            machine.entry.build,
            machine.entry.zone,
            machine.entry.spot,
            machine.entry.used,
        )
    for piece in report.pieces:
        run = machine.runs.get(piece.piece)
        if run is not None and run.attempt != piece.attempt:
            run = None
        if piece.stage == ENDED:
            if run is not None:
                del machine.runs[piece.piece]
            outcome.ended.append((run, piece))
        elif run is None:
            outcome.has_unaccounted_tasks.append(piece)
        else:
            run.seen = True
            if piece.stage in (RUNNING, SAVING) and run.running_at is None:
                run.running_at = now
                outcome.began.append(run)
            run.stage = piece.stage
    if checkin:
        for name, run in list(machine.runs.items()):
            if name not in machine.pieces or machine.pieces[name].attempt != run.attempt:
                del machine.runs[name]
                outcome.vanished.append(run)
                outcome.missed = outcome.missed or not run.seen
        machine.ordered = False
    return outcome


def size_of(kind: MachineType) -> tuple[float, float, float]:
    return kind.cpus, kind.cards, kind.mem_gb
